package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

const (
	// maxSends bounds how often one request is sent, including sends that
	// replicas rejected.
	maxSends = 4
	// maxConnectFailures bounds the connection failures of one request, and
	// sameReplicaDelay separates two attempts at the same replica.
	maxConnectFailures = 10
	sameReplicaDelay   = 50 * time.Millisecond
	// maxBufferedBody is the size limit of the body of a response that is not a
	// stream: it is forwarded once it is complete.
	maxBufferedBody = 1 << 20
	// silentShare divides the time left: without an answer for so long, a reused
	// connection to a plain service counts as silent. Engines may queue a request
	// for longer.
	silentShare = 2
	// minTimeLeft is how much time must be left for another send to make sense.
	minTimeLeft = 20 * time.Millisecond
)

var errClientGone = errors.New("the client is gone")

// exchange is the state of one client request that is being forwarded.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        Request
	route    *routes.Route
	service  *routes.Service
	deadline time.Time
	// routing is the version of the routing document that the route comes from.
	routing uint64
	// version is the minimum acceptable version of the adapter.
	version uint64

	tried []ident.Upstream
	// sends counts sends that may have reached a replica, runs those that may
	// have run, and connectFailures the attempts whose connection failed.
	sends, runs, connectFailures int
	waitReason                   balance.Reason
	// pacingDelay is how long the request waited for capacity at replicas.
	// prefillAlone is true if no other prefill was reserved around its own.
	pacingDelay  time.Duration
	prefillAlone bool
	// admitted is true if the admission pacer of the replica admitted the
	// request.
	admitted bool
	// headSent is true once the head of a response was forwarded.
	headSent bool
	// lastEventID is the id of the last event forwarded, or of the last one
	// that the client had before.
	lastEventID string
	// runFailure is the last failure after which the request may have run.
	runFailure *result.Error
	// connectionLost is true if the connection of the last attempt was closed before
	// the answer was complete.
	connectionLost bool
	// keys is what the request has in common with others; nil until it is needed.
	keys *blame.Suspect
	// trial is how the request is sent although its key is suspected.
	trial blame.Trial

	// retryTaken is true if the next send was already taken from the retry
	// allowance. An attempt that reaches no replica does not consume it.
	retryTaken bool

	// The fields from here on are for logs and metrics.
	code       result.Code
	streamEnds []EndedBy
	// endsInFlight counts the replicas that ended before they had answered the
	// request in full.
	endsInFlight int
	replica      ident.Upstream
	// target is the replica that the request was last sent to.
	target      balance.Replica
	firstByteAt time.Time
	// lastChunkAt is when the last chunk was forwarded, maxGap the longest
	// pause before a chunk, and laterEvents the number of events after the
	// first chunk.
	lastChunkAt time.Time
	maxGap      time.Duration
	laterEvents int
	// nextFlushAt is the earliest time of an immediate flush. Before
	// flushTimerAt a timer is pending that flushes the coalesced chunks.
	nextFlushAt, flushTimerAt time.Time
}

// disposition says how a request continues after an attempt.
type disposition uint8

const (
	// finished: the client has its response.
	finished disposition = iota
	// tryOther: another replica may be tried.
	tryOther
	// giveUp: the client gets an error.
	giveUp
)

// run sends the request until it has a final response.
func (x *exchange) run(ctx context.Context) {
	x.lastEventID = x.r.LastEventID
	for {
		if err := x.awaitVerdict(ctx); err != nil {
			x.respondError(err)
			return
		}
		c, err := x.acquire(ctx)
		if err != nil {
			x.respondError(err)
			return
		}
		v, err := x.attempt(ctx, c)
		if x.connectionLost {
			x.noteEnd(ctx, c.Replica)
			x.trial = blame.NoTrial
		}
		if v == finished {
			return
		}
		if v == giveUp || !x.maySendAgain(ctx) {
			x.respondError(err)
			return
		}
		x.tried = append(x.tried, c.Replica.Name)
		x.g.Log.Info("sent again", "request", x.r.ID, "after", c.Replica.Name, "sends", x.sends, "cause", err.Error())
	}
}

