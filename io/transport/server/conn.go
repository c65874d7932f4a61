package server

import (
	"bytes"
	"container/list"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
	"papayaspoke/io/transport/memory"
)

// job is a request that has arrived.
type job struct {
	run  func()
	body []byte
	// hold is what the request holds; nil for a refusal.
	hold *memory.Hold
}

// release returns what the request holds.
func (j job) release() {
	if j.hold != nil {
		j.hold.Release()
	}
}

// conn is the server's state of one connection.
type conn struct {
	server *Server
	nb     *nbio.Conn
	// newUntil is the time up to which a connection that has not received a
	// request is expected to receive its first.
	newUntil time.Time
	// place is the connection's place among those that wait for their peers, nil if it
	// has none. It is guarded by the ConnLimit's mutex.
	place *list.Element

	// reading guards intake and discarded. It is locked before mu.
	reading sync.Mutex
	// intake is nil until data arrives, and after a refusal.
	intake *intake
	// discarded counts the bytes that arrived after a refusal.
	discarded int

	mu sync.Mutex
	// jobs holds the pending requests; the first one is running. The last one may be
	// a refusal.
	jobs []job
	// cancel cancels the context of the running request; nil if none runs.
	cancel context.CancelCauseFunc
	// closed is true once the connection is closed.
	closed bool
	// refused is true once a request was refused. The rest of the input is
	// discarded.
	refused bool
	// received counts the requests that arrived completely.
	received int
	// unsent is the number of bytes written by handlers and not yet accepted by
	// the kernel. It is never negative.
	unsent int
	// answers holds the unsent bytes, but for a few.
	answers *memory.Hold
	// status replaces the one in the head that is written next; 0 if the library
	// writes the right one.
	status int
	// room is closed when the peer has taken enough of what was written, or the
	// connection is closed; nil if nobody waits for that.
	room chan struct{}
	// timer bounds the arrival of an incomplete request, or of its head if timesHead is
	// true; it is nil if there is none.
	timer     *time.Timer
	timesHead bool
	// receiveBy is when the incomplete request must have arrived.
	receiveBy time.Time
}

func (s *Server) onOpen(c net.Conn) {
	if nb, ok := c.(*nbio.Conn); ok {
		c := &conn{server: s, nb: nb, newUntil: time.Now().Add(transitGrace)}
		c.answers = s.opts.Answers.Hold(func() { _ = nb.Close() })
		s.conns.Store(nb, c)
		s.opts.Connections.add(c)
	}
}

func (s *Server) onClose(c net.Conn, _ error) {
	nb, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	if v, ok := s.conns.LoadAndDelete(nb); ok {
		v.(*conn).close()
		s.opts.Connections.remove(v.(*conn))
	}
}

// onWritten is called with n bytes accepted by the kernel. The library holds its
// lock of the connection, so onWritten must not call back into the connection.
func (s *Server) onWritten(nb *nbio.Conn, _ []byte, n int) {
	v, ok := s.conns.Load(nb)
	if !ok {
		return
	}
	c := v.(*conn)
	c.mu.Lock()
	_ = c.setUnsent(max(0, c.unsent-n))
	c.signalRoom()
	idle := c.unsent == 0 && len(c.jobs) == 0
	c.mu.Unlock()
	if idle {
		go c.setIdleDeadline()
	}
}

// onData parses the data that has arrived on a connection. The library calls it
// from one goroutine per connection.
func (s *Server) onData(nb *nbio.Conn, data []byte) {
	v, ok := s.conns.Load(nb)
	if !ok {
		_ = nb.Close()
		return
	}
	c := v.(*conn)
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.discardsInput() {
		c.discard(len(data))
		return
	}
	if c.intake == nil {
		session, ok := nb.Session().(*nbhttp.Parser)
		if !ok {
			_ = nb.Close()
			return
		}
		c.intake = newIntake(c, session)
	}
	before := c.intake.completed
	if err := c.feed(data); err != nil {
		c.dropIntake()
		c.refuse(err)
		return
	}
	if c.discardsInput() {
		c.dropIntake()
		return
	}
	if c.setReceiveTimer(c.intake.completed != before, c.intake) {
		// The connection is not idle any more.
		_ = c.nb.SetReadDeadline(time.Time{})
	}
}

// feed reads the data that has arrived; c.reading must be held. A panic of the library
// costs the connection and not the process.
func (c *conn) feed(data []byte) (err *result.Error) {
	defer func() {
		if v := recover(); v != nil {
			err = result.New(result.Internal, "panic while a request was read: %v", v)
			c.server.opts.Log.Error(err, "request not read", "stack", string(debug.Stack()))
		}
	}()
	return c.intake.feed(data)
}

// dropIntake frees what has arrived of an incomplete request; c.reading must be held.
func (c *conn) dropIntake() {
	if c.intake != nil && c.intake.hold != nil {
		c.intake.hold.Release()
	}
	c.intake = nil
}

