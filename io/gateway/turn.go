package gateway

import (
	"context"
	"slices"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/result"
)

// reading is how long the engine reads the request's prompt, as far as is known.
func (x *exchange) reading() time.Duration {
	if x.service.Engine == nil {
		return 0
	}
	return x.g.rates(x.service.Name).PrefillTime(x.r.Tokens)
}

// elsewhereShare is the part of a route's target that a request waits for its
// turn at one replica while others hold what it needs.
const elsewhereShare = 0.1

// turn books the reading of the request's prompt. The time to send it is zero if
// it need not wait, the error says that the replica has no time for it.
func (x *exchange) turn(ctx context.Context, c balance.Choice) (pace.Reservation, error) {
	now := x.g.Clock()
	by := x.patience()
	if len(c.Alternatives) > 0 && !x.headSent && !slices.Contains(x.tried, c.Replica.Name) {
		by = earlier(by, now.Add(time.Duration(elsewhereShare*float64(x.route.FirstByteTarget))))
	}
	t, ok := x.g.ReservePrefill(ctx, c.Replica, pace.Prompt{
		Tokens: x.r.Tokens, MaxPause: x.route.MaxPause, TokensPerChunk: x.service.Engine.TokensPerChunk, Rates: x.g.rates(x.service.Name), Deadline: by,
	})
	if !ok {
		return pace.Reservation{}, nil
	}
	x.g.booked(c, t.At)
	if t.Reserved {
		return t, nil
	}
	if x.headSent {
		// An answer that has begun is worth more than even pauses of others.
		return pace.Reservation{}, nil
	}
	return t, result.New(result.Overloaded, "replica %s has prompts to read until %s later", c.Replica.Name, t.At.Sub(now)).WithRetryAfter(t.At)
}

// space waits until the replica has time to read the prompt. If it is busy for
// too long another one may be tried, since nothing was sent.
func (x *exchange) space(ctx context.Context, c balance.Choice) (verdict, error) {
	x.alone = false
	if x.service.Engine == nil {
		return x.enter(ctx, c)
	}
	if x.r.Tokens == 0 {
		return finished, nil
	}
	t, err := x.turn(ctx, c)
	if err != nil {
		v := givenUp
		if !slices.Contains(x.tried, c.Replica.Name) {
			v = again
		}
		return v, err
	}
	x.alone = t.Isolated
	return x.pauseUntil(ctx, t.At)
}

// pauseUntil waits for a time.
func (x *exchange) pauseUntil(ctx context.Context, at time.Time) (verdict, error) {
	wait := at.Sub(x.g.Clock())
	if wait <= 0 {
		return finished, nil
	}
	x.spaced += wait
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return finished, nil
	case <-ctx.Done():
		if x.g.Clock().Before(x.deadline) {
			return givenUp, errClientGone
		}
		return givenUp, result.New(result.DeadlineHopeless, "replica %s has too much to read", x.replica)
	}
}
