package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
)

// maxEvent is the largest event in bytes.
const maxEvent = 1 << 20

// eventReader reads the events of one streamed answer.
type eventReader struct {
	lines *bufio.Reader
	id    string
	// kind is that of the event being read, empty for a piece of text.
	kind string
	// origin is nil until its event was read.
	origin *originBody
	// end is the final error once there is one.
	end error
}

// awaitOrigin returns who answers, or the error that came instead.
func (r *eventReader) awaitOrigin() (originBody, error) {
	for r.origin == nil {
		text, ok := r.step()
		if r.end == io.EOF || text != "" {
			r.end = result.New(result.WrongAnswer, "answer does not tell its origin")
			ok = false
		}
		if !ok {
			return originBody{}, r.end
		}
	}
	return *r.origin, nil
}

// next returns the next piece of text, [io.EOF] only after [DONE].
func (r *eventReader) next() (string, error) {
	for {
		text, ok := r.step()
		if !ok {
			return "", r.end
		}
		if text != "" {
			return text, nil
		}
	}
}

// step reads one line. It returns false once the end is known.
func (r *eventReader) step() (text string, ok bool) {
	if r.end != nil {
		return "", false
	}
	line, err := wire.ReadLine(r.lines, maxEvent)
	if err != nil {
		r.end = result.New(result.StreamCut, "stream ended before [DONE]: %w", err)
		return "", false
	}
	text = r.line(line)
	return text, r.end == nil
}

func (r *eventReader) line(line []byte) string {
	if kind, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
		r.kind = string(kind)
		return ""
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return ""
	}
	kind := r.kind
	r.kind = ""
	switch {
	case kind == "error":
		r.end = wire.DecodeErrorBody(data, result.UpstreamFailed)
	case kind == "origin":
		r.readOrigin(data)
	case bytes.Equal(data, []byte("[DONE]")):
		r.end = io.EOF
	default:
		return r.text(data)
	}
	return ""
}

func (r *eventReader) readOrigin(data []byte) {
	var b originBody
	if err := json.Unmarshal(data, &b); err != nil || r.origin != nil {
		r.end = result.New(result.WrongAnswer, "origin is malformed or told twice: %.100q", data)
		return
	}
	r.origin = &b
}

func (r *eventReader) text(data []byte) string {
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
