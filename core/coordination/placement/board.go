package placement

import "time"

// maxChanges is the number of changes that are kept for each replica. A daemon
// that missed more gets the complete inventory.
const maxChanges = 64

// recordChanges compares what a replica holds with what was reported to
// daemons, and records the differences.
func (p *Placer) recordChanges(now time.Time, s *replicaState) {
	if !s.dirty || !s.listed {
		return
	}
	s.dirty = false
	complete := s.reported == nil
	holdings := make(map[Weights]Holding, len(s.residents))
	for w, res := range s.residents {
		if res.usable() {
			holdings[w] = Holding{Weights: w, Version: res.version, ReadyAt: res.readyAt}
		}
	}
	for w, h := range holdings {
		if old, ok := s.reported[w]; !ok || !old.equivalent(now, h) {
			p.addChange(s, w)
		}
	}
	for w := range s.reported {
		if _, ok := holdings[w]; !ok {
			p.addChange(s, w)
		}
	}
	s.reported = holdings
	if complete {
		p.revision++
		s.revision, s.changesFrom, s.changes = p.revision, p.revision, nil
	}
}

// equivalent reports whether two holdings mean the same to a daemon now: once
// both are ready, the time no longer matters.
func (h Holding) equivalent(now time.Time, o Holding) bool {
	ready := !h.ReadyAt.After(now) && !o.ReadyAt.After(now)
	return h.Version == o.Version && (ready || h.ReadyAt.Equal(o.ReadyAt))
}

func (p *Placer) addChange(s *replicaState, w Weights) {
	p.revision++
	s.revision = p.revision
	s.changes = append(s.changes, change{weights: w, revision: p.revision})
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.changesFrom = s.changes[excess-1].revision
		s.changes = append(s.changes[:0], s.changes[excess:]...)
	}
}

func (p *Placer) answer(now time.Time, u Usage) Answer {
	a := Answer{Fence: p.fence, Loads: make([]int, p.nextNumber), Store: p.store.StoreEstimate}
	since := u.Revision
	if u.Fence != p.fence {
		since = 0
	}
	for _, name := range p.names {
		s := p.replicas[name]
		p.recordChanges(now, s)
		a.Loads[s.number] = s.running
		if p.isAvoided(s) {
			a.Avoided = append(a.Avoided, s.number)
		}
		if s.reported != nil && s.revision > since {
			a.Inventories = append(a.Inventories, s.inventorySince(since))
		}
	}
	a.Revision = p.revision
	return a
}

// inventorySince returns what has changed after a revision, or everything if
// those changes are no longer kept.
func (s *replicaState) inventorySince(since uint64) Inventory {
	b := Inventory{Replica: s.Name, Incarnation: s.Incarnation, Number: s.number, Complete: since < s.changesFrom}
	if b.Complete {
		for _, h := range s.reported {
			b.Holdings = append(b.Holdings, h)
		}
		return b
	}
	done := make(map[Weights]bool)
	for _, n := range s.changes {
		if n.revision <= since || done[n.weights] {
			continue
		}
		done[n.weights] = true
		if h, ok := s.reported[n.weights]; ok {
			b.Holdings = append(b.Holdings, h)
			continue
		}
		b.Removed = append(b.Removed, n.weights)
	}
	return b
}

// Apply applies b to what a daemon knew of the same incarnation, and returns
// the result. It is nil if b contains only changes to an inventory that the
// daemon did not know.
func (b Inventory) Apply(known map[Weights]Holding) map[Weights]Holding {
	if b.Complete {
		known = make(map[Weights]Holding, len(b.Holdings))
	}
	if known == nil {
		return nil
	}
	for _, h := range b.Holdings {
		known[h.Weights] = h
	}
	for _, w := range b.Removed {
		delete(known, w)
	}
	return known
}

// LoadAt returns the number of requests in flight at the replica with the given
// number.
func (a Answer) LoadAt(number int) int {
	if number < 0 || number >= len(a.Loads) {
		return 0
	}
	return a.Loads[number]
}
