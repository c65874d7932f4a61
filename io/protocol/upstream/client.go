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
	// headTimeout is how long an engine may take to acknowledge a request for
	// text, which it does before the first token.
	headTimeout = 2 * time.Second
	// streamIdleTimeout is how long a stream may be idle.
	streamIdleTimeout = 10 * time.Second
	// cancelTimeout bounds the request that cancels an abandoned stream.
	cancelTimeout = 2 * time.Second
	// maxAnswerBytes limits the size of an unstreamed response.
	maxAnswerBytes = 16 << 20
)

// Client sends orders and requests to engines, forwards calls to plain
// services and sends the messages of upstreams to daemons. It is safe for
// concurrent use.
type Client struct {
	http *client.Client
	// headDeadline and idleDeadline bound the waits of one stream.
	headDeadline, idleDeadline func(now time.Time) time.Time
}

// Option configures a client.
type Option func(*Client)

// WithIdleDeadline sets the function that returns until when a stream may be idle
// from now on.
func WithIdleDeadline(deadline func(now time.Time) time.Time) Option {
	return func(c *Client) { c.idleDeadline = deadline }
}

// WithHeadDeadline sets the function that returns until when a request that is sent
// now over a pooled connection must be acknowledged.
func WithHeadDeadline(deadline func(now time.Time) time.Time) Option {
	return func(c *Client) { c.headDeadline = deadline }
}

// NewClient returns a client that uses the connections of c.
func NewClient(c *client.Client, opts ...Option) *Client {
	x := &Client{
		http:         c,
		headDeadline: func(now time.Time) time.Time { return now.Add(headTimeout) },
		idleDeadline: func(now time.Time) time.Time { return now.Add(streamIdleTimeout) },
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Load orders the engine at addr to load an adapter. It returns when the
// adapter is resident. The context bounds the wait; an order whose response is
// lost may have been carried out and can be retried with the same id.
func (c *Client) Load(ctx context.Context, addr string, l LoadOrder) (Ack, error) {
	b := encodeOrder(l.Order)
	b.Adapter, b.Evict = encodeAdapter(l.Adapter), encodeAdapter(l.Evict)
	return c.order(ctx, addr, "/orders/load", b)
}

// Unload orders the engine at addr to remove an idle adapter.
func (c *Client) Unload(ctx context.Context, addr string, u UnloadOrder) (Ack, error) {
	b := encodeOrder(u.Order)
	b.Adapter = encodeAdapter(u.Adapter)
	return c.order(ctx, addr, "/orders/unload", b)
}

// SetRole orders the engine at addr to change its role.
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
		return Ack{}, result.New(result.WrongAnswer, "sent order %s to incarnation %d, got an acknowledgement of order %s by incarnation %d", b.ID, b.Incarnation, ack.ID, ack.Incarnation)
	}
	return Ack{ID: ack.ID, Incarnation: ident.Incarnation(ack.Incarnation), Clock: time.UnixMilli(ack.Clock)}, nil
}

// Cancel asks the engine at addr to stop a request.
func (c *Client) Cancel(ctx context.Context, addr string, x CancelRequest) error {
	var ack ackBody
	return c.exchange(ctx, addr, "/cancel", cancelBody{Request: string(x.Request), Incarnation: uint64(x.Incarnation)}, &ack)
}

// Announce sends an announcement to the daemon at addr.
func (c *Client) Announce(ctx context.Context, addr string, a Announcement) (DaemonReply, error) {
	return c.sendToDaemon(ctx, addr, "announce", encodeAnnouncement(a))
}

// Refresh sends a report to the daemon at addr.
func (c *Client) Refresh(ctx context.Context, addr string, r Report) (DaemonReply, error) {
	return c.sendToDaemon(ctx, addr, "refresh", encodeReport(r))
}

// Leave tells the daemon at addr that an upstream accepts no new work.
func (c *Client) Leave(ctx context.Context, addr string, l Leaving) (DaemonReply, error) {
	return c.sendToDaemon(ctx, addr, "leave", leaveBody{Name: string(l.Name), Incarnation: uint64(l.Incarnation)})
}

func (c *Client) sendToDaemon(ctx context.Context, addr, operation string, body any) (DaemonReply, error) {
	var b welcomeBody
	if err := c.exchange(ctx, addr, Prefix+operation, body, &b); err != nil {
		return DaemonReply{}, err
	}
	return DaemonReply(b), nil
}

// exchange sends one idempotent message and decodes the response into out.
func (c *Client) exchange(ctx context.Context, addr, path string, body, out any) error {
	a, err := c.post(ctx, addr, path, body, time.Time{}, true)
	if err != nil {
		return err
	}
	defer a.Body().Close()
	b, err := a.ReadAll(maxAnswerBytes)
	if err != nil {
		return transportError(ctx, err)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return result.New(result.WrongAnswer, "decode response of %s: %w", addr, err)
	}
	return nil
}

// post sends one message. It returns the response if its status is 200, else
// an error.
func (c *Client) post(ctx context.Context, addr, path string, body any, headDeadline time.Time, idempotent bool) (*client.Answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, result.New(result.Internal, "encode message: %w", err)
	}
	a, err := c.http.Do(ctx, client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Body: b,
		Header:       http.Header{"Content-Type": {"application/json"}},
		HeadDeadline: headDeadline, FreshHeadDeadline: c.freshDeadline(headDeadline), Idempotent: idempotent,
	})
	if err != nil {
		return nil, transportError(ctx, err)
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

// freshDeadline returns the deadline for the acknowledgement over a second,
// new connection: as much time again as the first one had.
func (c *Client) freshDeadline(headDeadline time.Time) time.Time {
	if headDeadline.IsZero() {
		return headDeadline
	}
	return c.headDeadline(headDeadline)
}

// transportError adds a result code to a transport error.
func transportError(ctx context.Context, err error) error {
	switch {
	case !client.MaybeSent(err):
		return result.New(result.NoUpstream, "%w", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.TimedOut, "%w", err)
	}
	return result.New(result.UpstreamFailed, "%w", err)
}

// Call forwards a call to the plain service at addr. The error's code is
// result.NoUpstream if provably nothing was sent, and result.Unknown if a
// call that must not be retried may have run.
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
		return nil, callError(ctx, s, err)
	}
	defer a.Body().Close()
	b, err := a.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, callError(ctx, s, err)
	}
	return &ServiceAnswer{Status: a.Status(), Header: a.Header(), Body: b}, nil
}

func callError(ctx context.Context, s ServiceCall, err error) error {
	if client.MaybeSent(err) && !s.Idempotent {
		return result.New(result.Unknown, "%w", err)
	}
	return transportError(ctx, err)
}

// Generate requests text from the engine at addr. The stream must be closed.
func (c *Client) Generate(ctx context.Context, addr string, g GenerateRequest) (*Stream, error) {
	now := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	a, err := c.post(ctx, addr, "/generate", encodeGenerate(g, now), c.headDeadline(now), !g.NoRetry)
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Stream{client: c, addr: addr, request: g, ctx: ctx, cancel: cancel}
	s.setAnswer(a)
	return s, nil
}

var _ io.Closer = (*Stream)(nil)
