package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// residentCopy is an adapter in the memory of an engine.
type residentCopy struct {
	loadedAt time.Time
	uses     int
	busy     int
}

// attempt is a running call. Its seq differs between attempts of one call.
type attempt struct {
	c   *call
	seq int
}

// engine is a fake engine replica.
type engine struct {
	sim         *simulation
	name        ident.Upstream
	incarnation ident.Incarnation
	dataCentre  ident.DataCentre
	owner       *daemon
	down        bool
	residents   map[ident.Adapter]*residentCopy
	running     map[ident.Request]*attempt
	seq         int
	// runningSince is when the number of running requests last changed.
	runningSince time.Time
}

// recordBatch adds the time since the last change to the batch statistics.
func (e *engine) recordBatch() {
	if n := len(e.running); n > 0 {
		e.sim.stats.addBatch(n, e.sim.size.maxBatch, e.sim.now.Sub(e.runningSince))
	}
	e.runningSince = e.sim.now
}

func (e *engine) startRun(c *call, ef dispatch.Send) {
	sim := e.sim
	if e.down || ef.Incarnation != e.incarnation {
		sim.after(engineDelay, func() {
			sim.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.NotSent})
		})
		return
	}
	res := e.residents[c.req.Adapter]
	if res == nil {
		sim.violate("sent to a replica without the adapter: " + string(c.req.ID))
		return
	}
	if len(e.running) >= sim.size.maxBatch {
		sim.violate("batch limit exceeded at " + string(e.name))
	}
	e.recordBatch()
	e.seq++
	seq := e.seq
	c.started = true
	e.running[c.req.ID] = &attempt{c, seq}
	res.busy++
	res.uses++
	c.recordStall(sim, res.loadedAt)
	if c.poison {
		sim.after(300*time.Millisecond, func() {
			if a := e.running[c.req.ID]; a != nil && a.seq == seq {
				e.crash(true)
			}
		})
		return
	}
	fill := float64(len(e.running)-1) / float64(sim.size.maxBatch)
	sim.after(time.Duration(float64(c.runTime)*(1+fill/2)), func() { e.finish(c, seq) })
}

func (e *engine) finish(c *call, seq int) {
	a := e.running[c.req.ID]
	if a == nil || a.seq != seq {
		return
	}
	e.recordBatch()
	delete(e.running, c.req.ID)
	e.residents[c.req.Adapter].busy--
	if !c.ingress.lost {
		e.sim.end(c, outcomeDone)
	}
	e.sim.after(engineDelay, func() { e.sim.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.Done}) })
}

// crash ends all running requests. The engine restarts without any adapters.
func (e *engine) crash(counted bool) {
	sim := e.sim
	if counted {
		sim.stats.crashes++
	}
	e.recordBatch()
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
		sim.after(engineDelay, func() { sim.step(e.owner, dispatch.Finished{Request: c.req.ID, Outcome: dispatch.Crashed}) })
	}
	sim.after(restartDelay, func() {
		e.down = e.owner.lost
		sim.step(e.owner, dispatch.Restarted{Upstream: e.name, Incarnation: e.incarnation})
	})
}

func (e *engine) dropAll() {
	for _, res := range e.residents {
		e.sim.stats.recordEviction(res)
	}
	clear(e.residents)
}

func (e *engine) load(ef dispatch.Load) {
	sim := e.sim
	if e.down || ef.Incarnation != e.incarnation || !sim.now.Before(ef.StartBy) {
		e.answer(ef, result.New(result.Unreachable, "down"), false)
		return
	}
	if v := e.residents[ef.Evict]; v != nil && v.busy > 0 {
		sim.violate("adapter evicted while in use at " + string(e.name))
	}
	fails := sim.rng.Float64() < sim.loadFailureRate
	sim.store.load(func() {
		switch {
		case ef.Incarnation != e.incarnation:
			sim.stats.wasted++
		case fails:
			sim.stats.wasted++
			e.answer(ef, result.New(result.LoadFailed, "store"), false)
		default:
			e.finishLoad(ef)
		}
	})
}

func (e *engine) finishLoad(ef dispatch.Load) {
	if v := e.residents[ef.Evict]; v != nil {
		if v.busy > 0 {
			e.sim.violate("adapter evicted while in use at " + string(e.name))
		}
		e.sim.stats.recordEviction(v)
		delete(e.residents, ef.Evict)
	}
	e.residents[ef.Adapter] = &residentCopy{loadedAt: e.sim.now}
	if len(e.residents) > e.sim.size.slots {
		e.sim.violate("more adapters than slots at " + string(e.name))
	}
	e.answer(ef, nil, !ef.Evict.IsZero())
}

func (e *engine) answer(ef dispatch.Load, err *result.Error, evicted bool) {
	e.sim.after(engineDelay, func() {
		e.sim.step(e.owner, dispatch.LoadDone{
			Upstream: ef.Upstream, Incarnation: ef.Incarnation, Adapter: ef.Adapter, Err: err, Evicted: some(evicted),
		})
	})
}

func (e *engine) report() dispatch.ReplicaReport {
	r := dispatch.ReplicaReport{Upstream: e.name, Incarnation: e.incarnation, InFlight: len(e.running), MadeAt: e.sim.now}
	for a, res := range e.residents {
		r.Residents = append(r.Residents, a)
		if res.busy == 0 {
			r.Idle = append(r.Idle, a)
		}
	}
	slices.SortFunc(r.Residents, ident.Adapter.Compare)
	slices.SortFunc(r.Idle, ident.Adapter.Compare)
	return r
}

// store is a fake weight store. It delays loads that exceed its limit for each
// second. A load takes loadTime while no more than Limits.InTransit loads are
// in transit, and proportionally longer beyond.
type store struct {
	sim       *simulation
	inTransit int
	nextStart time.Time
}

const loadTime = 250 * time.Millisecond

func (s *store) load(done func()) {
	sim := s.sim
	s.inTransit++
	sim.stats.recordLoad(sim.now, s.inTransit)
	burst := time.Second - time.Second/time.Duration(sim.size.limits.PerSecond)
	if earliest := sim.now.Add(-burst); s.nextStart.Before(earliest) {
		s.nextStart = earliest
	}
	wait := max(0, s.nextStart.Sub(sim.now))
	s.nextStart = s.nextStart.Add(time.Second / time.Duration(sim.size.limits.PerSecond))
	slowdown := max(1, float64(s.inTransit)/float64(sim.size.limits.InTransit))
	sim.after(wait+time.Duration(float64(loadTime)*slowdown), func() {
		s.inTransit--
		done()
	})
}
