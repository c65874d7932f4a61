package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
)

const (
	// repickInterval is how often a waiting request tries to pick a replica
	// even if nothing has changed: ejected replicas return by time alone.
	repickInterval = 50 * time.Millisecond
	// maxWaitShare is the fraction of a request's time that it waits for a
	// replica at most, and maxWait bounds it: an early refusal lets the client
	// retry, a late one leaves it no time.
	maxWaitShare = 0.5
	maxWait      = 4 * time.Second
	// maxWaitTargets is how many times the route's target a request waits at
	// most: clients give up on a response that has not begun.
	maxWaitTargets = 3
	// placerTimeout is how long the placer may be unresponsive before requests
	// for weights that are not loaded are refused at once: a successor, if one
	// is possible, holds the role sooner than that. placerRecovery is when a
	// client should retry, counted from the placer's last response.
	placerTimeout  = 3 * time.Second
	placerRecovery = 5 * time.Second
	// maxWaitNoReplicas is how long a request waits for a service without
	// replicas.
	maxWaitNoReplicas = time.Second
)

// acquire picks a replica, and waits for one if necessary. An error means that
// the request was not sent.
func (x *exchange) acquire(ctx context.Context) (balance.Choice, error) {
	start := x.g.Clock()
	var demanded bool
	defer func() {
		if demanded {
			x.g.removeDemand(x)
		}
	}()
	for {
		c, reason, readyAt, changed := x.g.pick(x)
		if reason == balance.Found {
			return c, nil
		}
		if reason == balance.NotLoaded && !demanded {
			demanded = true
			x.g.addDemand(x)
		}
		x.waitReason = reason
		if d, _ := x.verdict(); d.Verdict == blame.Refused {
			return c, x.suspendedError(d)
		}
		if err := x.awaitChange(ctx, start, reason, readyAt, changed); err != nil {
			return c, err
		}
	}
}

