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
	// admissionWaitShare is the fraction of a route's target that a request
	// waits at most for capacity at a replica that rejects work.
	admissionWaitShare = 0.25
	// queueDelayShare is the fraction of a route's target by which a response
	// may exceed the minimum latency before the replica counts as overloaded.
	queueDelayShare = 1.0
	// defaultAdmissionWait is the admission wait for a route without a target.
	defaultAdmissionWait = 100 * time.Millisecond
)

// awaitAdmission waits until a replica of a plain service has capacity, if it
// has rejected requests lately. If it has none in time another replica may be
// tried, since nothing was sent.
func (x *exchange) awaitAdmission(ctx context.Context, c balance.Choice) (disposition, error) {
	x.admitted = false
	pushedBack, overloaded := x.g.overloaded(c)
	if !overloaded {
		return finished, nil
	}
	now := x.g.Clock()
	wait := x.maxAdmissionWait()
	t, ok := x.g.RequestAdmission(ctx, c.Replica, pace.AdmissionRequest{
		Slots: c.Replica.Slots, Rank: x.route.Priority, PushedBack: pushedBack, Deadline: earlier(now.Add(wait), x.deadline),
	})
	if !ok {
		return finished, nil
	}
	x.g.recordAdmissionTime(c, t.At)
	if t.Reserved {
		x.admitted = true
		return x.sleepForReplica(ctx, c, t.At)
	}
	err := result.New(result.Overloaded, "replica %s has no room within %s", c.Replica.Name, wait).WithRetryAfter(later(t.At, now.Add(defaultRetryAfter)))
	if slices.Contains(x.tried, c.Replica.Name) {
		return giveUp, err
	}
	return tryOther, err
}

// maxAdmissionWait returns how long the request waits at most for capacity at a
// replica.
func (x *exchange) maxAdmissionWait() time.Duration {
	if x.route.FirstByteTarget > 0 {
		return time.Duration(admissionWaitShare * float64(x.route.FirstByteTarget))
	}
	return defaultAdmissionWait
}

// maxQueueDelay returns by how much the response time may exceed the minimum
// before the replica counts as overloaded.
func (x *exchange) maxQueueDelay() time.Duration {
	return time.Duration(queueDelayShare / admissionWaitShare * float64(x.maxAdmissionWait()))
}

// recordRejection records that a replica rejected the request because it is
// overloaded.
func (x *exchange) recordRejection(c balance.Choice) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.balancer.RecordRefusal(x.g.Clock(), c.Replica.Name, x.admitted)
}

// recordResponseTime records how long a replica took to respond.
func (x *exchange) recordResponseTime(c balance.Choice, took time.Duration) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.balancer.RecordLatency(c.Replica.Name, x.route.Name, took, x.maxQueueDelay(), x.admitted)
}

// overloaded reports whether a replica is likely to reject the request, and how
// many admitted requests the replica has rejected or delayed since the last
// call.
func (g *Gateway) overloaded(c balance.Choice) (pushedBack int, overloaded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Busy(g.Clock(), c.Replica.Name)
}

// recordAdmissionTime records when a replica will have capacity.
func (g *Gateway) recordAdmissionTime(c balance.Choice, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.PrefillReserved(c.Replica.Name, at)
	if now := g.Clock(); at.After(now) {
		g.balancer.RecordWait(now, c.Replica.Name)
	}
}
