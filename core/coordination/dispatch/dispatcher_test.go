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
	"papayaspoke/core/result"
)

// bench drives one dispatcher by hand.
type bench struct {
	d       *dispatch.Dispatcher
	now     time.Time
	effects []dispatch.Effect
	n       int
}

// newBench returns a dispatcher that owns gpu1 with two slots and the given
// residents, all idle.
func newBench(residents ...string) *bench {
	b := &bench{d: dispatch.New("vma", dispatch.Default()), now: epoch}
	b.own("gpu1", residents...)
	return b
}

func (b *bench) own(name ident.Upstream, residents ...string) {
	b.step(dispatch.Acquired{Upstream: name, Incarnation: 1, Model: model, Slots: 2, MaxBatch: 2, Fence: 5})
	b.wait(time.Millisecond)
	b.report(name, residents, residents)
}

func (b *bench) report(name ident.Upstream, residents, idle []string) {
	r := dispatch.ReplicaReport{Upstream: name, Incarnation: 1, MadeAt: b.now}
	for _, a := range residents {
		r.Residents = append(r.Residents, named(a))
	}
	for _, a := range idle {
		r.Idle = append(r.Idle, named(a))
	}
	b.step(r)
}

func named(a string) ident.Adapter { return ident.Adapter{Name: a, Version: "1"} }

func (b *bench) wait(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) step(ev dispatch.Event) []string {
	out := b.d.Step(b.now, ev)
	b.effects = append(b.effects, out...)
	return describe(out)
}

// arrive sends a request with a target of ten seconds; its id is returned.
func (b *bench) arrive(a string, change ...func(*dispatch.Request)) ident.Request {
	b.n++
	r := dispatch.Request{
		ID: ident.Request(fmt.Sprintf("r%d", b.n)), Class: "notes", Model: model, Adapter: named(a), Arrived: b.now,
		Deadline: b.now.Add(10 * time.Second), Digest: digest(uint64(b.n)), Idempotent: true,
	}
	for _, c := range change {
		c(&r)
	}
	b.step(dispatch.Arrived{Request: r})
	return r.ID
}

// grant gives the permit that was asked for last.
func (b *bench) grant() []string {
	for _, e := range slices.Backward(b.effects) {
		if ask, ok := e.(dispatch.RequestPermits); ok {
			var ps []budget.Permit
			for i, w := range ask.Request.DesiredLoads {
				ps = append(ps, budget.Permit{ID: budget.PermitID(i + 1), Upstream: w.Upstream, Adapter: w.Adapter, StartBy: b.now.Add(budget.StartWithin)})
			}
			return b.step(dispatch.PermitsGranted{Permits: ps})
		}
	}
	return nil
}

func (b *bench) loaded(a, evicted string) []string {
	return b.step(dispatch.LoadDone{Upstream: "gpu1", Incarnation: 1, Adapter: named(a), Evicted: some(evicted != "")})
}

func (b *bench) finish(id ident.Request, o dispatch.Outcome) []string {
	return b.step(dispatch.Finished{Request: id, Outcome: o})
}

// describe gives the effects that matter to most tests as short lines.
func describe(es []dispatch.Effect) []string {
	out := []string{}
	for _, e := range es {
		switch e := e.(type) {
		case dispatch.Load:
			out = append(out, fmt.Sprintf("load %s for %s at %s", e.Adapter.Name, e.Evict.Name, e.Upstream))
		case dispatch.Send:
			out = append(out, fmt.Sprintf("send %s to %s", e.Request, e.Upstream))
		case dispatch.Refuse:
			out = append(out, fmt.Sprintf("refuse %s %d", e.Request, e.Err.Code()))
		case dispatch.Fail:
			out = append(out, fmt.Sprintf("fail %s %d %v", e.Request, e.Err.Code(), e.Retry))
		case dispatch.ReleasePermit:
			out = append(out, fmt.Sprintf("release %d", e.Permit))
		case dispatch.PublishQuarantine:
			out = append(out, fmt.Sprintf("verdict %d", e.Entry.Verdict))
		case dispatch.Unload, dispatch.RequestPermits, dispatch.Announce:
		}
	}
	return out
}

func once(r *dispatch.Request)  { r.Idempotent = false }
func short(r *dispatch.Request) { r.Deadline = r.Arrived.Add(time.Second) }

