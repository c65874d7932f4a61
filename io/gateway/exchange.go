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
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

const (
	// maxSends bounds how often one request is sent, counting those that
	// replicas refused.
	maxSends = 4
	// maxUnreached bounds how many tries of one request may reach no replica, and
	// againPause separates two tries at the same one.
	maxUnreached = 10
	againPause   = 50 * time.Millisecond
	// maxAnswer is the largest answer that is kept whole before it is passed
	// on; larger ones are passed on as they come.
	maxAnswer = 1 << 20
	// minLeft is how much time must be left for another send to make sense.
	minLeft = 20 * time.Millisecond
)

var errClientGone = errors.New("the client is gone")

// exchange is one request on its way.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        Request
	route    *routes.Route
	service  *routes.Service
	deadline time.Time
	// routing is the version of the document that the route comes from.
	routing uint64
	// version is the least version of an adapter that will do.
	version uint64

	tried []ident.Upstream
	// sends counts what may have reached a replica, runs what may have run, and
	// unreached the tries whose connection failed.
	sends, runs, unreached int
	waited                 balance.Reason
	// spaced is how long the request waited for its turn at a replica; alone is
	// true if nothing else was read there around that turn.
	spaced time.Duration
	alone  bool
	// entered is true if the door of the replica has let the request in.
	entered bool
	// headSent is true once the head of an answer was passed on.
	headSent bool
	// last is the number of the last event passed on, or what the client had.
	last string
	// failed is the last failure after which the request may have run.
	failed *result.Error

	// prepaid is true if the next send was taken from the allowance already: what
	// reaches no replica uses nothing up.
	prepaid bool

	// The rest is for logs and metrics.
	code    result.Code
	ended   []EndedBy
	replica ident.Upstream
	// at is the replica that the request was sent to last.
	at      balance.Replica
	firstAt time.Time
	// pieceAt is when the last piece was passed on, gap the longest pause
	// before one, and later counts the events after the first piece.
	pieceAt time.Time
	gap     time.Duration
	later   int
	// flushAt is when the next piece goes out at once; until gatherUntil a
	// timer is set that sends what was gathered.
	flushAt, gatherUntil time.Time
}

// verdict is what becomes of a request after an attempt.
type verdict uint8

const (
	// finished requests have their answer.
	finished verdict = iota
	// again means that another replica may be tried.
	again
	// givenUp requests get an error.
	givenUp
)

// run sends the request until it has its final answer.
func (x *exchange) run(ctx context.Context) {
	x.last = x.r.LastEvent
	for {
		c, err := x.acquire(ctx)
		if err != nil {
			x.end(err)
			return
		}
		v, err := x.attempt(ctx, c)
		if v == finished {
			return
		}
		if v == givenUp || !x.mayGoOn(ctx) {
			x.end(err)
			return
		}
		x.tried = append(x.tried, c.Replica.Name)
		x.g.Log.Info("sent again", "request", x.r.ID, "after", c.Replica.Name, "sends", x.sends, "cause", err.Error())
	}
}

// pauseAgain waits a moment before a replica that was tried is tried again.
func (x *exchange) pauseAgain(ctx context.Context, c balance.Choice) (verdict, error) {
	if !slices.Contains(x.tried, c.Replica.Name) {
		return finished, nil
	}
	return x.pauseUntil(ctx, x.g.Clock().Add(againPause))
}

// mayGoOn reports whether another send is allowed.
func (x *exchange) mayGoOn(ctx context.Context) bool {
	if ctx.Err() != nil || x.deadline.Sub(x.g.Clock()) < minLeft || x.sends >= maxSends || x.unreached >= maxUnreached {
		return false
	}
	if x.runs > 0 && (!x.route.Repeatable() || x.runs >= max(x.route.MaxAttempts, 1)) {
		return false
	}
	if x.sends > 0 && !x.prepaid {
		x.prepaid = x.g.mayRepeat(x.service.Name)
	}
	return x.sends == 0 || x.prepaid
}

// sent counts a send that may have reached a replica.
func (x *exchange) sent() {
	x.sends++
	x.prepaid = false
}

// end answers with an error, or cuts an answer that has begun.
func (x *exchange) end(err error) {
	if errors.Is(err, errClientGone) {
		x.log("client gone", nil)
		server.Abort(x.w)
		return
	}
	e := result.From(err)
	if x.failed != nil && result.Lookup(e.Code()).NotRun {
		e = x.failed
	}
	x.code = e.Code()
	x.log("failed", e)
	if x.headSent {
		server.Abort(x.w)
		return
	}
	x.g.Dialect.Refuse(x.w, e, x.g.Clock())
}

