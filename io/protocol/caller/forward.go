package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
)

const (
	// streamIdleTimeout is how long a stream between daemons may be idle,
	// without even a keepalive comment.
	streamIdleTimeout = 5 * time.Second
	// headTimeout is how long a daemon may take to acknowledge a request.
	headTimeout = 2 * time.Second
	// maxReplyBytes limits the body of a plain service's response.
	maxReplyBytes = 16 << 20
)

// Forwarder forwards requests to other daemons.
type Forwarder struct {
	client *client.Client
	self   ident.Daemon
	token  string
	// headDeadline and idleDeadline bound the waits of one request.
	headDeadline, idleDeadline func(now time.Time) time.Time
}

// NewForwarder returns a forwarder for the daemon self, which authenticates
// with the cluster's token.
func NewForwarder(c *client.Client, self ident.Daemon, token string) *Forwarder {
	return &Forwarder{
		client: c, self: self, token: token,
		headDeadline: func(now time.Time) time.Time { return now.Add(headTimeout) },
		idleDeadline: func(now time.Time) time.Time { return now.Add(streamIdleTimeout) },
	}
}

// WithDeadlines returns a copy that waits for the acknowledgement of a request
// until headDeadline and for each further byte until idleDeadline. Both
// functions receive the time at which the wait begins.
func (f *Forwarder) WithDeadlines(headDeadline, idleDeadline func(now time.Time) time.Time) *Forwarder {
	c := *f
	c.headDeadline, c.idleDeadline = headDeadline, idleDeadline
	return &c
}

// Infer forwards x to the daemon at addr, which is its peer address, and
// returns once that daemon has begun to answer. If the connection is
// unresponsive or closed before that, an idempotent request is retried once
// over a new connection. An error whose code says "not run" holds for both
// attempts.
func (f *Forwarder) Infer(ctx context.Context, addr string, x InferRequest) (*Answer, error) {
	if x.ForwardedBy != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already forwarded by %s", x.ForwardedBy)
	}
	path, body, err := encodeInfer(x)
	if err != nil {
		return nil, err
	}
	ex := client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Body: body,
		Header: f.header(x, time.Now()), HeadDeadline: f.headDeadline(time.Now()), Idempotent: x.Key == "",
	}
	ex.FreshHeadDeadline = f.headDeadline(ex.HeadDeadline)
	a, retryable, err := f.sendInfer(ctx, addr, x, ex)
	if !retryable || x.Key != "" || ctx.Err() != nil {
		return a, err
	}
	ex.Idempotent = false // one attempt only, over a new connection
	ex.Header, ex.FreshHeadDeadline = f.header(x, time.Now()), f.headDeadline(time.Now())
	a, _, err = f.sendInfer(ctx, addr, x, ex)
	if err != nil {
		return nil, wire.MarkMayHaveRun(result.From(err))
	}
	return a, nil
}

// sendInfer sends x and waits for the origin event. retryable is true if the
// request may have been received but the connection failed before the origin
// event or an error arrived.
func (f *Forwarder) sendInfer(ctx context.Context, addr string, x InferRequest, ex client.Exchange) (a *Answer, retryable bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	answer, err := f.client.Do(ctx, ex)
	if err != nil {
		cancel()
		return nil, false, transportError(err, addr)
	}
	end := func() {
		cancel()
		_ = answer.Body().Close()
	}
	if answer.Status() != http.StatusOK {
		defer end()
		return nil, false, responseError(answer, result.UpstreamFailed)
	}
	answer.SetIdleDeadline(f.idleDeadline)
	r := &eventReader{lines: bufio.NewReader(answer.Body()), hold: answer.Hold, requestID: string(x.ID)}
	o, err := r.readOrigin()
	if err == nil && o.Adapter != adapterName(x.Adapter) {
		err = result.New(result.WrongAnswer, "requested adapter %q, answered by %q", adapterName(x.Adapter), o.Adapter)
	}
	if err == nil {
		return NewAnswer(x.Adapter, ident.Model(o.Model), ident.Upstream(o.Upstream), r.next, end), false, nil
	}
	end()
	if answer.MaybeDuplicate() {
		err = wire.MarkMayHaveRun(result.From(err))
	}
	return nil, result.CodeOf(err) == result.StreamCut, err
}

