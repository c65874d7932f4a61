package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
)

const (
	// headWithin is how soon an engine acknowledges a request for text; it
	// does so before the first token.
	headWithin = 2 * time.Second
	// silence is how long a stream may bring nothing.
	silence = 10 * time.Second
	// cancelWithin bounds the telling of an engine that a stream is given up.
	cancelWithin = 2 * time.Second
	// maxAnswer is the largest whole answer in bytes.
	maxAnswer = 16 << 20
)

// Client gives orders to engines and passes calls on to plain services. It is
// safe for concurrent use.
type Client struct {
	http *client.Client
	// headBy, silentAt bound the waits of one stream.
	headBy, silentAt func(now time.Time) time.Time
}

// Option changes a client.
type Option func(*Client)

// WithIdleDeadline sets when a stream that brings nothing from now on is silent.
func WithIdleDeadline(at func(now time.Time) time.Time) Option {
	return func(c *Client) { c.silentAt = at }
}

// WithHeadDeadline sets when a request that is sent now over a pooled connection must
// have been acknowledged.
func WithHeadDeadline(by func(now time.Time) time.Time) Option {
	return func(c *Client) { c.headBy = by }
}

// NewClient returns a client over the given connections.
func NewClient(c *client.Client, opts ...Option) *Client {
	x := &Client{
		http:     c,
		headBy:   func(now time.Time) time.Time { return now.Add(headWithin) },
		silentAt: func(now time.Time) time.Time { return now.Add(silence) },
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Load orders the engine at addr to load an adapter. It returns when the
// adapter is resident. The context bounds the wait; an order whose answer is
// lost may have been carried out and can be sent again with its id.
func (c *Client) Load(ctx context.Context, addr string, l LoadOrder) (Ack, error) {
	b := encodeOrder(l.Order)
	b.Adapter, b.Evict = encodeAdapter(l.Adapter), encodeAdapter(l.Evict)
	return c.order(ctx, addr, "/orders/load", b)
}

// Unload orders the engine at addr to give up an idle adapter.
func (c *Client) Unload(ctx context.Context, addr string, u UnloadOrder) (Ack, error) {
	b := encodeOrder(u.Order)
	b.Adapter = encodeAdapter(u.Adapter)
	return c.order(ctx, addr, "/orders/unload", b)
}

// SetRoleOrder orders the engine at addr to change its role.
func (c *Client) SetRole(ctx context.Context, addr string, s SetRoleOrder) (Ack, error) {
	b := encodeOrder(s.Order)
	b.Role = s.Role
	return c.order(ctx, addr, "/orders/role", b)
}

func (c *Client) order(ctx context.Context, addr, path string, b orderBody) (Ack, error) {
	var ack ackBody
	if err := c.exchange(ctx, addr, path, b, &ack); err != nil {
		return Ack{}, err
	}
	if ack.ID != b.ID || ack.Incarnation != b.Incarnation {
		return Ack{}, result.New(result.WrongAnswer, "order %s to incarnation %d was answered as %s by %d", b.ID, b.Incarnation, ack.ID, ack.Incarnation)
	}
	return Ack{ID: ack.ID, Incarnation: ident.Incarnation(ack.Incarnation), Clock: time.UnixMilli(ack.Clock)}, nil
}

// Cancel asks the engine at addr to stop a request.
func (c *Client) Cancel(ctx context.Context, addr string, x CancelRequest) error {
	var ack ackBody
	return c.exchange(ctx, addr, "/cancel", cancelBody{Request: string(x.Request), Incarnation: uint64(x.Incarnation)}, &ack)
}

// Announce tells the daemon at addr of an upstream.
func (c *Client) Announce(ctx context.Context, addr string, a Announcement) (DaemonReply, error) {
	return c.tell(ctx, addr, "announce", encodeAnnouncement(a))
}

// Refresh sends a report to the daemon at addr.
func (c *Client) Refresh(ctx context.Context, addr string, r Report) (DaemonReply, error) {
	return c.tell(ctx, addr, "refresh", encodeReport(r))
}

// Leave tells the daemon at addr that an upstream wants no new work.
func (c *Client) Leave(ctx context.Context, addr string, l Leaving) (DaemonReply, error) {
	return c.tell(ctx, addr, "leave", leaveBody{Name: string(l.Name), Incarnation: uint64(l.Incarnation)})
}

func (c *Client) tell(ctx context.Context, addr, what string, body any) (DaemonReply, error) {
	var b welcomeBody
	if err := c.exchange(ctx, addr, Prefix+what, body, &b); err != nil {
		return DaemonReply{}, err
	}
	return DaemonReply(b), nil
}

// exchange sends one idempotent message and reads the answer into out.
func (c *Client) exchange(ctx context.Context, addr, path string, body, out any) error {
	a, err := c.post(ctx, addr, path, body, time.Time{}, true)
	if err != nil {
		return err
	}
	defer a.Body().Close()
	b, err := a.ReadAll(maxAnswer)
	if err != nil {
		return failed(ctx, err)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return result.New(result.WrongAnswer, "answer of %s is not the JSON expected: %w", addr, err)
	}
	return nil
}

// post sends one message and returns an answer with status 200.
func (c *Client) post(ctx context.Context, addr, path string, body any, headBy time.Time, idempotent bool) (*client.Answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, result.New(result.Internal, "encode message: %w", err)
	}
	a, err := c.http.Do(ctx, client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Body: b,
		Header:       http.Header{"Content-Type": {"application/json"}},
		HeadDeadline: headBy, FreshHeadDeadline: c.freshBy(headBy), Idempotent: idempotent,
	})
	if err != nil {
		return nil, failed(ctx, err)
	}
	if a.Status() != http.StatusOK {
		defer a.Body().Close()
		e := wire.DecodeError(a.Header(), a.Body(), result.UpstreamFailed, time.Now())
		if a.MaybeDuplicate() {
			e = wire.MarkMayHaveRun(e)
		}
		return nil, e
	}
	return a, nil
}

