package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"

	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
)

// maxPiece is the most that is handed to the library without a flush. Larger
// pieces pass through a buffer that the library has already given back.
const maxPiece = 16 << 10

// StatusHeader carries the exact status where the library cannot send it; the
// response then has the generic status of its class.
const StatusHeader = "Papayaspoke-Status"

// discarder throws away the rest of the input of a refused connection.
type discarder struct{ parser *nbhttp.Parser }

func (d discarder) UnderlayerConn() net.Conn { return d.parser.Conn }
func (discarder) Parse([]byte) error         { return nil }
func (discarder) CloseAndClean(error)        {}

// Abort ends the connection of w so that the answer can not look whole. It must
// be called before the handler returns.
func Abort(w http.ResponseWriter) {
	for {
		switch v := w.(type) {
		case *writer:
			v.cut()
			return
		case interface{ Unwrap() http.ResponseWriter }:
			w = v.Unwrap()
		default:
			panic(http.ErrAbortHandler)
		}
	}
}

// serve runs the handler on a private copy of the request.
func (c *conn) serve(res *nbhttp.Response, r *http.Request) {
	ctx, cancel := c.begin(r.Context())
	defer c.end()
	defer cancel(context.Canceled)
	w := &writer{res: res, conn: c, head: r.Method == http.MethodHead, hold: !r.ProtoAtLeast(1, 1)}
	defer w.finish()
	// The library closes the connection right after writing the last answer,
	// which loses what a slow reader has not taken. The reader closes instead.
	if r.Close || c.server.draining.Load() {
		r.Close = false
		res.Header().Set("Connection", "close")
	}
	body, _ := io.ReadAll(r.Body)
	own := r.WithContext(ctx)
	own.Body = io.NopCloser(bytes.NewReader(body))
	own.ContentLength = int64(len(body))
	defer func() {
		if v := recover(); v != nil {
			w.panicked(v)
		}
	}()
	c.server.handler.ServeHTTP(w, own)
}

// writer is the response writer that handlers see.
type writer struct {
	res  *nbhttp.Response
	conn *conn
	// head is true if the answer has no body.
	head bool
	// hold is true if the answer must go out at once, since the protocol has
	// no chunks and an early flush would fix its length.
	hold bool

	mu sync.Mutex
	// buffered counts the bytes given to the library since the last flush.
	buffered int
	// started is true once a status or a byte was written.
	started bool
	// done is true once the handler has returned or the answer was cut.
	done bool
}

func (w *writer) Header() http.Header { return w.res.Header() }

// WriteHeader sends status, or the generic status of its class if the library
// has no text for it.
func (w *writer) WriteHeader(status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(status)
}

func (w *writer) writeHeader(status int) {
	if w.done || w.started || status < 200 {
		return
	}
	w.started = true
	if http.StatusText(status) == "" {
		w.res.Header().Set(StatusHeader, strconv.Itoa(status))
		status = status / 100 * 100
		if http.StatusText(status) == "" {
			status = http.StatusBadGateway
		}
	}
	if w.head && w.res.Header().Get("Content-Length") == "" {
		w.res.Header().Set("Content-Length", "0")
	}
	w.res.WriteHeader(status)
}

// Write sends b in pieces that the library can buffer. It returns
// [net.ErrClosed] once the connection is gone or the handler has returned.
func (w *writer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	if w.done || w.conn.discards() {
		return 0, net.ErrClosed
	}
	if w.head {
		return len(b), nil
	}
	sent := 0
	for sent < len(b) {
		piece := b[sent:min(len(b), sent+maxPiece)]
		if w.buffered+len(piece) > maxPiece {
			w.flush()
		}
		n, err := w.res.Write(piece)
		if err != nil {
			return sent, err
		}
		w.buffered += len(piece)
		sent += n
	}
	return sent, nil
}

// Flush sends what is buffered.
func (w *writer) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writeHeader(http.StatusOK)
	if !w.done && !w.conn.discards() && !w.head {
		w.flush()
	}
}

func (w *writer) flush() {
	if !w.hold {
		w.res.Flush()
	}
	w.buffered = 0
}

func (w *writer) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
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

// finish makes later calls harmless: the library reuses the response.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.writeHeader(http.StatusOK)
	}
	w.done = true
}

// panicked answers for a handler that panicked, or cuts the answer if part of
// it was already sent.
func (w *writer) panicked(v any) {
	if v != http.ErrAbortHandler {
		w.conn.server.opts.Log.Error(result.New(result.Internal, "panic in a handler: %v", v), "handler panicked", "stack", string(debug.Stack()))
	}
	if v == http.ErrAbortHandler || w.hasStarted() {
		w.cut()
		return
	}
	w.conn.server.opts.Refuse(w, result.New(result.Internal, "the handler panicked"))
}

func (w *writer) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}
