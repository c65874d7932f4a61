package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
)

// maxUnflushed is the largest number of bytes passed to the library without a
// flush. The library sends larger writes from a buffer that it has already freed.
const maxUnflushed = 16 << 10

// maxBacklog is how many bytes of a response may be unsent before [AwaitRoom] waits.
const maxBacklog = 256 << 10

// Abort closes the connection of w so that the peer can't mistake the response for a
// complete one. It must be called before the handler returns.
func Abort(w http.ResponseWriter) {
	v := unwrap(w)
	if v == nil {
		panic(http.ErrAbortHandler)
	}
	v.abort()
}

// AwaitRoom waits until the peer has taken most of what was written to w, so that a
// response that a slow peer does not take is not kept in memory. It fails if the
// connection is closed or ctx ends first.
func AwaitRoom(ctx context.Context, w http.ResponseWriter) error {
	if v := unwrap(w); v != nil {
		return v.conn.awaitRoom(ctx)
	}
	return nil
}

// unwrap returns the writer of this package in w, or nil.
func unwrap(w http.ResponseWriter) *writer {
	for {
		switch v := w.(type) {
		case *writer:
			return v
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			return nil
		}
	}
}

// serve runs the handler on a private copy of the request.
func (c *conn) serve(res *nbhttp.Response, r *http.Request) {
	ctx, cancel := c.beginRequest(r.Context())
	defer c.endRequest()
	defer cancel(context.Canceled)
	w := &writer{res: res, conn: c, headOnly: r.Method == http.MethodHead, noFlush: !r.ProtoAtLeast(1, 1)}
	defer w.finish()
	// The library closes the connection right after writing the last response,
	// which loses data that a slow reader has not received. The peer is asked to
	// close instead.
	if r.Close || c.server.draining.Load() {
		r.Close = false
		res.Header().Set("Connection", "close")
	}
	body := c.takeBody()
	private := r.WithContext(ctx)
	private.Body = &requestBody{Reader: bytes.NewReader(body), data: body}
	private.ContentLength = int64(len(body))
	defer func() {
		if v := recover(); v != nil {
			w.handlePanic(v)
		}
	}()
	c.server.handler.ServeHTTP(w, private)
}

// uncountedUnsent is how many unsent bytes of a connection aren't counted.
const uncountedUnsent = 4 << 10

// requestBody is the body of a request that has arrived completely.
type requestBody struct {
	*bytes.Reader
	data []byte
}

func (*requestBody) Close() error { return nil }

// Body returns the body of a request. That of a request from a [Server] is not copied;
// it must not be changed.
func Body(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(*requestBody); ok {
		return b.data, nil
	}
	return io.ReadAll(r.Body)
}

// writer is the response writer passed to handlers.
type writer struct {
	res  *nbhttp.Response
	conn *conn
	// headOnly is true for a HEAD request, whose response has no body.
	headOnly bool
	// noFlush is true if the response must be sent in one go: HTTP/1.0 has no
	// chunked encoding, so an early flush would fix the length of the body.
	noFlush bool

	mu sync.Mutex
	// buffered counts the bytes passed to the library since the last flush.
	buffered int
	// started is true once the status has been written.
	started bool
	// done is true once the handler has returned or the response was aborted.
	done bool
}

func (w *writer) Header() http.Header { return w.res.Header() }

// WriteHeader sends the status. A response whose status is not valid is aborted.
func (w *writer) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

func (w *writer) writeHeader(status int) {
	if w.done || w.started {
		return
	}
	if class := status / 100; class < 2 || class > 5 {
		w.conn.server.opts.Log.Error(result.New(result.Internal, "status %d is not valid", status), "response aborted")
		w.abortLocked()
		return
	}
	w.started = true
	if http.StatusText(status) == "" {
		w.conn.setStatus(status)
		status = http.StatusOK
	}
	if w.headOnly && w.res.Header().Get("Content-Length") == "" {
		w.res.Header().Set("Content-Length", "0")
	}
	w.res.WriteHeader(status)
}

// Write writes b in chunks that the library can buffer. It returns [net.ErrClosed]
// once the connection is closed or the handler has returned.
func (w *writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	if w.done || w.conn.isClosed() {
		return 0, net.ErrClosed
	}
	if w.headOnly {
		return len(b), nil
	}
	sent := 0
	for sent < len(b) {
		chunk := b[sent:min(len(b), sent+maxUnflushed)]
		if w.buffered+len(chunk) > maxUnflushed {
			w.flush()
		}
		n, err := w.res.Write(chunk)
		if err != nil {
			return sent, err
		}
		w.buffered += len(chunk)
		sent += n
	}
	return sent, nil
}

// Flush sends the buffered data.
func (w *writer) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	if !w.done && !w.conn.isClosed() && !w.headOnly {
		w.flush()
	}
}

func (w *writer) flush() {
	if !w.noFlush {
		w.res.Flush()
	}
	w.buffered = 0
}

// abort closes the connection without completing the response.
func (w *writer) abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abortLocked()
}

// abortLocked is abort; w.mu must be held.
func (w *writer) abortLocked() {
	if w.done {
		return
	}
	if w.started {
		w.flush()
	}
	w.done = true
	c, _, err := w.res.Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// finish makes later calls return without effect, since the library reuses the
// response.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.writeHeader(http.StatusOK)
	}
	w.done = true
}

// handlePanic sends an error response for a handler that panicked, or aborts the
// response if it has already started.
func (w *writer) handlePanic(v any) {
	if v != http.ErrAbortHandler {
		w.conn.server.opts.Log.Error(result.New(result.Internal, "panic in a handler: %v", v), "handler panicked", "stack", string(debug.Stack()))
	}
	if v == http.ErrAbortHandler || w.hasStarted() {
		w.abort()
		return
	}
	w.conn.server.opts.Refuse(w, result.New(result.Internal, "the handler panicked"))
}

func (w *writer) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}
