package server

import (
	"container/list"
	"sync"
)

// ConnLimit limits the open connections of all servers that share it. At the limit the
// connection that has waited longest for its peer is closed for a new one: since its
// last response, or since the first byte of a request that has not arrived whole. It is
// safe for concurrent use.
type ConnLimit struct {
	limit int

	mu   sync.Mutex
	open int
	// waiting has the connections without a pending request, the one that has waited
	// longest first.
	waiting *list.List
}

// NewConnLimit returns a limit of n connections.
func NewConnLimit(n int) *ConnLimit { return &ConnLimit{limit: n, waiting: list.New()} }

// admit reports whether a new connection may be opened, and closes another one for it if
// necessary.
func (l *ConnLimit) admit() bool {
	for {
		l.mu.Lock()
		full := l.open >= l.limit
		first := l.waiting.Front()
		if full && first != nil {
			l.waiting.Remove(first)
			first.Value.(*conn).place = nil
		}
		l.mu.Unlock()
		if !full || first == nil {
			return !full
		}
		if first.Value.(*conn).yield() {
			return true
		}
	}
}

func (l *ConnLimit) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.place = l.waiting.PushBack(c)
}

func (l *ConnLimit) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.take(c)
}

// setBusy states that a connection has a pending request.
func (l *ConnLimit) setBusy(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(c)
}

// setWaiting states that a connection begins to wait for its peer.
func (l *ConnLimit) setWaiting(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(c)
	c.place = l.waiting.PushBack(c)
}

// setRefused states that a connection only waits for its peer to read a refusal.
func (l *ConnLimit) setRefused(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(c)
	c.place = l.waiting.PushFront(c)
}

// take removes a connection from those that wait; l.mu must be held.
func (l *ConnLimit) take(c *conn) {
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
}
