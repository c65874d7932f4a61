package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
)

const (
	// defaultMaxTokens applies when the caller gives no limit.
	defaultMaxTokens = 256
	// maxName is the longest class, key, request or model in bytes.
	maxName = 256
	// maxDeadlineMillis is the farthest deadline that is read.
	maxDeadlineMillis = int64(24 * time.Hour / time.Millisecond)
)

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type inferBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  []messageBody   `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	N         int             `json:"n,omitempty"`
}

// decodeInfer reads a completion, or a chat if chat is true.
func decodeInfer(meta Meta, r *http.Request, chat bool) (InferRequest, error) {
	var body inferBody
	if err := wire.ReadJSON(r, &body); err != nil {
		return InferRequest{}, err
	}
	x := InferRequest{Meta: meta, MaxTokens: body.MaxTokens, Stream: body.Stream}
	if body.N > 1 {
		return InferRequest{}, result.New(result.Malformed, "n is %d, only one answer is given", body.N)
	}
	if x.MaxTokens < 0 {
		return InferRequest{}, result.New(result.Malformed, "max_tokens is negative")
	}
	if x.MaxTokens == 0 {
		x.MaxTokens = defaultMaxTokens
	}
	var err error
	if x.Adapter, x.Model, err = decodeModel(body.Model, r.Header.Get(AdapterHeader)); err != nil {
		return InferRequest{}, err
	}
	x.Prompt, err = decodePrompt(body, chat)
	return x, err
}

// decodeModel reads the model field, which is an adapter as name@version or
// the name of the base model, together with the adapter header. If both name
// an adapter they must agree.
func decodeModel(field, header string) (ident.Adapter, ident.Model, error) {
	var adapter ident.Adapter
	if len(field) > maxName || len(header) > maxName {
		return adapter, "", result.New(result.Malformed, "model or adapter is longer than %d bytes", maxName)
	}
	if header != "" {
		a, err := ident.ParseAdapter(header)
		if err != nil {
			return adapter, "", result.New(result.Malformed, "%s: %w", AdapterHeader, err)
		}
		adapter = a
	}
	if !strings.Contains(field, "@") {
		if field == "" && header == "" {
			return adapter, "", result.New(result.Malformed, "neither model nor %s is given", AdapterHeader)
		}
		return adapter, ident.Model(field), nil
	}
	named, err := ident.ParseAdapter(field)
	if err != nil {
		return adapter, "", result.New(result.Malformed, "model: %w", err)
	}
	if header != "" && named != adapter {
		return adapter, "", result.New(result.Malformed, "model names %s but %s names %s", named, AdapterHeader, adapter)
	}
	return named, "", nil
}

func decodePrompt(body inferBody, chat bool) (prompt.Prompt, error) {
	if chat {
		return decodeMessages(body.Messages)
	}
	var text string
	if len(body.Prompt) == 0 || json.Unmarshal(body.Prompt, &text) != nil || text == "" {
		return prompt.Prompt{}, result.New(result.Malformed, "prompt is not a text")
	}
	return prompt.Text(text), nil
}

func decodeMessages(bodies []messageBody) (prompt.Prompt, error) {
	if len(bodies) == 0 {
		return prompt.Prompt{}, result.New(result.Malformed, "messages are missing")
	}
	messages := make([]prompt.Message, 0, len(bodies))
	for i, m := range bodies {
		if m.Role == "" {
			return prompt.Prompt{}, result.New(result.Malformed, "message %d has no role", i)
		}
		messages = append(messages, prompt.Message{Role: m.Role, Content: m.Content})
	}
	return prompt.Chat(messages), nil
}

// decodeMeta reads the headers that all requests share. The headers that only
// daemons may set are read if peer is true.
func decodeMeta(h http.Header, now time.Time, peer bool) (Meta, error) {
	for _, name := range []string{ClassHeader, KeyHeader, RequestHeader, HopHeader, AttemptHeader} {
		if len(h.Get(name)) > maxName {
			return Meta{}, result.New(result.Malformed, "%s is longer than %d bytes", name, maxName)
		}
	}
	m := Meta{Class: ident.Class(h.Get(ClassHeader)), Key: ident.Key(h.Get(KeyHeader)), Arrival: now}
	var err error
	if m.Deadline, err = decodeDeadline(h.Get(DeadlineHeader), now); err != nil {
		return Meta{}, err
	}
	if !peer {
		return m, nil
	}
	m.ID = ident.Request(h.Get(RequestHeader))
	m.ForwardedBy = ident.Daemon(h.Get(HopHeader))
	m.Attempt = ident.Attempt(h.Get(AttemptHeader))
	m.Retried, m.Suspect = h.Get(RetriedHeader) != "", h.Get(SuspectHeader) != ""
	if m.ID == "" || m.ForwardedBy == "" {
		return Meta{}, result.New(result.Malformed, "%s and %s are required between daemons", RequestHeader, HopHeader)
	}
	return m, nil
}

func decodeDeadline(s string, now time.Time) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	if ms, err := strconv.ParseInt(s, 10, 64); err == nil {
		if ms <= 0 {
			return time.Time{}, result.New(result.DeadlineHopeless, "%s has passed", DeadlineHeader)
		}
		if ms > maxDeadlineMillis {
			return time.Time{}, result.New(result.DeadlineTooFar, "%s is more than a day away", DeadlineHeader)
		}
		return now.Add(time.Duration(ms) * time.Millisecond), nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return time.Time{}, result.New(result.Malformed, "%s %q is neither a time nor milliseconds", DeadlineHeader, s)
	}
	left := t.Sub(now)
	if left <= 0 {
		return time.Time{}, result.New(result.DeadlineHopeless, "%s has passed", DeadlineHeader)
	}
	if left.Milliseconds() > maxDeadlineMillis {
		return time.Time{}, result.New(result.DeadlineTooFar, "%s is more than a day away", DeadlineHeader)
	}
	// Adding to now keeps the monotonic clock in the deadline.
	return now.Add(left), nil
}

func decodeQuery(r *http.Request) (DirectoryQuery, error) {
	v := r.URL.Query()
	q := DirectoryQuery{Class: ident.Class(v.Get("class")), Service: ident.Service(v.Get("service"))}
	if s := v.Get("adapter"); s != "" {
		a, err := ident.ParseAdapter(s)
		if err != nil {
			return DirectoryQuery{}, result.New(result.Malformed, "adapter: %w", err)
		}
		q.Adapter = a
	}
	return q, nil
}
