package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// minIdleBeforeEviction is how long an adapter must be unused before it can
	// be evicted.
	minIdleBeforeEviction = 400 * time.Millisecond
	// rankCost is the cost, in seconds, of the last replica in rendezvous order
	// over the first: less than a load from the store, more than one from the
	// disk.
	rankCost = 0.1
	// lateBenefit is the value of a late answer relative to one in time;
	// operators state 0.3 to 0.5.
	lateBenefit = 0.4
)

// maxPlaceFailures limits how many adapters that fit nowhere are tried in one
// round of placement, to bound its cost.
const maxPlaceFailures = 16

// roundState is derived from all replicas once for each round of placement.
type roundState struct {
	// transit counts the adapters in transit or about to be ordered.
	transit int
	// holders counts the replicas that hold weights; versions is the newest
	// version at a replica that is or will be usable. Both are by weights.
	holders  map[Weights]int
	versions map[Weights]uint64
}

// startRound derives the state of the round and evaluates loads that are due.
func (p *Placer) startRound(now time.Time) {
	v := roundState{holders: make(map[Weights]int), versions: make(map[Weights]uint64)}
	for _, s := range p.replicas {
		s.usedSlots, s.loading, s.evictionSearched = s.countUsedSlots(), s.loadingCount(now), false
		v.transit += s.loading
		serving := !s.Leaving && !p.isAvoided(s)
		for w, res := range s.residents {
			if !res.evaluated && !w.IsModel() && now.Sub(res.dueAt) > evaluateAfter {
				res.evaluated = true
				p.evaluate(res)
			}
			if !res.usable() {
				continue
			}
			v.holders[w]++
			if serving {
				v.addVersion(w, res.version)
			}
		}
		for _, o := range s.pending {
			if o.Load && serving {
				v.addVersion(o.Weights, o.Version)
			}
		}
	}
	p.round = v
}

// evaluate passes the result of a load to the store estimate, unless no request
// has used the adapter: then it is unknown whether it arrived in time.
func (p *Placer) evaluate(res *resident) {
	if res.late || res.usedAt.After(res.dueAt) {
		p.store.evaluate(res.loadRecord, res.dueAt.Sub(res.changedAt))
	}
}

// addVersion records that a replica holds, or will hold, a version.
func (v roundState) addVersion(w Weights, version uint64) {
	if old, ok := v.versions[w]; !ok || version > old {
		v.versions[w] = version
	}
}

// place runs one round of placement and sends the resulting orders.
func (p *Placer) place(now time.Time) {
	p.newDemand = false
	p.nextPlaceAt = now.Add(min(maxPlaceInterval, time.Duration(len(p.replicas))*placeIntervalPerReplica))
	p.expireDemands(now)
	p.updateAvoided(now)
	p.startRound(now)
	p.replaceOutdated(now)
	p.placeModels(now)
	failures := 0
	for _, n := range p.needs(now) {
		if p.round.transit >= p.store.limit() || failures > maxPlaceFailures {
			break
		}
		if !p.placeOne(now, n.weights, n.version, n.service) {
			failures++
			continue
		}
		if s := p.shortages[n.weights]; s != nil {
			s.copies++
		}
	}
	p.send(now)
}

// need is an adapter that has to be loaded at some replica.
type need struct {
	weights Weights
	service ident.Service
	version uint64
	// benefit is the number of requests that the load serves sooner.
	benefit float64
	since   time.Time
}

func (p *Placer) expireDemands(now time.Time) {
	for w, x := range p.wants {
		for d, n := range x.waiting {
			if now.After(n.expiresAt) {
				delete(x.waiting, d)
			}
		}
		if len(x.waiting) == 0 {
			delete(p.wants, w)
		}
	}
}

// needs returns the adapters to load and those that need another copy, by
// decreasing benefit: otherwise a burst of rare adapters would keep the store
// busy while all requests for a popular one queue at its only copy. If the
// store can't keep up, requests that can still be served in time go first;
// first come, first served would make all of them late.
func (p *Placer) needs(now time.Time) []need {
	var out []need
	for w, x := range p.wants {
		if w.IsModel() || p.isPlaced(w, max(x.version, p.namedVersions[w])) {
			continue
		}
		n := need{weights: w, service: x.service, version: x.version, since: x.since}
		for _, c := range x.waiting {
			n.benefit += float64(c.count)
		}
		if now.After(x.startDeadline) {
			n.benefit *= lateBenefit
		}
		out = append(out, n)
	}
	for w, s := range p.shortages {
		for more := 0; s.excess(more) > 0 && s.copies+more < len(p.replicas); more++ {
			out = append(out, need{weights: w, service: s.service, version: p.namedVersions[w], benefit: s.excess(more)})
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.benefit, a.benefit), a.since.Compare(b.since), cmp.Compare(a.weights.Adapter, b.weights.Adapter))
	})
	return out
}

