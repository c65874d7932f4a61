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
	"sync/atomic"
	"syscall"
	"time"

	"papayaspoke/io/transport/memory"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeout of this project's servers, so
	// that pooled connections are closed by this end first.
	idleTimeout = time.Minute
	// maxIdlePerHost is the number of idle connections kept per address.
	maxIdlePerHost = 64
	// maxHeadBytes is the largest head of a response, including interim
	// responses. The default of net/http would let each connection use 10 MiB.
	maxHeadBytes = 64 << 10
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package
	// does not name.
	tcpUserTimeout = 18
	// unackedTimeoutMillis is how long sent data may stay unacknowledged before
	// the kernel closes the connection.
	unackedTimeoutMillis = 10_000
)

// Client sends requests over pooled or new connections. It is safe for concurrent
// use.
type Client struct {
	pooled transport
	// fresh makes a new connection for each request.
	fresh  transport
	memory *memory.Budget
}

// limits are the timeouts in which kinds of clients differ.
type limits struct {
	// dialTimeout bounds the time to establish a connection, idleTimeout how long
	// an idle one is kept.
	dialTimeout, idleTimeout time.Duration
	// unackedMillis is how long sent data may stay unacknowledged.
	unackedMillis int
}

var (
	defaultLimits = limits{dialTimeout: dialTimeout, idleTimeout: idleTimeout, unackedMillis: unackedTimeoutMillis}
	// replicaLimits has shorter timeouts: another replica can answer instead,
	// and replicas close idle connections by themselves.
	replicaLimits = limits{dialTimeout: 400 * time.Millisecond, idleTimeout: 4 * time.Second, unackedMillis: 3000}
)

// New returns a client whose local address the kernel chooses.
func New() *Client { return NewFrom(netip.Addr{}) }

// NewFrom returns a client whose connections use a local address, so that servers
// can identify the caller by it. With the zero address the kernel chooses.
func NewFrom(local netip.Addr) *Client { return newClient(local, defaultLimits) }

// NewForReplicas returns a client like [NewFrom], with shorter timeouts for requests
// to replicas.
func NewForReplicas(local netip.Addr) *Client { return newClient(local, replicaLimits) }

func newClient(local netip.Addr, l limits) *Client {
	var localAddr net.Addr
	if local.IsValid() {
		localAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return &Client{pooled: newTransport(localAddr, l, false), fresh: newTransport(localAddr, l, true), memory: memory.NewBudget(memory.DefaultLimit)}
}

// WithMemory returns a client with the same connections whose responses share m.
func (c *Client) WithMemory(m *memory.Budget) *Client {
	return &Client{pooled: c.pooled, fresh: c.fresh, memory: m}
}

func newTransport(localAddr net.Addr, l limits, fresh bool) transport {
	d := &net.Dialer{
		LocalAddr:       localAddr,
		Timeout:         l.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, l.unackedMillis) },
	}
	return transport{&http.Transport{
		DialContext:        wrapConns(d.DialContext),
		DisableCompression: true,
		DisableKeepAlives:  fresh,
		MaxIdleConns:       0,

		MaxResponseHeaderBytes: maxHeadBytes,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        l.idleTimeout,
	}}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which bounds how long sent data may stay
// unacknowledged.
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

// HTTP returns a net/http client over the pooled connections, for libraries that
// implement their own protocol.
func (c *Client) HTTP() *http.Client { return &http.Client{Transport: c.pooled} }

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Exchange describes one request and how long to wait for the response.
type Exchange struct {
	// Method and URL are those of the request. The host is an IP address.
	Method, URL string
	// Header is sent unchanged.
	Header http.Header
	// Target is the request target, sent unchanged instead of the path of the
	// URL; empty means the path. Host is the Host header used with it; empty
	// means the host of the URL.
	Target, Host string
	// Body is the complete body.
	Body []byte
	// HeadDeadline is the deadline for the head of the response over a pooled
	// connection. If zero, Do uses the middle of the time up to the deadline of
	// the context.
	HeadDeadline time.Time
	// FreshHeadDeadline is the deadline for the head of the response over a new
	// connection. If zero, only the context limits it.
	FreshHeadDeadline time.Time
	// Idempotent allows the request to be retried over a new connection.
	Idempotent bool
}

// Failure is the error of an exchange that got no response.
type Failure struct {
	maybeSent bool
	overFresh bool
	cause     error
}

// MaybeSent reports whether any byte of the request may have been sent. If false, the
// request is known not to have reached the server.
func (f *Failure) MaybeSent() bool { return f.maybeSent }

// OverFresh reports whether the exchange failed over a new connection, or while one was
// established. Only such a failure is evidence that the other end is unreachable.
func (f *Failure) OverFresh() bool { return f.overFresh }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Error describes the cause and whether the request may have been sent.
func (f *Failure) Error() string {
	if f.maybeSent {
		return fmt.Sprintf("no answer, request may have been sent: %v", f.cause)
	}
	return fmt.Sprintf("nothing was sent: %v", f.cause)
}

