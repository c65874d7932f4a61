package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// idleTimeout closes pooled connections before the servers here do.
	idleTimeout = time.Minute
	// idlePerHost is how many connections to one address are kept.
	idlePerHost = 64
	// maxHead is the largest head of an answer, interim ones included. Without a
	// bound of our own each connection could take 10 MiB.
	maxHead = 64 << 10
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package
	// does not name.
	tcpUserTimeout = 18
	// unackedMillis is how long sent data may stay unacknowledged before the
	// kernel closes the connection.
	unackedMillis = 10_000
)

// Client makes exchanges. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

// limits are what clients differ in.
type limits struct {
	// dial bounds the making of a connection, idle how long one is kept.
	dial, idle time.Duration
	// unacked is how long sent data may stay unacknowledged, in milliseconds.
	unacked int
}

var (
	between = limits{dial: dialTimeout, idle: idleTimeout, unacked: unackedMillis}
	// toReplicas gives up sooner: another replica may answer instead, and
	// replicas close idle connections of their own accord.
	toReplicas = limits{dial: 400 * time.Millisecond, idle: 4 * time.Second, unacked: 3000}
)

// New returns a client.
func New() *Client { return NewFrom(netip.Addr{}) }

// NewFrom returns a client whose connections come from a local address, so
// that others know by it who is calling. The zero address leaves the choice
// to the kernel.
func NewFrom(local netip.Addr) *Client { return newClient(local, between) }

// NewForReplicas returns a client as [NewFrom] does that gives up sooner.
func NewForReplicas(local netip.Addr) *Client { return newClient(local, toReplicas) }

func newClient(local netip.Addr, l limits) *Client {
	var from net.Addr
	if local.IsValid() {
		from = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return &Client{pooled: transport(from, l, false), fresh: transport(from, l, true)}
}

func transport(from net.Addr, l limits, fresh bool) *http.Transport {
	d := &net.Dialer{
		LocalAddr:       from,
		Timeout:         l.dial,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, l.unacked) },
	}
	return &http.Transport{
		DialContext:        d.DialContext,
		DisableCompression: true,
		DisableKeepAlives:  fresh,
		MaxIdleConns:       0,

		MaxResponseHeaderBytes: maxHead,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        l.idle,
	}
}

func setUserTimeout(c syscall.RawConn, millis int) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, millis)
	})
	if err != nil {
		return err
	}
	return inner
}

// HTTP returns a plain HTTP client over the pooled connections, for libraries
// that bring their own protocol.
func (c *Client) HTTP() *http.Client { return &http.Client{Transport: c.pooled} }

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Exchange is one request and its answer.
type Exchange struct {
	// Method and URL are those of the request; the host is an IP number.
	Method, URL string
	// Header is sent as it is.
	Header http.Header
	// Target is sent as it is in the place of the URL's path; empty for the
	// path. Host is sent in the place of the URL's host, unless empty.
	Target, Host string
	// Body is the whole body.
	Body []byte
	// HeadDeadline is when the head of the answer must have arrived over a pooled
	// connection. Zero means half-way to the deadline of the context.
	HeadDeadline time.Time
	// FreshHeadDeadline is when the head of the answer must have arrived over a new
	// connection. Zero means that only the context limits it.
	FreshHeadDeadline time.Time
	// Idempotent allows the exchange to be sent again over a fresh connection.
	Idempotent bool
}

// Failure is an exchange without an answer.
type Failure struct {
	sent  bool
	fresh bool
	cause error
}

// MaybeSent reports whether any byte of the request may have been sent. If not,
// the request provably did not reach anyone.
func (f *Failure) MaybeSent() bool { return f.sent }

// OverFresh reports whether a new connection failed, which is what makes the
// other end suspect.
func (f *Failure) OverFresh() bool { return f.fresh }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Error tells the cause and whether anything may have been sent.
func (f *Failure) Error() string {
	if f.sent {
		return fmt.Sprintf("no answer, request may have been sent: %v", f.cause)
	}
	return fmt.Sprintf("nothing was sent: %v", f.cause)
}

// MaybeSent reports whether the request behind err may have been sent. It is true
// for any error but a [Failure] that says otherwise.
func MaybeSent(err error) bool {
	var f *Failure
	return !errors.As(err, &f) || f.sent
}

// Answer is the answer to an exchange. Its body must be closed.
type Answer struct {
	status int
	header http.Header
	body   *body
	// repeated is true if the exchange may have been received twice.
	repeated bool
	// conn is the connection that the answer came by.
	conn net.Conn
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.header }

// MaybeDuplicate reports whether the exchange may have been received before, over a
// connection that brought no answer. What this answer says of the second
// attempt need not hold for the first.
func (a *Answer) MaybeDuplicate() bool { return a.repeated }

// Body returns the body; reads end with an error, never with [io.EOF], if the
// answer was cut.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Discard closes the connection that the answer came by, so that no further
// answer is taken from it.
func (a *Answer) Discard() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
	_ = a.body.Close()
}

