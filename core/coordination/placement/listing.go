package placement

import "time"

// Listed takes in what a replica said of itself.
func (p *Placer) Listed(now time.Time, l Listing) Effects {
	p.applyListing(now, l)
	return p.takeEffects()
}

// applyAnnouncement takes in what a replica announced. Announcements can be delayed,
// so one that differs from what is known only makes the placer ask.
func (p *Placer) applyAnnouncement(now time.Time, l Listing) {
	s := p.replicas[l.Replica]
	if s == nil || s.Incarnation != l.Incarnation {
		return
	}
	s.lastSeenAt = now
	s.inMemory, s.onDisk = l.InMemory, l.OnDisk
	if !s.listed {
		return
	}
	seen := make(map[Weights]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		seen[h.Weights] = true
		sl := s.residents[h.Weights]
		if sl == nil && now.Sub(s.droppedAt[h.Weights]) > absentAfter || sl != nil && sl.version < h.Version {
			s.needsListing = true
		}
	}
	for w, sl := range s.residents {
		if !seen[w] && sl.provenAbsent(l.MadeAt) {
			s.needsListing = true
		}
	}
}

func (p *Placer) applyListing(now time.Time, l Listing) {
	s := p.replicas[l.Replica]
	if s == nil || s.Incarnation != l.Incarnation {
		return
	}
	s.lastSeenAt = now
	s.inMemory, s.onDisk = l.InMemory, l.OnDisk
	if n, ok := l.Sequence.Get(); ok {
		p.applySequencedListing(now, s, n, l)
		return
	}
	changed := !s.listed || s.stale
	s.listed, s.needsListing, s.stale = true, false, false
	seen := make(map[Weights]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		seen[h.Weights] = true
		changed = s.applyHolding(now, l.MadeAt, h) || changed
	}
	for w, sl := range s.residents {
		if !seen[w] && sl.provenAbsent(l.MadeAt) {
			s.remove(now, w)
			changed = true
		}
	}
	if changed {
		p.markChanged(s)
	}
}

// applySequencedListing takes in a listing that was true after n orders. It is exact if the
// next order is accepted with that number, and older than what is known if n is
// less than the orders that the replica has accepted from here.
func (p *Placer) applySequencedListing(now time.Time, s *replicaState, n uint64, l Listing) {
	have, counted := s.sequence.Get()
	switch {
	case s.orderInFlight:
		// Whether the listing counts the order that is under way is open: its
		// answer would count it again.
		s.needsListing = true
		return
	case counted && s.stale && n == have && !l.MadeAt.After(s.refusedAt), counted && !s.stale && n < have:
		s.needsListing = true
		return
	case counted && !s.stale && n == have && !s.needsListing && !s.hasUncertain():
		return
	}
	slots := make(map[Weights]*resident, len(l.Holdings))
	for _, h := range l.Holdings {
		sl := &resident{version: h.Version, readyAt: h.ReadyAt, usedAt: now, loadRecord: loadRecord{evaluated: true}}
		if old := s.residents[h.Weights]; old != nil {
			sl.usedAt, sl.changedAt = old.usedAt, old.changedAt
			sl.loadRecord = old.loadRecord
			// It goes once its requests have ended.
			sl.unloading = old.unloading && n == have
			if old.readyAt.After(now) && h.ReadyAt.IsZero() && n == have {
				// The listing shows what is on its way as if it was there.
				sl.readyAt = old.readyAt
			}
		}
		slots[h.Weights] = sl
	}
	s.listed, s.needsListing, s.stale = true, false, false
	for w, old := range s.residents {
		switch {
		case w.IsModel():
			if p.checkModelArrival(now, s, old, slots[w] != nil) {
				slots[w] = old
			}
			if slots[w] != nil {
				slots[w].loadRecord = old.loadRecord
			}
		case slots[w] == nil:
			s.droppedAt[w] = now
		}
	}
	s.residents, s.sequence = slots, l.Sequence
	s.markUnloading()
	p.markChanged(s)
}

// hasUncertain reports whether it is open what some orders have done.
func (s *replicaState) hasUncertain() bool {
	for _, sl := range s.residents {
		if !sl.usable() {
			return true
		}
	}
	return false
}

// markUnloading marks again what the plan is to unload.
func (s *replicaState) markUnloading() {
	for _, o := range s.pending {
		if sl := s.residents[o.Weights]; !o.Load && sl != nil {
			sl.unloading = true
		}
	}
}

// provenAbsent reports whether a listing without the slot proves that its place is
// free. Loads can take longer than thought and listings can be older than
// thought, so only one made a good while later does.
func (s *resident) provenAbsent(madeAt time.Time) bool {
	since := s.changedAt
	for _, t := range []time.Time{s.readyAt, s.uncertainUntil, s.reservedUntil} {
		if t.After(since) {
			since = t
		}
	}
	if s.unloading {
		return since.Before(madeAt)
	}
	return since.Add(absentAfter).Before(madeAt)
}

// applyHolding notes that a listing shows h. It reports whether that is news.
func (s *replicaState) applyHolding(now, madeAt time.Time, h Holding) bool {
	if s.droppedAt[h.Weights].After(madeAt) {
		// It was dropped after the listing was made.
		return false
	}
	sl := s.residents[h.Weights]
	if sl == nil {
		s.residents[h.Weights] = &resident{version: h.Version, readyAt: h.ReadyAt, usedAt: now, loadRecord: loadRecord{evaluated: true}}
		return true
	}
	if sl.changedAt.After(madeAt) {
		return false
	}
	news := sl.version != h.Version || !sl.uncertainUntil.IsZero() || sl.unloading
	sl.version, sl.uncertainUntil, sl.unloading = h.Version, time.Time{}, false
	return news
}

// remove forgets that the replica holds w.
func (s *replicaState) remove(now time.Time, w Weights) {
	delete(s.residents, w)
	if !w.IsModel() {
		s.droppedAt[w] = now
	}
}
