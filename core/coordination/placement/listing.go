package placement

import "time"

// ApplyListing takes in what a replica said of itself.
func (p *Placer) ApplyListing(now time.Time, l Listing) Effects {
	p.listed(now, l)
	return p.take()
}

// announced takes in what a replica announced. Announcements can be delayed,
// so one that differs from what is known only makes the placer ask.
func (p *Placer) announced(now time.Time, l Listing) {
	s := p.seats[l.Replica]
	if s == nil || s.Incarnation != l.Incarnation {
		return
	}
	s.heardAt = now
	s.inMemory, s.onDisk = l.InMemory, l.OnDisk
	if !s.known {
		return
	}
	seen := make(map[Weights]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		seen[h.Weights] = true
		sl := s.slots[h.Weights]
		if sl == nil && now.Sub(s.kept[h.Weights]) > absentAfter || sl != nil && sl.version < h.Version {
			s.wanting = true
		}
	}
	for w, sl := range s.slots {
		if !seen[w] && sl.absentIn(l.MadeAt) {
			s.wanting = true
		}
	}
}

func (p *Placer) listed(now time.Time, l Listing) {
	s := p.seats[l.Replica]
	if s == nil || s.Incarnation != l.Incarnation {
		return
	}
	s.heardAt = now
	s.inMemory, s.onDisk = l.InMemory, l.OnDisk
	if n, ok := l.Sequence.Get(); ok {
		p.listedAt(now, s, n, l)
		return
	}
	changed := !s.known || s.stale
	s.known, s.wanting, s.stale = true, false, false
	seen := make(map[Weights]bool, len(l.Holdings))
	for _, h := range l.Holdings {
		seen[h.Weights] = true
		changed = s.holds(now, l.MadeAt, h) || changed
	}
	for w, sl := range s.slots {
		if !seen[w] && sl.absentIn(l.MadeAt) {
			s.drop(now, w)
			changed = true
		}
	}
	if changed {
		p.touch(s)
	}
}

// listedAt takes in a listing that was true after n orders. It is exact if the
// next order is accepted with that number, and older than what is known if n is
// less than the orders that the replica has accepted from here.
func (p *Placer) listedAt(now time.Time, s *seat, n uint64, l Listing) {
	have, counted := s.sequence.Get()
	switch {
	case s.ordered:
		// Whether the listing counts the order that is under way is open: its
		// answer would count it again.
		s.wanting = true
		return
	case counted && s.stale && n == have && !l.MadeAt.After(s.refusedAt), counted && !s.stale && n < have:
		s.wanting = true
		return
	case counted && !s.stale && n == have && !s.wanting && !s.doubts():
		return
	}
	slots := make(map[Weights]*slot, len(l.Holdings))
	for _, h := range l.Holdings {
		sl := &slot{version: h.Version, readyAt: h.ReadyAt, usedAt: now, load: load{judged: true}}
		if old := s.slots[h.Weights]; old != nil {
			sl.usedAt, sl.changed = old.usedAt, old.changed
			sl.load = old.load
			// It goes once its requests have ended.
			sl.leaving = old.leaving && n == have
			if old.readyAt.After(now) && h.ReadyAt.IsZero() && n == have {
				// The listing shows what is on its way as if it was there.
				sl.readyAt = old.readyAt
			}
		}
		slots[h.Weights] = sl
	}
	s.known, s.wanting, s.stale = true, false, false
	for w, old := range s.slots {
		switch {
		case w.IsModel():
			if p.arrived(now, s, old, slots[w] != nil) {
				slots[w] = old
			}
			if slots[w] != nil {
				slots[w].load = old.load
			}
		case slots[w] == nil:
			s.kept[w] = now
		}
	}
	s.slots, s.sequence = slots, l.Sequence
	s.leave()
	p.touch(s)
}

// doubts reports whether it is open what some orders have done.
func (s *seat) doubts() bool {
	for _, sl := range s.slots {
		if !sl.usable() {
			return true
		}
	}
	return false
}

// leave marks again what the plan is to unload.
func (s *seat) leave() {
	for _, o := range s.plan {
		if sl := s.slots[o.Weights]; !o.Load && sl != nil {
			sl.leaving = true
		}
	}
}

// absentIn reports whether a listing without the slot proves that its place is
// free. Loads can take longer than thought and listings can be older than
// thought, so only one made a good while later does.
func (s *slot) absentIn(madeAt time.Time) bool {
	since := s.changed
	for _, t := range []time.Time{s.readyAt, s.doubtUntil, s.reservedUntil} {
		if t.After(since) {
			since = t
		}
	}
	if s.leaving {
		return since.Before(madeAt)
	}
	return since.Add(absentAfter).Before(madeAt)
}

// holds notes that a listing shows h. It reports whether that is news.
func (s *seat) holds(now, madeAt time.Time, h Holding) bool {
	if s.kept[h.Weights].After(madeAt) {
		// It was dropped after the listing was made.
		return false
	}
	sl := s.slots[h.Weights]
	if sl == nil {
		s.slots[h.Weights] = &slot{version: h.Version, readyAt: h.ReadyAt, usedAt: now, load: load{judged: true}}
		return true
	}
	if sl.changed.After(madeAt) {
		return false
	}
	news := sl.version != h.Version || !sl.doubtUntil.IsZero() || sl.leaving
	sl.version, sl.doubtUntil, sl.leaving = h.Version, time.Time{}, false
	return news
}

// drop forgets that the replica holds w.
func (s *seat) drop(now time.Time, w Weights) {
	delete(s.slots, w)
	if !w.IsModel() {
		s.kept[w] = now
	}
}