// log writes the line that tells how the request ended.
func (x *exchange) log(how string, err *result.Error) {
	now := x.g.Clock()
	fields := []any{
		"request", x.r.ID, "route", x.route.Name, "replica", x.replica, "sends", x.sends,
		"took", now.Sub(x.r.Arrival).Milliseconds(), "left", x.deadline.Sub(now).Milliseconds(), "routing", x.routing,
	}
	if !x.firstAt.IsZero() {
		fields = append(fields, "first", x.firstAt.Sub(x.r.Arrival).Milliseconds(), "gap", x.gap.Milliseconds())
	}
	if x.spaced > 0 {
		fields = append(fields, "spaced", x.spaced.Milliseconds())
	}
	if x.waited != balance.Found {
		fields = append(fields, "waited", x.waited.String())
	}
	if err != nil {
		fields = append(fields, "code", int(err.Code()), "error", err.Error())
	}
	x.g.Log.Info(how, fields...)
}

// logChoice writes the line that tells where the request goes and why.
func (x *exchange) logChoice(c balance.Choice, now time.Time) {
	var instead strings.Builder
	for _, o := range c.Alternatives {
		fmt.Fprintf(&instead, "%s:%.2f ", o.Name, o.Cost)
	}
	x.g.Log.Info("routed", "request", x.r.ID, "route", x.route.Name, "replica", c.Replica.Name, "cost", math.Round(100*c.Cost)/100,
		"load", c.Load, "age", now.Sub(c.LoadAt).Milliseconds(), "adapter", x.r.Weights.Adapter, "tokens", x.r.Tokens,
		"routing", x.routing, "rank", x.route.Priority, "spaced", x.spaced.Milliseconds(), "reading", x.reading().Milliseconds(), "instead", instead.String())
}

func (x *exchange) observe() {
	o := Observation{
		Route: x.route.Name, Code: x.code, Replica: x.replica, Sends: x.sends,
		TotalTime: x.g.Clock().Sub(x.r.Arrival), StreamEnds: x.ended,
	}
	if !x.firstAt.IsZero() {
		o.TimeToFirstByte = x.firstAt.Sub(x.r.Arrival)
	}
	x.g.Observe(o)
}

// attempt sends the request to one replica and passes its answer on. The
// error belongs to the verdicts again and givenUp.
func (x *exchange) attempt(ctx context.Context, c balance.Choice) (verdict, error) {
	begun := x.g.Clock()
	outcome := balance.Neutral
	defer func() {
		first := x.g.Clock()
		if x.firstAt.After(begun) {
			first = x.firstAt
		}
		took := max(0, first.Sub(begun)-x.reading())
		if x.service.Engine == nil && outcome == balance.Good {
			x.answeredBy(c, took)
		}
		x.g.done(c, outcome, took)
	}()
	x.replica, x.at = c.Replica.Name, c.Replica
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if v, err := x.pauseAgain(ctx, c); err != nil {
		return v, err
	}
	if v, err := x.space(ctx, c); err != nil {
		return v, err
	}
	if !x.g.takes(c) {
		return again, result.New(result.NoUpstream, "replica %s left while the request waited for its turn", c.Replica.Name).WithRetryAfter(x.g.Clock())
	}
	begun = x.g.Clock()
	x.logChoice(c, begun)
	a, err := x.g.Client.Send(ctx, x.outgoing(c, begun))
	if err != nil {
		var v verdict
		v, outcome, err = x.unanswered(ctx, err)
		return v, err
	}
	x.sent()
	h := x.g.Dialect.Read(a.Status(), a.Header())
	if h.ID != x.r.ID && (h.ID != "" || !h.NotRun) {
		a.Discard()
		outcome = balance.Faulty
		return x.ran(result.New(result.WrongAnswer, "replica %s answered request %q", c.Replica.Name, h.ID))
	}
	if h.NotRun {
		var v verdict
		v, outcome, err = x.rejected(c, a, h)
		return v, err
	}
	x.runs++
	whole := !x.headSent
	var v verdict
	v, outcome, err = x.deliver(ctx, a)
	if v == finished && whole && outcome == balance.Good && x.service.Engine != nil {
		x.g.learn(x, x.firstAt.Sub(begun))
	}
	return v, err
}

func (x *exchange) outgoing(c balance.Choice, now time.Time) client.Exchange {
	h := x.r.Header.Clone()
	x.g.Dialect.Prepare(h, Send{
		Replica: c.Replica.Name, Left: x.deadline.Sub(now), Version: x.version,
		Priority: x.route.Priority, LastEvent: x.last,
	})
	return client.Exchange{
		Method: x.r.Method, URL: "http://" + c.Replica.Address, Target: x.r.Target, Host: x.r.Host,
		Header: h, Body: x.r.Body, Idempotent: x.route.Repeatable() && len(x.tried) == 0,
	}
}