// freshBy gives a second connection as long as the first one had.
func (c *Client) freshBy(headBy time.Time) time.Time {
	if headBy.IsZero() {
		return headBy
	}
	return c.headBy(headBy)
}

// failed gives a transport failure its result code.
func failed(ctx context.Context, err error) error {
	switch {
	case !client.MaybeSent(err):
		return result.New(result.NoUpstream, "%w", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.TimedOut, "%w", err)
	}
	return result.New(result.UpstreamFailed, "%w", err)
}

// Call passes a call on to the plain service at addr. The error's code is
// result.NoUpstream if provably nothing was sent, and result.Unknown if a
// call that may not be repeated may have run.
func (c *Client) Call(ctx context.Context, addr string, s ServiceCall) (*ServiceAnswer, error) {
	h := s.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if s.Key != "" {
		h.Set("Idempotency-Key", string(s.Key))
	}
	a, err := c.http.Do(ctx, client.Exchange{
		Method: s.Method, URL: "http://" + addr + s.Path, Header: h, Body: s.Body, Idempotent: s.Idempotent,
	})
	if err != nil {
		return nil, callFailed(ctx, s, err)
	}
	defer a.Body().Close()
	b, err := a.ReadAll(maxAnswer)
	if err != nil {
		return nil, callFailed(ctx, s, err)
	}
	return &ServiceAnswer{Status: a.Status(), Header: a.Header(), Body: b}, nil
}

func callFailed(ctx context.Context, s ServiceCall, err error) error {
	if client.MaybeSent(err) && !s.Idempotent {
		return result.New(result.Unknown, "%w", err)
	}
	return failed(ctx, err)
}

// Generate asks the engine at addr for text. The stream must be closed.
func (c *Client) Generate(ctx context.Context, addr string, g GenerateRequest) (*Stream, error) {
	now := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	a, err := c.post(ctx, addr, "/generate", encodeGenerate(g, now), c.headBy(now), !g.NoRetry)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Stream{client: c, addr: addr, ask: g, ctx: ctx, cancel: cancel}
	s.take(a)
	return s, nil
}

var _ io.Closer = (*Stream)(nil)
