package engine

import (
	"context"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
)

// maxAcks is the maximum number of answers to orders that are kept.
const maxAcks = 1000

func (e *Engine) load(ctx context.Context, l upstream.LoadOrder) (upstream.Ack, error) {
	willFail, resident, err := e.reserveSlot(l)
	if err != nil {
		return upstream.Ack{}, err
	}
	if !resident {
		sleepUntil(context.WithoutCancel(ctx), e.opts.LoadDoneAt(time.Now()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if willFail {
		delete(e.slots, l.Adapter)
	}
	s := e.slots[l.Adapter]
	if s == nil {
		return upstream.Ack{}, result.New(result.LoadFailed, "loading %s failed", l.Adapter)
	}
	s.ready = true
	e.opts.Log.Info("loaded", "adapter", l.Adapter.String(), "evicted", adapterName(l.Evict))
	return e.ack(l.Order), nil
}

// reserveSlot reserves a slot for the adapter. It returns whether the load will
// fail, and whether the adapter is resident already. A repeated order for an
// adapter that is still being loaded takes as long as the first one.
func (e *Engine) reserveSlot(l upstream.LoadOrder) (willFail, resident bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(l.Fence, l.Incarnation); err != nil {
		return false, false, err
	}
	if s := e.slots[l.Adapter]; s != nil {
		return false, s.ready, nil
	}
	if !l.Evict.IsZero() {
		if err := e.evict(l.Evict); err != nil {
			return false, false, err
		}
	}
	if len(e.slots) >= e.opts.Self.Slots {
		return false, false, result.New(result.ChangeRefused, "all %d adapter slots are occupied", e.opts.Self.Slots)
	}
	e.slots[l.Adapter] = &slot{}
	return e.rng.Float64() < e.opts.LoadFailureRate, false, nil
}

// evict frees the slot of an adapter, if it has one. An adapter that is in use
// or being loaded is not evicted.
func (e *Engine) evict(a ident.Adapter) error {
	s := e.slots[a]
	if s == nil {
		return nil
	}
	if s.inFlight > 0 || !s.ready {
		return result.New(result.Pinned, "%s has %d requests in flight", a, s.inFlight)
	}
	delete(e.slots, a)
	return nil
}

func (e *Engine) unload(_ context.Context, u upstream.UnloadOrder) (upstream.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(u.Fence, u.Incarnation); err != nil {
		return upstream.Ack{}, err
	}
	if err := e.evict(u.Adapter); err != nil {
		return upstream.Ack{}, err
	}
	return e.ack(u.Order), nil
}

func (e *Engine) setRole(_ context.Context, s upstream.SetRoleOrder) (upstream.Ack, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(s.Fence, s.Incarnation); err != nil {
		return upstream.Ack{}, err
	}
	e.opts.Log.Info("role changed", "role", s.Role)
	return e.ack(s.Order), nil
}

// ack returns the answer to an order. A repeated order gets the answer that the
// first one got.
func (e *Engine) ack(o upstream.Order) upstream.Ack {
	if a, ok := e.acks[o.ID]; ok {
		return a
	}
	if len(e.acks) >= maxAcks {
		clear(e.acks)
	}
	a := upstream.Ack{ID: o.ID, Incarnation: e.opts.Self.Incarnation, Clock: time.Now()}
	e.acks[o.ID] = a
	return a
}

func sleepUntil(ctx context.Context, at time.Time) {
	d := time.Until(at)
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
