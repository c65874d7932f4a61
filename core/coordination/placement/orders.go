package placement

import (
	"time"

	"papayaspoke/core/option"
)

// Ordered tells what became of an order.
func (p *Placer) Ordered(now time.Time, o Order, v Verdict) Effects {
	s := p.replicas[o.Replica]
	if s == nil || s.Incarnation != o.Incarnation || !s.orderInFlight || len(s.pending) == 0 || s.pending[0] != o {
		return p.takeEffects()
	}
	s.orderInFlight = false
	s.countAccepted(now, o, v)
	if s.attempts++; v == Unanswered && s.attempts < maxAttempts {
		p.retryOrder(now, s, o)
		return p.takeEffects()
	}
	s.pending, s.attempts = s.pending[1:], 0
	if o.Load {
		p.handleLoad(now, s, o, v)
	} else {
		p.handleUnload(now, s, o, v)
	}
	p.sendTo(now, s)
	return p.takeEffects()
}

// countAccepted keeps count of what the replica has accepted. What already held may
// or may not count, so the replica is asked.
func (s *replicaState) countAccepted(now time.Time, o Order, v Verdict) {
	n, ok := s.sequence.Get()
	switch {
	case v == Begun || v == Done && !o.Load:
		s.acceptedAt = now
		if ok {
			s.sequence = option.Some(n + 1)
		}
	case v == Done, v == Refused:
		s.stale, s.needsListing, s.refusedAt = true, true, now
	}
}

// retryOrder gives an order once more that got no answer. If the first one is
// carried out later, it finds what the second has done; until then the place
// stays taken.
func (p *Placer) retryOrder(now time.Time, s *replicaState, o Order) {
	if o.Load && s.residents[o.Weights] == nil {
		s.residents[o.Weights] = &resident{version: o.Version, usedAt: now, changedAt: now, readyAt: now, uncertainUntil: now.Add(lateOrderWindow)}
	}
	if sl := s.residents[o.Weights]; sl != nil && o.Load {
		sl.reservedUntil = now.Add(lateOrderWindow)
	}
	p.sendTo(now, s)
}

func (p *Placer) handleLoad(now time.Time, s *replicaState, o Order, v Verdict) {
	sl := &resident{version: o.Version, usedAt: now, changedAt: now, readyAt: now, loadRecord: loadRecord{evaluated: true}}
	if old := s.residents[o.Weights]; old != nil {
		sl.reservedUntil = old.reservedUntil
	}
	switch v {
	case Begun:
		took := p.loadDuration(now, s, o.Weights)
		sl.readyAt = now.Add(took + deliveryMargin)
		_, kept := s.droppedAt[o.Weights]
		sl.loadRecord = loadRecord{inTransit: p.fetchingCount(now) + 1, limitNumber: p.store.limitNumber, dueAt: sl.readyAt, evaluated: kept}
		if o.Weights.IsModel() {
			sl.loadRecord = loadRecord{inTransit: p.modelsLoading(now) + 1, limitNumber: p.modelStore.limitNumber, dueAt: sl.readyAt.Add(modelListingLag)}
			s.needsListing, s.nextListingAt = true, sl.dueAt
			if s.localCopyTime(o.Weights.Model) > 0 {
				sl.limitNumber = localCopyLoad
			}
		}
	case Done:
	case Unanswered:
		sl.uncertainUntil = now.Add(lateOrderWindow)
		s.dropPending()
		s.needsListing = true
	default:
		s.dropPending()
		s.needsListing = true
		s.noOrdersUntil = now.Add(refusalDelay)
		return
	}
	if v == Unanswered {
		sl.reservedUntil = now.Add(lateOrderWindow)
	}
	s.residents[o.Weights] = sl
	p.markChanged(s)
}

// loadDuration is how long a load that begins now takes.
func (p *Placer) loadDuration(now time.Time, s *replicaState, w Weights) time.Duration {
	if w.IsModel() {
		if own := s.localCopyTime(w.Model); own > 0 {
			return own
		}
		return s.LoadTime
	}
	if _, ok := s.droppedAt[w]; ok {
		return diskLoadTime
	}
	return p.store.loadTime(p.fetchingCount(now) + 1)
}

func (p *Placer) handleUnload(now time.Time, s *replicaState, o Order, v Verdict) {
	sl := s.residents[o.Weights]
	if sl == nil {
		return
	}
	switch v {
	case Done:
		s.remove(now, o.Weights)
	case Begun, Unanswered:
		// It goes once its requests have ended; a listing will tell.
		sl.changedAt = now
		s.dropPending()
		s.needsListing = true
		s.nextListingAt = now.Add(listingInterval)
	default:
		sl.unloading = false
		s.dropPending()
		s.needsListing = true
		s.noOrdersUntil = now.Add(refusalDelay)
	}
	p.markChanged(s)
}

// dropPending gives up the orders that were not given yet.
func (s *replicaState) dropPending() {
	for _, o := range s.pending {
		if sl := s.residents[o.Weights]; !o.Load && sl != nil {
			sl.unloading = false
		}
	}
	s.pending = nil
}

// send gives each replica its next order.
func (p *Placer) send(now time.Time) {
	for _, name := range p.names {
		p.sendTo(now, p.replicas[name])
	}
}

// sendTo gives one replica its next order.
func (p *Placer) sendTo(now time.Time, s *replicaState) {
	if len(s.pending) == 0 || s.orderInFlight || s.stale || now.Before(s.noOrdersUntil) {
		return
	}
	s.orderInFlight = true
	s.pending[0].Sequence = s.sequence
	p.effects.Orders = append(p.effects.Orders, s.pending[0])
}
