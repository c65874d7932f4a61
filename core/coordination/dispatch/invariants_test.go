package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"papayaspoke/core/result"
	"pgregory.net/rapid"
)

// engineModel is the true state of an engine, with which the effects of a
// dispatcher are compared.
type engineModel struct {
	incarnation ident.Incarnation
	residents   []ident.Adapter
	busy        map[ident.Request]ident.Adapter
	load        *dispatch.Load
	oldReports  []dispatch.ReplicaReport
}

// checker checks every effect of a dispatcher against the true state of the
// engines.
type checker struct {
	t        *rapid.T
	d        *dispatch.Dispatcher
	now      time.Time
	engines  map[ident.Upstream]*engineModel
	open     map[ident.Request]dispatch.Request
	ran      map[ident.Request]bool
	loads    []budget.DesiredLoad
	permits  budget.PermitID
	requests int
}

func newChecker(t *rapid.T) *checker {
	x := &checker{
		t: t, d: dispatch.New("vma", dispatch.Default()), now: epoch, engines: map[ident.Upstream]*engineModel{},
		open: map[ident.Request]dispatch.Request{}, ran: map[ident.Request]bool{},
	}
	for _, name := range []ident.Upstream{"gpu1", "gpu2"} {
		x.engines[name] = &engineModel{incarnation: 1, residents: []ident.Adapter{adapterNamed("a"), adapterNamed("b")}, busy: map[ident.Request]ident.Adapter{}}
		x.acquire(name)
	}
	return x
}

func (x *checker) acquire(name ident.Upstream) {
	x.step(dispatch.Acquired{Upstream: name, Incarnation: x.engines[name].incarnation, Model: model, Slots: 2, MaxBatch: 3, Fence: 1})
	x.now = x.now.Add(time.Millisecond)
	x.report(name)
}

func (x *checker) step(ev dispatch.Event) {
	for _, ef := range x.d.Step(x.now, ev) {
		x.check(ef)
	}
}

func (x *checker) check(ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.Load:
		e := x.engines[ef.Upstream]
		assert.Assert(x.t, ef.Incarnation == e.incarnation && e.load == nil, "two loads at the same time")
		for id, a := range e.busy {
			assert.Assert(x.t, a != ef.Evict, "%v evicted under %s", a, id)
		}
		e.load = &ef
	case dispatch.Send:
		x.checkSend(ef)
	case dispatch.Refuse:
		assert.Assert(x.t, result.Lookup(ef.Err.Code()).NotRun, "code %d", ef.Err.Code())
		assert.Assert(x.t, !x.ran[ef.Request], "%s refused as not run, but it ran", ef.Request)
		x.end(ef.Request)
	case dispatch.Fail:
		assert.Assert(x.t, !result.Lookup(ef.Err.Code()).NotRun, "code %d", ef.Err.Code())
		assert.Assert(x.t, !ef.Retry || x.open[ef.Request].Idempotent, "retry of a non-idempotent request")
		x.end(ef.Request)
	case dispatch.RequestPermits:
		x.loads = ef.Request.DesiredLoads
	case dispatch.PublishQuarantine, dispatch.Announce, dispatch.ReleasePermit, dispatch.Unload:
	}
}

func (x *checker) checkSend(ef dispatch.Send) {
	e, r := x.engines[ef.Upstream], x.open[ef.Request]
	assert.Assert(x.t, r.ID != "", "%s sent after its end", ef.Request)
	assert.Assert(x.t, ef.Incarnation == e.incarnation && ef.Adapter == r.Adapter)
	assert.Assert(x.t, slices.Contains(e.residents, r.Adapter), "%v is not resident", r.Adapter)
	assert.Assert(x.t, e.load == nil || e.load.Evict != r.Adapter, "sent to an adapter that is being evicted")
	assert.Assert(x.t, len(e.busy) < 3, "batch limit exceeded")
	assert.Assert(x.t, r.Idempotent || !x.ran[r.ID], "non-idempotent request sent twice")
	if x.d.Verdict(x.now, r.Digest) == quarantine.Suspect {
		assert.Assert(x.t, len(e.busy) == 0, "suspect sent beside other requests")
	}
	e.busy[ef.Request] = r.Adapter
}

func (x *checker) end(id ident.Request) {
	_, ok := x.open[id]
	assert.Assert(x.t, ok, "%s ended twice", id)
	delete(x.open, id)
}

func (x *checker) drawEngine() (ident.Upstream, *engineModel) {
	name := rapid.SampledFrom([]ident.Upstream{"gpu1", "gpu2"}).Draw(x.t, "engine")
	return name, x.engines[name]
}

func (x *checker) arrive() {
	x.requests++
	r := dispatch.Request{
		ID: ident.Request(fmt.Sprintf("r%d", x.requests)), Class: "notes", Model: model, Arrived: x.now,
		Adapter:    adapterNamed(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(x.t, "adapter")),
		Deadline:   x.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(x.t, "target")) * time.Second),
		Digest:     digest(uint64(rapid.IntRange(0, 20).Draw(x.t, "digest"))),
		Idempotent: rapid.Bool().Draw(x.t, "idempotent"),
	}
	x.open[r.ID] = r
	x.step(dispatch.Arrived{Request: r})
}

