package dispatch

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/retry"
	"papayaspoke/core/ident"
)

const (
	// loadDeadline is how long a load may take before the daemon gives up; it
	// ends before the permit expires.
	loadDeadline = budget.Lifetime - time.Second
	// askEvery is how often an unchanged Request is repeated, so that the holder
	// knows that this owner can be heard.
	askEvery = 250 * time.Millisecond
)

// want is the load that would help a replica most.
type want struct {
	budget.DesiredLoad
	victim ident.Adapter
}

// bestWant returns the most useful load for p.
func (d *Dispatcher) bestWant(now time.Time, p *replica) (want, bool) {
	if p.waiting == 0 || !p.usable() || p.draining || p.load != nil || p.uncertain() {
		return want{}, false
	}
	lines := d.coldLines(now, p)
	if len(lines) == 0 {
		return want{}, false
	}
	victim, room := Idle{}, p.free() > 0
	if !room {
		idle := p.idle(now)
		if len(idle) == 0 {
			return want{}, false
		}
		victim = idle[d.policy.Victim(now, idle)]
	}
	var best want
	var first *request
	for _, l := range lines {
		head := l.requests[0]
		saves := d.policy.Saves(len(l.requests), victim)
		if first != nil && (saves < best.Benefit || saves == best.Benefit && d.policy.Compare(head.Request, first.Request) > 0) {
			continue
		}
		first = head
		best.DesiredLoad = budget.DesiredLoad{Upstream: p.name, Adapter: l.adapter, Benefit: saves, Deadline: d.latestStart(now, head)}
		best.victim = victim.Adapter
	}
	return best, true
}

// coldLines returns the lines that wait for an adapter that may be loaded.
func (d *Dispatcher) coldLines(now time.Time, p *replica) []*line {
	var out []*line
	for a, l := range p.lines {
		if p.residents[a] == nil && !a.IsZero() && d.backoff.Allowed(now, retry.Pair{Upstream: p.name, Adapter: a}) {
			out = append(out, l)
		}
	}
	for i, r := range p.suspects {
		if p.residents[r.Adapter] == nil && d.backoff.Allowed(now, retry.Pair{Upstream: p.name, Adapter: r.Adapter}) {
			out = append(out, &line{adapter: r.Adapter, requests: p.suspects[i : i+1]})
		}
	}
	return out
}

// latestStart returns when a load for r must start so that r can meet its
// deadline, but never a time that has passed: what still waits is wanted.
func (d *Dispatcher) latestStart(now time.Time, r *request) time.Time {
	t := r.Deadline.Add(-d.runTime(r) - d.loads.span())
	if soon := now.Add(time.Second); t.Before(soon) && r.alone {
		return soon
	}
	if least := now.Add(time.Millisecond); t.Before(least) {
		return least
	}
	return t
}

// ask orders the loads that need no permit and tells the holder of the others.
func (d *Dispatcher) ask(now time.Time) {
	var wants []budget.DesiredLoad
	for _, p := range d.replicas {
		p.asked = ident.Adapter{}
		w, ok := d.bestWant(now, p)
		if !ok {
			continue
		}
		if !d.policy.Budgeted || d.fallback && d.takeShare(now) {
			d.order(now, p, w, budget.Permit{StartBy: now.Add(time.Second)})
			continue
		}
		p.asked = w.Adapter
		wants = append(wants, w.DesiredLoad)
	}
	if !d.policy.Budgeted || !d.askDue(now, wants) {
		return
	}
	d.asked, d.askedAt = wants, now
	d.emit(RequestPermits{Request: budget.PermitRequest{
		Owner:        d.self,
		DesiredLoads: slices.Clone(wants),
		Fallback:     d.fallback,
		Misses:       d.admission.misses,
		InTransit:    d.loading(),
	}})
}

func (d *Dispatcher) askDue(now time.Time, wants []budget.DesiredLoad) bool {
	if now.Sub(d.askedAt) >= askEvery {
		return true
	}
	same := func(a, b budget.DesiredLoad) bool {
		return a.Upstream == b.Upstream && a.Adapter == b.Adapter && b.Benefit < 2*a.Benefit
	}
	return !slices.EqualFunc(d.asked, wants, same)
}

// budgetLost switches to the fixed share. If it is nothing, requests that wait
// for a load are handed back, to be routed to an owner that may load.
func (d *Dispatcher) budgetLost(now time.Time, ev BudgetLost) {
	d.fallback, d.share = true, ev.Share
	d.admission.share = 1
	for _, p := range d.replicas {
		d.emit(Announce{Upstream: p.name})
		if !d.mayLoad() {
			d.moveCold(now, p)
		}
	}
}

// moveCold places the requests anew that wait for an adapter to be loaded.
func (d *Dispatcher) moveCold(now time.Time, p *replica) {
	waiting := p.queued()
	sortRequests(waiting)
	for _, r := range waiting {
		if !p.expects(r.Adapter) {
			p.dequeue(r)
			d.place(now, r)
		}
	}
}

// mayLoad reports whether this owner may load at all at present.
func (d *Dispatcher) mayLoad() bool {
	return !d.policy.Budgeted || !d.fallback || d.share.PerSecond > 0
}

// takeShare uses the fixed share for one load, if it allows one now.
func (d *Dispatcher) takeShare(now time.Time) bool {
	d.starts = slices.DeleteFunc(d.starts, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	if len(d.starts) >= d.share.PerSecond || d.loading() >= d.share.InTransit {
		return false
	}
	d.starts = append(d.starts, now)
	return true
}

func (d *Dispatcher) loading() int {
	var n int
	for _, p := range d.replicas {
		if p.load != nil {
			n++
		}
	}
	return n
}

// granted uses permits that are still of use and returns the others.
func (d *Dispatcher) granted(now time.Time, ev PermitsGranted) {
	for _, permit := range ev.Permits {
		if !d.use(now, permit) {
			d.emit(ReleasePermit{Permit: permit.ID})
		}
	}
}

func (d *Dispatcher) use(now time.Time, permit budget.Permit) bool {
	p := d.find(permit.Upstream)
	if p == nil || !now.Before(permit.StartBy) {
		return false
	}
	w, ok := d.bestWant(now, p)
	if !ok {
		return false
	}
	d.order(now, p, w, permit)
	return true
}

// order gives a load order. The victim is idle at this moment and nothing is
// sent for it from now on.
func (d *Dispatcher) order(now time.Time, p *replica, w want, permit budget.Permit) {
	if v := p.residents[w.victim]; v != nil {
		v.leaving = true
	}
	p.load = &loading{adapter: w.Adapter, evict: w.victim, ordered: now, permit: permit.ID}
	p.changed = now
	d.emit(Load{
		Upstream:    p.name,
		Incarnation: p.incarnation,
		Adapter:     w.Adapter,
		Evict:       w.victim,
		Fence:       p.fence,
		StartBy:     permit.StartBy,
		Deadline:    now.Add(loadDeadline),
	})
	d.emit(Announce{Upstream: p.name})
}

func (d *Dispatcher) loadDone(now time.Time, ev LoadDone) {
	p := d.find(ev.Upstream)
	if p == nil || p.load == nil || p.incarnation != ev.Incarnation {
		return
	}
	if ev.Adapter != p.load.adapter && ev.Err == nil {
		return
	}
	load := *p.load
	d.dropLoad(p)
	p.changed = now
	d.noteVictim(p, load.evict, ev)
	pair := retry.Pair{Upstream: p.name, Adapter: load.adapter}
	if ev.Err != nil {
		d.backoff.Failed(now, pair)
	} else {
		d.backoff.Loaded(pair)
		d.loads.add(now.Sub(load.ordered))
		p.residents[load.adapter] = &resident{used: now}
	}
	d.emit(Announce{Upstream: p.name})
}

// noteVictim takes the evicted adapter from the residents if the engine said
// so. If it did not say, the adapter stays unusable until a report tells.
func (d *Dispatcher) noteVictim(p *replica, victim ident.Adapter, ev LoadDone) {
	v := p.residents[victim]
	if v == nil {
		return
	}
	gone, answered := ev.Evicted.Get()
	switch {
	case answered && gone:
		delete(p.residents, victim)
	case answered:
		v.leaving = false
	}
}

// uncertain reports whether the outcome of an eviction is unknown.
func (p *replica) uncertain() bool {
	for _, r := range p.residents {
		if r.leaving {
			return true
		}
	}
	return false
}

// dropLoad ends the open load and returns its permit.
func (d *Dispatcher) dropLoad(p *replica) {
	if p.load != nil && p.load.permit != 0 {
		d.emit(ReleasePermit{Permit: p.load.permit})
	}
	p.load = nil
}

func (d *Dispatcher) unloaded(now time.Time, ev Unloaded) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation != ev.Incarnation || ev.Err != nil {
		return
	}
	if r := p.residents[ev.Adapter]; r != nil && r.inFlight == 0 {
		delete(p.residents, ev.Adapter)
		p.changed = now
		d.emit(Announce{Upstream: p.name})
	}
}
