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
	"papayaspoke/io/transport/memory"
	"papayaspoke/io/transport/server"
)

const (
	// readSize is the size of the read buffer of a stream.
	readSize = 4 << 10
	// maxEventSize is the size limit of one event, in bytes.
	maxEventSize = 1 << 20
	// maxUnnumbered is how many bytes of events without an id may follow one another.
	maxUnnumbered = 64 << 10
)

// eventTerminator is the empty line after an event.
var eventTerminator = []byte("\n\n")

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayStream forwards a stream of events. Only whole events are forwarded.
func (x *exchange) relayStream(ctx context.Context, a *client.Answer) (disposition, balance.Outcome, error) {
	e := eventParser{lastEventID: x.lastEventID, resumed: x.headSent}
	w := x.watchStream(ctx, a)
	defer w.stop()
	buf := make([]byte, readSize)
	for {
		n, rerr := a.Body().Read(buf)
		if n > 0 {
			whole, err := e.add(buf[:n])
			if err == nil {
				err = a.Hold(e.rest())
			}
			if err != nil {
				a.Discard()
				return x.streamFailed(ctx, err)
			}
			w.arrived(len(whole) > 0)
			if len(whole) > 0 {
				if werr := x.forwardEvents(ctx, a, whole); werr != nil {
					a.Discard()
					return x.forwardFailed()
				}
				x.lastEventID = e.lastEventID
			}
		}
		if rerr == nil {
			continue
		}
		w.stop()
		if errors.Is(rerr, io.EOF) && e.rest() == 0 {
			return x.finishStream(ctx, a)
		}
		a.Discard()
		if err := w.stopCause(); err != nil {
			rerr = err
		}
		return x.streamFailed(ctx, rerr)
	}
}

// forwardFailed handles a stream that the client does not take.
func (x *exchange) forwardFailed() (disposition, balance.Outcome, error) {
	if x.g.Clock().Before(x.deadline) {
		return giveUp, balance.Neutral, errClientGone
	}
	return giveUp, balance.Neutral, result.New(result.TimedOut, "the client has not taken the stream of replica %s in time", x.replica)
}

// forwardEvents writes whole events to the client, after the head of the first
// response, and waits until the client has taken most of them.
func (x *exchange) forwardEvents(ctx context.Context, a *client.Answer, whole []byte) error {
	x.forwardHead(a)
	now := x.g.Clock()
	if !x.lastChunkAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(x.lastChunkAt))
		x.laterEvents += bytes.Count(whole, eventTerminator)
	}
	x.lastChunkAt = now
	if _, err := x.w.Write(whole); err != nil {
		return err
	}
	x.flush(now)
	return server.AwaitRoom(ctx, x.w)
}

// flush sends what was written to the network: at once if nothing was flushed
// within the coalescing delay, else together with the chunks that follow. Each
// packet can be lost, and the retransmission delays the stream by more than the
// coalescing does.
func (x *exchange) flush(now time.Time) {
	f, ok := x.w.(http.Flusher)
	if !ok {
		return
	}
	if !now.Before(x.nextFlushAt) {
		x.nextFlushAt = now.Add(x.g.CoalesceDelay)
		f.Flush()
		return
	}
	if !now.Before(x.flushTimerAt) {
		x.flushTimerAt = x.nextFlushAt
		time.AfterFunc(x.nextFlushAt.Sub(now), f.Flush)
		x.nextFlushAt = x.nextFlushAt.Add(x.g.CoalesceDelay)
	}
}

// forwardHead writes the head of the response to the client, once.
func (x *exchange) forwardHead(a *client.Answer) {
	if x.headSent {
		return
	}
	x.headSent, x.firstByteAt = true, x.g.Clock()
	copyEndToEndHeaders(x.w.Header(), a.Header())
	x.w.WriteHeader(a.Status())
}

// finishStream handles the regular end of a stream.
func (x *exchange) finishStream(ctx context.Context, a *client.Answer) (disposition, balance.Outcome, error) {
	_ = a.Body().Close()
	x.forwardHead(a)
	x.recordAnswer(ctx, a)
	x.logEnd("answered", nil)
	return finished, balance.Good, nil
}

