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
	// minIdleBeforeEviction is how long an adapter is unused before it makes way.
	minIdleBeforeEviction = 400 * time.Millisecond
	// rankCost is what the last rank of a replica weighs against the first,
	// in seconds: less than a load from the store, more than one from the disk.
	rankCost = 0.1
	// lateBenefit is what a late answer is worth of one in time: 0.3 to 0.5 on the
	// users' sheets.
	lateBenefit = 0.4
)

// maxPlaceFailures is how many adapters that nobody can take are looked at in one
// round of placing: more only cost time.
const maxPlaceFailures = 16

// roundState is what is where, worked out once for each round of placing.
type roundState struct {
	// transit counts the adapters that are under way, or about to be.
	transit int
	// holders counts the replicas that hold weights, versions has the newest
	// version at one that can be used, or is to be; both by weights.
	holders  map[Weights]int
	versions map[Weights]uint64
}

// startRound looks at what all replicas hold and judges the loads that are due.
func (p *Placer) startRound(now time.Time) {
	v := roundState{holders: make(map[Weights]int), versions: make(map[Weights]uint64)}
	for _, s := range p.replicas {
		s.usedSlots, s.loading, s.evictionSearched = s.countUsedSlots(), s.loadingCount(now), false
		v.transit += s.loading
		counts := !s.Leaving && !p.isAvoided(s)
		for w, sl := range s.residents {
			if !sl.evaluated && !w.IsModel() && now.Sub(sl.dueAt) > evaluateAfter {
				sl.evaluated = true
				p.evaluate(sl)
			}
			if !sl.usable() {
				continue
			}
			v.holders[w]++
			if counts {
				v.addVersion(w, sl.version)
			}
		}
		for _, o := range s.pending {
			if o.Load && counts {
				v.addVersion(o.Weights, o.Version)
			}
		}
	}
	p.round = v
}

// evaluate tells the store how a load went, unless nobody has used what it brought:
// then it may have come in time or not.
func (p *Placer) evaluate(sl *resident) {
	if sl.late || sl.usedAt.After(sl.dueAt) {
		p.store.evaluate(sl.loadRecord, sl.dueAt.Sub(sl.changedAt))
	}
}

// addVersion notes that weights are somewhere, or will be.
func (v roundState) addVersion(w Weights, version uint64) {
	if old, ok := v.versions[w]; !ok || version > old {
		v.versions[w] = version
	}
}

// place gives what orders it can for what is wanted.
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