// SetIdleDeadline makes reads of the body fail if nothing arrives until the time
// that until returns for the start of the read.
func (a *Answer) SetIdleDeadline(until func(now time.Time) time.Time) { a.body.until = until }

// ReadAll returns the whole body. It is an error if the body is larger than
// limit bytes or was cut.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.body, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("body is larger than %d bytes", limit)
	}
	return b, nil
}

var errSilent = errors.New("connection is silent")

// Do makes one exchange. The error is a [*Failure].
func (c *Client) Do(ctx context.Context, x Exchange) (*Answer, error) {
	if !x.Idempotent {
		a, f := c.try(ctx, c.fresh, x, x.FreshHeadDeadline)
		return a, f.orNil()
	}
	headBy := x.HeadDeadline
	if end, ok := ctx.Deadline(); ok && headBy.IsZero() {
		headBy = time.Now().Add(time.Until(end) / 2)
	}
	a, first := c.try(ctx, c.pooled, x, headBy)
	if first == nil || first.fresh || ctx.Err() != nil {
		return a, first.orNil()
	}
	a, second := c.try(ctx, c.fresh, x, x.FreshHeadDeadline)
	if second != nil {
		second.sent = second.sent || first.sent
		return nil, second
	}
	a.repeated = first.sent
	return a, nil
}

// Send makes one exchange once, over a pooled connection if it is idempotent
// and over a new one otherwise. The error is a [*Failure].
func (c *Client) Send(ctx context.Context, x Exchange) (*Answer, error) {
	via := c.fresh
	if x.Idempotent {
		via = c.pooled
	}
	a, f := c.try(ctx, via, x, x.HeadDeadline)
	return a, f.orNil()
}

// orNil avoids an error that holds a nil pointer.
func (f *Failure) orNil() error {
	if f == nil {
		return nil
	}
	return f
}

// try sends x once. If a reused connection brings no head by headBy, or a new
// one by the time that the exchange sets for it, the connection is closed.
func (c *Client) try(ctx context.Context, via *http.Transport, x Exchange, headBy time.Time) (*Answer, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	var got, reused atomic.Bool
	var conn atomic.Pointer[net.Conn]
	watch := &watchdog{cancel: cancel}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got.Store(true)
		conn.Store(&info.Conn)
		reused.Store(info.Reused)
		by := x.FreshHeadDeadline
		if info.Reused {
			by = headBy
		}
		if !by.IsZero() {
			watch.arm(by)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), x.Method, x.URL, nil)
	if err != nil {
		cancel(nil)
		return nil, &Failure{cause: err}
	}
	req.Header = x.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	setBody(req, x)
	setTarget(req, x)
	resp, err := via.RoundTrip(req)
	watch.stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		cancel(nil)
		return nil, &Failure{sent: got.Load(), fresh: !reused.Load(), cause: notEOF(err)}
	}
	b := &body{inner: resp.Body, watch: watch, cancel: cancel, ctx: ctx}
	answer := &Answer{status: resp.StatusCode, header: resp.Header, body: b}
	if c := conn.Load(); c != nil {
		answer.conn = *c
	}
	return answer, nil
}

// notEOF keeps a connection that ended early from being taken for the regular
// end of an answer by whoever looks for [io.EOF] in the chain.
func notEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err)
	}
	return err
}

// setBody leaves GetBody unset, so that net/http repeats nothing by itself.
func setBody(req *http.Request, x Exchange) {
	if len(x.Body) == 0 && x.Idempotent && x.Target == "" {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(x.Body))
	req.ContentLength = int64(len(x.Body))
}

// setTarget has the request line and the host sent as the exchange says, and
// adds no headers of the library's own.
func setTarget(req *http.Request, x Exchange) {
	if x.Target == "" {
		return
	}
	req.URL = &url.URL{Scheme: "http", Host: req.URL.Host, Opaque: x.Target}
	req.Host = x.Host
	if len(req.Header["User-Agent"]) == 0 {
		req.Header.Set("User-Agent", "")
	}
}

// watchdog ends an exchange at a time that can be moved.
type watchdog struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	timer  *time.Timer
}

func (w *watchdog) arm(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(time.Until(at), func() { w.cancel(errSilent) })
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// body is the body of an answer.
type body struct {
	inner  io.ReadCloser
	watch  *watchdog
	cancel context.CancelCauseFunc
	ctx    context.Context
	until  func(now time.Time) time.Time
}

func (b *body) Read(p []byte) (int, error) {
	if b.until != nil {
		b.watch.arm(b.until(time.Now()))
		defer b.watch.stop()
	}
	n, err := b.inner.Read(p)
	if err != nil && err != io.EOF {
		if cause := context.Cause(b.ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
	}
	return n, err
}

func (b *body) Close() error {
	b.watch.stop()
	b.cancel(nil)
	return b.inner.Close()
}

// Silent reports whether err says that a connection went silent.
func Silent(err error) bool { return errors.Is(err, errSilent) }