func (x *checker) grant() {
	var ps []budget.Permit
	for _, w := range x.loads {
		x.permits++
		ps = append(ps, budget.Permit{ID: x.permits, Upstream: w.Upstream, Adapter: w.Adapter, StartBy: x.now.Add(time.Second)})
	}
	x.step(dispatch.PermitsGranted{Permits: ps})
}

// endLoad ends the pending loads: successfully (0), with a failure (1), or
// without an answer after they took effect (2).
func (x *checker) endLoad(how int) {
	for _, name := range []ident.Upstream{"gpu1", "gpu2"} {
		e := x.engines[name]
		if e.load == nil {
			continue
		}
		done := dispatch.LoadDone{Upstream: name, Incarnation: e.load.Incarnation, Adapter: e.load.Adapter}
		if how != 1 && e.load.Incarnation == e.incarnation {
			e.residents = slices.DeleteFunc(e.residents, func(a ident.Adapter) bool { return a == e.load.Evict })
			e.residents = append(e.residents, e.load.Adapter)
		}
		if how != 0 {
			done.Err = result.New(result.LoadFailed, "x")
		}
		if how != 2 {
			done.Evicted = option.Some(how == 0)
		}
		e.load = nil
		x.step(done)
	}
}

func (x *checker) finish(o dispatch.Outcome) {
	name, e := x.drawEngine()
	if len(e.busy) == 0 {
		return
	}
	id := slices.Sorted(keys(e.busy))[0]
	delete(e.busy, id)
	if o != dispatch.NotSent && o != dispatch.Refused {
		x.ran[id] = true
	}
	if o == dispatch.Done {
		if _, ok := x.open[id]; ok {
			x.end(id)
		}
	}
	x.step(dispatch.Finished{Request: id, Outcome: o})
	if o == dispatch.Crashed {
		x.restart(name)
	}
}

func keys[V any](m map[ident.Request]V) func(func(ident.Request) bool) {
	return func(yield func(ident.Request) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (x *checker) restart(name ident.Upstream) {
	e := x.engines[name]
	for id := range e.busy {
		x.ran[id] = true
	}
	e.incarnation++
	e.residents, e.load = nil, nil
	clear(e.busy)
	x.step(dispatch.Restarted{Upstream: name, Incarnation: e.incarnation})
}

func (x *checker) report(name ident.Upstream) {
	e := x.engines[name]
	r := dispatch.ReplicaReport{Upstream: name, Incarnation: e.incarnation, InFlight: len(e.busy), MadeAt: x.now, Residents: slices.Clone(e.residents)}
	for _, a := range e.residents {
		if !slices.Contains(values(e.busy), a) {
			r.Idle = append(r.Idle, a)
		}
	}
	e.oldReports = append(e.oldReports, r)
	x.step(r)
}

func values(m map[ident.Request]ident.Adapter) []ident.Adapter {
	var out []ident.Adapter
	for _, a := range m {
		out = append(out, a)
	}
	return out
}

func (x *checker) cancel() {
	ids := slices.Sorted(keys(x.open))
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(x.t, "cancelled")
	x.end(id)
	x.step(dispatch.Cancelled{Request: id})
}

// finishAll lets all requests finish successfully.
func (x *checker) finishAll() {
	for range 100 {
		x.now = x.now.Add(time.Second)
		for _, name := range []ident.Upstream{"gpu1", "gpu2"} {
			x.report(name)
		}
		x.grant()
		x.endLoad(0)
		for range 8 {
			x.finish(dispatch.Done)
		}
		x.step(dispatch.Tick{})
	}
}

// TestInvariants drives a dispatcher with arbitrary events, including late
// reports and failing orders, and checks the rules of the package for each
// effect.
func TestInvariants(t *testing.T) {
	outcomes := []dispatch.Outcome{dispatch.Done, dispatch.NotSent, dispatch.Crashed, dispatch.Truncated, dispatch.WrongAnswer, dispatch.Refused}
	rapid.Check(t, func(t *rapid.T) {
		x := newChecker(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) {},
			"arrive": func(*rapid.T) { x.arrive() },
			"grant":  func(*rapid.T) { x.grant() },
			"answer": func(t *rapid.T) { x.endLoad(rapid.IntRange(0, 2).Draw(t, "how")) },
			"finish": func(t *rapid.T) { x.finish(rapid.SampledFrom(outcomes).Draw(t, "outcome")) },
			"wait": func(t *rapid.T) {
				x.now = x.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				x.step(dispatch.Tick{})
			},
			"report": func(*rapid.T) { name, _ := x.drawEngine(); x.report(name) },
			"late report": func(t *rapid.T) {
				_, e := x.drawEngine()
				x.step(rapid.SampledFrom(e.oldReports).Draw(t, "report"))
			},
			"restart": func(*rapid.T) { name, _ := x.drawEngine(); x.restart(name) },
			"cancel":  func(*rapid.T) { x.cancel() },
			"stale answer": func(*rapid.T) {
				name, e := x.drawEngine()
				x.step(dispatch.LoadDone{Upstream: name, Incarnation: e.incarnation - 1, Adapter: adapterNamed("c"), Evicted: option.Some(true)})
			},
			"move": func(*rapid.T) {
				name, e := x.drawEngine()
				if len(e.busy) == 0 && e.load == nil {
					x.step(dispatch.Released{Upstream: name})
					x.acquire(name)
				}
			},
		})
		x.finishAll()
		assert.Equal(t, len(x.open), 0, "%v never ended", x.open)
		assert.Equal(t, x.d.Len(), 0)
	})
}
