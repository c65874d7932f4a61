package cluster

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay passes connections on to one daemon and can drop what comes from or
// goes to one host.
type relay struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	cuts map[string]*atomic.Bool
	// carried counts the bytes passed on, both ways, by the host that called.
	carried map[string]*atomic.Uint64
}

func newRelay(target string) (*relay, error) {
	l, err := freeListener("127.0.0.1")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, cuts: make(map[string]*atomic.Bool), carried: make(map[string]*atomic.Uint64)}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) close() { _ = r.listener.Close() }

// cut drops all bytes of the connections from a host, or lets them pass.
func (r *relay) cut(host string, on bool) { r.flag(host).Store(on) }

func (r *relay) flag(host string) *atomic.Bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.cuts[host]
	if f == nil {
		f = new(atomic.Bool)
		r.cuts[host] = f
	}
	return f
}

func (r *relay) counter(host string) *atomic.Uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.carried[host]
	if n == nil {
		n = new(atomic.Uint64)
		r.carried[host] = n
	}
	return n
}

// bytesFrom returns the bytes of the connections from a host, both ways.
func (r *relay) bytesFrom(host string) uint64 { return r.counter(host).Load() }

// bytes returns the bytes of all connections, both ways.
func (r *relay) bytes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := uint64(0)
	for _, n := range r.carried {
		sum += n.Load()
	}
	return sum
}

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.join(near)
	}
}

func (r *relay) join(near net.Conn) {
	host, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	cut, carried := r.flag(host), r.counter(host)
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	lost := new(atomic.Bool)
	go pass(near, far, cut, lost, carried)
	pass(far, near, cut, lost, carried)
}

// pass copies until one end closes. While cut, bytes are thrown away and the
// end of one side is hidden from the other. A connection that has lost bytes
// stays silent after the cut, as one that the network has forgotten does.
func pass(from, to net.Conn, cut, lost *atomic.Bool, carried *atomic.Uint64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if cut.Load() {
			lost.Store(true)
		}
		if lost.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			carried.Add(uint64(n))
			if _, werr := to.Write(buf[:n]); werr != nil {
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