// isPlaced reports whether a replica holds w at the version or loads it, or an
// order to load w is pending.
func (p *Placer) isPlaced(w Weights, version uint64) bool {
	newest, ok := p.round.versions[w]
	return ok && (newest >= version || p.isPlanned(w))
}

// isPlanned reports whether an order to load w is pending.
func (p *Placer) isPlanned(w Weights) bool {
	for _, s := range p.replicas {
		if s.plansLoad(w) && !s.Leaving && !p.isAvoided(s) {
			return true
		}
	}
	return false
}

// updateAvoided determines which replicas are avoided, unless they are too
// many.
func (p *Placer) updateAvoided(now time.Time) {
	clear(p.avoided)
	for name, s := range p.replicas {
		for d, until := range s.avoidedBy {
			if now.After(until) {
				delete(s.avoidedBy, d)
			}
		}
		if !s.lastSeenAt.IsZero() && now.Sub(s.lastSeenAt) > announcementTimeout {
			p.avoided[name] = true
		}
		// A single daemon may itself have lost its connection to the replica.
		if len(s.avoidedBy) >= min(2, len(p.daemons)) && len(s.avoidedBy) > 0 {
			p.avoided[name] = true
		}
	}
	if float64(len(p.avoided)) > maxAvoidedShare*float64(len(p.replicas)) {
		clear(p.avoided)
	}
}

func (p *Placer) isAvoided(s *replicaState) bool { return p.avoided[s.Name] }

func (s *replicaState) plansLoad(w Weights) bool {
	return slices.ContainsFunc(s.pending, func(o Order) bool { return o.Load && o.Weights == w })
}

// TransitCount returns the number of adapters in transit or about to be ordered.
func (p *Placer) TransitCount(now time.Time) int { return p.transitCount(now) }

// transitCount returns the number of adapters in transit or about to be
// ordered.
func (p *Placer) transitCount(now time.Time) int {
	n := 0
	for _, s := range p.replicas {
		n += s.loadingCount(now)
	}
	return n
}

// fetchingCount returns the number of adapters that the store is serving now.
func (p *Placer) fetchingCount(now time.Time) int {
	n := 0
	for _, s := range p.replicas {
		for w, res := range s.residents {
			if !w.IsModel() && !res.evaluated && res.dueAt.After(now) {
				n++
			}
		}
	}
	return n
}

func (s *replicaState) loadingCount(now time.Time) int {
	n := 0
	for w, res := range s.residents {
		if !w.IsModel() && res.readyAt.After(now) {
			n++
		}
	}
	for _, o := range s.pending {
		if o.Load {
			n++
		}
	}
	return n
}

// countUsedSlots returns the number of adapter slots taken or about to be.
func (s *replicaState) countUsedSlots() int {
	n := 0
	for w := range s.residents {
		if !w.IsModel() {
			n++
		}
	}
	for _, o := range s.pending {
		if !o.Weights.IsModel() && o.Load {
			if s.residents[o.Weights] == nil {
				n++
			}
		}
	}
	return n
}

// candidate is a possible placement of an adapter.
type candidate struct {
	replica *replicaState
	// victim is the adapter to evict; its Adapter is empty if a slot is free.
	victim Weights
	cost   float64
}