// delayRetry waits for sameReplicaDelay if the replica was tried before.
func (x *exchange) delayRetry(ctx context.Context, c balance.Choice) (disposition, error) {
	if !slices.Contains(x.tried, c.Replica.Name) {
		return finished, nil
	}
	return x.sleepUntil(ctx, x.g.Clock().Add(sameReplicaDelay))
}

// maySendAgain reports whether another send is allowed.
func (x *exchange) maySendAgain(ctx context.Context) bool {
	if ctx.Err() != nil || x.deadline.Sub(x.g.Clock()) < minTimeLeft || x.sends >= maxSends || x.connectFailures >= maxConnectFailures {
		return false
	}
	if x.runs > 0 && (!x.route.Repeatable() || x.runs >= max(x.route.MaxAttempts, 1)) {
		return false
	}
	if x.sends > 0 && !x.retryTaken {
		x.retryTaken = x.g.takeRetry(x.service.Name)
	}
	return x.sends == 0 || x.retryTaken
}

// countSend counts a send that may have reached a replica.
func (x *exchange) countSend() {
	x.sends++
	x.retryTaken = false
}

// respondError responds with an error, or cuts a response that has begun.
func (x *exchange) respondError(err error) {
	if errors.Is(err, errClientGone) {
		x.logEnd("client gone", nil)
		server.Abort(x.w)
		return
	}
	e := result.From(err)
	if x.runFailure != nil && result.Lookup(e.Code()).NotRun {
		e = x.runFailure
	}
	x.code = e.Code()
	x.logEnd("failed", e)
	if x.headSent {
		server.Abort(x.w)
		return
	}
	x.g.Dialect.WriteError(x.w, e, x.g.Clock())
}

// logEnd logs how the request ended.
func (x *exchange) logEnd(event string, err *result.Error) {
	now := x.g.Clock()
	fields := []any{
		"request", x.r.ID, "route", x.route.Name, "replica", x.replica, "sends", x.sends,
		"took", now.Sub(x.r.Arrival).Milliseconds(), "left", x.deadline.Sub(now).Milliseconds(), "routing", x.routing,
	}
	if !x.firstByteAt.IsZero() {
		fields = append(fields, "first", x.firstByteAt.Sub(x.r.Arrival).Milliseconds(), "gap", x.maxGap.Milliseconds())
	}
	if x.pacingDelay > 0 {
		fields = append(fields, "spaced", x.pacingDelay.Milliseconds())
	}
	if x.waitReason != balance.Found {
		fields = append(fields, "waited", x.waitReason.String())
	}
	if err != nil {
		fields = append(fields, "code", int(err.Code()), "error", err.Error())
	}
	x.g.Log.Info(event, fields...)
}

// logRouted logs which replica the request goes to, and the alternatives.
func (x *exchange) logRouted(c balance.Choice, now time.Time) {
	var alternatives strings.Builder
	for _, o := range c.Alternatives {
		fmt.Fprintf(&alternatives, "%s:%.2f ", o.Name, o.Cost)
	}
	x.g.Log.Info("routed", "request", x.r.ID, "route", x.route.Name, "replica", c.Replica.Name, "cost", math.Round(100*c.Cost)/100,
		"load", c.Load, "age", now.Sub(c.LoadAt).Milliseconds(), "adapter", x.r.Weights.Adapter, "tokens", x.r.PromptTokens,
		"routing", x.routing, "rank", x.route.Priority, "spaced", x.pacingDelay.Milliseconds(), "reading", x.prefillTime().Milliseconds(), "instead", alternatives.String())
}

func (x *exchange) observe() {
	o := Observation{
		Route: x.route.Name, Code: x.code, Replica: x.replica, Sends: x.sends,
		TotalTime: x.g.Clock().Sub(x.r.Arrival), StreamEnds: x.streamEnds, EndsInFlight: x.endsInFlight,
	}
	if !x.firstByteAt.IsZero() {
		o.TimeToFirstByte = x.firstByteAt.Sub(x.r.Arrival)
	}
	x.g.Observe(o)
}

