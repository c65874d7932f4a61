package dispatch

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/demand"
	"papayaspoke/core/ident"
)

// maxRecentPrefixes is the number of prompt prefixes remembered for each
// replica.
const maxRecentPrefixes = 32

// request is a request between its arrival and its end.
type request struct {
	Request
	// replica is the one at which it is queued or to which it was sent; nil
	// only before the first assignment.
	replica *replica
	// sentAt is when the newest attempt was sent; zero while it waits.
	sentAt time.Time
	// attempts counts how often the request was sent.
	attempts int
	// mayHaveRun is true if a byte of an attempt may have reached an upstream.
	mayHaveRun bool
	// isolated is true for a suspect: no other request may run on the replica
	// at the same time.
	isolated bool
	// cancelled is true if the caller disconnected while it was in flight.
	cancelled bool
}

func (r *request) inFlight() bool { return !r.sentAt.IsZero() }

// resident is an adapter in a replica's memory, as the replica reported it.
type resident struct {
	// inFlight is the number of requests sent by this owner that use it.
	inFlight int
	// inherited is true while requests sent by a former owner may use it.
	inherited bool
	// evicting is true from the eviction order to its answer; meanwhile no
	// request is sent to it.
	evicting bool
	// lastUsed is when a request for it was last sent or finished.
	lastUsed time.Time
}

// pendingLoad is a load order that has not been answered.
type pendingLoad struct {
	adapter, evict ident.Adapter
	// orderedAt is when the order was emitted.
	orderedAt time.Time
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

	// residentsKnown is true once this incarnation has reported its residents
	// under this ownership. Before that, nothing is sent or loaded.
	residentsKnown bool
	// residentsChangedAt is when an order last changed the residents. Reports
	// made before that are outdated and ignored.
	residentsChangedAt time.Time
	// inheritedUntil is the time by which all requests of a former owner have
	// ended.
	inheritedUntil time.Time
	// down is true from a crash until the next report or restart.
	down bool
	// backoffUntil is when requests are sent again to a replica that could not
	// be reached.
	backoffUntil time.Time
	// connectFailures counts consecutive attempts that did not reach the
	// replica.
	connectFailures int
	draining        bool

	// residents holds at most slots adapters, including those being loaded.
	residents map[ident.Adapter]*resident
	// demand counts the requests that were assigned here, by adapter.
	demand *demand.Table
	// load is nil if no load order is pending. Loads run one at a time.
	load *pendingLoad
	// requestedAdapter is the adapter that the newest permit request names for
	// this replica, or zero.
	requestedAdapter ident.Adapter

	// queues holds the waiting requests that are not suspects; no queue is
	// empty.
	queues map[ident.Adapter]*queue
	// suspects holds the requests that wait to run isolated, in order.
	suspects []*request
	// waiting is the number of requests in queues and suspects.
	waiting int
	// inFlight is the number of requests sent by this owner.
	inFlight int
	// inheritedInFlight is the number of running requests that a former owner
	// sent.
	inheritedInFlight int
	// runningSuspect is the suspect that currently runs, or nil.
	runningSuspect *request
	// recentPrefixes holds the most recent prompt prefixes, newest last.
	recentPrefixes []uint64
}

// queue holds the requests that wait for one adapter, in order.
type queue struct {
	adapter  ident.Adapter
	requests []*request
}

func (p *replica) usable() bool { return p.residentsKnown && !p.down }

func (p *replica) acceptsWork() bool { return !p.draining }

// canServe reports whether the adapter is resident and not being evicted.
func (p *replica) canServe(a ident.Adapter) bool {
	if a.IsZero() {
		return true
	}
	r := p.residents[a]
	return r != nil && !r.evicting
}

// residentOrLoading reports whether the adapter is resident or being loaded.
func (p *replica) residentOrLoading(a ident.Adapter) bool {
	return p.canServe(a) || p.load != nil && p.load.adapter == a
}

// pinned reports whether the adapter must not be evicted.
func (p *replica) pinned(a ident.Adapter, r *resident) bool {
	if r.inFlight > 0 || r.inherited || r.evicting {
		return true
	}
	if p.queues[a] != nil {
		return true
	}
	return slices.ContainsFunc(p.suspects, func(q *request) bool { return q.Adapter == a })
}

// evictable returns the adapters that could be evicted, sorted.
func (p *replica) evictable(now time.Time) []EvictionCandidate {
	var out []EvictionCandidate
	for a, r := range p.residents {
		if !p.pinned(a, r) {
			out = append(out, EvictionCandidate{Adapter: a, LastUsed: r.lastUsed, Demand: p.demand.At(now, a)})
		}
	}
	slices.SortFunc(out, func(a, b EvictionCandidate) int { return a.Adapter.Compare(b.Adapter) })
	return out
}

// freeSlots returns the number of slots that are empty and not reserved for the
// pending load.
func (p *replica) freeSlots() int {
	n := p.slots - len(p.residents)
	if p.load != nil && p.load.evict.IsZero() {
		n--
	}
	return n
}

// freeCapacity returns how many more requests can run concurrently.
func (p *replica) freeCapacity() int { return p.maxBatch - p.inFlight - p.inheritedInFlight }

func (p *replica) enqueue(r *request, compare func(a, b Request) int) {
	r.replica = p
	r.sentAt = time.Time{}
	p.waiting++
	if r.isolated {
		p.suspects = insert(p.suspects, r, compare)
		return
	}
	q := p.queues[r.Adapter]
	if q == nil {
		q = &queue{adapter: r.Adapter}
		p.queues[r.Adapter] = q
	}
	q.requests = insert(q.requests, r, compare)
}

func insert(rs []*request, r *request, compare func(a, b Request) int) []*request {
	i, _ := slices.BinarySearchFunc(rs, r, func(a, b *request) int { return compare(a.Request, b.Request) })
	return slices.Insert(rs, i, r)
}

// dequeue removes a waiting request.
func (p *replica) dequeue(r *request) {
	p.waiting--
	if r.isolated {
		p.suspects = remove(p.suspects, r)
		return
	}
	q := p.queues[r.Adapter]
	q.requests = remove(q.requests, r)
	if len(q.requests) == 0 {
		delete(p.queues, r.Adapter)
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

// waitingRequests returns all waiting requests, in no particular order.
func (p *replica) waitingRequests() []*request {
	out := slices.Clone(p.suspects)
	for _, q := range p.queues {
		out = append(out, q.requests...)
	}
	return out
}

// rememberPrefix records prefix as the most recent one.
func (p *replica) rememberPrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	p.recentPrefixes = slices.DeleteFunc(p.recentPrefixes, func(x uint64) bool { return x == prefix })
	if len(p.recentPrefixes) == maxRecentPrefixes {
		p.recentPrefixes = slices.Delete(p.recentPrefixes, 0, 1)
	}
	p.recentPrefixes = append(p.recentPrefixes, prefix)
}

// reset drops the state that a restarted replica has lost.
func (p *replica) reset() {
	clear(p.residents)
	p.load = nil
	p.requestedAdapter = ident.Adapter{}
	p.recentPrefixes = nil
	p.inheritedInFlight = 0
	p.inheritedUntil = time.Time{}
}