func TestDispatcher(t *testing.T) {
	cases := map[string]struct {
		act  func(b *bench) []string
		want []string
	}{
		"resident is sent at once": {func(b *bench) []string {
			b.arrive("a")
			return describe(b.effects[len(b.effects)-1:])
		}, []string{"send r1 to gpu1"}},
		"cold waits for its load": {func(b *bench) []string {
			b.arrive("c")
			return append(b.grant(), b.loaded("c", "a")...)
		}, []string{"load c for a at gpu1", "release 1", "send r1 to gpu1"}},
		"adapter in flight is pinned": {func(b *bench) []string {
			b.arrive("a")
			b.arrive("c")
			return b.grant()
		}, []string{"load c for b at gpu1"}},
		"adapter waited for is pinned": {func(b *bench) []string {
			b.arrive("a")
			b.arrive("a")
			b.arrive("b") // batch is full
			b.arrive("c")
			return b.grant()
		}, nil},
		"permit that is too late is returned": {func(b *bench) []string {
			b.arrive("c")
			return b.step(dispatch.PermitsGranted{Permits: []budget.Permit{{ID: 4, Upstream: "gpu1", Adapter: named("c"), StartBy: b.now}}})
		}, []string{"release 4"}},
		"permit that is not needed is returned": {func(b *bench) []string {
			return b.step(dispatch.PermitsGranted{Permits: []budget.Permit{{ID: 4, Upstream: "gpu1", Adapter: named("c"), StartBy: b.now.Add(time.Second)}}})
		}, []string{"release 4"}},
		"victim is not used during the load": {func(b *bench) []string {
			b.arrive("c")
			b.grant()
			b.arrive("a")
			return describe(b.effects[len(b.effects)-1:])
		}, []string{}},
		"answer for another adapter does not count": {func(b *bench) []string {
			b.arrive("c")
			b.grant()
			return b.loaded("x", "a")
		}, []string{}},
		"victim stays after a refused load": {func(b *bench) []string {
			b.arrive("c")
			b.grant()
			b.step(dispatch.LoadDone{Upstream: "gpu1", Incarnation: 1, Adapter: named("c"), Err: result.New(result.LoadFailed, "x"), Evicted: some(false)})
			b.arrive("a")
			return describe(b.effects[len(b.effects)-1:])
		}, []string{"send r2 to gpu1"}},
		"failed load backs off": {func(b *bench) []string {
			b.arrive("c")
			b.grant()
			b.step(dispatch.LoadDone{Upstream: "gpu1", Incarnation: 1, Adapter: named("c"), Err: result.New(result.LoadFailed, "x"), Evicted: some(false)})
			return b.step(dispatch.PermitsGranted{Permits: []budget.Permit{{ID: 9, Upstream: "gpu1", Adapter: named("c"), StartBy: b.now.Add(time.Second)}}})
		}, []string{"release 9"}},
		"earliest deadline goes first": {func(b *bench) []string {
			first := b.arrive("a")
			b.arrive("a")
			b.arrive("a")
			b.arrive("a", short)
			return b.finish(first, dispatch.Done)
		}, []string{"send r4 to gpu1"}},
		"hopeless is refused as not run": {func(b *bench) []string {
			b.arrive("a")
			b.arrive("a")
			b.arrive("a", short)
			b.wait(2 * time.Second)
			return b.step(dispatch.Tick{})
		}, []string{"refuse r3 202"}},
		"cancelled while waiting": {func(b *bench) []string {
			b.step(dispatch.Cancelled{Request: b.arrive("c")})
			return append(b.grant(), fmt.Sprint(b.d.Len()))
		}, []string{"0"}},
		"cancelled in flight": {func(b *bench) []string {
			id := b.arrive("a")
			b.step(dispatch.Cancelled{Request: id})
			return append(b.finish(id, dispatch.Crashed), fmt.Sprint(b.d.Len()))
		}, []string{"verdict 1", "0"}},
		"not sent is tried again": {func(b *bench) []string {
			id := b.arrive("a", once)
			out := b.finish(id, dispatch.NotSent)
			b.wait(time.Second)
			return append(out, b.step(dispatch.Tick{})...)
		}, []string{"send r1 to gpu1"}},
		"non-idempotent crash is unknown": {func(b *bench) []string {
			return b.finish(b.arrive("a", once), dispatch.Crashed)
		}, []string{"verdict 1", "fail r1 301 false"}},
		"non-idempotent cut is unknown": {func(b *bench) []string {
			return b.finish(b.arrive("a", once), dispatch.Truncated)
		}, []string{"fail r1 301 false"}},
		"wrong answer is tried again": {func(b *bench) []string {
			return b.finish(b.arrive("a"), dispatch.WrongAnswer)
		}, []string{"send r1 to gpu1"}},
		"draining gets no new work": {func(b *bench) []string {
			b.arrive("a")
			out := b.step(dispatch.Draining{Upstream: "gpu1"})
			b.arrive("a")
			return append(out, describe(b.effects[len(b.effects)-1:])...)
		}, []string{"refuse r2 203"}},
		"draining hands back what waits": {func(b *bench) []string {
			b.arrive("c")
			return b.step(dispatch.Draining{Upstream: "gpu1"})
		}, []string{"refuse r1 203"}},
		"quarantined elsewhere": {func(b *bench) []string {
			b.arrive("c")
			return b.step(dispatch.QuarantineReceived{Entries: []quarantine.Entry{{Digest: digest(1), Verdict: quarantine.Convicted, Expires: b.now.Add(time.Hour)}}})
		}, []string{"refuse r1 113"}},
		"fallback share loads without permit": {func(b *bench) []string {
			b.step(dispatch.BudgetLost{Share: budget.Limits{PerSecond: 1, InTransit: 1}})
			b.arrive("c")
			out := describe(b.effects[len(b.effects)-2:])
			b.loaded("c", "a")
			b.arrive("d")
			return append(out, fmt.Sprint(len(describe(b.effects[len(b.effects)-1:]))))
		}, []string{"load c for a at gpu1", "0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := c.act(newBench("a", "b"))
			assert.DeepEqual(t, append([]string{}, got...), append([]string{}, c.want...))
		})
	}
}