// giveUp frees what has arrived of an incomplete request and refuses it.
func (c *conn) giveUp(err *result.Error) {
	c.reading.Lock()
	c.dropIntake()
	c.reading.Unlock()
	c.refuse(err)
}

// outOfMemory is the refusal of a request for which there is no memory.
func outOfMemory(now time.Time) *result.Error {
	return result.New(result.OutOfMemory, "no memory for the request").WithRetryAfter(now.Add(memoryRetryAfter))
}

// discard counts the input after a refusal, and closes the connection if it is too
// much.
func (c *conn) discard(n int) {
	c.discarded += n
	if c.discarded > maxDiscarded {
		_ = c.nb.Close()
	}
}

// discardsInput reports whether further input of the connection is discarded.
func (c *conn) discardsInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused || c.closed
}

// setReceiveTimer stops the receive timer if a request was completed, starts it if
// another one is incomplete, and moves it once the head has arrived. It reports whether
// it has started the timer.
func (c *conn) setReceiveTimer(completed bool, in *intake) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if completed {
		c.stopTimer()
	}
	switch {
	case c.closed || c.refused || !in.incomplete():
	case c.timer == nil:
		if len(c.jobs) == 0 {
			c.server.opts.Connections.setWaiting(c)
		}
		now := time.Now()
		c.receiveBy, c.timesHead = c.server.opts.ReceiveDeadline(now), in.phase == head
		by := c.receiveBy
		if c.timesHead {
			by = c.server.headDeadline(now)
		}
		c.timer = time.AfterFunc(by.Sub(now), c.onReceiveTimeout)
		return true
	case c.timesHead && in.phase != head:
		c.timesHead = false
		c.timer.Reset(time.Until(c.receiveBy))
	}
	return false
}

// stopTimer stops the receive timer; c.mu must be held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// onReceiveTimeout refuses a request that did not arrive completely in time.
func (c *conn) onReceiveTimeout() {
	c.mu.Lock()
	expired := c.timer != nil && !c.closed
	c.mu.Unlock()
	if expired {
		c.giveUp(result.New(result.RequestIncomplete, "request did not arrive completely in time"))
	}
}

// enqueue queues a request after those that are pending on the connection. If
// there are too many, the connection is closed: if only one request were dropped,
// the peer would take the response to the next request for the response to it.
func (c *conn) enqueue(j job) bool {
	c.mu.Lock()
	full := len(c.jobs) >= maxPipelined
	if c.closed || c.refused || full {
		c.refused = true
		c.mu.Unlock()
		if full {
			_ = c.nb.Close()
		}
		return false
	}
	c.received++
	c.jobs = append(c.jobs, j)
	first := len(c.jobs) == 1
	if first {
		c.server.opts.Connections.setBusy(c)
	}
	c.mu.Unlock()
	if first {
		go c.runJobs(j)
	}
	return true
}

// runJobs runs j and the jobs queued after it.
func (c *conn) runJobs(j job) {
	for more := true; more; j, more = c.nextJob() {
		_ = c.nb.SetReadDeadline(time.Time{})
		// A peer that does not read answers gets no further ones made.
		_ = c.awaitRoom(context.Background())
		j.run()
		j.release()
	}
	c.setIdleDeadline()
}

// nextJob removes the job that has run and returns the next one, if there is any.
func (c *conn) nextJob() (job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[0] = job{}
	c.jobs = c.jobs[1:]
	if len(c.jobs) == 0 {
		if !c.closed && !c.refused {
			c.server.opts.Connections.setWaiting(c)
		}
		return job{}, false
	}
	return c.jobs[0], true
}

// takeBody returns the body of the running request.
func (c *conn) takeBody() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[0].body
}

// setIdleDeadline sets the read deadline of a connection without pending requests.
// There is no deadline while a slow reader has not received its whole response: if
// the reader is gone, the kernel's TCP_USER_TIMEOUT closes the connection.
func (c *conn) setIdleDeadline() {
	if c.discardsInput() {
		return
	}
	_ = c.nb.SetReadDeadline(c.server.idleDeadline(time.Now()))
	// A request may arrive or have started, or more of a response may have been
	// written, since the caller's check.
	if !c.isIdle() {
		_ = c.nb.SetReadDeadline(time.Time{})
	}
}

// isIdle reports whether no request is arriving, queued or running, and every response
// has been passed to the kernel completely.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs) == 0 && c.unsent == 0 && c.timer == nil
}

// busy reports whether a request is expected, arriving, queued or running, or a
// response has not been passed to the kernel completely.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expectsFirst := c.received == 0 && time.Now().Before(c.newUntil)
	expected := !c.refused && (c.timer != nil || expectsFirst)
	return !c.closed && (len(c.jobs) > 0 || c.unsent > 0 || expected)
}

// yield closes the connection if it has no pending request, and reports whether it does.
func (c *conn) yield() bool {
	c.mu.Lock()
	busy := len(c.jobs) > 0
	c.refused = c.refused || !busy
	c.mu.Unlock()
	if !busy {
		_ = c.nb.Close()
	}
	return !busy
}

