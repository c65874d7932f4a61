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
	"papayaspoke/io/transport/memory"
)

const (
	// maxLineBytes limits the size of a line of a stream.
	maxLineBytes = 1 << 20
	// maxResumes is how many times in a row a stream is resumed without
	// receiving a new line.
	maxResumes = 2
	// drainTimeout bounds the wait for the end of a response after its last
	// line.
	drainTimeout = 200 * time.Millisecond
)

// Stream is text as an engine generates it. Next must not be called
// concurrently; Close may be called from any goroutine.
type Stream struct {
	client  *Client
	addr    string
	request GenerateRequest
	ctx     context.Context
	cancel  context.CancelFunc

	answer *client.Answer
	lines  *bufio.Reader
	// offset is the number of lines accepted so far.
	offset int
	// resumes counts the resumes since the last accepted line.
	resumes int
	// final is the error that ended the stream, nil until then. Once set, it
	// never changes.
	final error

	closeOnce sync.Once
	mu        sync.Mutex
	complete  bool
}

func (s *Stream) setAnswer(a *client.Answer) {
	a.SetIdleDeadline(s.client.idleDeadline)
	s.answer = a
	s.lines = bufio.NewReader(a.Body())
}

// ReceivedChunks returns the number of chunks received so far.
func (s *Stream) ReceivedChunks() int { return s.offset }

// Next returns the next chunk of text, or [io.EOF] after the last line of a
// complete answer. Any other error has a result code.
func (s *Stream) Next() (string, error) {
	for s.final == nil {
		text, err := s.readLine()
		switch {
		case err == nil:
			s.offset++
			s.resumes = 0
			return text, nil
		case err == io.EOF:
			s.markComplete()
		case isCut(err):
			s.resume(err)
		default:
			s.final = err
		}
	}
	return "", s.final
}

func (s *Stream) markComplete() {
	s.final = io.EOF
	s.mu.Lock()
	s.complete = true
	s.mu.Unlock()
}

// cutError reports a stream that ended before its last line.
type cutError struct{ cause error }

func (e cutError) Error() string { return "stream ended before its last line: " + e.cause.Error() }
func (e cutError) Unwrap() error { return e.cause }

func isCut(err error) bool {
	var c cutError
	return errors.As(err, &c)
}

// readLine returns the text of the next line, [io.EOF] after the last one, a
// cutError if the connection failed, or else an error with a result code.
func (s *Stream) readLine() (string, error) {
	raw, err := wire.ReadLine(s.lines, maxLineBytes, s.answer.Hold)
	if errors.Is(err, wire.ErrLineTooLong) || errors.Is(err, memory.ErrFull) {
		return "", result.New(result.WrongAnswer, "%w", err)
	}
	if err != nil {
		return "", cutError{err}
	}
	var b lineBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return "", result.New(result.WrongAnswer, "line is not the expected JSON: %.100q", raw)
	}
	if err := s.checkLine(b); err != nil {
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

// checkLine rejects a line that belongs to another answer or is out of order.
func (s *Stream) checkLine(b lineBody) error {
	adapter := encodeAdapter(s.request.Adapter)
	switch {
	case b.Request != string(s.request.Request):
		return result.New(result.WrongAnswer, "line is for request %q, expected %q", b.Request, s.request.Request)
	case b.Adapter != adapter:
		return result.New(result.WrongAnswer, "line is from adapter %q, expected %q", b.Adapter, adapter)
	case b.Incarnation != uint64(s.request.Incarnation):
		return result.New(result.WrongAnswer, "line is from incarnation %d, expected %d", b.Incarnation, s.request.Incarnation)
	case b.Offset != s.offset:
		return result.New(result.WrongAnswer, "line has offset %d, expected %d", b.Offset, s.offset)
	}
	return nil
}

// resume continues the stream over a new connection after a cut, or ends it.
func (s *Stream) resume(cut error) {
	_ = s.answer.Body().Close()
	if s.ctx.Err() != nil {
		s.final = transportError(s.ctx, cut)
		return
	}
	if !s.request.Resumes || s.resumes >= maxResumes {
		s.final = result.New(result.StreamCut, "%w", cut)
		return
	}
	s.resumes++
	a, err := s.client.post(s.ctx, s.addr, "/resume", resumeBody{
		Request: string(s.request.Request), Adapter: encodeAdapter(s.request.Adapter), Fence: uint64(s.request.Fence),
		Incarnation: uint64(s.request.Incarnation), Offset: s.offset,
	}, s.client.headDeadline(time.Now()), false)
	if err != nil {
		s.final = result.New(result.StreamCut, "resume: %w", err)
		return
	}
	s.setAnswer(a)
}

// Close abandons the rest of the answer. If the answer is not complete, it
// closes the connection and also cancels the request over another one, since
// the first may be unresponsive.
func (s *Stream) Close() error {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		complete := s.complete
		s.mu.Unlock()
		if complete {
			s.drain()
			_ = s.answer.Body().Close()
			s.cancel()
			return
		}
		s.cancel()
		go s.cancelRequest()
	})
	return nil
}

// drain reads the end of the response after the last line, without which the
// connection could not be reused.
func (s *Stream) drain() {
	s.answer.SetIdleDeadline(func(now time.Time) time.Time { return now.Add(drainTimeout) })
	_, _ = io.CopyN(io.Discard, s.lines, 1)
}

func (s *Stream) cancelRequest() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	_ = s.client.Cancel(ctx, s.addr, CancelRequest{Request: s.request.Request, Incarnation: s.request.Incarnation})
}
