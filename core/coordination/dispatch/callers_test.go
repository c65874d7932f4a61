package dispatch_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// call is one request of a workload.
type call struct {
	req      dispatch.Request
	runTime  time.Duration
	poison   bool
	ingress  *daemon
	owner    *daemon
	exclude  []ident.Upstream
	loadedAt time.Time
	suspect  bool
	started  bool // a byte of it has reached an engine
	atOwner  bool // it has reached its owner
	ended    bool
	outcome  outcome
}

// arriveAll lets calls arrive that are sorted by time. Only the next one is in
// the event queue.
func (sim *simulation) arriveAll(calls []*call) {
	if len(calls) == 0 {
		return
	}
	sim.after(calls[0].req.Arrived.Sub(sim.now), func() {
		sim.arrive(calls[0])
		sim.arriveAll(calls[1:])
	})
}

// arrive delivers a call to a random daemon, which routes it.
func (sim *simulation) arrive(c *call) {
	sim.calls[c.req.ID] = c
	c.ingress = sim.daemons[sim.rng.IntN(len(sim.daemons))]
	for c.ingress.lost {
		c.ingress = sim.daemons[sim.rng.IntN(len(sim.daemons))]
	}
	sim.route(c)
}

func (sim *simulation) route(c *call) {
	if c.ended || c.ingress.lost {
		return
	}
	q := routing.Query{Model: model, Adapter: c.req.Adapter, DataCentre: c.ingress.dataCentre, Exclude: c.exclude, Digest: c.req.Digest}
	q.Suspect = c.suspect || c.ingress.d.Verdict(sim.now, c.req.Digest) == quarantine.Suspect
	choice, ok := c.ingress.dir.Route(q)
	if !ok {
		sim.stats.recordCause(c, "no route")
		sim.end(c, outcomeRefused)
		return
	}
	c.ingress.dir.RecordSent(choice.Upstream, c.req.Adapter)
	c.req.Upstream = choice.Upstream
	c.owner, c.atOwner = sim.engine(choice.Upstream).owner, false
	sim.after(daemonDelay, func() {
		if c.owner.lost {
			sim.after(2*time.Second, func() { sim.reroute(c) })
			return
		}
		c.atOwner = true
		sim.step(c.owner, dispatch.Arrived{Request: c.req})
	})
}

func (sim *simulation) reroute(c *call) {
	c.exclude = append(c.exclude, c.req.Upstream)
	c.atOwner = false
	sim.after(daemonDelay, func() { sim.route(c) })
}

func (sim *simulation) refused(dm *daemon, ef dispatch.Refuse) {
	c := sim.calls[ef.Request]
	if c.started {
		sim.violate("refused as not run, but it was sent: " + string(c.req.ID))
	}
	if c.ingress.lost {
		return
	}
	if code := ef.Err.Code(); (code == result.NoUpstream || code == result.Draining) && len(c.exclude) < 3 {
		sim.reroute(c)
		return
	}
	sim.stats.recordCause(c, errorCause(ef.Err))
	c.recordRefusedStall(sim, strings.Contains(ef.Err.Detail(), "was not loaded in time") || strings.Contains(ef.Err.Detail(), "the load budget allows"))
	sim.end(c, outcomeRefused)
}

func (sim *simulation) failed(_ *daemon, ef dispatch.Fail) {
	c := sim.calls[ef.Request]
	if c.ingress.lost {
		return
	}
	if ef.Retry && len(c.exclude) < 3 {
		c.req.Retried, c.suspect = true, ef.Err.Code() == result.UpstreamFailed && sim.policies.dispatch.IsolateSuspects
		sim.reroute(c)
		return
	}
	sim.stats.recordCause(c, errorCause(ef.Err))
	sim.end(c, outcomeFailed)
}

func (sim *simulation) end(c *call, o outcome) {
	if c.ended {
		sim.violate(fmt.Sprintf("ended twice: %s, first %v, then %v", c.req.ID, c.outcome, o))
	}
	c.ended, c.outcome = true, o
	sim.stats.recordEnd(sim, c, o)
}

func (sim *simulation) violate(s string) { sim.violations = append(sim.violations, s) }

// failCalls ends the calls whose ingress daemon is lost. Calls that were
// forwarded to a lost daemon are routed again once their ingress notices.
func (sim *simulation) failCalls() {
	for _, c := range sim.sortedCalls() {
		switch {
		case c.ended:
		case c.ingress.lost:
			c.ended = true
			sim.stats.lost++
		case c.atOwner && c.owner.lost:
			sim.after(2*time.Second, func() {
				c.req.Retried = true
				sim.reroute(c)
			})
		}
	}
}

func (sim *simulation) sortedCalls() []*call {
	var out []*call
	for _, c := range sim.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.req.ID, b.req.ID) })
	return out
}
