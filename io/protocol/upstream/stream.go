package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
)

const (
	// maxLine is the largest line of a stream in bytes.
	maxLine = 1 << 20
	// maxResumes is how often a stream is resumed without a new line.
	maxResumes = 2
	// drainWithin bounds the wait for the end of a response.
	drainWithin = 200 * time.Millisecond
)

// Stream is text as an engine makes it. Next is used by one goroutine; Close
// may be called by any.
type Stream struct {
	client *Client
	addr   string
	ask    GenerateRequest
	ctx    context.Context
	cancel context.CancelFunc

	answer *client.Answer
	lines  *bufio.Reader
	// offset is the number of lines that were accepted.
	offset int
	// resumes counts the resumes since the last accepted line.
	resumes int
	// end is the final error once there is one; it never changes.
	end error

	closing sync.Once
	mu      sync.Mutex
	whole   bool
}

func (s *Stream) take(a *client.Answer) {
	a.SetIdleDeadline(s.client.silentAt)
	s.answer = a
	s.lines = bufio.NewReader(a.Body())
}

// ReceivedChunks returns how many pieces have arrived.
func (s *Stream) ReceivedChunks() int { return s.offset }

// Next returns the next piece of text, or [io.EOF] after the last line of a
// whole answer. Any other end is an error with a result code.
func (s *Stream) Next() (string, error) {
	for s.end == nil {
		text, err := s.read()
		switch {
		case err == nil:
			s.offset++
			s.resumes = 0
			return text, nil
		case err == io.EOF:
			s.finish()
		case isCut(err):
			s.resume(err)
		default:
			s.end = err
		}
	}
	return "", s.end
}

func (s *Stream) finish() {
	s.end = io.EOF
	s.mu.Lock()
	s.whole = true
	s.mu.Unlock()
}

// cutError is a stream that ended before its last line.
type cutError struct{ cause error }

func (e cutError) Error() string { return "stream ended before its last line: " + e.cause.Error() }
func (e cutError) Unwrap() error { return e.cause }

func isCut(err error) bool {
	var c cutError
	return errors.As(err, &c)
}

// read returns the text of the next line, [io.EOF] after the last one, a
// cutError if the connection failed, or an error with a result code.
func (s *Stream) read() (string, error) {
	raw, err := wire.ReadLine(s.lines, maxLine)
	if errors.Is(err, wire.ErrLineTooLong) {
		return "", result.New(result.WrongAnswer, "%w", err)
	}
	if err != nil {
		return "", cutError{err}
	}
	var b lineBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return "", result.New(result.WrongAnswer, "line is not JSON: %.100q", raw)
	}
	if err := s.check(b); err != nil {
		return "", err
	}
	if len(b.Error) > 0 {
		return "", wire.DecodeErrorBody(raw, result.UpstreamFailed)
	}
	if b.Done {
		return "", io.EOF
	}
	return b.Text, nil
}

// check refuses a line that belongs to another answer.
func (s *Stream) check(b lineBody) error {
	adapter := encodeAdapter(s.ask.Adapter)
	switch {
	case b.Request != string(s.ask.Request):
		return result.New(result.WrongAnswer, "line of request %q, not %q", b.Request, s.ask.Request)
	case b.Adapter != adapter:
		return result.New(result.WrongAnswer, "line of adapter %q, not %q", b.Adapter, adapter)
	case b.Incarnation != uint64(s.ask.Incarnation):
		return result.New(result.WrongAnswer, "line of incarnation %d, not %d", b.Incarnation, s.ask.Incarnation)
	case b.Offset != s.offset:
		return result.New(result.WrongAnswer, "line at offset %d, not %d", b.Offset, s.offset)
	}
	return nil
}

// resume goes on over a fresh connection after a cut, or ends the stream.
func (s *Stream) resume(cut error) {
	_ = s.answer.Body().Close()
	if s.ctx.Err() != nil {
		s.end = failed(s.ctx, cut)
		return
	}
	if !s.ask.Resumes || s.resumes >= maxResumes {
		s.end = result.New(result.StreamCut, "%w", cut)
		return
	}
	s.resumes++
	a, err := s.client.post(s.ctx, s.addr, "/resume", resumeBody{
		Request: string(s.ask.Request), Adapter: encodeAdapter(s.ask.Adapter), Fence: uint64(s.ask.Fence),
		Incarnation: uint64(s.ask.Incarnation), Offset: s.offset,
	}, s.client.headBy(time.Now()), false)
	if err != nil {
		s.end = result.New(result.StreamCut, "resume: %w", err)
		return
	}
	s.take(a)
}

// Close gives up what is left. If the answer is not whole, the engine is told
// to stop, over another connection too, since this one may be silent.
func (s *Stream) Close() error {
	s.closing.Do(func() {
		s.mu.Lock()
		whole := s.whole
		s.mu.Unlock()
		if whole {
			s.drain()
			_ = s.answer.Body().Close()
			s.cancel()
			return
		}
		s.cancel()
		go s.tellCancel()
	})
	return nil
}

// drain reads the end of the response behind the last line, without which the
// connection could not be used again.
func (s *Stream) drain() {
	s.answer.SetIdleDeadline(func(now time.Time) time.Time { return now.Add(drainWithin) })
	_, _ = io.CopyN(io.Discard, s.lines, 1)
}

func (s *Stream) tellCancel() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelWithin)
	defer cancel()
	_ = s.client.Cancel(ctx, s.addr, CancelRequest{Request: s.ask.Request, Incarnation: s.ask.Incarnation})
}
