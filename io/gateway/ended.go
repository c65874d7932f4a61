package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/ident"
)

// endCheckTimeout bounds the check whether the process of a replica is gone.
const endCheckTimeout = 200 * time.Millisecond

// maxLoggedParts is how many parts of a prompt one log line names.
const maxLoggedParts = 32

// suspect returns the keys of the client's request.
func (x *exchange) suspect() blame.Suspect {
	if x.keys == nil {
		x.keys = &blame.Suspect{Request: blame.RequestKey(x.r.Method, x.r.Host, x.r.Target, x.r.Weights, x.r.Body), Parts: x.parts()}
	}
	return *x.keys
}

// parts returns the keys of the parts of the prompt that other requests may share.
func (x *exchange) parts() []blame.Key {
	out := make([]blame.Key, 0, len(x.r.SharedParts))
	for _, id := range x.r.SharedParts {
		out = append(out, blame.PartKey(x.service.Name, id))
	}
	return out
}

// noteEnd checks, after the connection of a request was closed, whether the
// replica has ended, and records that as evidence against the request, however
// much of the answer has arrived: a request may end its replica at any moment
// before the last event. A replica that merely closes a connection accepts new
// ones, and one that leaves ends as planned.
func (x *exchange) noteEnd(ctx context.Context, r balance.Replica) {
	if x.g.IsQuiet(r.Name, r.Incarnation) || !x.g.replicaEnded(ctx, r) {
		return
	}
	leaving := x.g.leaves(r)
	x.endsInFlight++
	x.g.Log.Info("replica ended", "replica", r.Name, "incarnation", uint64(r.Incarnation), "end", blame.EndKey(r.Name, r.Incarnation).String(), "request", x.r.ID, "route", x.route.Name,
		"key", x.suspect().Request.String(), "parts", x.loggedParts(), "runs", x.runs, "last", x.lastEventID, "leaving", leaving)
	if !leaving {
		x.g.noteEnded(r, x.suspect(), x.trial)
	}
}

// loggedParts returns the first parts of the prompt as logs show them.
func (x *exchange) loggedParts() string {
	return strings.Join(x.r.SharedParts[:min(len(x.r.SharedParts), maxLoggedParts)], " ")
}

// endCheck is a check whether an incarnation of a replica has ended. Its result is
// shared by all requests that the replica had in flight.
type endCheck struct {
	replica     ident.Upstream
	incarnation ident.Incarnation
	// done is closed once ended is set.
	done  chan struct{}
	ended bool
	// until is when the result is no longer used.
	until time.Time
}

// reusable reports whether the check is under way or has found that the replica
// has ended. A replica that has not may end later.
func (c *endCheck) reusable() bool {
	select {
	case <-c.done:
		return c.ended
	default:
		return true
	}
}

// endCheckLifetime is how long it is remembered that a replica has ended.
const endCheckLifetime = time.Second

// replicaEnded reports whether the process of a replica is gone.
func (g *Gateway) replicaEnded(ctx context.Context, r balance.Replica) bool {
	c, own := g.endCheckOf(r)
	if own {
		checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		c.ended = g.ReplicaEnded(checkCtx, r)
		cancel()
		close(c.done)
	}
	select {
	case <-c.done:
		return c.ended
	case <-ctx.Done():
		return false
	}
}

// endCheckOf returns the check under way or just made, or a new one, which the
// caller has to carry out.
func (g *Gateway) endCheckOf(r balance.Replica) (c *endCheck, own bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock()
	g.endChecks = slices.DeleteFunc(g.endChecks, func(c *endCheck) bool { return !now.Before(c.until) })
	for _, c := range g.endChecks {
		if c.replica == r.Name && c.incarnation == r.Incarnation && c.reusable() {
			return c, false
		}
	}
	c = &endCheck{replica: r.Name, incarnation: r.Incarnation, done: make(chan struct{}), until: now.Add(endCheckTimeout + endCheckLifetime)}
	g.endChecks = append(g.endChecks, c)
	return c, true
}

// leaves reports whether a replica is known to leave.
func (g *Gateway) leaves(r balance.Replica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Leaves(r.Name, r.Incarnation)
}

// isClosedByPeer reports whether a connection failed because the other end
// closed or reset it.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
