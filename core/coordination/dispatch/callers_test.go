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

// call is one request of the workload.
type call struct {
	req     dispatch.Request
	run     time.Duration
	poison  bool
	entry   *daemon
	owner   *daemon
	exclude []ident.Upstream
	loaded  time.Time
	suspect bool
	started bool // a byte of it reached an engine
	arrived bool // at its owner
	ended   bool
	how     ending
}

// arriveAll lets calls arrive that are sorted by time; only the next one is
// on the agenda.
func (w *world) arriveAll(calls []*call) {
	if len(calls) == 0 {
		return
	}
	w.after(calls[0].req.Arrived.Sub(w.now), func() {
		w.arrive(calls[0])
		w.arriveAll(calls[1:])
	})
}

// arrive lets a call reach a random daemon, which routes it.
func (w *world) arrive(c *call) {
	w.calls[c.req.ID] = c
	c.entry = w.daemons[w.rng.IntN(len(w.daemons))]
	for c.entry.lost {
		c.entry = w.daemons[w.rng.IntN(len(w.daemons))]
	}
	w.route(c)
}

func (w *world) route(c *call) {
	if c.ended || c.entry.lost {
		return
	}
	q := routing.Query{Model: model, Adapter: c.req.Adapter, DataCentre: c.entry.centre, Exclude: c.exclude, Digest: c.req.Digest}
	q.Suspect = c.suspect || c.entry.d.Verdict(w.now, c.req.Digest) == quarantine.Suspect
	choice, ok := c.entry.dir.Route(q)
	if !ok {
		w.stats.cause(c, "no route")
		w.end(c, refusedEnd)
		return
	}
	c.entry.dir.RecordSent(choice.Upstream, c.req.Adapter)
	c.req.Upstream = choice.Upstream
	c.owner, c.arrived = w.engine(choice.Upstream).owner, false
	w.after(hop, func() {
		if c.owner.lost {
			w.after(2*time.Second, func() { w.reroute(c) })
			return
		}
		c.arrived = true
		w.step(c.owner, dispatch.Arrived{Request: c.req})
	})
}

func (w *world) reroute(c *call) {
	c.exclude = append(c.exclude, c.req.Upstream)
	c.arrived = false
	w.after(hop, func() { w.route(c) })
}

func (w *world) refused(dm *daemon, ef dispatch.Refuse) {
	c := w.calls[ef.Request]
	if c.started {
		w.fault("told not run, but it was sent: " + string(c.req.ID))
	}
	if c.entry.lost {
		return
	}
	if code := ef.Err.Code(); (code == result.NoUpstream || code == result.Draining) && len(c.exclude) < 3 {
		w.reroute(c)
		return
	}
	w.stats.cause(c, cause(ef.Err))
	c.noteWait(w, strings.Contains(ef.Err.Detail(), "did not arrive") || strings.Contains(ef.Err.Detail(), "be loaded"))
	w.end(c, refusedEnd)
}

func (w *world) failed(_ *daemon, ef dispatch.Fail) {
	c := w.calls[ef.Request]
	if c.entry.lost {
		return
	}
	if ef.Retry && len(c.exclude) < 3 {
		c.req.Retried, c.suspect = true, ef.Err.Code() == result.UpstreamFailed && w.rules.dispatch.Isolates
		w.reroute(c)
		return
	}
	w.stats.cause(c, cause(ef.Err))
	w.end(c, failedEnd)
}

func (w *world) end(c *call, how ending) {
	if c.ended {
		w.fault(fmt.Sprintf("ended twice: %s, first %v, then %v", c.req.ID, c.how, how))
	}
	c.ended, c.how = true, how
	w.stats.end(w, c, how)
}

func (w *world) fault(s string) { w.faults = append(w.faults, s) }

// loseCalls ends the calls that entered at a lost daemon; those that were
// forwarded to one are sent anew when their entry notices.
func (w *world) loseCalls() {
	for _, c := range w.sortedCalls() {
		switch {
		case c.ended:
		case c.entry.lost:
			c.ended = true
			w.stats.lost++
		case c.arrived && c.owner.lost:
			w.after(2*time.Second, func() {
				c.req.Retried = true
				w.reroute(c)
			})
		}
	}
}

func (w *world) sortedCalls() []*call {
	var out []*call
	for _, c := range w.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Compare(a.req.ID, b.req.ID) })
	return out
}
