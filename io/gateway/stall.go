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
	// A client gives up on a stream after a pause of minPauseTolerance,
	// pauseToleranceTargets times the route's target, or pauseToleranceGaps
	// times the pause that the operator allows, whichever is longest.
	minPauseTolerance     = 2 * time.Second
	pauseToleranceTargets = 4
	pauseToleranceGaps    = 8
	// stallCheckShare is the fraction of that time after which an idle stream
	// is checked, and stallCheckInterval separates further checks.
	stallCheckShare    = 0.5
	stallCheckInterval = 500 * time.Millisecond
	// probeTimeout bounds the probe of a replica.
	probeTimeout = 400 * time.Millisecond
)

var (
	errUnresponsive = errors.New("no event for too long and the replica does not respond to a probe")
	errTrickling    = errors.New("no event for too long, only bytes that complete none")
	// With these causes the stream is left alone.
	errNoAlternative = errors.New("no other replica is ready to resume the stream")
	errResponsive    = errors.New("the replica responds to a probe")
	errQuiet         = errors.New("the replica wants no probes")
)

// clientPauseTolerance returns how long clients of a route wait for the next
// event.
func clientPauseTolerance(r *routes.Route) time.Duration {
	return max(minPauseTolerance, pauseToleranceTargets*r.FirstByteTarget, pauseToleranceGaps*r.MaxPause)
}

// stallWatcher watches a stream that may be resumed. A replica may preempt a
// request for seconds, so idleness alone never ends a stream: it is abandoned
// only if its replica is known to be in trouble and another one is ready to
// resume it. There is no check before the first event, since the request may be
// queued at the replica.
type stallWatcher struct {
	x *exchange
	a *client.Answer
	// target serves the stream, and alternative describes a replica that could
	// resume it. Both are copies: the exchange goes on while the last check
	// still runs.
	target      balance.Replica
	alternative balance.Query

	mu sync.Mutex
	// timer fires at the next check. It is not running before the first event,
	// and nil if the stream can't be resumed.
	timer *time.Timer
	// eventCount counts the reads that completed an event. trickling is true if
	// bytes have arrived since the last of them.
	eventCount int
	trickling  bool
	// ended is true once the stream is over, for whatever reason.
	ended bool
	// cause is why the gateway abandoned the stream, nil if it did not.
	cause error
}

// watchStream watches the stream of a response until it is stopped.
func (x *exchange) watchStream(ctx context.Context, a *client.Answer) *stallWatcher {
	s := &stallWatcher{x: x, a: a, target: x.target, alternative: balance.Query{
		Service: x.service.Name, Weights: x.r.Weights, Version: x.version, Exclude: append(slices.Clone(x.tried), x.replica),
	}}
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts || x.sends >= maxSends {
		s.ended = true
		return s
	}
	delay := time.Duration(stallCheckShare * float64(clientPauseTolerance(x.route)))
	s.timer = time.AfterFunc(delay, func() { s.check(ctx) })
	s.timer.Stop()
	return s
}

// arrived records that bytes have arrived, and whether they completed an event.
func (s *stallWatcher) arrived(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.trickling = !whole
	if whole {
		s.eventCount++
		s.timer.Reset(time.Duration(stallCheckShare * float64(clientPauseTolerance(s.x.route))))
	}
}

// stop ends the watch. The connection is not touched afterwards.
func (s *stallWatcher) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// stopCause returns why the stream was abandoned, nil if it was not.
func (s *stallWatcher) stopCause() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cause
}

// progress returns what has arrived so far.
func (s *stallWatcher) progress() (eventCount int, trickling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventCount, s.trickling
}

// check decides whether to abandon a stream that has been idle for long.
func (s *stallWatcher) check(ctx context.Context) {
	eventCount, trickling := s.progress()
	cause := errNoAlternative
	if s.x.g.replicaReady(s.alternative, s.x.deadline) {
		cause = errTrickling
		if !trickling {
			cause = s.probe(ctx)
		}
	}
	abandoned := (errors.Is(cause, errTrickling) || errors.Is(cause, errUnresponsive)) && s.abandon(eventCount, cause)
	s.x.g.Log.Info("stream silent", "request", s.x.r.ID, "replica", s.target.Name, "over", abandoned, "cause", cause.Error())
	if !abandoned {
		s.scheduleCheck(eventCount)
	}
}

// probe asks the replica for a sign of life: it returns errResponsive if there
// is one, else errUnresponsive. A replica that wants no requests is not asked.
func (s *stallWatcher) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.x.g.IsQuiet(s.target.Name, s.target.Incarnation) {
		return errQuiet
	}
	if s.x.g.Probe(ctx, s.target) {
		return errResponsive
	}
	return errUnresponsive
}

// scheduleCheck schedules the next check, unless events have arrived.
func (s *stallWatcher) scheduleCheck(eventCount int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended && s.eventCount == eventCount {
		s.timer.Reset(stallCheckInterval)
	}
}

// abandon ends the stream, unless events have arrived or the retry allowance is
// exhausted.
func (s *stallWatcher) abandon(eventCount int, cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.eventCount != eventCount || !s.x.g.takeRetry(s.x.service.Name) {
		return false
	}
	s.ended, s.cause, s.x.retryTaken = true, cause, true
	s.a.Discard()
	return true
}

// replicaReady reports whether a replica could take a request now that has the
// given deadline.
func (g *Gateway) replicaReady(q balance.Query, deadline time.Time) bool {
	now := g.Clock()
	if deadline.Sub(now) < minTimeLeft {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.HasFreeReplica(now, q)
}
