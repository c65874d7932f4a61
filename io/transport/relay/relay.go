// Package relay is a TCP relay for tests. It can simulate the failures of a network:
// connections that stay open but lose all data, lose data in one direction, are
// slow, or are closed.
package relay

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Mode determines what happens to the data of a connection.
type Mode int

// The modes of a connection.
const (
	// Pass forwards data.
	Pass Mode = iota
	// Drop discards data in both directions and keeps both ends open.
	Drop
	// Close closes both ends.
	Close
	// DropReplies discards data from the target and forwards data to it.
	DropReplies
	// Slow forwards data after a delay of slowDelay.
	Slow
)

// slowDelay is how long a slow connection delays each read.
const slowDelay = 100 * time.Millisecond

// Relay forwards connections to one address.
type Relay struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mu sync.Mutex
	// newMode is the mode of connections that are accepted from now on.
	newMode Mode
	// links are the open connections.
	links map[*link]struct{}
	// opened counts the connections that reached the target, closed ones
	// included.
	opened int
	// closed is true once the relay is closed.
	closed bool
}

// link is an accepted connection and its connection to the target.
type link struct {
	source, target net.Conn
	mu             sync.Mutex
	mode           Mode
}

// Start relays connections to a free loopback port to target.
func Start(target string) (*Relay, error) {
	return Listen("127.0.0.1:0", target)
}

// Listen relays connections to addr to target.
func Listen(addr, target string) (*Relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target, links: make(map[*link]struct{})}
	r.running.Go(r.accept)
	return r, nil
}

// Addr returns the address to connect to.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Opened returns the number of connections made through the relay so far.
func (r *Relay) Opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// SetOpen sets the mode of the connections that are open now. New ones are not
// affected.
func (r *Relay) SetOpen(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.setMode(m)
	}
}

// SetNew sets the mode of connections that are opened from now on.
func (r *Relay) SetNew(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newMode = m
}

// Close closes the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.SetOpen(Close)
	r.running.Wait()
}

func (r *Relay) accept() {
	for {
		source, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.serve(source) })
	}
}

func (r *Relay) serve(source net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = source.Close()
		return
	}
	l := &link{source: source, target: target}
	r.mu.Lock()
	r.opened++
	l.mode = r.newMode
	if r.closed {
		l.mode = Close
	}
	r.links[l] = struct{}{}
	r.mu.Unlock()
	if l.currentMode() == Close {
		l.close()
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(target, source, Drop) })
	both.Go(func() { l.copy(source, target, Drop, DropReplies) })
	both.Wait()
	l.close()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (l *link) setMode(m Mode) {
	l.mu.Lock()
	l.mode = m
	l.mu.Unlock()
	if m == Close {
		l.close()
	}
}

func (l *link) currentMode() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func (l *link) close() {
	_ = l.source.Close()
	_ = l.target.Close()
}

// copy forwards data from src to dst unless the mode is one of dropping, in which
// case dst isn't closed after src either.
func (l *link) copy(dst, src net.Conn, dropping ...Mode) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		mode := l.currentMode()
		drops := slices.Contains(dropping, mode)
		if mode == Slow {
			time.Sleep(slowDelay)
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