// TestCrashingRequestRunsAloneAndIsConvicted follows a crashing request among
// innocent ones over two replicas.
func TestCrashingRequestRunsAloneAndIsConvicted(t *testing.T) {
	b := newBench("a", "b")
	b.own("gpu2", "a", "b")
	on := func(u ident.Upstream) func(*dispatch.Request) { return func(r *dispatch.Request) { r.Upstream = u } }
	body := func(n uint64) func(*dispatch.Request) { return func(r *dispatch.Request) { r.Digest = digest(n) } }
	bad, good := b.arrive("a", on("gpu1")), b.arrive("a", on("gpu1"))
	assert.DeepEqual(t, b.finish(bad, dispatch.Crashed), []string{"verdict 1", "fail r1 303 true"})
	assert.DeepEqual(t, b.finish(good, dispatch.Crashed), []string{"verdict 1", "fail r2 303 true"})
	other := b.arrive("b")
	bad = b.arrive("a", body(1))
	good = b.arrive("a", body(2))
	b.arrive("b")
	sent := func() string { return fmt.Sprint(describe(b.effects[len(b.effects)-1:])) }
	assert.Equal(t, sent(), "[]", "a suspect or what follows it ran beside %s", other)
	assert.DeepEqual(t, b.finish(other, dispatch.Done), []string{"send " + string(bad) + " to gpu2"})
	assert.DeepEqual(t, b.finish(bad, dispatch.Crashed), []string{
		"refuse " + string(good) + " 203", "refuse r6 203", "verdict 2", "fail " + string(bad) + " 303 false",
	})
	b.arrive("a", body(1))
	assert.Equal(t, b.effects[len(b.effects)-1].(dispatch.Refuse).Err.Code(), result.Quarantined)
	b.step(dispatch.Restarted{Upstream: "gpu1", Incarnation: 2})
	assert.Equal(t, b.d.Verdict(b.now, digest(2)), quarantine.Suspect)
}

func TestNewOwnerTreatsResidentsAsInUse(t *testing.T) {
	cases := map[string]struct {
		act  func(b *bench)
		want []string
	}{
		"no report of idleness": {func(*bench) {}, nil},
		"report made before the takeover": {func(b *bench) {
			b.step(dispatch.ReplicaReport{Upstream: "gpu1", Incarnation: 1, Residents: []ident.Adapter{named("a")}, Idle: []ident.Adapter{named("a")}, MadeAt: epoch})
		}, nil},
		"report made after":      {func(b *bench) { b.wait(time.Millisecond); b.report("gpu1", []string{"a", "b"}, []string{"b"}) }, []string{"load c for b at gpu1"}},
		"latest deadline passed": {func(b *bench) { b.wait(5 * time.Second) }, []string{"load c for a at gpu1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := &bench{d: dispatch.New("vma", dispatch.Default()), now: epoch}
			b.step(dispatch.Acquired{Upstream: "gpu1", Incarnation: 1, Model: model, Slots: 2, MaxBatch: 2, InheritedUntil: epoch.Add(5 * time.Second)})
			b.wait(time.Millisecond)
			b.report("gpu1", []string{"a", "b"}, nil)
			c.act(b)
			b.arrive("c")
			assert.DeepEqual(t, append([]string{}, b.grant()...), append([]string{}, c.want...))
		})
	}
}
