package dispatch

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/demand"
	"papayaspoke/core/ident"
)

// prefixes is the number of prompt heads remembered for each replica.
const prefixes = 32

// request is a request between its arrival and its end.
type request struct {
	Request
	// replica is the one that it waits for or was sent to; nil only before
	// the first placement.
	replica *replica
	// sent is when the newest attempt was sent; zero while it waits.
	sent time.Time
	// attempts counts the sends.
	attempts int
	// ran is true if a byte of an attempt may have reached an upstream.
	ran bool
	// alone is true for a suspect: nothing else may run beside it.
	alone bool
	// cancelled is true if the caller is gone; only while it is in flight.
	cancelled bool
}

func (r *request) inFlight() bool { return !r.sent.IsZero() }

// resident is an adapter in a replica's memory, as the replica said itself.
type resident struct {
	// inFlight is the number of requests sent by this owner that use it.
	inFlight int
	// inherited is true while requests of a former owner may use it.
	inherited bool
	// leaving is true from the order to evict it to the answer; nothing is
	// sent for it.
	leaving bool
	// used is when a request for it was last sent or finished.
	used time.Time
}

// loading is a load order without an answer.
type loading struct {
	adapter, evict ident.Adapter
	// ordered is when the order was given.
	ordered time.Time
	// permit is zero if the load needed none.
	permit budget.PermitID
}

// replica is an engine replica that this daemon owns.
type replica struct {
	name        ident.Upstream
	incarnation ident.Incarnation
	model       ident.Model
	dataCentre  ident.DataCentre
	fence       ident.Fence
	slots       int
	maxBatch    int

	// known is true once the residents are known from an answer of this
	// incarnation that was made under this ownership; nothing is sent or
	// loaded before.
	known bool
	// changed is the newest instant at which an order changed the residents;
	// reports made before it say nothing about them.
	changed time.Time
	// busyUntil is when the last request of a former owner has ended.
	busyUntil time.Time
	// down is true from a crash to the next sign of life.
	down bool
	// pausedUntil is when a replica that could not be reached is tried again.
	pausedUntil time.Time
	// unreached counts the attempts in a row that did not reach it.
	unreached int
	draining  bool

	// residents holds at most slots adapters, those on their way included.
	residents map[ident.Adapter]*resident
	// demand counts the requests that were placed here by adapter.
	demand *demand.Table
	// load is nil if no load order is open. Loads run one at a time.
	load *loading
	// asked is the adapter that the newest Request named, or zero.
	asked ident.Adapter

	// lines holds the requests that wait, without suspects; no line is empty.
	lines map[ident.Adapter]*line
	// suspects wait to run alone, in order.
	suspects []*request
	// waiting is the number of requests in lines and suspects.
	waiting int
	// inFlight is the number of requests sent by this owner.
	inFlight int
	// foreign is the number of requests that run for a former owner.
	foreign int
	// solo is the suspect that runs alone, or nil.
	solo *request
	// recent holds the newest prompt heads, newest last.
	recent []uint64
}

// line holds the requests that wait for one adapter, in order.
type line struct {
	adapter  ident.Adapter
	requests []*request
}

func (p *replica) usable() bool { return p.known && !p.down }

func (p *replica) accepts() bool { return !p.draining }

// holds reports whether the adapter is resident and stays so.
func (p *replica) holds(a ident.Adapter) bool {
	if a.IsZero() {
		return true
	}
	r := p.residents[a]
	return r != nil && !r.leaving
}

// expects reports whether the adapter is resident or on its way.
func (p *replica) expects(a ident.Adapter) bool {
	return p.holds(a) || p.load != nil && p.load.adapter == a
}

// pinned reports whether the adapter must not be evicted.
func (p *replica) pinned(a ident.Adapter, r *resident) bool {
	if r.inFlight > 0 || r.inherited || r.leaving {
		return true
	}
	if p.lines[a] != nil {
		return true
	}
	return slices.ContainsFunc(p.suspects, func(q *request) bool { return q.Adapter == a })
}

// idle returns the adapters that could be evicted, sorted.
func (p *replica) idle(now time.Time) []Idle {
	var out []Idle
	for a, r := range p.residents {
		if !p.pinned(a, r) {
			out = append(out, Idle{Adapter: a, Used: r.used, Demand: p.demand.At(now, a)})
		}
	}
	slices.SortFunc(out, func(a, b Idle) int { return a.Adapter.Compare(b.Adapter) })
	return out
}

// free returns the number of slots that are empty and not spoken for.
func (p *replica) free() int {
	n := p.slots - len(p.residents)
	if p.load != nil && p.load.evict.IsZero() {
		n--
	}
	return n
}

// room returns how many more requests can run.
func (p *replica) room() int { return p.maxBatch - p.inFlight - p.foreign }

func (p *replica) enqueue(r *request, compare func(a, b Request) int) {
	r.replica = p
	r.sent = time.Time{}
	p.waiting++
	if r.alone {
		p.suspects = insert(p.suspects, r, compare)
		return
	}
	l := p.lines[r.Adapter]
	if l == nil {
		l = &line{adapter: r.Adapter}
		p.lines[r.Adapter] = l
	}
	l.requests = insert(l.requests, r, compare)
}

func insert(rs []*request, r *request, compare func(a, b Request) int) []*request {
	i, _ := slices.BinarySearchFunc(rs, r, func(a, b *request) int { return compare(a.Request, b.Request) })
	return slices.Insert(rs, i, r)
}

// dequeue removes a request that waits.
func (p *replica) dequeue(r *request) {
	p.waiting--
	if r.alone {
		p.suspects = remove(p.suspects, r)
		return
	}
	l := p.lines[r.Adapter]
	l.requests = remove(l.requests, r)
	if len(l.requests) == 0 {
		delete(p.lines, r.Adapter)
	}
}

func remove(rs []*request, r *request) []*request {
	if len(rs) > 0 && rs[0] == r {
		rs[0] = nil
		return rs[1:]
	}
	i := slices.Index(rs, r)
	return slices.Delete(rs, i, i+1)
}

// queued returns all requests that wait, in no particular order.
func (p *replica) queued() []*request {
	out := slices.Clone(p.suspects)
	for _, l := range p.lines {
		out = append(out, l.requests...)
	}
	return out
}

// remember notes a prompt head.
func (p *replica) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	p.recent = slices.DeleteFunc(p.recent, func(x uint64) bool { return x == prefix })
	if len(p.recent) == prefixes {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	p.recent = append(p.recent, prefix)
}

// forget drops everything that a restart takes away.
func (p *replica) forget() {
	clear(p.residents)
	p.load = nil
	p.asked = ident.Adapter{}
	p.recent = nil
	p.foreign = 0
	p.busyUntil = time.Time{}
}