// streamFailed handles a stream that ended early.
func (x *exchange) streamFailed(ctx context.Context, err error) (disposition, balance.Outcome, error) {
	if ctx.Err() != nil {
		if x.g.Clock().Before(x.deadline) {
			return giveUp, balance.Neutral, errClientGone
		}
		return giveUp, balance.Neutral, result.New(result.TimedOut, "replica %s has not finished the stream in time", x.replica)
	}
	by := x.classifyStreamEnd(err)
	x.streamEnds = append(x.streamEnds, by)
	x.connectionLost = isClosedByPeer(err)
	x.g.Log.Info("stream ended early", "request", x.r.ID, "replica", x.replica, "by", by.String(), "last", x.lastEventID,
		"silent", x.idleTime().Milliseconds(), "runs", x.runs, "error", err.Error())
	v, ferr := x.recordRunFailure(result.New(result.StreamCut, "replica %s: stream ended by %s: %w", x.replica, by, err))
	if by == EndedByTimeout || errors.Is(err, errUnresponsive) {
		return v, balance.Unreachable, ferr
	}
	return v, balance.Faulty, ferr
}

// EndedBy is the cause of a stream that ended before its last event.
type EndedBy uint8

const (
	// EndedByReplica: the replica closed the connection in an orderly way.
	EndedByReplica EndedBy = iota + 1
	// EndedByReset: the connection was reset.
	EndedByReset
	// EndedByTimeout: the peer of the connection was unresponsive.
	EndedByTimeout
	// EndedByGateway: the gateway abandoned the stream since no events arrived.
	EndedByGateway
	// EndedByInvalidEvent: the replica sent an invalid event, or one that does
	// not continue the stream.
	EndedByInvalidEvent
)

var endedByNames = [...]string{"", "replica", "reset", "silence", "gateway", "content"}

// String returns the name used in logs and metrics.
func (e EndedBy) String() string { return endedByNames[e] }

// classifyStreamEnd returns the cause of a stream that failed with err.
func (x *exchange) classifyStreamEnd(err error) EndedBy {
	switch {
	case errors.Is(err, errUnresponsive), errors.Is(err, errTrickling):
		return EndedByGateway
	case errors.Is(err, errNotConsecutive), errors.Is(err, errEventTooLarge), errors.Is(err, errUnnumbered), errors.Is(err, memory.ErrFull):
		return EndedByInvalidEvent
	case errors.Is(err, syscall.ECONNRESET):
		return EndedByReset
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, os.ErrDeadlineExceeded):
		return EndedByTimeout
	}
	return EndedByReplica
}

// idleTime returns how long the client has received no event.
func (x *exchange) idleTime() time.Duration {
	if x.lastChunkAt.IsZero() {
		return x.g.Clock().Sub(x.r.Arrival)
	}
	return x.g.Clock().Sub(x.lastChunkAt)
}

// eventParser splits a stream into whole events and checks their ids.
type eventParser struct {
	// pending holds an event that has arrived in part.
	pending []byte
	// lastEventID is the id of the last whole event.
	lastEventID string
	// resumed is true if the next event must follow lastEventID.
	resumed bool
	// unnumbered is the size in bytes of the events since the last one with an id.
	unnumbered int
}

var (
	errNotConsecutive = errors.New("the replica did not continue with the next event")
	errEventTooLarge  = errors.New("an event exceeds the size limit")
	errUnnumbered     = errors.New("the replica goes on without an id")
)

// add appends received bytes and returns the events that are complete now. The
// result is valid until the next call.
func (e *eventParser) add(b []byte) ([]byte, error) {
	searched := max(0, len(e.pending)-len(eventTerminator)+1)
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending[searched:], eventTerminator)
	if end < 0 {
		if len(e.pending) > maxEventSize {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	end += searched + len(eventTerminator)
	whole := bytes.Clone(e.pending[:end])
	e.pending = append(e.pending[:0], e.pending[end:]...)
	for event := range bytes.SplitSeq(whole, eventTerminator) {
		id, ok := eventID(event)
		if !ok && e.resumed && !isComment(event) {
			return nil, errNotConsecutive
		}
		if !ok {
			if e.unnumbered += len(event); e.unnumbered > maxUnnumbered {
				return nil, errUnnumbered
			}
			continue
		}
		e.unnumbered = 0
		if e.resumed && !isNextID(e.lastEventID, id) {
			return nil, errNotConsecutive
		}
		e.resumed = false
		e.lastEventID = id
	}
	return whole, nil
}

// rest returns the number of bytes of an incomplete event.
func (e *eventParser) rest() int { return len(e.pending) }

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}

// isComment reports whether an event consists of comments only, such as a sign of
// life.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// isNextID reports whether next is the number after last.
func isNextID(last, next string) bool {
	a, err1 := strconv.ParseInt(last, 10, 64)
	b, err2 := strconv.ParseInt(next, 10, 64)
	return err1 == nil && err2 == nil && b == a+1
}