// unanswered handles a send that brought no answer.
func (x *exchange) unanswered(ctx context.Context, err error) (verdict, balance.Outcome, error) {
	var f *client.Failure
	sent := !errors.As(err, &f) || f.MaybeSent()
	if sent {
		x.sent()
		x.runs++
	}
	if ctx.Err() != nil {
		if x.g.Clock().Before(x.deadline) {
			return givenUp, balance.Neutral, errClientGone
		}
		if !sent {
			return givenUp, balance.Unreachable, result.New(result.DeadlineHopeless, "no replica could be reached in time: %w", err)
		}
		x.failed = result.New(result.TimedOut, "replica %s has not answered", x.replica)
		return givenUp, balance.Faulty, x.failed
	}
	if !sent {
		x.unreached++
		return again, balance.Unreachable, result.New(result.NoUpstream, "replica %s: %w", x.replica, err).WithRetryAfter(x.g.Clock().Add(refusalPause))
	}
	v, ferr := x.failure(result.New(result.UpstreamFailed, "replica %s: %w", x.replica, err))
	if f != nil && f.OverFresh() {
		return v, balance.Unreachable, ferr
	}
	return v, balance.Neutral, ferr
}

// ran handles a failure of an answer whose request may have run.
func (x *exchange) ran(e *result.Error) (verdict, error) {
	x.runs++
	return x.failure(e)
}

func (x *exchange) failure(e *result.Error) (verdict, error) {
	x.failed = e
	if x.route.Repeatable() {
		return again, e
	}
	return givenUp, e
}

// rejected handles the word of a replica that it did not run the request.
func (x *exchange) rejected(c balance.Choice, a *client.Answer, h Head) (verdict, balance.Outcome, error) {
	_, err := a.ReadAll(maxAnswer)
	if err != nil {
		a.Discard()
	}
	back := x.g.Clock().Add(refusalPause)
	if h.Absent && h.Replica != "" && h.Replica != c.Replica.Name {
		return again, balance.Unreachable, result.New(result.NoUpstream, "replica %s has the address of %s now", h.Replica, c.Replica.Name).WithRetryAfter(back)
	}
	if h.Absent {
		x.g.missed(x, c.Replica.Name)
	} else if x.service.Engine == nil {
		x.refusedBy(c)
	}
	return again, balance.Neutral, result.New(result.NoUpstream, "replica %s refused it with status %d", c.Replica.Name, a.Status()).WithRetryAfter(back)
}

// deliver passes an answer on.
func (x *exchange) deliver(ctx context.Context, a *client.Answer) (verdict, balance.Outcome, error) {
	if x.route.Kind == routes.Stream && isEvents(a.Header()) && a.Status() == http.StatusOK {
		return x.relay(ctx, a)
	}
	body, err := a.ReadAll(maxAnswer)
	if err != nil {
		a.Discard()
		if ctx.Err() != nil && x.g.Clock().Before(x.deadline) {
			return givenUp, balance.Neutral, errClientGone
		}
		v, ferr := x.failure(result.New(result.UpstreamFailed, "replica %s: %w", x.replica, err))
		return v, balance.Faulty, ferr
	}
	_ = a.Body().Close()
	outcome := balance.Good
	if a.Status() >= http.StatusInternalServerError {
		outcome = balance.Faulty
		if x.route.Repeatable() && !x.headSent && x.runs < x.route.MaxAttempts {
			x.failed = result.New(result.UpstreamFailed, "replica %s: status %d", x.replica, a.Status())
			if x.mayGoOn(ctx) {
				return again, outcome, x.failed
			}
		}
	}
	if x.headSent {
		// The answer to a resumed stream is no stream.
		return givenUp, outcome, result.New(result.StreamCut, "replica %s did not go on: status %d", x.replica, a.Status())
	}
	x.firstAt = x.g.Clock()
	copyHeader(x.w.Header(), a.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.Status())
	if _, err := x.w.Write(body); err != nil {
		x.log("client gone", nil)
		return finished, outcome, nil
	}
	x.log("answered", nil)
	return finished, outcome, nil
}

// perConnection are the headers that concern one connection only.
var perConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyHeader copies the headers that are passed on.
func copyHeader(to, from http.Header) {
	for k, vs := range from {
		if !perConnection[k] {
			to[k] = vs
		}
	}
}

// PerConnection reports whether a header concerns one connection only; the
// name is in its canonical form.
func PerConnection(name string) bool { return perConnection[name] }
