package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// copyOf is an adapter in an engine's memory.
type copyOf struct {
	at   time.Time
	uses int
	busy int
}

type attempt struct {
	c   *call
	seq int
}

// engine is a fake engine replica.
type engine struct {
	w           *world
	name        ident.Upstream
	incarnation ident.Incarnation
	centre      ident.DataCentre
	owner       *daemon
	down        bool
	loads       map[ident.Adapter]*copyOf
	running     map[ident.Request]*attempt
	seq         int
	// since is when the number of running requests last changed.
	since time.Time
}

func (e *engine) meter() {
	if n := len(e.running); n > 0 {
		e.w.stats.batch(n, e.w.size.batch, e.w.now.Sub(e.since))
	}
	e.since = e.w.now
}

func (e *engine) start(c *call, ef dispatch.Send) {
	w := e.w
	if e.down || ef.Incarnation != e.incarnation {
		w.after(wire, func() {
			w.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.NotSent})
		})
		return
	}
	cp := e.loads[c.req.Adapter]
	if cp == nil {
		w.fault("sent where the adapter is not resident: " + string(c.req.ID))
		return
	}
	if len(e.running) >= w.size.batch {
		w.fault("batch exceeded at " + string(e.name))
	}
	e.meter()
	e.seq++
	seq := e.seq
	c.started = true
	e.running[c.req.ID] = &attempt{c, seq}
	cp.busy++
	cp.uses++
	c.noteLoaded(w, cp.at)
	if c.poison {
		w.after(300*time.Millisecond, func() {
			if a := e.running[c.req.ID]; a != nil && a.seq == seq {
				e.crash(true)
			}
		})
		return
	}
	fill := float64(len(e.running)-1) / float64(w.size.batch)
	w.after(time.Duration(float64(c.run)*(1+fill/2)), func() { e.finish(c, seq) })
}

func (e *engine) finish(c *call, seq int) {
	a := e.running[c.req.ID]
	if a == nil || a.seq != seq {
		return
	}
	e.meter()
	delete(e.running, c.req.ID)
	e.loads[c.req.Adapter].busy--
	if !c.entry.lost {
		e.w.end(c, doneEnd)
	}
	e.w.after(wire, func() { e.w.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.Done}) })
}

// crash ends everything that runs; the engine comes back empty.
func (e *engine) crash(counted bool) {
	w := e.w
	if counted {
		w.stats.crashes++
	}
	e.meter()
	var lost []*call
	for _, a := range e.running {
		lost = append(lost, a.c)
	}
	slices.SortFunc(lost, func(a, b *call) int { return cmp.Compare(a.req.ID, b.req.ID) })
	clear(e.running)
	e.dropAll()
	e.down = true
	e.incarnation++
	for _, c := range lost {
		w.after(wire, func() { w.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.Crashed}) })
	}
	w.after(restarts, func() {
		e.down = e.owner.lost
		w.step(e.owner, dispatch.Restarted{Upstream: e.name, Incarnation: e.incarnation})
	})
}

func (e *engine) dropAll() {
	for _, cp := range e.loads {
		e.w.stats.evicted(cp)
	}
	clear(e.loads)
}

func (e *engine) load(ef dispatch.Load) {
	w := e.w
	if e.down || ef.Incarnation != e.incarnation || !w.now.Before(ef.StartBy) {
		e.answer(ef, result.New(result.Unreachable, "down"), false)
		return
	}
	if v := e.loads[ef.Evict]; v != nil && v.busy > 0 {
		w.fault("evicted in use at " + string(e.name))
	}
	fails := w.rng.Float64() < w.loadFailures
	w.store.load(func() {
		switch {
		case ef.Incarnation != e.incarnation:
			w.stats.wasted++
		case fails:
			w.stats.wasted++
			e.answer(ef, result.New(result.LoadFailed, "store"), false)
		default:
			e.loaded(ef)
		}
	})
}

func (e *engine) loaded(ef dispatch.Load) {
	if v := e.loads[ef.Evict]; v != nil {
		if v.busy > 0 {
			e.w.fault("evicted in use at " + string(e.name))
		}
		e.w.stats.evicted(v)
		delete(e.loads, ef.Evict)
	}
	e.loads[ef.Adapter] = &copyOf{at: e.w.now}
	if len(e.loads) > e.w.size.slots {
		e.w.fault("too many adapters at " + string(e.name))
	}
	e.answer(ef, nil, !ef.Evict.IsZero())
}

func (e *engine) answer(ef dispatch.Load, err *result.Error, evicted bool) {
	e.w.after(wire, func() {
		e.w.step(e.owner, dispatch.LoadDone{
			Upstream: ef.Upstream, Incarnation: ef.Incarnation, Adapter: ef.Adapter, Err: err, Evicted: some(evicted),
		})
	})
}

func (e *engine) report() dispatch.ReplicaReport {
	r := dispatch.ReplicaReport{Upstream: e.name, Incarnation: e.incarnation, InFlight: len(e.running), MadeAt: e.w.now}
	for a, cp := range e.loads {
		r.Residents = append(r.Residents, a)
		if cp.busy == 0 {
			r.Idle = append(r.Idle, a)
		}
	}
	slices.SortFunc(r.Residents, ident.Adapter.Compare)
	slices.SortFunc(r.Idle, ident.Adapter.Compare)
	return r
}

// store is a fake weight store. It starts no more loads a second than it
// allows and lets the others wait; a load takes loadTime while no more than
// the limit are in transit, and proportionally longer beyond.
type store struct {
	w       *world
	transit int
	next    time.Time
}

const loadTime = 250 * time.Millisecond

func (s *store) load(done func()) {
	w := s.w
	s.transit++
	w.stats.load(w.now, s.transit)
	burst := time.Second - time.Second/time.Duration(w.size.limits.PerSecond)
	if earliest := w.now.Add(-burst); s.next.Before(earliest) {
		s.next = earliest
	}
	wait := max(0, s.next.Sub(w.now))
	s.next = s.next.Add(time.Second / time.Duration(w.size.limits.PerSecond))
	slow := max(1, float64(s.transit)/float64(w.size.limits.InTransit))
	w.after(wait+time.Duration(float64(loadTime)*slow), func() {
		s.transit--
		done()
	})
}
