package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// eventReader reads the events of one streamed answer.
type eventReader struct {
	lines *bufio.Reader
	// hold states how many bytes of the answer are kept in memory.
	hold      func(size int) error
	requestID string
	// eventName is the name of the event being read, empty for a chunk of
	// text.
	eventName string
	// origin is nil until the origin event has been read.
	origin *originBody
	// final is the error that ended the stream, nil until then.
	final error
}

// readOrigin reads events up to the origin event, or returns the error that
// arrived instead.
func (r *eventReader) readOrigin() (originBody, error) {
	for r.origin == nil {
		text, ok := r.readLine()
		if r.final == io.EOF || text != "" {
			r.final = result.New(result.WrongAnswer, "answer has no origin event before its text or end")
			ok = false
		}
		if !ok {
			return originBody{}, r.final
		}
	}
	return *r.origin, nil
}

// next returns the next chunk of text. It returns [io.EOF] only after [DONE].
func (r *eventReader) next() (string, error) {
	for {
		text, ok := r.readLine()
		if !ok {
			return "", r.final
		}
		if text != "" {
			return text, nil
		}
	}
}

// readLine reads one line and returns the text in it, if any. It returns false
// once the stream has ended.
func (r *eventReader) readLine() (text string, ok bool) {
	if r.final != nil {
		return "", false
	}
	line, err := wire.ReadLine(r.lines, maxEventBytes, r.hold)
	if err != nil {
		r.final = result.New(result.StreamCut, "stream ended before [DONE]: %w", err)
		return "", false
	}
	text = r.parseLine(line)
	return text, r.final == nil
}

func (r *eventReader) parseLine(line []byte) string {
	if kind, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
		r.eventName = string(kind)
		return ""
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		return ""
	}
	kind := r.eventName
	r.eventName = ""
	switch {
	case kind == "error":
		r.final = wire.DecodeErrorBody(data, result.UpstreamFailed)
	case kind == "origin":
		r.parseOrigin(data)
	case bytes.Equal(data, []byte("[DONE]")):
		r.final = io.EOF
	default:
		return r.parseChunk(data)
	}
	return ""
}

func (r *eventReader) parseOrigin(data []byte) {
	var b originBody
	if err := json.Unmarshal(data, &b); err != nil || r.origin != nil {
		r.final = result.New(result.WrongAnswer, "origin event is malformed or repeated: %.100q", data)
		return
	}
	r.origin = &b
}

func (r *eventReader) parseChunk(data []byte) string {
	var b answerBody
	if err := json.Unmarshal(data, &b); err != nil || len(b.Choices) != 1 {
		r.final = result.New(result.WrongAnswer, "event is malformed: %.100q", data)
		return ""
	}
	if b.ID != r.requestID {
		r.final = result.New(result.WrongAnswer, "event belongs to request %q, not %q", b.ID, r.requestID)
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