// placeOne plans the load of an adapter at the best replica. It reports whether
// there is one.
func (p *Placer) placeOne(now time.Time, w Weights, version uint64, service ident.Service) bool {
	best := candidate{cost: math.Inf(1)}
	for _, name := range p.names {
		s := p.replicas[name]
		if p.isAvoided(s) || !s.acceptsLoad(now, w, service) {
			continue
		}
		if c, ok := p.candidateAt(now, s, w); ok && c.cost < best.cost {
			best = c
		}
	}
	if best.replica == nil {
		return false
	}
	s := best.replica
	s.evictionSearched = false
	if !best.victim.IsModel() {
		s.residents[best.victim].unloading = true
		s.residents[best.victim].changedAt = now
		s.pending = append(s.pending, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: best.victim})
		p.markChanged(s)
	}
	version = max(version, p.namedVersions[w])
	s.pending = append(s.pending, Order{
		Replica: s.Name, Incarnation: s.Incarnation, Weights: w, Load: true, Version: version,
	})
	s.usedSlots++
	s.loading++
	p.round.transit++
	p.round.addVersion(w, version)
	return true
}

// acceptsLoad reports whether the replica may be ordered to load w now.
func (s *replicaState) acceptsLoad(now time.Time, w Weights, service ident.Service) bool {
	if !s.listed || s.stale || s.Leaving || s.Service != service || now.Before(s.noOrdersUntil) || len(s.pending) > 2 {
		return false
	}
	m := s.residents[Weights{Model: w.Model}]
	return m != nil && m.usable() && !m.readyAt.After(now) && s.residents[w] == nil && !s.plansLoad(w) && s.loading < maxReplicaTransit
}

// candidateAt returns the placement of w at a replica with its cost, in seconds
// of waiting.
func (p *Placer) candidateAt(now time.Time, s *replicaState, w Weights) (candidate, bool) {
	c := candidate{replica: s, cost: p.store.fetchTime.Seconds()}
	if _, ok := s.droppedAt[w]; ok {
		c.cost = diskLoadTime.Seconds()
	}
	c.cost += rankCost * rendezvousRank(s.Name, w)
	if s.Batch > 0 {
		load := float64(s.running) / float64(s.Batch)
		c.cost += load * load
	}
	if s.usedSlots < s.AdapterSlots {
		return c, true
	}
	if !s.evictionSearched {
		s.evictionFound, s.evictionSearched = p.findEviction(now, s), true
	}
	v, ok := s.evictionFound.Get()
	c.victim = v.weights
	c.cost += v.loss
	return c, ok
}

// rendezvousRank ranks replicas for w, from 0 to 1. Every placer gets the same
// ranks.
func rendezvousRank(name ident.Upstream, w Weights) float64 {
	x := ident.RendezvousHash(string(name), w.Adapter)
	return float64(x>>11) / (1 << 53)
}

// eviction is an adapter that may be evicted, and the expected loss in seconds
// of waiting when it has to be loaded again.
type eviction struct {
	weights Weights
	loss    float64
}

// findEviction returns the adapter whose eviction has the smallest expected
// loss.
func (p *Placer) findEviction(now time.Time, s *replicaState) option.Option[eviction] {
	best, found := eviction{loss: math.Inf(1)}, false
	for w, res := range s.residents {
		idle := now.Sub(res.usedAt) > minIdleBeforeEviction && now.Sub(res.readyAt) > minIdleBeforeEviction
		if w.IsModel() || !res.usable() || !idle || now.Before(res.reservedUntil) || p.wants[w] != nil || s.runningByWeights[w] > 0 {
			continue
		}
		loss := p.useRates[w].now(now) * diskLoadTime.Seconds() / float64(max(p.round.holders[w], 1))
		if loss < best.loss || loss == best.loss && w.Adapter < best.weights.Adapter {
			best, found = eviction{w, loss}, true
		}
	}
	if !found {
		return option.None[eviction]()
	}
	return option.Some(best)
}

// replaceOutdated loads adapters held at an older version than named again and
// unloads the older ones.
func (p *Placer) replaceOutdated(now time.Time) {
	if len(p.namedVersions) == 0 {
		return
	}
	for _, s := range p.replicas {
		for w, res := range s.residents {
			version := p.namedVersions[w]
			if w.IsModel() || version == 0 || res.version >= version || !res.usable() || res.readyAt.After(now) || now.Before(res.reservedUntil) {
				continue
			}
			if !p.isPlaced(w, version) && p.useRates[w].now(now) > 0.5 && p.round.transit < p.store.limit() {
				p.placeOne(now, w, version, s.Service)
			}
			if len(s.pending) > 0 || s.stale {
				continue
			}
			res.unloading, res.changedAt = true, now
			s.pending = append(s.pending, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: w})
			p.markChanged(s)
		}
	}
}
