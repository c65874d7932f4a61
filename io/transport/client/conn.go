package client

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conn records the heads of the answers that arrive on a connection.
type conn struct {
	net.Conn
	// head is the record of the latest exchange. It is never nil.
	head atomic.Pointer[headRecord]
}

// wrapConns returns a dial function whose connections are of type [conn].
func wrapConns(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		inner, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner}
		c.head.Store(&headRecord{})
		return c, nil
	}
}

// recordHead returns the record of the exchange that begins. On a new connection it
// includes what the server sent before the request.
func (c *conn) recordHead(reused bool) *headRecord {
	if reused {
		c.head.Store(&headRecord{})
	}
	return c.head.Load()
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.head.Load().add(b[:n])
	return n, err
}

// readBufferBytes is how much net/http reads ahead.
const readBufferBytes = 4 << 10

// headRecord holds the bytes of an answer from its beginning, until it is taken.
type headRecord struct {
	mu    sync.Mutex
	bytes []byte
	taken bool
}

func (r *headRecord) add(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.taken && len(r.bytes) < maxHeadBytes+readBufferBytes {
		r.bytes = append(r.bytes, b...)
	}
}

// take returns the recorded bytes and ends the record.
func (r *headRecord) take() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bytes
	r.bytes, r.taken = nil, true
	return b
}
