package placement

import (
	"time"

	"papayaspoke/core/option"
)

// HandleVerdict handles the outcome of an order.
func (p *Placer) HandleVerdict(now time.Time, o Order, v Verdict) Effects {
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

// countAccepted counts the orders that the replica has accepted. It may or may
// not have counted an order whose result already held, so its listing is
// requested.
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

// retryOrder gives an unanswered order again. If the first one is carried out
// later, it finds the second one's result; until then the slot stays taken.
func (p *Placer) retryOrder(now time.Time, s *replicaState, o Order) {
	if o.Load && s.residents[o.Weights] == nil {
		s.residents[o.Weights] = &resident{version: o.Version, usedAt: now, changedAt: now, readyAt: now, uncertainUntil: now.Add(lateOrderWindow)}
	}
	if res := s.residents[o.Weights]; res != nil && o.Load {
		res.reservedUntil = now.Add(lateOrderWindow)
	}
	p.sendTo(now, s)
}

func (p *Placer) handleLoad(now time.Time, s *replicaState, o Order, v Verdict) {
	res := &resident{version: o.Version, usedAt: now, changedAt: now, readyAt: now, loadRecord: loadRecord{evaluated: true}}
	if old := s.residents[o.Weights]; old != nil {
		res.reservedUntil = old.reservedUntil
	}
	switch v {
	case Begun:
		took := p.loadDuration(now, s, o.Weights)
		res.readyAt = now.Add(took + deliveryMargin)
		_, onDisk := s.droppedAt[o.Weights]
		res.loadRecord = loadRecord{inTransit: p.fetchingCount(now) + 1, limitNumber: p.store.limitNumber, dueAt: res.readyAt, evaluated: onDisk}
		if o.Weights.IsModel() {
			res.loadRecord = loadRecord{inTransit: p.modelsLoading(now) + 1, limitNumber: p.modelStore.limitNumber, dueAt: res.readyAt.Add(modelListingLag)}
			s.needsListing, s.nextListingAt = true, res.dueAt
			if s.localCopyTime(o.Weights.Model) > 0 {
				res.limitNumber = localCopyLoad
			}
		}
	case Done:
	case Unanswered:
		res.uncertainUntil = now.Add(lateOrderWindow)
		s.dropPending()
		s.needsListing = true
	default:
		s.dropPending()
		s.needsListing = true
		s.noOrdersUntil = now.Add(refusalDelay)
		return
	}
	if v == Unanswered {
		res.reservedUntil = now.Add(lateOrderWindow)
	}
	s.residents[o.Weights] = res
	p.markChanged(s)
}

// loadDuration returns how long a load that begins now takes.
func (p *Placer) loadDuration(now time.Time, s *replicaState, w Weights) time.Duration {
	if w.IsModel() {
		if local := s.localCopyTime(w.Model); local > 0 {
			return local
		}
		return s.LoadTime
	}
	if _, ok := s.droppedAt[w]; ok {
		return diskLoadTime
	}
	return p.store.loadTime(p.fetchingCount(now) + 1)
}

func (p *Placer) handleUnload(now time.Time, s *replicaState, o Order, v Verdict) {
	res := s.residents[o.Weights]
	if res == nil {
		return
	}
	switch v {
	case Done:
		s.remove(now, o.Weights)
	case Begun, Unanswered:
		// The replica unloads it once its requests have ended, and a listing
		// will show that.
		res.changedAt = now
		s.dropPending()
		s.needsListing = true
		s.nextListingAt = now.Add(listingInterval)
	default:
		res.unloading = false
		s.dropPending()
		s.needsListing = true
		s.noOrdersUntil = now.Add(refusalDelay)
	}
	p.markChanged(s)
}

// dropPending drops the orders that were not given yet.
func (s *replicaState) dropPending() {
	for _, o := range s.pending {
		if res := s.residents[o.Weights]; !o.Load && res != nil {
			res.unloading = false
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