// MaybeSent reports whether the request that failed with err may have been sent. It is
// true for every error except a [Failure] that reports otherwise.
func MaybeSent(err error) bool {
	var f *Failure
	return !errors.As(err, &f) || f.maybeSent
}

// Answer is the response to an exchange. Its body must be closed.
type Answer struct {
	status int
	header http.Header
	body   *body
	// maybeDuplicate is true if the server may have received the request twice.
	maybeDuplicate bool
	// conn is the connection that the response arrives on. reused is true if it has
	// carried other exchanges before.
	conn   net.Conn
	reused bool
	// endMarked is true if the head says where the body ends.
	endMarked bool
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.header }

// MaybeDuplicate reports whether the server may have received the request before, over a
// connection that brought no response. What this response states about the second
// attempt may not hold for the first.
func (a *Answer) MaybeDuplicate() bool { return a.maybeDuplicate }

// OverReused reports whether the response arrived on a connection that has carried
// other exchanges before. It may then be a late response to one of them.
func (a *Answer) OverReused() bool { return a.reused }

// EndMarked reports whether the response has a length or chunks. Otherwise it ends
// with its connection, and nothing tells a server that has ended from the end of
// the body.
func (a *Answer) EndMarked() bool { return a.endMarked }

// Body returns the body. If the response ends early, reads fail with an error other
// than [io.EOF].
func (a *Answer) Body() io.ReadCloser { return a.body }

// Discard closes the connection that the response arrives on, so that it isn't
// reused for another exchange.
func (a *Answer) Discard() {
	if a.conn != nil {
		_ = a.conn.Close()
	}
	_ = a.body.Close()
}

// SetIdleDeadline makes a read of the body fail if no data arrives by the time that
// deadline returns for the start of the read.
func (a *Answer) SetIdleDeadline(deadline func(now time.Time) time.Time) {
	a.body.idleDeadline = deadline
}

var errUnresponsive = errors.New("connection is unresponsive")

// Do sends a request and returns the response once its head has arrived. An
// idempotent request may be sent twice, see [Exchange]. The error is a [*Failure].
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
	if first == nil || first.overFresh || ctx.Err() != nil {
		return a, first.orNil()
	}
	a, second := c.try(ctx, c.fresh, x, x.FreshHeadDeadline)
	if second != nil {
		second.maybeSent = second.maybeSent || first.maybeSent
		return nil, second
	}
	a.maybeDuplicate = first.maybeSent
	return a, nil
}

// Send sends a request without a retry, over a pooled connection if it is idempotent
// and over a new one otherwise. The error is a [*Failure].
func (c *Client) Send(ctx context.Context, x Exchange) (*Answer, error) {
	over := c.fresh
	if x.Idempotent {
		over = c.pooled
	}
	a, f := c.try(ctx, over, x, x.HeadDeadline)
	return a, f.orNil()
}

// orNil converts a nil failure to a nil error, since an error that holds a nil
// pointer is not nil.
func (f *Failure) orNil() error {
	if f == nil {
		return nil
	}
	return f
}

// try sends x once. The connection is closed if the head of the response doesn't
// arrive in time: by headBy on a reused connection, and by the deadline that x sets
// for new connections otherwise.
func (c *Client) try(ctx context.Context, over transport, x Exchange, headBy time.Time) (*Answer, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	var gotConn, reused atomic.Bool
	var conn atomic.Pointer[net.Conn]
	watch := &watchdog{cancel: cancel}
	onConn := func(info httptrace.GotConnInfo) {
		gotConn.Store(true)
		conn.Store(&info.Conn)
		reused.Store(info.Reused)
		deadline := x.FreshHeadDeadline
		if info.Reused {
			deadline = headBy
		}
		if !deadline.IsZero() {
			watch.setDeadline(deadline)
		}
	}
	req, err := http.NewRequestWithContext(ctx, x.Method, x.URL, nil)
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
	resp, err := over.roundTrip(req, onConn)
	watch.stop()
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		cancel(nil)
		return nil, &Failure{maybeSent: gotConn.Load(), overFresh: !reused.Load(), cause: withoutEOF(err)}
	}
	b := &body{inner: resp.Body, watchdog: watch, cancel: cancel, ctx: ctx}
	answer := &Answer{status: resp.StatusCode, header: resp.Header, body: b, reused: reused.Load()}
	b.hold = c.memory.Hold(answer.Discard)
	answer.endMarked = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if c := conn.Load(); c != nil {
		answer.conn = *c
	}
	return answer, nil
}

// withoutEOF removes [io.EOF] from the chain of err, so that a connection that ended
// early isn't mistaken for the regular end of a response.
func withoutEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err)
	}
	return err
}

// setBody sets the body but not GetBody, so that net/http doesn't retry the request
// by itself.
func setBody(req *http.Request, x Exchange) {
	if len(x.Body) == 0 && x.Idempotent && x.Target == "" {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(x.Body))
	req.ContentLength = int64(len(x.Body))
}

// setTarget sets the request target and the Host header of x, and suppresses the
// default User-Agent of net/http.
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
