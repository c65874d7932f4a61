package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/result"
	"papayaspoke/io/transport/client"
)

const (
	// readSize is how much of a stream is read at a time.
	readSize = 4 << 10
	// maxEvent is the largest event of a stream.
	maxEvent = 1 << 20
)

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relay passes a stream of events on. Only whole events are passed on.
func (x *exchange) relay(ctx context.Context, a *client.Answer) (verdict, balance.Outcome, error) {
	e := events{last: x.last, resumed: x.headSent}
	w := x.watch(ctx, a)
	defer w.stop()
	buf := make([]byte, readSize)
	for {
		n, rerr := a.Body().Read(buf)
		if n > 0 {
			whole, err := e.add(buf[:n])
			if err != nil {
				a.Discard()
				return x.broken(ctx, err)
			}
			w.arrived(len(whole) > 0)
			if len(whole) > 0 {
				if werr := x.pass(a, whole); werr != nil {
					a.Discard()
					return givenUp, balance.Neutral, errClientGone
				}
				x.last = e.last
			}
		}
		if rerr == nil {
			continue
		}
		w.stop()
		if errors.Is(rerr, io.EOF) && e.rest() == 0 {
			return x.finish(a)
		}
		a.Discard()
		if err := w.verdict(); err != nil {
			rerr = err
		}
		return x.broken(ctx, rerr)
	}
}

// pass writes whole events to the client, after the head of the first answer.
func (x *exchange) pass(a *client.Answer, whole []byte) error {
	x.head(a)
	now := x.g.Clock()
	if !x.pieceAt.IsZero() {
		x.gap = max(x.gap, now.Sub(x.pieceAt))
		x.later += bytes.Count(whole, eventEnd)
	}
	x.pieceAt = now
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	x.flush(now)
	return nil
}

// flush hands what was written to the network: at once if nothing was for a
// while, else together with what follows soon. Each packet can be lost, and
// one that is lost holds up the stream for longer than that.
func (x *exchange) flush(now time.Time) {
	f, ok := x.w.(http.Flusher)
	if !ok {
		return
	}
	if !now.Before(x.flushAt) {
		x.flushAt = now.Add(x.g.CoalesceDelay)
		f.Flush()
		return
	}
	if !now.Before(x.gatherUntil) {
		x.gatherUntil = x.flushAt
		time.AfterFunc(x.flushAt.Sub(now), f.Flush)
		x.flushAt = x.flushAt.Add(x.g.CoalesceDelay)
	}
}

// head passes the head of an answer on, once.
func (x *exchange) head(a *client.Answer) {
	if x.headSent {
		return
	}
	x.headSent, x.firstAt = true, x.g.Clock()
	copyHeader(x.w.Header(), a.Header())
	x.w.WriteHeader(a.Status())
}

// finish handles the regular end of a stream.
func (x *exchange) finish(a *client.Answer) (verdict, balance.Outcome, error) {
	_ = a.Body().Close()
	x.head(a)
	x.log("answered", nil)
	return finished, balance.Good, nil
}

// broken handles a stream that ended early.
func (x *exchange) broken(ctx context.Context, err error) (verdict, balance.Outcome, error) {
	if ctx.Err() != nil {
		if x.g.Clock().Before(x.deadline) {
			return givenUp, balance.Neutral, errClientGone
		}
		return givenUp, balance.Neutral, result.New(result.TimedOut, "replica %s has not finished", x.replica)
	}
	by := x.endedBy(err)
	x.ended = append(x.ended, by)
	x.g.Log.Info("stream ended early", "request", x.r.ID, "replica", x.replica, "by", by.String(), "last", x.last,
		"silent", x.silent().Milliseconds(), "runs", x.runs, "error", err.Error())
	v, ferr := x.failure(result.New(result.StreamCut, "replica %s: ended by %s: %w", x.replica, by, err))
	if by == BySilence || errors.Is(err, errDark) {
		return v, balance.Unreachable, ferr
	}
	return v, balance.Faulty, ferr
}

// StreamEnds tells who ended a stream before its last event.
type EndedBy uint8

const (
	// ByReplica streams end with their connection, closed in order.
	ByReplica EndedBy = iota + 1
	// ByReset streams end with a connection that was reset.
	ByReset
	// BySilence streams end with a connection whose other end answers nothing.
	BySilence
	// ByGateway streams were given up here, since no events came.
	ByGateway
	// ByContent streams brought what is no continuation or no event.
	ByContent
)

var endedByNames = [...]string{"", "replica", "reset", "silence", "gateway", "content"}

// String returns a word for logs and metrics.
func (e EndedBy) String() string { return endedByNames[e] }

// endedBy tells who ended the stream that failed with err.
func (x *exchange) endedBy(err error) EndedBy {
	switch {
	case errors.Is(err, errDark), errors.Is(err, errDrips):
		return ByGateway
	case errors.Is(err, errNotNext), errors.Is(err, errTooLarge):
		return ByContent
	case errors.Is(err, syscall.ECONNRESET):
		return ByReset
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, os.ErrDeadlineExceeded):
		return BySilence
	}
	return ByReplica
}

// silent is how long the client has had no event.
func (x *exchange) silent() time.Duration {
	if x.pieceAt.IsZero() {
		return x.g.Clock().Sub(x.r.Arrival)
	}
	return x.g.Clock().Sub(x.pieceAt)
}

// events finds whole events in a stream and checks their numbers.
type events struct {
	// pending is the part of an event that has arrived.
	pending []byte
	// last is the number of the last whole event.
	last string
	// resumed is true if the next event must follow last.
	resumed bool
}

var (
	errNotNext  = errors.New("the replica did not go on with the next event")
	errTooLarge = errors.New("an event is too large")
)

// add takes in bytes and returns the events that are whole now. What it
// returns is valid until the next call.
func (e *events) add(b []byte) ([]byte, error) {
	searched := max(0, len(e.pending)-len(eventEnd)+1)
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending[searched:], eventEnd)
	if end < 0 {
		if len(e.pending) > maxEvent {
			return nil, errTooLarge
		}
		return nil, nil
	}
	end += searched + len(eventEnd)
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	for event := range bytes.SplitSeq(whole, eventEnd) {
		id, ok := idOf(event)
		if !ok {
			continue
		}
		if e.resumed && !follows(e.last, id) {
			return nil, errNotNext
		}
		e.resumed = false
		e.last = id
	}
	return whole, nil
}

// rest returns how many bytes of an unfinished event there are.
func (e *events) rest() int { return len(e.pending) }

// idOf returns the number of an event.
func idOf(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// follows reports whether next is the number after last.
func follows(last, next string) bool {
	a, err1 := strconv.ParseInt(last, 10, 64)
	b, err2 := strconv.ParseInt(next, 10, 64)
	return err1 == nil && err2 == nil && b == a+1
}
