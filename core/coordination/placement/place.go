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
	// idleBeforeDrop is how long an adapter is unused before it makes way.
	idleBeforeDrop = 400 * time.Millisecond
	// spreadCost is what the last rank of a replica weighs against the first,
	// in seconds: less than a load from the store, more than one from the disk.
	spreadCost = 0.1
	// lateWorth is what a late answer is worth of one in time: 0.3 to 0.5 on the
	// users' sheets.
	lateWorth = 0.4
)

// maxFailures is how many adapters that nobody can take are looked at in one
// round of placing: more only cost time.
const maxFailures = 16

// survey is what is where, worked out once for each round of placing.
type survey struct {
	// transit counts the adapters that are under way, or about to be.
	transit int
	// holders counts the replicas that hold weights, versions has the newest
	// version at one that can be used, or is to be; both by weights.
	holders  map[Weights]int
	versions map[Weights]uint64
}

// survey looks at what all replicas hold and judges the loads that are due.
func (p *Placer) survey(now time.Time) {
	v := survey{holders: make(map[Weights]int), versions: make(map[Weights]uint64)}
	for _, s := range p.seats {
		s.takenNow, s.comingNow, s.sought = s.taken(), s.coming(now), false
		v.transit += s.comingNow
		counts := !s.Leaving && !p.avoids(s)
		for w, sl := range s.slots {
			if !sl.judged && !w.IsModel() && now.Sub(sl.dueAt) > judgeAfter {
				sl.judged = true
				p.judge(sl)
			}
			if !sl.usable() {
				continue
			}
			v.holders[w]++
			if counts {
				v.has(w, sl.version)
			}
		}
		for _, o := range s.plan {
			if o.Load && counts {
				v.has(o.Weights, o.Version)
			}
		}
	}
	p.seen = v
}

// judge tells the store how a load went, unless nobody has used what it brought:
// then it may have come in time or not.
func (p *Placer) judge(sl *slot) {
	if sl.late || sl.usedAt.After(sl.dueAt) {
		p.store.judge(sl.load, sl.dueAt.Sub(sl.changed))
	}
}

// has notes that weights are somewhere, or will be.
func (v survey) has(w Weights, version uint64) {
	if old, ok := v.versions[w]; !ok || version > old {
		v.versions[w] = version
	}
}

