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

var finishStop = "stop"

// objectNames holds the values of the object field, by chat and stream.
var objectNames = map[[2]bool]string{
	{false, false}: "text_completion",
	{false, true}:  "text_completion",
	{true, false}:  "chat.completion",
	{true, true}:   "chat.completion.chunk",
}

func newAnswerBody(x InferRequest, a *Answer, stream bool, choice choiceBody) answerBody {
	return answerBody{
		ID:      string(x.ID),
		Object:  objectNames[[2]bool{x.Prompt.IsChat(), stream}],
		Created: x.Arrival.Unix(),
		Model:   a.modelName(),
		Choices: []choiceBody{choice},
	}
}

func encodeCompleteAnswer(x InferRequest, a *Answer, text string, chunks int) answerBody {
	c := choiceBody{FinishReason: &finishStop}
	if x.Prompt.IsChat() {
		c.Message = &messageBody{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	b := newAnswerBody(x, a, false, c)
	b.Usage = &usageBody{CompletionTokens: chunks}
	return b
}

// originBody reports the adapter, model and replica that answer a forwarded
// request.
type originBody struct {
	Adapter  string `json:"adapter,omitempty"`
	Model    string `json:"model,omitempty"`
	Upstream string `json:"upstream,omitempty"`
}

// eventWriter writes the server-sent events of one answer. It is safe for
// concurrent use.
type eventWriter struct {
	request InferRequest
	flush   func()

	mu sync.Mutex
	w  http.ResponseWriter
}

func newEventWriter(w http.ResponseWriter, x InferRequest) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	e := &eventWriter{w: w, request: x, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		e.flush = f.Flush
	}
	return e
}

// writeChunk sends one chunk of text and reports whether that succeeded.
func (e *eventWriter) writeChunk(a *Answer, text string) bool {
	c := choiceBody{}
	if e.request.Prompt.IsChat() {
		c.Delta = &deltaBody{Content: text}
	} else {
		c.Text = &text
	}
	return e.writeEvent("", newAnswerBody(e.request, a, true, c))
}

// writeDone sends the end of a complete answer.
func (e *eventWriter) writeDone(a *Answer) {
	c := choiceBody{FinishReason: &finishStop}
	if e.request.Prompt.IsChat() {
		c.Delta = &deltaBody{}
	} else {
		empty := ""
		c.Text = &empty
	}
	if e.writeEvent("", newAnswerBody(e.request, a, true, c)) {
		e.write("data: [DONE]\n\n")
	}
}

// writeError sends an error event. No [DONE] follows it.
func (e *eventWriter) writeError(err error) {
	e.write("event: error\ndata: " + string(wire.EncodeError(err)) + "\n\n")
}

// writeOrigin sends the origin event.
func (e *eventWriter) writeOrigin(a *Answer) bool {
	b := originBody{Model: string(a.Model()), Upstream: string(a.Upstream())}
	if !a.Adapter().IsZero() {
		b.Adapter = a.Adapter().String()
	}
	return e.writeEvent("event: origin\n", b)
}

// writeKeepAlive sends a comment, which readers ignore.
func (e *eventWriter) writeKeepAlive() bool { return e.write(": waiting\n\n") }

func (e *eventWriter) writeEvent(kind string, v any) bool {
	b, err := json.Marshal(v)
	return err == nil && e.write(kind+"data: "+string(b)+"\n\n")
}

func (e *eventWriter) write(s string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, err := e.w.Write([]byte(s))
	e.flush()
	return err == nil
}
