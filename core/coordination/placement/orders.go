package placement

import (
	"time"

	"papayaspoke/core/option"
)

// HandleVerdict tells what became of an order.
func (p *Placer) HandleVerdict(now time.Time, o Order, v Verdict) Effects {
	s := p.seats[o.Replica]
	if s == nil || s.Incarnation != o.Incarnation || !s.ordered || len(s.plan) == 0 || s.plan[0] != o {
		return p.take()
	}
	s.ordered = false
	s.accepted(now, o, v)
	if s.tries++; v == Unanswered && s.tries < maxTries {
		p.again(now, s, o)
		return p.take()
	}
	s.plan, s.tries = s.plan[1:], 0
	if o.Load {
		p.loaded(now, s, o, v)
	} else {
		p.unloaded(now, s, o, v)
	}
	p.sendTo(now, s)
	return p.take()
}

// accepted keeps count of what the replica has accepted. What already held may
// or may not count, so the replica is asked.
func (s *seat) accepted(now time.Time, o Order, v Verdict) {
	n, ok := s.sequence.Get()
	switch {
	case v == Begun || v == Done && !o.Load:
		s.acceptedAt = now
		if ok {
			s.sequence = option.Some(n + 1)
		}
	case v == Done, v == Refused:
		s.stale, s.wanting, s.refusedAt = true, true, now
	}
}

// again gives an order once more that got no answer. If the first one is
// carried out later, it finds what the second has done; until then the place
// stays taken.
func (p *Placer) again(now time.Time, s *seat, o Order) {
	if o.Load && s.slots[o.Weights] == nil {
		s.slots[o.Weights] = &slot{version: o.Version, usedAt: now, changed: now, readyAt: now, doubtUntil: now.Add(lostAfter)}
	}
	if sl := s.slots[o.Weights]; sl != nil && o.Load {
		sl.reservedUntil = now.Add(lostAfter)
	}
	p.sendTo(now, s)
}

func (p *Placer) loaded(now time.Time, s *seat, o Order, v Verdict) {
	sl := &slot{version: o.Version, usedAt: now, changed: now, readyAt: now, load: load{judged: true}}
	if old := s.slots[o.Weights]; old != nil {
		sl.reservedUntil = old.reservedUntil
	}
	switch v {
	case Begun:
		took := p.duration(now, s, o.Weights)
		sl.readyAt = now.Add(took + settle)
		_, kept := s.kept[o.Weights]
		sl.load = load{began: p.fetching(now) + 1, limit: p.store.limits, dueAt: sl.readyAt, judged: kept}
		if o.Weights.IsModel() {
			sl.load = load{began: p.modelsComing(now) + 1, limit: p.models.limits, dueAt: sl.readyAt.Add(modelLag)}
			s.wanting, s.askAt = true, sl.dueAt
			if s.ownCopy(o.Weights.Model) > 0 {
				sl.limit = ownLoad
			}
		}
	case Done:
	case Unanswered:
		sl.doubtUntil = now.Add(lostAfter)
		s.abandonPlan()
		s.wanting = true
	default:
		s.abandonPlan()
		s.wanting = true
		s.restUntil = now.Add(busyRetry)
		return
	}
	if v == Unanswered {
		sl.reservedUntil = now.Add(lostAfter)
	}
	s.slots[o.Weights] = sl
	p.touch(s)
}

// duration is how long a load that begins now takes.
func (p *Placer) duration(now time.Time, s *seat, w Weights) time.Duration {
	if w.IsModel() {
		if own := s.ownCopy(w.Model); own > 0 {
			return own
		}
		return s.LoadTime
	}
	if _, ok := s.kept[w]; ok {
		return diskTime
	}
	return p.store.takes(p.fetching(now) + 1)
}

func (p *Placer) unloaded(now time.Time, s *seat, o Order, v Verdict) {
	sl := s.slots[o.Weights]
	if sl == nil {
		return
	}
	switch v {
	case Done:
		s.drop(now, o.Weights)
	case Begun, Unanswered:
		// It goes once its requests have ended; a listing will tell.
		sl.changed = now
		s.abandonPlan()
		s.wanting = true
		s.askAt = now.Add(askAgain)
	default:
		sl.leaving = false
		s.abandonPlan()
		s.wanting = true
		s.restUntil = now.Add(busyRetry)
	}
	p.touch(s)
}

// abandonPlan gives up the orders that were not given yet.
func (s *seat) abandonPlan() {
	for _, o := range s.plan {
		if sl := s.slots[o.Weights]; !o.Load && sl != nil {
			sl.leaving = false
		}
	}
	s.plan = nil
}

// send gives each replica its next order.
func (p *Placer) send(now time.Time) {
	for _, name := range p.names {
		p.sendTo(now, p.seats[name])
	}
}

// sendTo gives one replica its next order.
func (p *Placer) sendTo(now time.Time, s *seat) {
	if len(s.plan) == 0 || s.ordered || s.stale || now.Before(s.restUntil) {
		return
	}
	s.ordered = true
	s.plan[0].Sequence = s.sequence
	p.out.Orders = append(p.out.Orders, s.plan[0])
}