func adapterName(a ident.Adapter) string {
	if a.IsZero() {
		return ""
	}
	return a.String()
}

// responseError decodes the error of a response that carries no answer.
func responseError(a *client.Answer, fallback result.Code) *result.Error {
	e := wire.DecodeError(a.Header(), a.Body(), fallback, time.Now())
	if a.MaybeDuplicate() {
		return wire.MarkMayHaveRun(e)
	}
	return e
}

func (f *Forwarder) header(x InferRequest, now time.Time) http.Header {
	h := f.metaHeader(x.Meta, now)
	h.Set("Content-Type", "application/json")
	if !x.Adapter.IsZero() {
		h.Set(AdapterHeader, x.Adapter.String())
	}
	return h
}

func (f *Forwarder) metaHeader(m Meta, now time.Time) http.Header {
	h := http.Header{}
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	if f.self != "" {
		set(RequestHeader, string(m.ID))
		set(HopHeader, string(f.self))
		set(RetriedHeader, boolHeader(m.Retried))
		set(SuspectHeader, boolHeader(m.Suspect))
		set(AttemptHeader, string(m.Attempt))
		set("Authorization", "Bearer "+f.token)
	}
	set(ClassHeader, string(m.Class))
	set(KeyHeader, string(m.Key))
	if !m.Deadline.IsZero() {
		set(DeadlineHeader, strconv.FormatInt(m.Deadline.Sub(now).Milliseconds(), 10))
	}
	return h
}

// Call forwards x to the daemon at addr, which is its peer address.
func (f *Forwarder) Call(ctx context.Context, addr string, x ServiceRequest) (*ServiceReply, error) {
	if x.ForwardedBy != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already forwarded by %s", x.ForwardedBy)
	}
	h := x.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for name, values := range f.metaHeader(x.Meta, time.Now()) {
		h[name] = values
	}
	a, err := f.client.Do(ctx, client.Exchange{
		Method: x.Method, URL: "http://" + addr + servicePrefix + string(x.Service) + x.Path,
		Header: h, Body: x.Body, Idempotent: x.Key == "" && isSafe(x.Method),
	})
	if err != nil {
		return nil, transportError(err, addr)
	}
	defer a.Body().Close()
	if a.Header().Get(wire.ResultHeader) != "" {
		return nil, responseError(a, result.Unknown)
	}
	return readReply(a)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// statusHeader carries the status of a service in answers of earlier versions, which
// replace one that net/http has no name for by the first of its class.
const statusHeader = "Papayaspoke-Status"

func readReply(a *client.Answer) (*ServiceReply, error) {
	b, err := a.ReadAll(maxReplyBytes)
	if err != nil {
		return nil, result.New(result.Unknown, "read the service's response: %w", err)
	}
	status := a.Status()
	if n, err := strconv.Atoi(a.Header().Get(statusHeader)); err == nil && n/100 == status/100 {
		status = n
	}
	up := ident.Upstream(a.Header().Get(UpstreamHeader))
	return &ServiceReply{Status: status, Header: endToEndHeaders(a.Header()), Body: b, Upstream: up}, nil
}

// transportError returns err with code [result.OwnerUnreachable] if the
// request provably did not reach the other daemon, else [result.Unknown].
func transportError(err error, addr string) error {
	if !client.MaybeSent(err) {
		return result.New(result.OwnerUnreachable, "daemon at %s: %w", addr, err)
	}
	return result.New(result.Unknown, "daemon at %s: %w", addr, err)
}

func encodeInfer(x InferRequest) (string, []byte, error) {
	body := inferBody{Model: string(x.Model), MaxTokens: x.MaxTokens, Stream: true}
	path := "/v1/completions"
	var err error
	if x.Prompt.IsChat() {
		path = "/v1/chat/completions"
		for _, m := range x.Prompt.Messages() {
			body.Messages = append(body.Messages, messageBody{Role: m.Role, Content: m.Content})
		}
	} else {
		body.Prompt, err = json.Marshal(x.Prompt.Text())
	}
	if err != nil {
		return "", nil, fmt.Errorf("encode prompt: %w", err)
	}
	b, err := json.Marshal(body)
	return path, b, err
}

// boolHeader returns the value of a header that is set only if v is true.
func boolHeader(v bool) string {
	if v {
		return "1"
	}
	return ""
}
