package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn records the heads of the answers that arrive on a connection, and tells a
// connection that failed from one that the server closed.
type conn struct {
	net.Conn
	// head is the record of the latest exchange. It is never nil.
	head atomic.Pointer[headRecord]

	// writing is held during each write. writeErr is the error of the first write
	// that failed.
	writing  sync.Mutex
	writeErr error
}

// dialFunc establishes a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// wrapConns returns a dial function whose connections are of type [conn].
func wrapConns(dial dialFunc) dialFunc {
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

// Read reads from the connection. It returns [io.EOF] only if the server closed the
// connection: the kernel reports the failure of a connection once, so a reader sees the
// end of the input if a writer has got the error.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.head.Load().add(b[:n])
	if err != io.EOF && !errors.Is(err, net.ErrClosed) {
		return n, err
	}
	if failure := c.failure(); failure != nil {
		return n, failure
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// failure returns the error of a write that met the failure of the connection, if any.
// It ends a write that is under way, since nothing more can be read.
func (c *conn) failure() error {
	if !c.writing.TryLock() {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	// After the server has closed the connection, a write fails with EPIPE.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return fmt.Errorf("connection failed during a write: %w", c.writeErr)
}

// readBufferBytes is how much net/http may read beyond a head.
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