// need is an adapter to be loaded somewhere.
type need struct {
	weights Weights
	service ident.Service
	version uint64
	// benefit is how many requests the load serves sooner.
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

// needs returns what is wanted and not there, and what wants another copy, what
// serves most requests first: otherwise a rush of rare adapters would keep the
// store busy while all requests for a popular one queue at its only copy. While
// the store has more to fetch than it can, who still can be served in time goes
// before who can't: first come first served would make all late.
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

// isPlaced reports whether a replica holds w, fetches it or is about to.
func (p *Placer) isPlaced(w Weights, version uint64) bool {
	has, ok := p.round.versions[w]
	return ok && (has >= version || p.isPlanned(w))
}

// isPlanned reports whether a load of w is about to be ordered.
func (p *Placer) isPlanned(w Weights) bool {
	for _, s := range p.replicas {
		if s.plansLoad(w) && !s.Leaving && !p.isAvoided(s) {
			return true
		}
	}
	return false
}

// updateAvoided notes which replicas are to be avoided, unless they are too many.
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
		// One daemon alone may have lost its way to the replica.
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

// Transit returns how many adapters are under way to replicas.
func (p *Placer) Transit(now time.Time) int { return p.transitCount(now) }

// transitCount counts the adapters that are under way, or about to be.
func (p *Placer) transitCount(now time.Time) int {
	n := 0
	for _, s := range p.replicas {
		n += s.loadingCount(now)
	}
	return n
}

// fetchingCount counts the adapters that the store is handing out now.
func (p *Placer) fetchingCount(now time.Time) int {
	n := 0
	for _, s := range p.replicas {
		for w, sl := range s.residents {
			if !w.IsModel() && !sl.evaluated && sl.dueAt.After(now) {
				n++
			}
		}
	}
	return n
}

func (s *replicaState) loadingCount(now time.Time) int {
	n := 0
	for w, sl := range s.residents {
		if !w.IsModel() && sl.readyAt.After(now) {
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

// countUsedSlots counts the places that are taken, or about to be.
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

// candidate is how an adapter could be placed.
type candidate struct {
	replica *replicaState
	// victim makes way; its Adapter is empty if a place is free.
	victim Weights
	cost   float64
}

// placeOne has an adapter loaded at the best replica. It reports whether one
// was found.
func (p *Placer) placeOne(now time.Time, w Weights, version uint64, service ident.Service) bool {
	best := candidate{cost: math.Inf(1)}
	for _, name := range p.names {
		s := p.replicas[name]
		if p.isAvoided(s) || !s.acceptsLoad(now, w, service) {
			continue
		}
		if o, ok := p.candidateAt(now, s, w); ok && o.cost < best.cost {
			best = o
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

// candidateAt returns how w could be placed at a replica, and what that costs in
// seconds of waiting.
func (p *Placer) candidateAt(now time.Time, s *replicaState, w Weights) (candidate, bool) {
	o := candidate{replica: s, cost: p.store.fetchTime.Seconds()}
	if _, ok := s.droppedAt[w]; ok {
		o.cost = diskLoadTime.Seconds()
	}
	o.cost += rankCost * rendezvousRank(s.Name, w)
	if s.Batch > 0 {
		load := float64(s.running) / float64(s.Batch)
		o.cost += load * load
	}
	if s.usedSlots < s.Places {
		return o, true
	}
	if !s.evictionSearched {
		s.evictionFound, s.evictionSearched = p.findEviction(now, s), true
	}
	v, ok := s.evictionFound.Get()
	o.victim = v.weights
	o.cost += v.loss
	return o, ok
}

// rendezvousRank ranks replicas for w, from 0 to 1, the same at each placer.
func rendezvousRank(name ident.Upstream, w Weights) float64 {
	x := ident.Spread(string(name), w.Adapter)
	return float64(x>>11) / (1 << 53)
}

// eviction is an adapter that may make way, and the loss in seconds of waiting
// that its return is expected to cost.
type eviction struct {
	weights Weights
	loss    float64
}

// findEviction returns the adapter that makes way with the least loss.
func (p *Placer) findEviction(now time.Time, s *replicaState) option.Option[eviction] {
	best, found := eviction{loss: math.Inf(1)}, false
	for w, sl := range s.residents {
		idle := now.Sub(sl.usedAt) > minIdleBeforeEviction && now.Sub(sl.readyAt) > minIdleBeforeEviction
		if w.IsModel() || !sl.usable() || !idle || now.Before(sl.reservedUntil) || p.wants[w] != nil || s.runningByWeights[w] > 0 {
			continue
		}
		value := p.useRates[w].now(now) * diskLoadTime.Seconds() / float64(max(p.round.holders[w], 1))
		if value < best.loss || value == best.loss && w.Adapter < best.weights.Adapter {
			best, found = eviction{w, value}, true
		}
	}
	if !found {
		return option.None[eviction]()
	}
	return option.Some(best)
}

// replaceOutdated has what is held at an older version than named fetched anew,
// and drops the older one.
func (p *Placer) replaceOutdated(now time.Time) {
	if len(p.namedVersions) == 0 {
		return
	}
	for _, s := range p.replicas {
		for w, sl := range s.residents {
			version := p.namedVersions[w]
			if w.IsModel() || version == 0 || sl.version >= version || !sl.usable() || sl.readyAt.After(now) || now.Before(sl.reservedUntil) {
				continue
			}
			if !p.isPlaced(w, version) && p.useRates[w].now(now) > 0.5 && p.round.transit < p.store.limit() {
				p.placeOne(now, w, version, s.Service)
			}
			if len(s.pending) > 0 || s.stale {
				continue
			}
			sl.unloading, sl.changedAt = true, now
			s.pending = append(s.pending, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: w})
			p.markChanged(s)
		}
	}
}