// awaitChange waits until another attempt to pick a replica may succeed.
func (x *exchange) awaitChange(ctx context.Context, start time.Time, reason balance.Reason, readyAt time.Time, changed <-chan struct{}) error {
	now := x.g.Clock()
	if retryAt, unresponsive := x.g.placerUnresponsive(now); unresponsive && reason == balance.NotLoaded {
		return result.New(result.NotResident, "%s/%s is not loaded and no placer has responded since %s",
			x.r.Weights.Model, x.r.Weights.Adapter, retryAt.Add(-placerRecovery).Format(time.TimeOnly)).WithRetryAfter(later(retryAt, now.Add(defaultRetryAfter)))
	}
	end := earlier(x.waitDeadline(), start.Add(maxWait))
	if reason == balance.NoReplica {
		end = earlier(end, start.Add(maxWaitNoReplicas))
	}
	if reason == balance.Quiet && !readyAt.Before(end) {
		return x.quietError(readyAt)
	}
	if !now.Before(end) {
		return x.unavailableError(reason)
	}
	wakeAt := earlier(end, now.Add(repickInterval))
	if !readyAt.IsZero() {
		wakeAt = earlier(wakeAt, readyAt)
	}
	t := time.NewTimer(max(wakeAt.Sub(now), time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		if x.g.Clock().Before(x.deadline) {
			return errClientGone
		}
		return x.unavailableError(reason)
	case <-t.C:
	case <-changed:
	}
	return nil
}

// placerUnresponsive reports whether the placer has been unresponsive for so
// long that nothing will be loaded soon, and when that is likely to change.
func (g *Gateway) placerUnresponsive(now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lastResponse := g.balancer.PlacerAnsweredAt()
	return lastResponse.Add(placerRecovery), now.Sub(lastResponse) > placerTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// resumeWaitShare is the fraction of the client's tolerance for a pause within
// which a broken stream must have found a replica: the rest is for the prefill.
const resumeWaitShare = 0.6

// waitDeadline returns when the request must be sent at the latest.
func (x *exchange) waitDeadline() time.Time {
	if x.headSent {
		return earlier(x.deadline, x.lastChunkAt.Add(time.Duration(resumeWaitShare*float64(clientPauseTolerance(x.route)))))
	}
	end := x.r.Arrival.Add(time.Duration(maxWaitShare * float64(x.deadline.Sub(x.r.Arrival))))
	if x.route.Kind == routes.Stream && x.route.FirstByteTarget > 0 {
		end = earlier(end, x.r.Arrival.Add(maxWaitTargets*x.route.FirstByteTarget))
	}
	return end
}

// returnSpread is the share of the time until replicas return within which refused
// clients return after that.
const returnSpread = 0.2

// quietError refuses a request since no replica returns in time. Clients return at
// different times.
func (x *exchange) quietError(readyAt time.Time) error {
	spread := time.Duration(rand.Float64() * returnSpread * float64(readyAt.Sub(x.g.Clock())))
	return result.New(result.NoUpstream, "service %q: %s", x.service.Name, balance.Quiet).WithRetryAfter(readyAt.Add(spread))
}

func (x *exchange) unavailableError(reason balance.Reason) error {
	retryAt := x.g.Clock().Add(defaultRetryAfter)
	if reason == balance.NotLoaded || reason == balance.Loading {
		return result.New(result.NotResident, "%s/%s was not loaded in time", x.r.Weights.Model, x.r.Weights.Adapter).WithRetryAfter(retryAt)
	}
	return result.New(result.NoUpstream, "service %q: %s", x.service.Name, reason).WithRetryAfter(retryAt)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pick chooses a replica. The channel is closed when another pick may succeed.
func (g *Gateway) pick(x *exchange) (balance.Choice, balance.Reason, time.Time, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := balance.Query{Service: x.service.Name, Weights: x.r.Weights, Version: x.version, Exclude: x.tried}
	if x.service.MaxConnections > 0 {
		q.MaxInFlight = max(minConnections, x.service.MaxConnections/max(g.daemons, 1))
	}
	c, reason, readyAt := g.balancer.Pick(g.Clock(), q)
	if reason != balance.Found && len(x.tried) > 0 {
		// Rather retry a replica that was tried already than none at all.
		q.Exclude = nil
		if other, otherReason, otherReadyAt := g.balancer.Pick(g.Clock(), q); otherReason <= reason {
			c, reason, readyAt = other, otherReason, otherReadyAt
		}
	}
	return c, reason, readyAt, g.changed
}

// loadStartShare is the fraction of a route's target that may pass before a
// load begins: the rest is needed to fetch the adapter and to prefill the
// prompt.
const loadStartShare = 0.5

// loadStartDeadline returns when a load must begin at the latest for the
// request to be answered in time.
func (x *exchange) loadStartDeadline() time.Time {
	if x.headSent {
		return x.waitDeadline()
	}
	target := x.route.FirstByteTarget
	if target <= 0 {
		target = x.route.Timeout
	}
	return x.r.Arrival.Add(time.Duration(loadStartShare * float64(target)))
}

// minConnections is how many connections to one replica a daemon may have
// however many daemons share the limit of the replica.
const minConnections = 4

// addDemand counts a request that waits for weights, and signals the demand.
func (g *Gateway) addDemand(x *exchange) {
	g.mu.Lock()
	d := g.demands[x.r.Weights]
	if d == nil {
		d = &demand{}
		g.demands[x.r.Weights] = d
	}
	d.service, d.version = x.service.Name, max(d.version, x.version)
	d.waiting++
	if deadline := x.loadStartDeadline(); deadline.After(d.loadDeadline) {
		d.loadDeadline = deadline
	}
	g.mu.Unlock()
	g.signalDemand()
}

func (g *Gateway) removeDemand(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.demands[x.r.Weights]; d != nil && d.waiting > 0 {
		d.waiting--
	}
}

// reportMissing records that a replica lacks weights that it was reported to
// hold.
func (g *Gateway) reportMissing(x *exchange, name ident.Upstream) {
	g.mu.Lock()
	d := g.demands[x.r.Weights]
	if d == nil {
		d = &demand{service: x.service.Name, version: x.version}
		g.demands[x.r.Weights] = d
	}
	d.missingAt = name
	g.balancer.RecordMissing(g.Clock(), name, x.r.Weights)
	g.mu.Unlock()
	g.signalDemand()
}

func (g *Gateway) signalDemand() {
	select {
	case g.demandSignal <- struct{}{}:
	default:
	}
}
