package gateway

import (
	"context"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
)

const (
	// lookAgain is how often a waiting request looks for a replica even if
	// nothing has changed: replicas come back from ejection by time alone.
	lookAgain = 50 * time.Millisecond
	// waitShare is the part of a request's time that it waits for a replica at
	// most, and waitMost bounds it: the client is better served by coming
	// back than by hearing late that nothing was possible.
	waitShare = 0.5
	waitMost  = 4 * time.Second
	// waitTargets is how many times the route's target a request waits at most:
	// clients give up on an answer that has not begun.
	waitTargets = 3
	// placerSilent is how long the placer may be silent before requests for
	// what is not loaded are refused at once: the next one is in office sooner,
	// if there can be one. placerBack is when it is worth to come back, counted
	// from the last word of the former.
	placerSilent = 3 * time.Second
	placerBack   = 5 * time.Second
	// nobodyMost is how long a request waits for a service without replicas.
	nobodyMost = time.Second
)

// acquire chooses a replica, and waits for one if need be. The error says
// that the request was not sent.
func (x *exchange) acquire(ctx context.Context) (balance.Choice, error) {
	begun := x.g.Clock()
	var asked bool
	defer func() {
		if asked {
			x.g.unwant(x)
		}
	}()
	for {
		c, miss, at, changed := x.g.pick(x)
		if miss == balance.Found {
			return c, nil
		}
		if miss == balance.NotLoaded && !asked {
			asked = true
			x.g.want(x)
		}
		x.waited = miss
		if err := x.await(ctx, begun, miss, at, changed); err != nil {
			return c, err
		}
	}
}

// await waits until it is worth to look again.
func (x *exchange) await(ctx context.Context, begun time.Time, miss balance.Reason, at time.Time, changed <-chan struct{}) error {
	now := x.g.Clock()
	if back, silent := x.g.unplaced(now); silent && miss == balance.NotLoaded {
		return result.New(result.NotResident, "%s/%s is not loaded, and no placer has answered since %s",
			x.r.Weights.Model, x.r.Weights.Adapter, back.Add(-placerBack).Format(time.TimeOnly)).WithRetryAfter(later(back, now.Add(refusalPause)))
	}
	end := earlier(x.patience(), begun.Add(waitMost))
	if miss == balance.NoReplica {
		end = earlier(end, begun.Add(nobodyMost))
	}
	if !now.Before(end) {
		return x.notPlaced(miss)
	}
	until := earlier(end, now.Add(lookAgain))
	if !at.IsZero() {
		until = earlier(until, at)
	}
	t := time.NewTimer(max(until.Sub(now), time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		if x.g.Clock().Before(x.deadline) {
			return errClientGone
		}
		return x.notPlaced(miss)
	case <-t.C:
	case <-changed:
	}
	return nil
}

// unplaced reports whether the placer has been silent for so long that nothing
// will be loaded soon, and when that is likely to change.
func (g *Gateway) unplaced(now time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	heard := g.balancer.PlacerAnsweredAt()
	return heard.Add(placerBack), now.Sub(heard) > placerSilent
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// resumeShare is the part of a client's patience with a pause in which a stream
// that broke off must have found a replica: the rest is for reading the prompt.
const resumeShare = 0.6

// patience returns until when the request may wait before it is sent.
func (x *exchange) patience() time.Time {
	if x.headSent {
		return earlier(x.deadline, x.pieceAt.Add(time.Duration(resumeShare*float64(clientPatience(x.route)))))
	}
	end := x.r.Arrival.Add(time.Duration(waitShare * float64(x.deadline.Sub(x.r.Arrival))))
	if x.route.Kind == routes.Stream && x.route.FirstByteTarget > 0 {
		end = earlier(end, x.r.Arrival.Add(waitTargets*x.route.FirstByteTarget))
	}
	return end
}

func (x *exchange) notPlaced(miss balance.Reason) error {
	back := x.g.Clock().Add(refusalPause)
	if miss == balance.NotLoaded || miss == balance.Loading {
		return result.New(result.NotResident, "%s/%s was not loaded in time", x.r.Weights.Model, x.r.Weights.Adapter).WithRetryAfter(back)
	}
	return result.New(result.NoUpstream, "service %q: %s", x.service.Name, miss).WithRetryAfter(back)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// pick chooses a replica; the channel is closed when more may be possible.
func (g *Gateway) pick(x *exchange) (balance.Choice, balance.Reason, time.Time, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := balance.Query{Service: x.service.Name, Weights: x.r.Weights, Version: x.version, Exclude: x.tried}
	if x.service.MaxConnections > 0 {
		q.MaxInFlight = max(minConnections, x.service.MaxConnections/max(g.daemons, 1))
	}
	c, miss, at := g.balancer.Pick(g.Clock(), q)
	if miss != balance.Found && len(x.tried) > 0 {
		// One that was tried is better than none.
		q.Exclude = nil
		if again, m, when := g.balancer.Pick(g.Clock(), q); m <= miss {
			c, miss, at = again, m, when
		}
	}
	return c, miss, at, g.changed
}

// loadShare is the part of a route's target that may pass before a load begins:
// the rest is needed to fetch the adapter and to read the prompt.
const loadShare = 0.5

// loadBy returns until when a load may begin for the request to be answered in
// time.
func (x *exchange) loadBy() time.Time {
	if x.headSent {
		return x.patience()
	}
	target := x.route.FirstByteTarget
	if target <= 0 {
		target = x.route.Timeout
	}
	return x.r.Arrival.Add(time.Duration(loadShare * float64(target)))
}

// minConnections is how many connections to one replica a daemon may have
// however many daemons share the replica's bound.
const minConnections = 4

// want counts a request that waits for weights.
func (g *Gateway) want(x *exchange) {
	g.mu.Lock()
	d := g.demands[x.r.Weights]
	if d == nil {
		d = &demand{}
		g.demands[x.r.Weights] = d
	}
	d.service, d.version = x.service.Name, max(d.version, x.version)
	d.waiting++
	if at := x.loadBy(); at.After(d.inTime) {
		d.inTime = at
	}
	g.mu.Unlock()
	g.tell()
}

func (g *Gateway) unwant(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.demands[x.r.Weights]; d != nil && d.waiting > 0 {
		d.waiting--
	}
}

// missed notes that a replica does not hold what it should.
func (g *Gateway) missed(x *exchange, name ident.Upstream) {
	g.mu.Lock()
	d := g.demands[x.r.Weights]
	if d == nil {
		d = &demand{service: x.service.Name, version: x.version}
		g.demands[x.r.Weights] = d
	}
	d.missed = name
	g.balancer.RecordMissing(g.Clock(), name, x.r.Weights)
	g.mu.Unlock()
	g.tell()
}

func (g *Gateway) tell() {
	select {
	case g.wanted <- struct{}{}:
	default:
	}
}
