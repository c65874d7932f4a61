package gateway

import (
	"context"
	"time"

	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/ident"
)

const (
	// signAfter is how long after an answer a sign of life must come to tell that the
	// answer did not end the replica: the process may outlive its connections.
	signAfter = 300 * time.Millisecond
	// signCheckDelay is how long after an answer a sign is looked for.
	signCheckDelay = 500 * time.Millisecond
)

// unmarkedAnswer is an answer that ended with its connection. The end of the replica
// looks the same.
type unmarkedAnswer struct {
	replica balance.Replica
	suspect blame.Suspect
	trial   blame.Trial
	// failed is true if the answer clears nothing even if the replica lives on.
	failed  bool
	endedAt time.Time
	// request, route and parts are for logs.
	request, route, parts string
}

// sign is the latest sign of life of a replica.
type sign struct {
	incarnation ident.Incarnation
	at          time.Time
}

// recordUnmarked records an answer that ended with its connection. While there is
// any evidence, the replica is checked at once. If it has not ended, the answer
// counts only after a later sign of life.
func (x *exchange) recordUnmarked(ctx context.Context, failed bool) {
	if x.g.evidence.some.Load() && x.g.replicaEnded(ctx, x.target) {
		x.noteEnd(ctx, x.target)
		return
	}
	a := unmarkedAnswer{
		replica: x.target, suspect: x.suspect(), trial: x.trial, failed: failed, endedAt: x.g.Clock(),
		request: x.r.ID, route: x.route.Name, parts: x.loggedParts(),
	}
	x.g.unmarked.Add(1)
	time.AfterFunc(signCheckDelay, func() {
		x.g.settleUnmarked(a)
		x.g.forgetUnmarked()
	})
}

// settleUnmarked finds out what an answer that ended with its connection says of its
// request. Only a replica that has given no sign of life is probed.
func (g *Gateway) settleUnmarked(a unmarkedAnswer) {
	r := a.replica
	if !g.signSince(r, a.endedAt.Add(signAfter)) {
		if g.replicaEnded(context.Background(), r) {
			g.noteUnmarkedEnd(a)
			return
		}
		g.noteSign(r)
	}
	if !a.failed {
		g.noteAnswered(a.suspect)
	}
}

// noteUnmarkedEnd records that a replica ended with an answer.
func (g *Gateway) noteUnmarkedEnd(a unmarkedAnswer) {
	r := a.replica
	planned := g.leaves(r) || g.IsQuiet(r.Name, r.Incarnation)
	g.Log.Info("replica ended", "replica", r.Name, "incarnation", uint64(r.Incarnation), "end", blame.EndKey(r.Name, r.Incarnation).String(),
		"request", a.request, "route", a.route, "key", a.suspect.Request.String(), "parts", a.parts, "answered", g.Clock().Sub(a.endedAt).Milliseconds(), "leaving", planned)
	g.EndedAfterAnswer(a.route)
	if !planned {
		g.noteEnded(r, a.suspect, a.trial)
	}
}

// noteSign records a sign of life of a replica, if one is waited for.
func (g *Gateway) noteSign(r balance.Replica) {
	if g.unmarked.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signs[r.Name] = sign{r.Incarnation, g.Clock()}
}

// forgetUnmarked ends the wait of one answer, and forgets the signs after the last.
func (g *Gateway) forgetUnmarked() {
	if g.unmarked.Add(-1) > 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.signs)
}

// signSince reports whether a replica has given a sign of life since a time.
func (g *Gateway) signSince(r balance.Replica, since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.signs[r.Name]
	return s.incarnation == r.Incarnation && !s.at.Before(since)
}
