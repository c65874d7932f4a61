package placement

import "time"

// ApplyListing applies a listing that a replica returned.
func (p *Placer) ApplyListing(now time.Time, l Listing) Effects {
	p.applyListing(now, l)
	return p.takeEffects()
}

// applyAnnouncement applies an announcement of a replica. Announcements can be
// delayed, so one that differs from the known state only causes a request for a
// listing.
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
		res := s.residents[h.Weights]
		if res == nil && now.Sub(s.droppedAt[h.Weights]) > absentAfter || res != nil && res.version < h.Version {
			s.needsListing = true
		}
	}
	for w, res := range s.residents {
		if !seen[w] && res.provenAbsent(l.MadeAt) {
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
	dirty := !s.listed || s.stale
	s.listed, s.needsListing, s.stale = true, false, false
	seen := make(map[Weights]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		seen[h.Weights] = true
		dirty = s.applyHolding(now, l.MadeAt, h) || dirty
	}
	for w, res := range s.residents {
		if !seen[w] && res.provenAbsent(l.MadeAt) {
			s.remove(now, w)
			dirty = true
		}
	}
	if dirty {
		p.markChanged(s)
	}
}

// applySequencedListing applies a listing that includes the first n orders. It
// is exact if the next order is accepted with that number, and outdated if the
// replica has accepted more than n orders from this placer.
func (p *Placer) applySequencedListing(now time.Time, s *replicaState, n uint64, l Listing) {
	accepted, counted := s.sequence.Get()
	switch {
	case s.orderInFlight:
		// It is unknown whether the listing includes the order in flight;
		// counting its answer as well could count it twice.
		s.needsListing = true
		return
	case counted && s.stale && n == accepted && !l.MadeAt.After(s.refusedAt), counted && !s.stale && n < accepted:
		s.needsListing = true
		return
	case counted && !s.stale && n == accepted && !s.needsListing && !s.hasUncertain():
		return
	}
	residents := make(map[Weights]*resident, len(l.Holdings))
	for _, h := range l.Holdings {
		res := &resident{version: h.Version, readyAt: h.ReadyAt, usedAt: now, loadRecord: loadRecord{evaluated: true}}
		if old := s.residents[h.Weights]; old != nil {
			res.usedAt, res.changedAt = old.usedAt, old.changedAt
			res.loadRecord = old.loadRecord
			// The replica unloads it once its requests have ended.
			res.unloading = old.unloading && n == accepted
			if old.readyAt.After(now) && h.ReadyAt.IsZero() && n == accepted {
				// Listings show weights that are still being loaded as present.
				res.readyAt = old.readyAt
			}
		}
		residents[h.Weights] = res
	}
	s.listed, s.needsListing, s.stale = true, false, false
	for w, old := range s.residents {
		switch {
		case w.IsModel():
			if p.checkModelArrival(now, s, old, residents[w] != nil) {
				residents[w] = old
			}
			if residents[w] != nil {
				residents[w].loadRecord = old.loadRecord
			}
		case residents[w] == nil:
			s.droppedAt[w] = now
		}
	}
	s.residents, s.sequence = residents, l.Sequence
	s.markUnloading()
	p.markChanged(s)
}

// hasUncertain reports whether the effect of some orders is unknown.
func (s *replicaState) hasUncertain() bool {
	for _, res := range s.residents {
		if !res.usable() {
			return true
		}
	}
	return false
}

// markUnloading marks the residents that pending orders unload.
func (s *replicaState) markUnloading() {
	for _, o := range s.pending {
		if res := s.residents[o.Weights]; !o.Load && res != nil {
			res.unloading = true
		}
	}
}

// provenAbsent reports whether a listing without the resident proves that its
// slot is free. Loads can take longer and listings can be older than estimated,
// so the listing must have been made well after the load.
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

// applyHolding records that a listing contains h. It reports whether that
// changes the known state.
func (s *replicaState) applyHolding(now, madeAt time.Time, h Holding) bool {
	if s.droppedAt[h.Weights].After(madeAt) {
		// It was dropped after the listing was made.
		return false
	}
	res := s.residents[h.Weights]
	if res == nil {
		s.residents[h.Weights] = &resident{version: h.Version, readyAt: h.ReadyAt, usedAt: now, loadRecord: loadRecord{evaluated: true}}
		return true
	}
	if res.changedAt.After(madeAt) {
		return false
	}
	changed := res.version != h.Version || !res.uncertainUntil.IsZero() || res.unloading
	res.version, res.uncertainUntil, res.unloading = h.Version, time.Time{}, false
	return changed
}

// remove records that the replica no longer holds w.
func (s *replicaState) remove(now time.Time, w Weights) {
	delete(s.residents, w)
	if !w.IsModel() {
		s.droppedAt[w] = now
	}
}
