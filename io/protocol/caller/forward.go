package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	// silence is how long a stream between daemons may bring nothing.
	silence = 10 * time.Second
	// maxEvent is the largest event in bytes.
	maxEvent = 1 << 20
	// maxReply is the largest body of a plain service's answer in bytes.
	maxReply = 16 << 20
)

// Forwarder passes requests on to other daemons.
type Forwarder struct {
	client *client.Client
	self   ident.Daemon
	token  string
}

// NewForwarder returns a forwarder for the daemon self, which presents the
// cluster's token.
func NewForwarder(c *client.Client, self ident.Daemon, token string) *Forwarder {
	return &Forwarder{client: c, self: self, token: token}
}

// Infer passes x on to the daemon at addr, its peers' address. An error whose
// cause satisfies [client.Sent] false provably did not reach it.
func (f *Forwarder) Infer(ctx context.Context, addr string, x Infer) (*Answer, error) {
	if x.Hop != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already passed on by %s", x.Hop)
	}
	path, body, err := encodeInfer(x)
	if err != nil {
		return nil, err
	}
	h := f.header(x.Meta, time.Now())
	h.Set("Content-Type", "application/json")
	if !x.Adapter.IsZero() {
		h.Set(AdapterHeader, x.Adapter.String())
	}
	ctx, cancel := context.WithCancel(ctx)
	a, err := f.client.Do(ctx, client.Exchange{
		Method: http.MethodPost, URL: "http://" + addr + path, Header: h, Body: body, Idempotent: x.Key == "",
	})
	if err != nil {
		cancel()
		return nil, unreachable(err, addr)
	}
	if a.Status() != http.StatusOK {
		defer cancel()
		defer a.Body().Close()
		return nil, wire.DecodeError(a.Header(), a.Body(), result.UpstreamFailed, time.Now())
	}
	return f.answer(x, a, cancel)
}

func (f *Forwarder) answer(x Infer, a *client.Answer, cancel func()) (*Answer, error) {
	end := func() {
		cancel()
		_ = a.Body().Close()
	}
	if got := a.Header().Get(AdapterHeader); !x.Adapter.IsZero() && got != x.Adapter.String() {
		end()
		return nil, result.New(result.WrongAnswer, "asked for %s, answered by %q", x.Adapter, got)
	}
	id := a.Header().Get(RequestHeader)
	if f.self != "" && id != string(x.ID) {
		end()
		return nil, result.New(result.WrongAnswer, "asked with request %s, answered to %q", x.ID, id)
	}
	a.LimitSilence(func(now time.Time) time.Time { return now.Add(silence) })
	r := &eventReader{lines: bufio.NewReaderSize(io.LimitReader(a.Body(), 1<<30), 4096), id: id}
	up := ident.Upstream(a.Header().Get(UpstreamHeader))
	return NewAnswer(x.Adapter, x.Model, up, r.next, end), nil
}

func (f *Forwarder) header(m Meta, now time.Time) http.Header {
	h := http.Header{}
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	if f.self != "" {
		set(RequestHeader, string(m.ID))
		set(HopHeader, string(f.self))
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
func (f *Forwarder) Call(ctx context.Context, addr string, x Call) (*Reply, error) {
	if x.Hop != "" {
		return nil, result.New(result.OwnerUnreachable, "request was already passed on by %s", x.Hop)
	}
	h := x.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for name, values := range f.header(x.Meta, time.Now()) {
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
		return nil, wire.DecodeError(a.Header(), a.Body(), result.Unknown, time.Now())
	}
	return readReply(a)
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func readReply(a *client.Answer) (*Reply, error) {
	b, err := a.ReadAll(maxReply)
	if err != nil {
		return nil, result.New(result.Unknown, "answer of the service: %w", err)
	}
	up := ident.Upstream(a.Header().Get(UpstreamHeader))
	status := a.Status()
	if n, err := strconv.Atoi(a.Header().Get(server.StatusHeader)); err == nil && n/100 == status/100 {
		status = n
	}
	return &Reply{Status: status, Header: passedOn(a.Header()), Body: b, Upstream: up}, nil
}

// unreachable tells apart what provably did not reach the other daemon.
func unreachable(err error, addr string) error {
	if !client.Sent(err) {
		return result.New(result.OwnerUnreachable, "daemon at %s: %w", addr, err)
	}
	return result.New(result.Unknown, "daemon at %s: %w", addr, err)
}

func encodeInfer(x Infer) (string, []byte, error) {
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

// eventReader reads the events of one streamed answer.
type eventReader struct {
	lines *bufio.Reader
	id    string
	// failed is true after the line that announces an error.
	failed bool
	// end is the final error once there is one.
	end error
}

// next returns the next piece of text, [io.EOF] only after [DONE].
func (r *eventReader) next() (string, error) {
	for r.end == nil {
		line, err := wire.ReadLine(r.lines, maxEvent)
		if err != nil {
			r.end = result.New(result.StreamCut, "stream ended before [DONE]: %w", err)
			break
		}
		if text := r.line(line); text != "" {
			return text, nil
		}
	}
	return "", r.end
}

func (r *eventReader) line(line []byte) string {
	if bytes.Equal(line, []byte("event: error")) {
		r.failed = true
		return ""
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	switch {
	case !ok:
		return ""
	case r.failed:
		r.end = wire.DecodeErrorBody(data, result.StreamCut)
		return ""
	case bytes.Equal(data, []byte("[DONE]")):
		r.end = io.EOF
		return ""
	}
	return r.event(data)
}

func (r *eventReader) event(data []byte) string {
	var b answerBody
	if err := json.Unmarshal(data, &b); err != nil || len(b.Choices) != 1 {
		r.end = result.New(result.WrongAnswer, "event is malformed: %.100q", data)
		return ""
	}
	if b.ID != r.id {
		r.end = result.New(result.WrongAnswer, "event belongs to request %q, not %q", b.ID, r.id)
		return ""
	}
	c := b.Choices[0]
	if c.Text != nil {
		return *c.Text
	}
	if c.Delta != nil {
		return c.Delta.Content
	}
	return ""
}
