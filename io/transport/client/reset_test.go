package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/standin/broken"
)

// uploadBytes is more than the kernel buffers for a server that doesn't read.
const uploadBytes = 8 << 20

// earlyServer answers each request with answer before it has read the body, and then
// ends the connection with end.
func earlyServer(t *testing.T, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	u, err := broken.Start(func(*http.Request) string { return answer }, end)
	assert.NilError(t, err)
	t.Cleanup(u.Close)
	return "http://" + u.Addr()
}

// Guards against responses without a length that are taken for complete although their
// connection was reset while the request was being written: the kernel tells only one
// of writer and reader.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	heads := map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\n\r\n",
		"closes":        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"older version": "HTTP/1.0 200 OK\r\n\r\n",
		"after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"with a length": "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n",
		"cut head":      "HTTP/1.1 200 OK\r\nX: ",
	}
	const attempts = 30
	for name, head := range heads {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", name, idempotent), func(t *testing.T) {
				t.Parallel()
				url := earlyServer(t, head+"part", broken.Reset)
				c := New()
				defer c.Close()
				whole := 0
				for range attempts {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					a, err := c.Send(ctx, Exchange{Method: http.MethodPost, URL: url, Body: make([]byte, uploadBytes), Idempotent: idempotent})
					if err == nil {
						if _, err := a.ReadAll(1000); err == nil {
							whole++
						}
						_ = a.Body().Close()
					}
					assert.NilError(t, ctx.Err())
					cancel()
				}
				assert.Check(t, whole == 0, "%d of %d cut responses were taken for complete", whole, attempts)
			})
		}
	}
}

// TestCloseDuringUploadIsAnEnd checks that a response without a length is complete if
// the server closes its side of the connection before it has read the request.
func TestCloseDuringUploadIsAnEnd(t *testing.T) {
	read := make(chan struct{})
	ends := map[string]func(c *net.TCPConn){
		"reads nothing more": func(*net.TCPConn) { <-read },
		"reads on":           func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	}
	t.Cleanup(func() { close(read) })
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			url := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\nmade", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				end(c)
			})
			c := New()
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := c.Send(ctx, Exchange{Method: http.MethodPost, URL: url, Body: make([]byte, uploadBytes)})
			assert.NilError(t, err)
			b, err := a.ReadAll(1000)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "made")
			assert.NilError(t, a.Body().Close())
		})
	}
}

// fakeConn is a connection whose write is under way until it fails with writeErr, or
// until its deadline is set if that is nil.
type fakeConn struct {
	net.Conn
	writeErr error
	started  chan struct{}
	deadline chan struct{}
}

func (c *fakeConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *fakeConn) Write([]byte) (int, error) {
	close(c.started)
	<-c.deadline
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *fakeConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// TestEndOfInputDuringAWrite checks which errors of a write under way make the end of
// the input a failure.
func TestEndOfInputDuringAWrite(t *testing.T) {
	cases := map[string]struct {
		writeErr error
		failed   bool
	}{
		"reset":               {syscall.ECONNRESET, true},
		"unacknowledged":      {syscall.ETIMEDOUT, true},
		"no route":            {syscall.EHOSTUNREACH, true},
		"closed by this end":  {net.ErrClosed, true},
		"closed by the other": {syscall.EPIPE, false},
		"still under way":     {nil, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inner := &fakeConn{writeErr: tc.writeErr, started: make(chan struct{}), deadline: make(chan struct{})}
			c := &conn{Conn: inner}
			c.head.Store(&headRecord{})
			go func() { _, _ = c.Write([]byte("x")) }()
			<-inner.started
			for range 2 {
				_, err := c.Read(make([]byte, 1))
				assert.Equal(t, err != io.EOF, tc.failed, "%v", err)
				assert.Assert(t, !tc.failed || errors.Is(err, tc.writeErr) && !errors.Is(err, io.EOF))
			}
		})
	}
}
