package gateway

import (
	"context"
	"slices"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/result"
)

const (
	// doorShare is the part of a route's target that a request waits at most
	// until a replica that refuses work has room for it.
	doorShare = 0.25
	// queueShare is the part of a route's target that an answer may take longer
	// than the quickest before the replica counts as having too much to do.
	queueShare = 1.0
	// doorMost is the time at the door for a route without a target.
	doorMost = 100 * time.Millisecond
)

// enter waits until a replica of a plain service has room, if it has refused
// requests lately. Where it has none in time another replica may be tried, since
// nothing was sent.
func (x *exchange) enter(ctx context.Context, c balance.Choice) (verdict, error) {
	x.entered = false
	pressed, busy := x.g.busy(c)
	if !busy {
		return finished, nil
	}
	now := x.g.Clock()
	wait := x.doorWait()
	t, ok := x.g.RequestAdmission(ctx, c.Replica, pace.AdmissionRequest{
		Slots: c.Replica.Slots, Rank: x.route.Priority, PushedBack: pressed, Deadline: earlier(now.Add(wait), x.deadline),
	})
	if !ok {
		return finished, nil
	}
	x.g.waited(c, t.At)
	if t.Reserved {
		x.entered = true
		return x.pauseUntil(ctx, t.At)
	}
	err := result.New(result.Overloaded, "replica %s has no room within %s", c.Replica.Name, wait).WithRetryAfter(later(t.At, now.Add(refusalPause)))
	if slices.Contains(x.tried, c.Replica.Name) {
		return givenUp, err
	}
	return again, err
}

// doorWait is how long the request waits at most until a replica has room.
func (x *exchange) doorWait() time.Duration {
	if x.route.FirstByteTarget > 0 {
		return time.Duration(doorShare * float64(x.route.FirstByteTarget))
	}
	return doorMost
}

// queueMost is by how much longer than the quickest the answer may take.
func (x *exchange) queueMost() time.Duration {
	return time.Duration(queueShare / doorShare * float64(x.doorWait()))
}

// refusedBy notes that a replica had too much to do to take a request.
func (x *exchange) refusedBy(c balance.Choice) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.balancer.RecordRefusal(x.g.Clock(), c.Replica.Name, x.entered)
}

// answeredBy notes how long a replica took for the request.
func (x *exchange) answeredBy(c balance.Choice, took time.Duration) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.balancer.RecordLatency(c.Replica.Name, x.route.Name, took, x.queueMost(), x.entered)
}

// busy reports whether a replica is likely to refuse the request, and how many
// that its door had let in it has refused or kept waiting since the last call.
func (g *Gateway) busy(c balance.Choice) (pressed int, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Busy(g.Clock(), c.Replica.Name)
}

// waited notes when a replica has room.
func (g *Gateway) waited(c balance.Choice, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.PrefillReserved(c.Replica.Name, at)
	if now := g.Clock(); at.After(now) {
		g.balancer.RecordWait(now, c.Replica.Name)
	}
}
