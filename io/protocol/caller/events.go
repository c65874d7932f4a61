package caller

import (
	"encoding/json"
	"net/http"
	"sync"

	"papayaspoke/io/protocol/wire"
)

type directoryBody struct {
	Addresses []string `json:"addresses"`
	Expires   string   `json:"expires"`
	MaxAge    int64    `json:"max_age_ms"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *deltaBody   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type deltaBody struct {
	Content string `json:"content,omitempty"`
}

type usageBody struct {
	CompletionTokens int `json:"completion_tokens"`
}

type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

var stopped = "stop"

// objects names the object field by chat and stream.
var objects = map[[2]bool]string{
	{false, false}: "text_completion",
	{false, true}:  "text_completion",
	{true, false}:  "chat.completion",
	{true, true}:   "chat.completion.chunk",
}

func newBody(x InferRequest, a *Answer, stream bool, choice choiceBody) answerBody {
	return answerBody{
		ID:      string(x.ID),
		Object:  objects[[2]bool{x.Prompt.IsChat(), stream}],
		Created: x.Arrival.Unix(),
		Model:   a.name(),
		Choices: []choiceBody{choice},
	}
}

func encodeWhole(x InferRequest, a *Answer, text string, pieces int) answerBody {
	c := choiceBody{FinishReason: &stopped}
	if x.Prompt.IsChat() {
		c.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	b := newBody(x, a, false, c)
	b.Usage = &usageBody{CompletionTokens: pieces}
	return b
}

// originBody tells a daemon who answers the request that it passed on.
type originBody struct {
	Adapter  string `json:"adapter,omitempty"`
	Model    string `json:"model,omitempty"`
	Upstream string `json:"upstream,omitempty"`
}

// events writes server-sent events. It is safe for concurrent use.
type events struct {
	x     InferRequest
	flush func()

	mu sync.Mutex
	w  http.ResponseWriter
}

func newEvents(w http.ResponseWriter, x InferRequest) *events {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	e := &events{w: w, x: x, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		e.flush = f.Flush
	}
	return e
}

// piece sends one piece of text and reports whether it could.
func (e *events) piece(a *Answer, text string) bool {
	c := choiceBody{}
	if e.x.Prompt.IsChat() {
		c.Delta = &deltaBody{Content: text}
	} else {
		c.Text = &text
	}
	return e.event("", newBody(e.x, a, true, c))
}

// done sends the end of a whole answer.
func (e *events) done(a *Answer) {
	c := choiceBody{FinishReason: &stopped}
	if e.x.Prompt.IsChat() {
		c.Delta = &deltaBody{}
	} else {
		empty := ""
		c.Text = &empty
	}
	if e.event("", newBody(e.x, a, true, c)) {
		e.raw("data: [DONE]\n\n")
	}
}

// failed sends an error event. No [DONE] follows it.
func (e *events) failed(err error) {
	e.raw("event: error\ndata: " + string(wire.EncodeError(err)) + "\n\n")
}

// origin sends who answers.
func (e *events) origin(a *Answer) bool {
	b := originBody{Model: string(a.Model()), Upstream: string(a.Upstream())}
	if !a.Adapter().IsZero() {
		b.Adapter = a.Adapter().String()
	}
	return e.event("event: origin\n", b)
}

// alive sends a comment, which readers skip.
func (e *events) alive() bool { return e.raw(": waiting\n\n") }

func (e *events) event(kind string, v any) bool {
	b, err := json.Marshal(v)
	return err == nil && e.raw(kind+"data: "+string(b)+"\n\n")
}

func (e *events) raw(s string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, err := e.w.Write([]byte(s))
	e.flush()
	return err == nil
}
