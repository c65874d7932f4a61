package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
)

const (
	// A client gives a stream up after a pause of pauseLeast, of pauseTargets
	// times the route's target or of pausePauses times the pause that the
	// operator allows, whichever is longest.
	pauseLeast   = 2 * time.Second
	pauseTargets = 4
	pausePauses  = 8
	// stallShare is the part of that time after which a silent stream is looked
	// at, and stallAgain separates further looks.
	stallShare = 0.5
	stallAgain = 500 * time.Millisecond
	// signTimeout bounds the question for a sign of life.
	signTimeout = 400 * time.Millisecond
)

var (
	errDark  = errors.New("no event for long, and the replica answers no question")
	errDrips = errors.New("no event for long, only bytes that complete none")
	// Streams with these causes are left alone.
	errNoOther = errors.New("no other replica is ready to go on")
	errSound   = errors.New("the replica answers questions")
)

// clientPatience is how long clients of a route wait for the next event.
func clientPatience(r *routes.Route) time.Duration {
	return max(pauseLeast, pauseTargets*r.FirstByteTarget, pausePauses*r.MaxPause)
}

// stall looks after a stream that may be resumed. A replica may put a request
// back for seconds, so silence alone never ends a stream: it is given up only if
// its replica is known to be in trouble and another one is ready to go on.
// Nothing is expected before the first event, since the request may wait for its
// turn.
type stall struct {
	x *exchange
	a *client.Answer
	// at is the replica, and elsewhere what another one must have. They are
	// copies: the exchange goes on while the last look still runs.
	at        balance.Replica
	elsewhere balance.Query

	mu sync.Mutex
	// timer fires when the stream is looked at next; nil until the first event.
	timer *time.Timer
	// events counts the arrivals of whole events; drips is true if bytes have
	// come since the last one.
	events int
	drips  bool
	// ended is true once the stream is over, however.
	ended bool
	// cause is why it was given up here, nil if it was not.
	cause error
}

// watch looks after the stream of an answer until it is stopped.
func (x *exchange) watch(ctx context.Context, a *client.Answer) *stall {
	s := &stall{x: x, a: a, at: x.at, elsewhere: balance.Query{
		Service: x.service.Name, Weights: x.r.Weights, Version: x.version, Exclude: append(slices.Clone(x.tried), x.replica),
	}}
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts || x.sends >= maxSends {
		s.ended = true
		return s
	}
	first := time.Duration(stallShare * float64(clientPatience(x.route)))
	s.timer = time.AfterFunc(first, func() { s.look(ctx) })
	s.timer.Stop()
	return s
}

// arrived notes that bytes have come, and whether they completed an event.
func (s *stall) arrived(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.drips = !whole
	if whole {
		s.events++
		s.timer.Reset(time.Duration(stallShare * float64(clientPatience(s.x.route))))
	}
}

// stop ends the watch. The connection is left alone from then on.
func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// verdict returns why the stream was given up here, nil if it was not.
func (s *stall) verdict() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// seen returns what has arrived so far.
func (s *stall) seen() (events int, drips bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events, s.drips
}

// look decides what becomes of a stream that has been silent for long.
func (s *stall) look(ctx context.Context) {
	events, drips := s.seen()
	cause := errNoOther
	if s.x.g.ready(s.elsewhere, s.x.deadline) {
		cause = errDrips
		if !drips {
			cause = s.sign(ctx)
		}
	}
	over := (errors.Is(cause, errDrips) || errors.Is(cause, errDark)) && s.giveUp(events, cause)
	s.x.g.Log.Info("stream silent", "request", s.x.r.ID, "replica", s.at.Name, "over", over, "cause", cause.Error())
	if !over {
		s.again(events)
	}
}

// sign asks the replica for a sign of life: errSound if there is one, else errDark.
func (s *stall) sign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, signTimeout)
	defer cancel()
	if s.x.g.Probe(ctx, s.at) {
		return errSound
	}
	return errDark
}

// again sets the time of the next look, unless events have come.
func (s *stall) again(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && s.events == events {
		s.timer.Reset(stallAgain)
	}
}

// giveUp ends the stream here, unless events have come or the allowance has
// nothing left for the next send.
func (s *stall) giveUp(events int, cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.events != events || !s.x.g.mayRepeat(s.x.service.Name) {
		return false
	}
	s.ended, s.cause, s.x.prepaid = true, cause, true
	s.a.Discard()
	return true
}

// ready reports whether a replica could take a request now that ends at a deadline.
func (g *Gateway) ready(q balance.Query, deadline time.Time) bool {
	now := g.Clock()
	if deadline.Sub(now) < minLeft {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.HasFreeReplica(now, q)
}