// attempt sends the request to one replica and forwards its response. The error
// belongs to the dispositions tryOther and giveUp.
func (x *exchange) attempt(ctx context.Context, c balance.Choice) (disposition, error) {
	start := x.g.Clock()
	outcome := balance.Neutral
	defer func() {
		first := x.g.Clock()
		if x.firstByteAt.After(start) {
			first = x.firstByteAt
		}
		took := max(0, first.Sub(start)-x.prefillTime())
		if x.service.Engine == nil && outcome == balance.Good {
			x.recordResponseTime(c, took)
		}
		x.g.recordOutcome(c, outcome, took)
	}()
	x.connectionLost = false
	x.replica, x.target = c.Replica.Name, c.Replica
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if v, err := x.delayRetry(ctx, c); err != nil {
		return v, err
	}
	if v, err := x.awaitCapacity(ctx, c); err != nil {
		return v, err
	}
	if err := x.awaitVerdict(ctx); err != nil {
		return giveUp, err
	}
	if !x.g.acceptsRequests(c) {
		return tryOther, result.New(result.NoUpstream, "replica %s left while the request waited for capacity", c.Replica.Name).WithRetryAfter(x.g.Clock())
	}
	start = x.g.Clock()
	x.logRouted(c, start)
	a, err := x.g.Client.Send(ctx, x.outgoingRequest(c, start))
	if err != nil {
		var v disposition
		v, outcome, err = x.sendFailed(ctx, err)
		return v, err
	}
	x.countSend()
	h := x.g.Dialect.ParseHead(a.Status(), a.Header())
	// A refusal need not name its request, but on a reused connection it may be
	// that of an earlier one.
	if h.ID != x.r.ID && (h.ID != "" || !h.NotRun || a.OverReused()) {
		a.Discard()
		outcome = balance.Faulty
		return x.failedAfterRun(result.New(result.WrongAnswer, "replica %s sent the response to request %q", c.Replica.Name, h.ID))
	}
	x.hear(c.Replica, a, h)
	if h.NotRun {
		var v disposition
		v, outcome, err = x.handleRejection(c, a, h)
		return v, err
	}
	x.runs++
	whole := !x.headSent
	var v disposition
	v, outcome, err = x.forwardResponse(ctx, a)
	if v == finished && whole && outcome == balance.Good && x.service.Engine != nil {
		x.g.recordTimings(x, x.firstByteAt.Sub(start))
	}
	return v, err
}

func (x *exchange) outgoingRequest(c balance.Choice, now time.Time) client.Exchange {
	h := x.r.Header.Clone()
	x.g.Dialect.Prepare(h, SendInfo{
		Replica: c.Replica.Name, TimeLeft: x.deadline.Sub(now), Version: x.version,
		Priority: x.route.Priority, LastEventID: x.lastEventID,
	})
	var silentAt time.Time
	if x.service.Engine == nil {
		silentAt = now.Add(x.deadline.Sub(now) / silentShare)
	}
	return client.Exchange{
		HeadDeadline: silentAt, Method: x.r.Method, URL: "http://" + c.Replica.Address, Target: x.r.Target, Host: x.r.Host,
		Header: h, Body: x.r.Body, Idempotent: x.route.Repeatable() && len(x.tried) == 0,
	}
}

// sendFailed handles a send without a response.
func (x *exchange) sendFailed(ctx context.Context, err error) (disposition, balance.Outcome, error) {
	var f *client.Failure
	sent := !errors.As(err, &f) || f.MaybeSent()
	if sent {
		x.countSend()
		x.runs++
	}
	if ctx.Err() != nil {
		if x.g.Clock().Before(x.deadline) {
			return giveUp, balance.Neutral, errClientGone
		}
		if !sent {
			return giveUp, balance.Unreachable, result.New(result.DeadlineHopeless, "no replica could be reached in time: %w", err)
		}
		x.runFailure = result.New(result.TimedOut, "replica %s has not responded in time", x.replica)
		return giveUp, balance.Faulty, x.runFailure
	}
	if !sent {
		x.connectFailures++
		return tryOther, balance.Unreachable, result.New(result.NoUpstream, "replica %s: %w", x.replica, err).WithRetryAfter(x.g.Clock().Add(defaultRetryAfter))
	}
	x.connectionLost = isClosedByPeer(err)
	v, ferr := x.recordRunFailure(result.New(result.UpstreamFailed, "replica %s: %w", x.replica, err))
	if f != nil && f.OverFresh() {
		return v, balance.Unreachable, ferr
	}
	return v, balance.Neutral, ferr
}

