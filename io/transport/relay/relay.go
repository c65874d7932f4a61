// Package relay is a small TCP relay for tests, which can lose track of the
// connections that pass through it: to both ends they seem open, but nothing
// arrives any more.
package relay

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Mode tells what happens to the bytes of a connection.
type Mode int

// The modes of a connection.
const (
	// Pass passes bytes on.
	Pass Mode = iota
	// Drop throws bytes away and keeps both ends open.
	Drop
	// Close closes both ends.
	Close
	// DropReplies throws away what comes from the target and passes on what goes there.
	DropReplies
	// Slow passes on what arrives slowAfter later.
	Slow
)

// slowAfter is how long a slow connection holds back what it has read.
const slowAfter = 100 * time.Millisecond

// Relay passes connections on to one address.
type Relay struct {
	listener net.Listener
	target   string
	done     sync.WaitGroup

	mu sync.Mutex
	// mode applies to connections that are opened from now on.
	mode Mode
	// links are the connections that are open.
	links map[*link]struct{}
	// opened counts all connections ever accepted.
	opened int
	// closed is true once the relay is closed.
	closed bool
}

// link is one connection and its continuation to the target.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	mode      Mode
}

// Start relays a port of its own on loopback to target.
func Start(target string) (*Relay, error) {
	return Listen("127.0.0.1:0", target)
}

// Listen relays addr to target.
func Listen(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, links: make(map[*link]struct{})}
	r.done.Go(r.accept)
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Opened returns how many connections were ever made through the relay.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetOpen puts the connections that are open now into mode m. New ones are
// not affected.
func (r *Relay) SetOpen(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.set(m)
	}
}

// SetNew puts connections that are opened from now on into mode m.
func (r *Relay) SetNew(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.SetOpen(Close)
	r.done.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Go(func() { r.open(near) })
	}
}

func (r *Relay) open(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far}
	r.mu.Lock()
	r.opened++
	l.mode = r.mode
	if r.closed {
		l.mode = Close
	}
	r.links[l] = struct{}{}
	r.mu.Unlock()
	if l.current() == Close {
		l.close()
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near, Drop) })
	both.Go(func() { l.copy(near, far, Drop, DropReplies) })
	both.Wait()
	l.close()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (l *link) set(m Mode) {
	l.mu.Lock()
	l.mode = m
	l.mu.Unlock()
	if m == Close {
		l.close()
	}
}

func (l *link) current() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// copy passes bytes from src to dst unless the mode is one of lost. A connection
// that drops does not even pass on that the other end has closed.
func (l *link) copy(dst, src net.Conn, lost ...Mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		mode := l.current()
		drops := slices.Contains(lost, mode)
		if mode == Slow {
			time.Sleep(slowAfter)
		}
		if n > 0 && !drops {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if !drops {
			_ = dst.Close()
		}
		return
	}
}
