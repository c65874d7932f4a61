package cluster

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards connections to one daemon. It can drop the bytes of all
// connections from a host, in both directions.
type relay struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// dropFlags holds, by client host, whether bytes are dropped.
	dropFlags map[string]*atomic.Bool
	// forwarded counts the bytes forwarded in both directions, by client host.
	forwarded map[string]*atomic.Uint64
}

func newRelay(target string) (*relay, error) {
	l, err := freeListener("127.0.0.1")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, dropFlags: make(map[string]*atomic.Bool), forwarded: make(map[string]*atomic.Uint64)}
	go r.acceptConns()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) close() { _ = r.listener.Close() }

// setDropping sets whether the bytes of the connections from a host are dropped.
func (r *relay) setDropping(host string, drop bool) { r.dropFlag(host).Store(drop) }

func (r *relay) dropFlag(host string) *atomic.Bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.dropFlags[host]
	if f == nil {
		f = new(atomic.Bool)
		r.dropFlags[host] = f
	}
	return f
}

func (r *relay) byteCounter(host string) *atomic.Uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.forwarded[host]
	if n == nil {
		n = new(atomic.Uint64)
		r.forwarded[host] = n
	}
	return n
}

// bytesFrom returns the number of bytes forwarded on connections from a host, in
// both directions.
func (r *relay) bytesFrom(host string) uint64 { return r.byteCounter(host).Load() }

// bytes returns the number of bytes forwarded on all connections, in both
// directions.
func (r *relay) bytes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := uint64(0)
	for _, n := range r.forwarded {
		sum += n.Load()
	}
	return sum
}

func (r *relay) acceptConns() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relayConn(conn)
	}
}

// relayConn forwards one connection until it ends.
func (r *relay) relayConn(client net.Conn) {
	host, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	dropping, forwardedBytes := r.dropFlag(host), r.byteCounter(host)
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	hasLost := new(atomic.Bool)
	go forward(client, server, dropping, hasLost, forwardedBytes)
	forward(server, client, dropping, hasLost, forwardedBytes)
}

// forward copies bytes until one end closes. While dropping is set, it discards
// them and does not pass on that an end has closed. A connection that has lost
// bytes is never used again, like a TCP connection whose state a firewall has
// dropped.
func forward(from, to net.Conn, dropping, hasLost *atomic.Bool, forwardedBytes *atomic.Uint64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if dropping.Load() {
			hasLost.Store(true)
		}
		if hasLost.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			forwardedBytes.Add(uint64(n))
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
