package gateway

import (
	"context"
	"slices"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/result"
)

// prefillTime returns the estimated time that the engine needs for the
// request's prompt.
func (x *exchange) prefillTime() time.Duration {
	if x.service.Engine == nil {
		return 0
	}
	return x.g.rates(x.service.Name).PrefillTime(x.r.PromptTokens)
}

// alternativeWaitShare is the fraction of a route's target that a request waits
// for prefill capacity at one replica while other replicas hold the weights
// that it needs.
const alternativeWaitShare = 0.1

// reservePrefill reserves the prefill of the request's prompt. The time of the
// result is zero if the request need not wait. An error means that the replica
// has no prefill capacity in time.
func (x *exchange) reservePrefill(ctx context.Context, c balance.Choice) (pace.Reservation, error) {
	now := x.g.Clock()
	deadline := x.waitDeadline()
	if len(c.Alternatives) > 0 && !x.headSent && !slices.Contains(x.tried, c.Replica.Name) {
		deadline = earlier(deadline, now.Add(time.Duration(alternativeWaitShare*float64(x.route.FirstByteTarget))))
	}
	t, ok := x.g.ReservePrefill(ctx, c.Replica, pace.Prompt{
		Tokens: x.r.PromptTokens, MaxPause: x.route.MaxPause, TokensPerChunk: x.service.Engine.TokensPerChunk, Rates: x.g.rates(x.service.Name), Deadline: deadline,
	})
	if !ok {
		return pace.Reservation{}, nil
	}
	x.g.recordReservation(c, t.At)
	if t.Reserved {
		return t, nil
	}
	if x.headSent {
		// Send at once: resuming a stream that has begun matters more than even
		// pauses in other streams.
		return pace.Reservation{}, nil
	}
	return t, result.New(result.Overloaded, "replica %s has prompts to read until %s later", c.Replica.Name, t.At.Sub(now)).WithRetryAfter(t.At)
}

// awaitCapacity waits until the replica has capacity for the request. If that
// takes too long another replica may be tried, since nothing was sent.
func (x *exchange) awaitCapacity(ctx context.Context, c balance.Choice) (disposition, error) {
	x.prefillAlone = false
	if x.service.Engine == nil {
		return x.awaitAdmission(ctx, c)
	}
	if x.r.PromptTokens == 0 {
		return finished, nil
	}
	t, err := x.reservePrefill(ctx, c)
	if err != nil {
		v := giveUp
		if !slices.Contains(x.tried, c.Replica.Name) {
			v = tryOther
		}
		return v, err
	}
	x.prefillAlone = t.Isolated
	return x.sleepForReplica(ctx, c, t.At)
}

// sleepForReplica waits until a time, as long as the replica accepts requests.
func (x *exchange) sleepForReplica(ctx context.Context, c balance.Choice, at time.Time) (disposition, error) {
	for {
		accepts, changed := x.g.watchReplica(c)
		if !accepts {
			return tryOther, result.New(result.NoUpstream, "replica %s left while the request waited for capacity", c.Replica.Name).WithRetryAfter(x.g.Clock())
		}
		v, err := x.sleepOr(ctx, at, changed)
		if err != nil || !x.g.Clock().Before(at) {
			return v, err
		}
	}
}

// sleepUntil waits until a time, or until the context is done.
func (x *exchange) sleepUntil(ctx context.Context, at time.Time) (disposition, error) {
	return x.sleepOr(ctx, at, nil)
}

// sleepOr waits until a time, until changed is closed or until the context is done.
func (x *exchange) sleepOr(ctx context.Context, at time.Time, changed <-chan struct{}) (disposition, error) {
	start := x.g.Clock()
	wait := at.Sub(start)
	if wait <= 0 {
		return finished, nil
	}
	defer func() { x.pacingDelay += x.g.Clock().Sub(start) }()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return finished, nil
	case <-changed:
		return finished, nil
	case <-ctx.Done():
		if x.g.Clock().Before(x.deadline) {
			return giveUp, errClientGone
		}
		return giveUp, result.New(result.DeadlineHopeless, "deadline reached while waiting for capacity at replica %s", x.replica)
	}
}