// failedAfterRun handles a failure of a response whose request may have run.
func (x *exchange) failedAfterRun(e *result.Error) (disposition, error) {
	x.runs++
	return x.recordRunFailure(e)
}

func (x *exchange) recordRunFailure(e *result.Error) (disposition, error) {
	x.runFailure = e
	if x.route.Repeatable() {
		return tryOther, e
	}
	return giveUp, e
}

// handleRejection handles a replica's response that it did not run the request.
func (x *exchange) handleRejection(c balance.Choice, a *client.Answer, h ResponseHead) (disposition, balance.Outcome, error) {
	_, err := a.ReadAll(maxBufferedBody)
	if err != nil {
		a.Discard()
	}
	retryAt := x.g.Clock().Add(defaultRetryAfter)
	if h.Misdirected && h.Replica != "" && h.Replica != c.Replica.Name {
		return tryOther, balance.Unreachable, result.New(result.NoUpstream, "replica %s now uses the address of %s", h.Replica, c.Replica.Name).WithRetryAfter(retryAt)
	}
	if h.Misdirected {
		x.g.reportMissing(x, c.Replica.Name)
	} else if x.service.Engine == nil {
		x.recordRejection(c)
	}
	return tryOther, balance.Neutral, result.New(result.NoUpstream, "replica %s refused it with status %d", c.Replica.Name, a.Status()).WithRetryAfter(retryAt)
}

// forwardResponse forwards a response to the client.
func (x *exchange) forwardResponse(ctx context.Context, a *client.Answer) (disposition, balance.Outcome, error) {
	if x.route.Kind == routes.Stream && isEventStream(a.Header()) && a.Status() == http.StatusOK {
		return x.relayStream(ctx, a)
	}
	body, err := a.ReadAll(maxBufferedBody)
	if err != nil {
		a.Discard()
		if ctx.Err() != nil && x.g.Clock().Before(x.deadline) {
			return giveUp, balance.Neutral, errClientGone
		}
		x.connectionLost = isClosedByPeer(err)
		v, ferr := x.recordRunFailure(result.New(result.UpstreamFailed, "replica %s: %w", x.replica, err))
		return v, balance.Faulty, ferr
	}
	x.recordAnswer(ctx, a)
	// Closing the body returns what it holds in memory.
	defer func() { _ = a.Body().Close() }()
	outcome := balance.Good
	if a.Status() >= http.StatusInternalServerError {
		outcome = balance.Faulty
		if x.route.Repeatable() && !x.headSent && x.runs < x.route.MaxAttempts {
			x.runFailure = result.New(result.UpstreamFailed, "replica %s: status %d", x.replica, a.Status())
			if x.maySendAgain(ctx) {
				return tryOther, outcome, x.runFailure
			}
		}
	}
	if x.headSent {
		// The response to a resumed stream is not a stream.
		return giveUp, outcome, result.New(result.StreamCut, "replica %s did not resume the stream: status %d", x.replica, a.Status())
	}
	x.firstByteAt = x.g.Clock()
	copyEndToEndHeaders(x.w.Header(), a.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.Status())
	if _, err := x.w.Write(body); err != nil {
		x.logEnd("client gone", nil)
		return finished, outcome, nil
	}
	x.logEnd("answered", nil)
	return finished, outcome, nil
}

// hopByHopHeaders are the headers that concern a single connection.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyEndToEndHeaders copies all headers but the hop-by-hop ones.
func copyEndToEndHeaders(to, from http.Header) {
	for k, vs := range from {
		if !hopByHopHeaders[k] {
			to[k] = vs
		}
	}
}

// IsHopByHop reports whether a header concerns a single connection. The name
// must be in canonical form.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }
