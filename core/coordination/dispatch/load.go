package dispatch

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/retry"
	"papayaspoke/core/ident"
)

const (
	// loadTimeout is how long a load may take before the daemon gives up; it
	// ends before the permit expires.
	loadTimeout = budget.PermitLifetime - time.Second
	// requestInterval is how often an unchanged permit request is repeated, so
	// that the budget holder knows that this owner is alive.
	requestInterval = 250 * time.Millisecond
)

// loadOption is a load that a replica could make, and the adapter that it would
// evict.
type loadOption struct {
	budget.DesiredLoad
	victim ident.Adapter
}

// bestLoad returns the load with the greatest benefit for p.
func (d *Dispatcher) bestLoad(now time.Time, p *replica) (loadOption, bool) {
	if p.waiting == 0 || !p.usable() || p.draining || p.load != nil || p.evictionUnknown() {
		return loadOption{}, false
	}
	queues := d.queuesToLoad(now, p)
	if len(queues) == 0 {
		return loadOption{}, false
	}
	victim, free := EvictionCandidate{}, p.freeSlots() > 0
	if !free {
		victims := p.evictable(now)
		if len(victims) == 0 {
			return loadOption{}, false
		}
		victim = victims[d.policy.ChooseVictim(now, victims)]
	}
	var best loadOption
	var bestFirst *request
	for _, q := range queues {
		first := q.requests[0]
		benefit := d.policy.LoadBenefit(len(q.requests), victim)
		if bestFirst != nil && (benefit < best.Benefit || benefit == best.Benefit && d.policy.Compare(first.Request, bestFirst.Request) > 0) {
			continue
		}
		bestFirst = first
		best.DesiredLoad = budget.DesiredLoad{Upstream: p.name, Adapter: q.adapter, Benefit: benefit, Deadline: d.latestStart(now, first)}
		best.victim = victim.Adapter
	}
	return best, true
}

// queuesToLoad returns the queues whose adapter is not resident and may be
// loaded.
func (d *Dispatcher) queuesToLoad(now time.Time, p *replica) []*queue {
	var out []*queue
	for a, q := range p.queues {
		if p.residents[a] == nil && !a.IsZero() && d.backoff.Allowed(now, retry.Pair{Upstream: p.name, Adapter: a}) {
			out = append(out, q)
		}
	}
	for i, r := range p.suspects {
		if p.residents[r.Adapter] == nil && d.backoff.Allowed(now, retry.Pair{Upstream: p.name, Adapter: r.Adapter}) {
			out = append(out, &queue{adapter: r.Adapter, requests: p.suspects[i : i+1]})
		}
	}
	return out
}

// latestStart returns when a load for r must start so that r can meet its
// deadline. The time is never in the past, because the budget holder drops
// loads whose deadline has passed and requests that still wait need theirs.
func (d *Dispatcher) latestStart(now time.Time, r *request) time.Time {
	t := r.Deadline.Add(-d.expectedRunTime(r) - d.loadTime.value())
	if earliest := now.Add(time.Second); t.Before(earliest) && r.isolated {
		return earliest
	}
	if earliest := now.Add(time.Millisecond); t.Before(earliest) {
		return earliest
	}
	return t
}

// requestLoads orders the loads that need no permit and requests permits for
// the others.
func (d *Dispatcher) requestLoads(now time.Time) {
	var loads []budget.DesiredLoad
	for _, p := range d.replicas {
		p.requestedAdapter = ident.Adapter{}
		option, ok := d.bestLoad(now, p)
		if !ok {
			continue
		}
		if !d.policy.NeedsPermits || d.fallback && d.takeFallbackLoad(now) {
			d.orderLoad(now, p, option, budget.Permit{StartBy: now.Add(time.Second)})
			continue
		}
		p.requestedAdapter = option.Adapter
		loads = append(loads, option.DesiredLoad)
	}
	if !d.policy.NeedsPermits || !d.requestDue(now, loads) {
		return
	}
	d.requestedLoads, d.requestedAt = loads, now
	d.emit(RequestPermits{Request: budget.PermitRequest{
		Owner:        d.self,
		DesiredLoads: slices.Clone(loads),
		Fallback:     d.fallback,
		Misses:       d.admission.misses,
		InTransit:    d.openLoads(),
	}})
}

func (d *Dispatcher) requestDue(now time.Time, loads []budget.DesiredLoad) bool {
	if now.Sub(d.requestedAt) >= requestInterval {
		return true
	}
	similar := func(a, b budget.DesiredLoad) bool {
		return a.Upstream == b.Upstream && a.Adapter == b.Adapter && b.Benefit < 2*a.Benefit
	}
	return !slices.EqualFunc(d.requestedLoads, loads, similar)
}

// onBudgetLost switches to the fixed share. If the share allows no loads,
// requests that wait for a load are handed back, to be routed to an owner that
// may load.
func (d *Dispatcher) onBudgetLost(now time.Time, ev BudgetLost) {
	d.fallback, d.fallbackLimits = true, ev.Share
	d.admission.share = 1
	for _, p := range d.replicas {
		d.emit(Announce{Upstream: p.name})
		if !d.canLoad() {
			d.reassignCold(now, p)
		}
	}
}

// reassignCold assigns the requests again that wait for an adapter to be
// loaded.
func (d *Dispatcher) reassignCold(now time.Time, p *replica) {
	waiting := p.waitingRequests()
	sortRequests(waiting)
	for _, r := range waiting {
		if !p.residentOrLoading(r.Adapter) {
			p.dequeue(r)
			d.assign(now, r)
		}
	}
}

// canLoad reports whether this owner is currently allowed to load adapters.
func (d *Dispatcher) canLoad() bool {
	return !d.policy.NeedsPermits || !d.fallback || d.fallbackLimits.PerSecond > 0
}

// takeFallbackLoad uses the fixed share for one load and reports whether the
// share allowed it.
func (d *Dispatcher) takeFallbackLoad(now time.Time) bool {
	d.fallbackStarts = slices.DeleteFunc(d.fallbackStarts, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	if len(d.fallbackStarts) >= d.fallbackLimits.PerSecond || d.openLoads() >= d.fallbackLimits.InTransit {
		return false
	}
	d.fallbackStarts = append(d.fallbackStarts, now)
	return true
}

func (d *Dispatcher) openLoads() int {
	var n int
	for _, p := range d.replicas {
		if p.load != nil {
			n++
		}
	}
	return n
}

// onPermitsGranted uses the permits that are still needed and returns the others.
func (d *Dispatcher) onPermitsGranted(now time.Time, ev PermitsGranted) {
	for _, permit := range ev.Permits {
		if !d.usePermit(now, permit) {
			d.emit(ReleasePermit{Permit: permit.ID})
		}
	}
}

func (d *Dispatcher) usePermit(now time.Time, permit budget.Permit) bool {
	p := d.find(permit.Upstream)
	if p == nil || !now.Before(permit.StartBy) {
		return false
	}
	option, ok := d.bestLoad(now, p)
	if !ok {
		return false
	}
	d.orderLoad(now, p, option, permit)
	return true
}

// orderLoad emits a load order. The victim is idle at this moment; from now on
// no request is sent to it.
func (d *Dispatcher) orderLoad(now time.Time, p *replica, option loadOption, permit budget.Permit) {
	if v := p.residents[option.victim]; v != nil {
		v.evicting = true
	}
	p.load = &pendingLoad{adapter: option.Adapter, evict: option.victim, orderedAt: now, permit: permit.ID}
	p.residentsChangedAt = now
	d.emit(Load{
		Upstream:    p.name,
		Incarnation: p.incarnation,
		Adapter:     option.Adapter,
		Evict:       option.victim,
		Fence:       p.fence,
		StartBy:     permit.StartBy,
		Deadline:    now.Add(loadTimeout),
	})
	d.emit(Announce{Upstream: p.name})
}

func (d *Dispatcher) onLoadDone(now time.Time, ev LoadDone) {
	p := d.find(ev.Upstream)
	if p == nil || p.load == nil || p.incarnation != ev.Incarnation {
		return
	}
	if ev.Adapter != p.load.adapter && ev.Err == nil {
		return
	}
	load := *p.load
	d.endLoad(p)
	p.residentsChangedAt = now
	d.settleEviction(p, load.evict, ev)
	pair := retry.Pair{Upstream: p.name, Adapter: load.adapter}
	if ev.Err != nil {
		d.backoff.RecordFailure(now, pair)
	} else {
		d.backoff.RecordSuccess(pair)
		d.loadTime.add(now.Sub(load.orderedAt))
		p.residents[load.adapter] = &resident{lastUsed: now}
	}
	d.emit(Announce{Upstream: p.name})
}

// settleEviction removes the evicted adapter from the residents if the engine
// confirmed the eviction. Without an answer, the adapter stays unusable until a
// report shows whether it is resident.
func (d *Dispatcher) settleEviction(p *replica, victim ident.Adapter, ev LoadDone) {
	v := p.residents[victim]
	if v == nil {
		return
	}
	gone, answered := ev.Evicted.Get()
	switch {
	case answered && gone:
		delete(p.residents, victim)
	case answered:
		v.evicting = false
	}
}

// evictionUnknown reports whether the outcome of an eviction is unknown.
func (p *replica) evictionUnknown() bool {
	for _, r := range p.residents {
		if r.evicting {
			return true
		}
	}
	return false
}

// endLoad ends the open load and returns its permit.
func (d *Dispatcher) endLoad(p *replica) {
	if p.load != nil && p.load.permit != 0 {
		d.emit(ReleasePermit{Permit: p.load.permit})
	}
	p.load = nil
}

func (d *Dispatcher) onUnloaded(now time.Time, ev Unloaded) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation != ev.Incarnation || ev.Err != nil {
		return
	}
	if r := p.residents[ev.Adapter]; r != nil && r.inFlight == 0 {
		delete(p.residents, ev.Adapter)
		p.residentsChangedAt = now
		d.emit(Announce{Upstream: p.name})
	}
}
