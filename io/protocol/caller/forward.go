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
	"papayaspoke/io/transport/server"
)

const (
	// silence is how long a stream between daemons may bring nothing, not
	// even a sign of life.
	silence = 5 * time.Second
	// headWithin is how soon a daemon acknowledges a request.
	headWithin = 2 * time.Second
	// maxReply is the largest body of a plain service's answer in bytes.
	maxReply = 16 << 20
)

// Forwarder passes requests on to other daemons.
type Forwarder struct {
	client *client.Client
	self   ident.Daemon
	token  string
	// headBy, silentAt bound the waits of one request.
	headBy, silentAt func(now time.Time) time.Time
}

// NewForwarder returns a forwarder for the daemon self, which presents the
// cluster's token.
func NewForwarder(c *client.Client, self ident.Daemon, token string) *Forwarder {
	return &Forwarder{
		client: c, self: self, token: token,
		headBy:   func(now time.Time) time.Time { return now.Add(headWithin) },
		silentAt: func(now time.Time) time.Time { return now.Add(silence) },
	}
}

// WithDeadlines returns a copy that waits for the acknowledgement of a request
// until headBy and for each sign of life until silentAt, both told the time
// from which they count.
func (f *Forwarder) WithDeadlines(headBy, silentAt func(now time.Time) time.Time) *Forwarder {
	c := *f
	c.headBy, c.silentAt = headBy, silentAt
	return &c
}

// Infer passes x on to the daemon at addr, its peers' address, and returns
// once that has begun to answer. If the connection is silent or cut before,
// an idempotent request goes once more over a fresh one. An error whose code
// says "not run" holds for both attempts.
func (f *Forwarder) Infer(ctx context.Context, addr string, x InferRequest) (*Answer, error) {
	if x.ForwardedBy != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already passed on by %s", x.ForwardedBy)
	}
	path, body, err := encodeInfer(x)
	if err != nil {
		return nil, err
	}
	ex := client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Body: body,
		Header: f.header(x, time.Now()), HeadDeadline: f.headBy(time.Now()), Idempotent: x.Key == "",
	}
	ex.FreshHeadDeadline = f.headBy(ex.HeadDeadline)
	a, again, err := f.begin(ctx, addr, x, ex)
	if !again || x.Key != "" || ctx.Err() != nil {
		return a, err
	}
	ex.Idempotent = false // over a fresh connection, and not again
	ex.Header, ex.FreshHeadDeadline = f.header(x, time.Now()), f.headBy(time.Now())
	a, _, err = f.begin(ctx, addr, x, ex)
	if err != nil {
		return nil, wire.MarkMayHaveRun(result.From(err))
	}
	return a, nil
}

// begin sends x and waits until it is clear who answers. It returns again if
// the request may have been received but the connection brought no decision.
func (f *Forwarder) begin(ctx context.Context, addr string, x InferRequest, ex client.Exchange) (a *Answer, again bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	answer, err := f.client.Do(ctx, ex)
	if err != nil {
		cancel()
		return nil, false, unreachable(err, addr)
	}
	end := func() {
		cancel()
		_ = answer.Body().Close()
	}
	if answer.Status() != http.StatusOK {
		defer end()
		return nil, false, refusal(answer, result.UpstreamFailed)
	}
	answer.SetIdleDeadline(f.silentAt)
	r := &eventReader{lines: bufio.NewReader(answer.Body()), id: string(x.ID)}
	o, err := r.awaitOrigin()
	if err == nil && o.Adapter != adapterName(x.Adapter) {
		err = result.New(result.WrongAnswer, "asked for %q, answered by %q", adapterName(x.Adapter), o.Adapter)
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

// refusal reads the error of an answer whose status is not 200.
func refusal(a *client.Answer, fallback result.Code) *result.Error {
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
		set(RetriedHeader, flag(m.Retried))
		set(SuspectHeader, flag(m.Suspect))
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

// Call passes x on to the daemon at addr, its peers' address.
func (f *Forwarder) Call(ctx context.Context, addr string, x ServiceRequest) (*ServiceReply, error) {
	if x.ForwardedBy != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already passed on by %s", x.ForwardedBy)
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
		return nil, unreachable(err, addr)
	}
	defer a.Body().Close()
	if a.Header().Get(wire.ResultHeader) != "" {
		return nil, refusal(a, result.Unknown)
	}
	return readReply(a)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func readReply(a *client.Answer) (*ServiceReply, error) {
	b, err := a.ReadAll(maxReply)
	if err != nil {
		return nil, result.New(result.Unknown, "answer of the service: %w", err)
	}
	status := a.Status()
	if n, err := strconv.Atoi(a.Header().Get(server.StatusHeader)); err == nil && n/100 == status/100 {
		status = n
	}
	up := ident.Upstream(a.Header().Get(UpstreamHeader))
	return &ServiceReply{Status: status, Header: passedOn(a.Header()), Body: b, Upstream: up}, nil
}

// unreachable tells apart what provably did not reach the other daemon.
func unreachable(err error, addr string) error {
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

// flag is the value of a header that is present only if v is true.
func flag(v bool) string {
	if v {
		return "1"
	}
	return ""
}