// place gives what orders it can for what is wanted.
func (p *Placer) place(now time.Time) {
	p.asked = false
	p.placeAt = now.Add(min(placeMost, time.Duration(len(p.seats))*placeEach))
	p.expire(now)
	p.setAvoided(now)
	p.survey(now)
	p.replaceStale(now)
	p.placeModels(now)
	failures := 0
	for _, n := range p.needs(now) {
		if p.seen.transit >= p.store.room() || failures > maxFailures {
			break
		}
		if !p.placeOne(now, n.weights, n.version, n.service) {
			failures++
			continue
		}
		if s := p.short[n.weights]; s != nil {
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
	// worth is how many requests the load serves sooner.
	worth float64
	since time.Time
}

func (p *Placer) expire(now time.Time) {
	for w, x := range p.wants {
		for d, n := range x.waiting {
			if now.After(n.until) {
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
		if w.IsModel() || p.placed(w, max(x.version, p.named[w])) {
			continue
		}
		n := need{weights: w, service: x.service, version: x.version, since: x.since}
		for _, c := range x.waiting {
			n.worth += float64(c.count)
		}
		if now.After(x.inTime) {
			n.worth *= lateWorth
		}
		out = append(out, n)
	}
	for w, s := range p.short {
		for more := 0; s.relief(more) > 0 && s.copies+more < len(p.seats); more++ {
			out = append(out, need{weights: w, service: s.service, version: p.named[w], worth: s.relief(more)})
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), a.since.Compare(b.since), cmp.Compare(a.weights.Adapter, b.weights.Adapter))
	})
	return out
}

// placed reports whether a replica holds w, fetches it or is about to.
func (p *Placer) placed(w Weights, version uint64) bool {
	has, ok := p.seen.versions[w]
	return ok && (has >= version || p.planned(w))
}

// planned reports whether a load of w is about to be ordered.
func (p *Placer) planned(w Weights) bool {
	for _, s := range p.seats {
		if s.plans(w) && !s.Leaving && !p.avoids(s) {
			return true
		}
	}
	return false
}

// setAvoided notes which replicas are to be avoided, unless they are too many.
func (p *Placer) setAvoided(now time.Time) {
	clear(p.away)
	for name, s := range p.seats {
		for d, until := range s.avoided {
			if now.After(until) {
				delete(s.avoided, d)
			}
		}
		if !s.heardAt.IsZero() && now.Sub(s.heardAt) > silentAfter {
			p.away[name] = true
		}
		// One daemon alone may have lost its way to the replica.
		if len(s.avoided) >= min(2, len(p.daemons)) && len(s.avoided) > 0 {
			p.away[name] = true
		}
	}
	if float64(len(p.away)) > avoidShare*float64(len(p.seats)) {
		clear(p.away)
	}
}

func (p *Placer) avoids(s *seat) bool { return p.away[s.Name] }

func (s *seat) plans(w Weights) bool {
	return slices.ContainsFunc(s.plan, func(o Order) bool { return o.Load && o.Weights == w })
}

// TransitCount returns how many adapters are under way to replicas.
func (p *Placer) TransitCount(now time.Time) int { return p.transit(now) }

// transit counts the adapters that are under way, or about to be.
func (p *Placer) transit(now time.Time) int {
	n := 0
	for _, s := range p.seats {
		n += s.coming(now)
	}
	return n
}

// fetching counts the adapters that the store is handing out now.
func (p *Placer) fetching(now time.Time) int {
	n := 0
	for _, s := range p.seats {
		for w, sl := range s.slots {
			if !w.IsModel() && !sl.judged && sl.dueAt.After(now) {
				n++
			}
		}
	}
	return n
}

func (s *seat) coming(now time.Time) int {
	n := 0
	for w, sl := range s.slots {
		if !w.IsModel() && sl.readyAt.After(now) {
			n++
		}
	}
	for _, o := range s.plan {
		if o.Load {
			n++
		}
	}
	return n
}

// taken counts the places that are taken, or about to be.
func (s *seat) taken() int {
	n := 0
	for w := range s.slots {
		if !w.IsModel() {
			n++
		}
	}
	for _, o := range s.plan {
		if !o.Weights.IsModel() && o.Load {
			if s.slots[o.Weights] == nil {
				n++
			}
		}
	}
	return n
}

// way is how an adapter could be placed.
type way struct {
	seat *seat
	// victim makes way; its Adapter is empty if a place is free.
	victim Weights
	cost   float64
}

// placeOne has an adapter loaded at the best replica. It reports whether one
// was found.
func (p *Placer) placeOne(now time.Time, w Weights, version uint64, service ident.Service) bool {
	best := way{cost: math.Inf(1)}
	for _, name := range p.names {
		s := p.seats[name]
		if p.avoids(s) || !s.takes(now, w, service) {
			continue
		}
		if o, ok := p.wayAt(now, s, w); ok && o.cost < best.cost {
			best = o
		}
	}
	if best.seat == nil {
		return false
	}
	s := best.seat
	s.sought = false
	if !best.victim.IsModel() {
		s.slots[best.victim].leaving = true
		s.slots[best.victim].changed = now
		s.plan = append(s.plan, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: best.victim})
		p.touch(s)
	}
	version = max(version, p.named[w])
	s.plan = append(s.plan, Order{
		Replica: s.Name, Incarnation: s.Incarnation, Weights: w, Load: true, Version: version,
	})
	s.takenNow++
	s.comingNow++
	p.seen.transit++
	p.seen.has(w, version)
	return true
}

// takes reports whether the replica may be ordered to load w now.
func (s *seat) takes(now time.Time, w Weights, service ident.Service) bool {
	if !s.known || s.stale || s.Leaving || s.Service != service || now.Before(s.restUntil) || len(s.plan) > 2 {
		return false
	}
	m := s.slots[Weights{Model: w.Model}]
	return m != nil && m.usable() && !m.readyAt.After(now) && s.slots[w] == nil && !s.plans(w) && s.comingNow < maxComing
}

// wayAt returns how w could be placed at a replica, and what that costs in
// seconds of waiting.
func (p *Placer) wayAt(now time.Time, s *seat, w Weights) (way, bool) {
	o := way{seat: s, cost: p.store.fetch.Seconds()}
	if _, ok := s.kept[w]; ok {
		o.cost = diskTime.Seconds()
	}
	o.cost += spreadCost * spread(s.Name, w)
	if s.Batch > 0 {
		load := float64(s.running) / float64(s.Batch)
		o.cost += load * load
	}
	if s.takenNow < s.AdapterSlots {
		return o, true
	}
	if !s.sought {
		s.eviction, s.sought = p.eviction(now, s), true
	}
	v, ok := s.eviction.Get()
	o.victim = v.weights
	o.cost += v.value
	return o, ok
}

// spread ranks replicas for w, from 0 to 1, the same at each placer.
func spread(name ident.Upstream, w Weights) float64 {
	x := ident.RendezvousHash(string(name), w.Adapter)
	return float64(x>>11) / (1 << 53)
}

// eviction is an adapter that may make way, and the loss in seconds of waiting
// that its return is expected to cost.
type eviction struct {
	weights Weights
	value   float64
}

// eviction returns the adapter that makes way with the least loss.
func (p *Placer) eviction(now time.Time, s *seat) option.Option[eviction] {
	best, found := eviction{value: math.Inf(1)}, false
	for w, sl := range s.slots {
		idle := now.Sub(sl.usedAt) > idleBeforeDrop && now.Sub(sl.readyAt) > idleBeforeDrop
		if w.IsModel() || !sl.usable() || !idle || now.Before(sl.reservedUntil) || p.wants[w] != nil || s.runs[w] > 0 {
			continue
		}
		value := p.rates[w].now(now) * diskTime.Seconds() / float64(max(p.seen.holders[w], 1))
		if value < best.value || value == best.value && w.Adapter < best.weights.Adapter {
			best, found = eviction{w, value}, true
		}
	}
	if !found {
		return option.None[eviction]()
	}
	return option.Some(best)
}

// replaceStale has what is held at an older version than named fetched anew,
// and drops the older one.
func (p *Placer) replaceStale(now time.Time) {
	if len(p.named) == 0 {
		return
	}
	for _, s := range p.seats {
		for w, sl := range s.slots {
			version := p.named[w]
			if w.IsModel() || version == 0 || sl.version >= version || !sl.usable() || sl.readyAt.After(now) || now.Before(sl.reservedUntil) {
				continue
			}
			if !p.placed(w, version) && p.rates[w].now(now) > 0.5 && p.seen.transit < p.store.room() {
				p.placeOne(now, w, version, s.Service)
			}
			if len(s.plan) > 0 || s.stale {
				continue
			}
			sl.leaving, sl.changed = true, now
			s.plan = append(s.plan, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: w})
			p.touch(s)
		}
	}
}
