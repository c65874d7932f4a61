package engine

import (
	"context"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
)

// maxAcks is how many answers to orders are remembered.
const maxAcks = 1000

func (e *Engine) load(ctx context.Context, l upstream.LoadOrder) (upstream.Ack, error) {
	fails, ready, err := e.reserve(l)
	if err != nil {
		return upstream.Ack{}, err
	}
	if !ready {
		sleepUntil(context.WithoutCancel(ctx), e.opts.LoadedAt(time.Now()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if fails {
		delete(e.slots, l.Adapter)
	}
	s := e.slots[l.Adapter]
	if s == nil {
		return upstream.Ack{}, result.New(result.LoadFailed, "load of %s failed", l.Adapter)
	}
	s.ready = true
	e.opts.Log.Info("loaded", "adapter", l.Adapter.String(), "evicted", name(l.Evict))
	return e.ack(l.Order), nil
}

// reserve takes a slot for the adapter and tells whether the load will fail,
// or whether the adapter is resident already. A repeated order waits as the
// first one did.
func (e *Engine) reserve(l upstream.LoadOrder) (fails, ready bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(l.Fence, l.Incarnation); err != nil {
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
		return false, false, result.New(result.ChangeRefused, "all %d slots are taken", e.opts.Self.Slots)
	}
	e.slots[l.Adapter] = &slot{}
	return e.rng.Float64() < e.opts.LoadFailures, false, nil
}

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
	if err := e.admit(u.Fence, u.Incarnation); err != nil {
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
	if err := e.admit(s.Fence, s.Incarnation); err != nil {
		return upstream.Ack{}, err
	}
	e.opts.Log.Info("role changed", "role", s.Role)
	return e.ack(s.Order), nil
}

// ack returns the answer to an order; a repeated one gets the first answer.
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