// isClosed reports whether the connection is closed.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// hasPendingWork reports whether a request is queued or running, or a response has
// not been passed to the kernel completely.
func (c *conn) hasPendingWork() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs) > 0 || c.unsent > 0
}

func (c *conn) close() {
	c.reading.Lock()
	c.dropIntake()
	c.reading.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.answers.Release()
	c.signalRoom()
	c.stopTimer()
	if c.cancel != nil {
		c.cancel(ErrConnClosed)
	}
}

// signalRoom wakes those that wait for room; c.mu must be held.
func (c *conn) signalRoom() {
	if c.room != nil && (c.closed || c.unsent <= maxBacklog) {
		close(c.room)
		c.room = nil
	}
}

// awaitRoom waits until at most maxBacklog bytes are unsent.
func (c *conn) awaitRoom(ctx context.Context) error {
	c.mu.Lock()
	if c.closed || c.unsent <= maxBacklog {
		defer c.mu.Unlock()
		if c.closed {
			return net.ErrClosed
		}
		return nil
	}
	if c.room == nil {
		c.room = make(chan struct{})
	}
	room := c.room
	c.mu.Unlock()
	select {
	case <-room:
		return c.awaitRoom(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRequest returns the context of a request that starts to run. The context is
// cancelled when the connection is closed.
func (c *conn) beginRequest(parent context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cancel(ErrConnClosed)
	}
	c.cancel = cancel
	return ctx, cancel
}

func (c *conn) endRequest() {
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
}

// refuse answers the request that is arriving without calling a handler, after the
// requests before it, and discards further input. It closes the connection after the
// peer has had time to read the response.
func (c *conn) refuse(err *result.Error) {
	c.mu.Lock()
	if c.closed || c.refused {
		c.mu.Unlock()
		return
	}
	c.refused = true
	c.stopTimer()
	pending := len(c.jobs) > 0
	if pending {
		c.jobs = append(c.jobs, job{run: func() { c.sendRefusal(err) }})
	}
	c.mu.Unlock()
	c.server.opts.Log.V(1).Info("request refused", "remote", c.nb.RemoteAddr().String(), "error", err.Error())
	if !pending {
		c.sendRefusal(err)
	}
}

// sendRefusal sends the response to a refused request and closes the connection soon.
func (c *conn) sendRefusal(err *result.Error) {
	_, _ = c.nb.Write(encodeRefusal(c.server.opts.Refuse, err))
	c.mu.Lock()
	if !c.closed {
		c.server.opts.Connections.setRefused(c)
	}
	c.mu.Unlock()
	_ = c.nb.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// encodeRefusal returns the response that refuse writes, encoded as HTTP/1.1.
func encodeRefusal(refuse func(http.ResponseWriter, *result.Error), err *result.Error) []byte {
	rec := &recorder{header: http.Header{}, status: http.StatusOK}
	refuse(rec, err)
	body := rec.body.Bytes()
	resp := http.Response{
		StatusCode: rec.status, ProtoMajor: 1, ProtoMinor: 1, Header: rec.header,
		ContentLength: int64(len(body)), Body: http.NoBody, Close: true,
	}
	var out bytes.Buffer
	head := rec.body
	resp.Body = readCloser{&head}
	_ = resp.Write(&out)
	return out.Bytes()
}

type readCloser struct{ *bytes.Buffer }

func (readCloser) Close() error { return nil }

// recorder is a response writer that stores the response in memory.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
func (r *recorder) WriteHeader(status int)      { r.status = status }

// setStatus sets the status of the head that is written next.
func (c *conn) setStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// setUnsent changes the number of unsent bytes; c.mu must be held. It fails with
// [memory.ErrFull] if too much is unsent beside all other connections.
func (c *conn) setUnsent(n int) error {
	c.unsent = n
	if n <= uncountedUnsent {
		n = 0
	}
	if c.closed {
		return nil
	}
	return c.answers.Resize(n)
}

// countingConn counts the bytes written by handlers as unsent, and writes the statuses
// that the library doesn't know.
type countingConn struct {
	net.Conn
	conn *conn
}

func (w countingConn) Write(b []byte) (int, error) {
	out := b
	w.conn.mu.Lock()
	if w.conn.status != 0 {
		out = withStatus(b, w.conn.status)
		w.conn.status = 0
	}
	err := w.conn.setUnsent(w.conn.unsent + len(out))
	w.conn.mu.Unlock()
	if err != nil {
		w.conn.server.opts.Log.Info("connection closed, its answers are not read", "remote", w.conn.nb.RemoteAddr().String())
		_ = w.conn.nb.Close()
		return 0, err
	}
	if n, err := w.Conn.Write(out); err != nil {
		return min(n, len(b)), err
	}
	return len(b), nil
}

// withStatus returns a copy of a response with another status and no reason.
func withStatus(response []byte, status int) []byte {
	version, rest, _ := bytes.Cut(response, []byte(" "))
	_, rest, _ = bytes.Cut(rest, []byte("\r\n"))
	return fmt.Appendf(nil, "%s %d \r\n%s", version, status, rest)
}
