package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const model = ident.Model("m")

func adapter(i int) Weights { return Weights{Model: model, Adapter: fmt.Sprintf("a%d", i)} }

// engine stands for a replica: it carries out orders, now or later, and keeps
// count of what it was ordered to hold.
type engine struct {
	Replica
	held map[Weights]time.Time // when each can be used
	// history is what it held before, for listings that lag.
	history []snapshot
	// sequence counts the orders accepted.
	sequence uint64
	// most is the largest number of adapters that it ever had to hold.
	most int
}

type snapshot struct {
	at       time.Time
	held     []Weights
	sequence uint64
}

func newEngine(name ident.Upstream, places int) *engine {
	return &engine{
		Replica: Replica{
			Name: name, Incarnation: 1, Service: "s", Batch: 64, AdapterSlots: places,
			Models: []ident.Model{model}, LoadTime: time.Second,
		},
		held: map[Weights]time.Time{{Model: model}: start},
	}
}

func (e *engine) carryOut(now time.Time, o Order) Verdict {
	if n, ok := o.Sequence.Get(); ok && n != e.sequence {
		return Refused
	}
	e.sequence++
	v := Done
	switch _, has := e.held[o.Weights]; {
	case o.Load && !has:
		e.held[o.Weights] = now.Add(fetchTime)
		v = Begun
	case !o.Load:
		delete(e.held, o.Weights)
	}
	n := 0
	for w := range e.held {
		if !w.IsModel() {
			n++
		}
	}
	e.most = max(e.most, n)
	e.history = append(e.history, snapshot{now, e.weights(), e.sequence})
	return v
}

func (e *engine) weights() []Weights {
	var out []Weights
	for w := range e.held {
		out = append(out, w)
	}
	return out
}

// listing is what the engine held a while ago.
func (e *engine) listing(now time.Time, age time.Duration) Listing {
	at := now.Add(-age)
	held, sequence := []Weights{{Model: model}}, uint64(0)
	for _, s := range e.history {
		if !s.at.After(at) {
			held, sequence = s.held, s.sequence
		}
	}
	l := Listing{
		Replica: e.Name, Incarnation: e.Incarnation, MadeAt: now.Add(-800 * time.Millisecond),
		Sequence: option.Some(sequence),
	}
	for _, w := range held {
		l.Holdings = append(l.Holdings, Holding{Weights: w, Version: 1})
	}
	return l
}

// bench is a placer among engines, with a clock and orders under way.
type bench struct {
	now     time.Time
	p       *Placer
	engines map[ident.Upstream]*engine
	// late are orders that will be carried out later.
	late []lateOrder
	// fate draws what becomes of an order.
	fate   func() int
	orders int
	log    func(string)
}

type lateOrder struct {
	at    time.Time
	order Order
}

func newBench(engines ...*engine) *bench {
	b := &bench{now: start, p: New(7, StoreEstimate{}), engines: make(map[ident.Upstream]*engine), fate: func() int { return 0 }}
	var rs []Replica
	for _, e := range engines {
		b.engines[e.Name] = e
		rs = append(rs, e.Replica)
	}
	b.carry(b.p.SetReplicas(b.now, rs))
	b.tick(50 * time.Millisecond)
	return b
}

// succeed makes another placer, which knows nothing of the first one's orders.
func (b *bench) succeed() {
	b.p = New(b.p.Fence()+1, StoreEstimate{})
	var rs []Replica
	for _, name := range slices.Sorted(maps.Keys(b.engines)) {
		rs = append(rs, b.engines[name].Replica)
	}
	b.carry(b.p.SetReplicas(b.now, rs))
}

func (b *bench) carry(e Effects) {
	for _, o := range e.Orders {
		b.orders++
		engine := b.engines[o.Replica]
		f := b.fate()
		if b.log != nil {
			b.log(fmt.Sprintf("%s %s load=%v %s fate %d held %d sequence %d %v", b.now.Sub(start), o.Replica, o.Load, o.Weights.Adapter, f, len(engine.held)-1, engine.sequence, o.Sequence))
		}
		switch f {
		case 1:
			// The answer is lost; the order is carried out later.
			b.late = append(b.late, lateOrder{b.now.Add(time.Duration(2+len(b.late)%10) * time.Second), o})
			b.carry(b.p.HandleVerdict(b.now, o, Unanswered))
		case 2:
			b.carry(b.p.HandleVerdict(b.now, o, Unanswered))
		case 3:
			b.carry(b.p.HandleVerdict(b.now, o, Refused))
		case 4:
			engine.carryOut(b.now, o)
			b.carry(b.p.HandleVerdict(b.now, o, Unanswered))
		case 5:
			// A listing that shows what the order did overtakes its answer.
			v := engine.carryOut(b.now, o)
			b.carry(b.p.ApplyListing(b.now, engine.listing(b.now, 0)))
			b.carry(b.p.HandleVerdict(b.now, o, v))
		default:
			b.carry(b.p.HandleVerdict(b.now, o, engine.carryOut(b.now, o)))
		}
	}
	for _, name := range e.RequestListings {
		b.carry(b.p.ApplyListing(b.now, b.engines[name].listing(b.now, 300*time.Millisecond)))
	}
}

func (b *bench) tick(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.late = slices.DeleteFunc(b.late, func(l lateOrder) bool {
			if l.at.After(b.now) {
				return false
			}
			b.engines[l.order.Replica].carryOut(b.now, l.order)
			return true
		})
		b.carry(b.p.Tick(b.now))
	}
}

func (b *bench) use(u Usage) Answer {
	u.Daemon = "d"
	a, e := b.p.ApplyUsage(b.now, u)
	b.carry(e)
	return a
}

func (b *bench) want(ws ...Weights) Answer {
	var u Usage
	for _, w := range ws {
		u.Demands = append(u.Demands, b.demand(w, b.now))
	}
	return b.use(u)
}

// demand is that of one request that has waited since a time, with a target of
// a second.
func (b *bench) demand(w Weights, since time.Time) Demand {
	return Demand{Service: "s", Weights: w, Waiting: 1, StartDeadline: since.Add(500 * time.Millisecond)}
}

// holders returns the replicas that hold w.
func (b *bench) holders(w Weights) []ident.Upstream {
	var out []ident.Upstream
	for name, e := range b.engines {
		if at, ok := e.held[w]; ok && !at.After(b.now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// TestNeverMoreThanFits asks for rare adapters all at once, with orders whose
// answers are lost, that are refused or carried out seconds later, and with
// listings and announcements that lag, under placers that follow each other. No replica is ever ordered to hold more
// than it has places for.
func TestNeverMoreThanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const places = 4
		b := newBench(newEngine("r1", places), newEngine("r2", places))
		b.log = func(s string) { t.Log(s) }
		trouble := rapid.IntRange(0, 3).Draw(t, "trouble")
		b.fate = func() int {
			if rapid.IntRange(0, 9).Draw(t, "luck") >= trouble {
				return 0
			}
			return rapid.IntRange(1, 5).Draw(t, "fate")
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			var u Usage
			for range rapid.IntRange(0, 3).Draw(t, "wants") {
				u.Demands = append(u.Demands, Demand{Service: "s", Weights: adapter(rapid.IntRange(0, 15).Draw(t, "adapter")), Waiting: 1})
			}
			if rapid.IntRange(0, 19).Draw(t, "another placer") == 0 {
				b.succeed()
			}
			if rapid.Bool().Draw(t, "announces") {
				e := b.engines["r1"]
				u.Listings = append(u.Listings, e.listing(b.now, time.Duration(rapid.IntRange(0, 4000).Draw(t, "age"))*time.Millisecond))
			}
			b.use(u)
			b.tick(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			for name, e := range b.engines {
				assert.Assert(t, e.most <= places, "%s had to hold %d", name, e.most)
			}
		}
	})
}

// TestListingOvertakesAnAnswer repeats a break of the limit that a hunt found
// once: a listing counts an order whose answer is still under way, the answer
// counts it again, and an order carried out late makes the wrong count right.
func TestListingOvertakesAnAnswer(t *testing.T) {
	b := newBench(newEngine("r1", 2))
	e := b.engines["r1"]
	b.fate = func() int { return 5 }
	b.want(adapter(1))
	b.tick(50 * time.Millisecond)
	late := Order{Replica: "r1", Incarnation: 1, Weights: adapter(9), Load: true, Sequence: option.Some(e.sequence)}
	b.fate = func() int { return 0 }
	b.tick(time.Second)
	assert.Equal(t, e.carryOut(b.now, late), Begun)
	b.want(adapter(2))
	b.tick(time.Second)
	assert.Assert(t, e.most <= 2, "had to hold %d", e.most)
}

// TestPhantomFreesNoPlace repeats what broke the limit on the users' bench: an
// announcement that was made before an adapter was unloaded arrives after, and
// the adapter is unloaded once more.
func TestPhantomFreesNoPlace(t *testing.T) {
	b := newBench(newEngine("r1", 2))
	old := b.engines["r1"]
	b.want(adapter(1), adapter(2))
	b.tick(time.Second)
	late := old.listing(b.now, 0)
	late.MadeAt = b.now
	for i := 3; i < 12; i++ {
		b.want(adapter(i))
		b.use(Usage{Listings: []Listing{late}})
		b.tick(700 * time.Millisecond)
		assert.Assert(t, old.most <= 2, "had to hold %d", old.most)
	}
}

// TestColdAdaptersHaveOneHome asks for a cold adapter from many daemons at
// once: it is fetched once.
func TestColdAdaptersHaveOneHome(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	for range 5 {
		b.want(adapter(1))
	}
	b.tick(time.Second)
	b.want(adapter(1))
	b.tick(time.Second)
	assert.Equal(t, len(b.holders(adapter(1))), 1)
	assert.Equal(t, b.orders, 1)
}

// TestFormerHomeIsPreferred lets an adapter make way and come back: the replica
// that held it has it on its disk.
func TestFormerHomeIsPreferred(t *testing.T) {
	b := newBench(newEngine("r1", 2), newEngine("r2", 2))
	b.want(adapter(1))
	b.tick(time.Second)
	home := b.holders(adapter(1))
	for i := 2; i < 12; i++ {
		b.want(adapter(i))
		b.tick(time.Second)
	}
	b.want(adapter(1))
	b.tick(time.Second)
	assert.DeepEqual(t, b.holders(adapter(1)), home)
}

// TestFloodOnOneAdapterWidens fills one replica with requests for one adapter:
// within a second or two others hold it too.
func TestFloodOnOneAdapterWidens(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4), newEngine("r4", 4))
	b.want(adapter(1))
	b.tick(time.Second)
	home := b.holders(adapter(1))[0]
	for range 10 {
		b.use(Usage{Runs: []Run{{Replica: home, Weights: adapter(1), Running: 40, Started: 10}}})
		b.tick(200 * time.Millisecond)
	}
	assert.Assert(t, len(b.holders(adapter(1))) >= 3)
}

// TestCopiesGoBeforeARushOfRareAdapters answers the pattern of a refill: the
// store is kept busy by rare adapters, one request each, while a popular one
// has all its requests at a single replica. Copies of it are made first.
func TestCopiesGoBeforeARushOfRareAdapters(t *testing.T) {
	var es []*engine
	for i := range 6 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 20))
	}
	b := newBench(es...)
	b.want(adapter(0))
	b.tick(time.Second)
	home := b.holders(adapter(0))[0]
	for i := range 200 {
		u := Usage{Runs: []Run{{Replica: home, Weights: adapter(0), Running: 80, Started: 5}}}
		for j := range 60 {
			u.Demands = append(u.Demands, b.demand(adapter(1+i/5+j), b.now))
		}
		// Daemons talk far more often than the placer's clock ticks.
		b.now = b.now.Add(5 * time.Millisecond)
		b.use(u)
		if i%10 == 9 {
			b.carry(b.p.Tick(b.now))
		}
	}
	assert.Assert(t, len(b.holders(adapter(0))) >= 4, "held by %d", len(b.holders(adapter(0))))
}

// TestInTimeBeforeLate answers a rush that asks for more rare adapters than the
// store can fetch, each once and for three seconds: many are still loaded while
// their request can be answered in time. First come, first served would serve
// all of them late.
func TestInTimeBeforeLate(t *testing.T) {
	var es []*engine
	for i := range 8 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 100))
	}
	b := newBench(es...)
	wanted := make(map[int]time.Time)
	inTime, asked := 0, 0
	for i := range 120 {
		wanted[2*i], wanted[2*i+1] = b.now, b.now
		var u Usage
		for j, at := range wanted {
			late := b.now.Sub(at)
			held := len(b.holders(adapter(j))) > 0
			if held || late > 3*time.Second {
				delete(wanted, j)
				if j > 120 {
					asked++
					if held && late < 800*time.Millisecond {
						inTime++
					}
				}
				u.Demands = append(u.Demands, Demand{Service: "s", Weights: adapter(j)})
				continue
			}
			u.Demands = append(u.Demands, b.demand(adapter(j), at))
		}
		b.use(u)
		b.tick(50 * time.Millisecond)
	}
	assert.Assert(t, 2*inTime > asked, "%d of %d in time", inTime, asked)
}

// TestScanKeepsThePopular asks once for each of many rare adapters while a few
// are in constant use: the popular ones stay.
func TestScanKeepsThePopular(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4))
	popular := []Weights{adapter(1), adapter(2), adapter(3)}
	b.want(popular...)
	b.tick(time.Second)
	for i := 10; i < 60; i++ {
		u := Usage{Demands: []Demand{{Service: "s", Weights: adapter(i), Waiting: 1}}}
		for _, w := range popular {
			for _, name := range b.holders(w) {
				u.Runs = append(u.Runs, Run{Replica: name, Weights: w, Running: 1, Started: 1})
			}
		}
		b.use(u)
		b.tick(400 * time.Millisecond)
		for _, w := range popular {
			assert.Assert(t, len(b.holders(w)) > 0, "%s was dropped", w.Adapter)
		}
	}
}

// TestEmptyReplicaGetsTheModel restarts a replica: it gets the base model, and
// adapters only after that.
func TestEmptyReplicaGetsTheModel(t *testing.T) {
	e := newEngine("r1", 4)
	b := newBench(e)
	b.want(adapter(1))
	b.tick(time.Second)
	e.Incarnation++
	e.held, e.history, e.sequence = map[Weights]time.Time{}, []snapshot{{time.Time{}, nil, 0}}, 0
	b.carry(b.p.SetReplicas(b.now, []Replica{e.Replica}))
	b.tick(time.Second)
	assert.Equal(t, len(e.held), 1)
	b.want(adapter(1))
	assert.Equal(t, len(e.held), 1)
	b.tick(2 * time.Second)
	b.want(adapter(1))
	b.tick(time.Second)
	assert.Equal(t, len(b.holders(adapter(1))), 1)
}

// TestNamedVersionReplacesTheOld names a new version while the old one is in
// use: another copy is fetched, and the old one goes.
func TestNamedVersionReplacesTheOld(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4))
	b.want(adapter(1))
	b.tick(time.Second)
	home := b.holders(adapter(1))[0]
	b.use(Usage{Runs: []Run{{Replica: home, Weights: adapter(1), Running: 2, Started: 5}}})
	b.carry(b.p.SetNamedVersions(map[Weights]uint64{adapter(1): 2}))
	b.tick(2 * time.Second)
	now := b.holders(adapter(1))
	assert.Equal(t, len(now), 1)
	assert.Assert(t, now[0] != home)
}

func TestAnswerTellsChangesOnly(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4))
	first := b.use(Usage{})
	assert.Equal(t, len(first.Inventories), 2)
	again := b.use(Usage{Fence: first.Fence, Revision: first.Revision})
	assert.Equal(t, len(again.Inventories), 0)
	b.want(adapter(1))
	b.tick(50 * time.Millisecond)
	changed := b.use(Usage{Fence: first.Fence, Revision: first.Revision})
	assert.Equal(t, len(changed.Inventories), 1)
	assert.Assert(t, !changed.Inventories[0].Complete)
	assert.Equal(t, len(changed.Inventories[0].Holdings), 1)
	other := b.use(Usage{Fence: first.Fence + 1, Revision: changed.Revision})
	assert.Equal(t, len(other.Inventories), 2)
}

func TestLoadsOfAllDaemonsAddUp(t *testing.T) {
	b := newBench(newEngine("r1", 4))
	run := func(n int) []Run { return []Run{{Replica: "r1", Weights: Weights{Model: model}, Running: n}} }
	_, _ = b.p.ApplyUsage(b.now, Usage{Daemon: "x", Runs: run(3)})
	a, _ := b.p.ApplyUsage(b.now, Usage{Daemon: "y", Runs: run(4)})
	assert.Equal(t, a.LoadAt(0), 7)
	b.tick(forgetDaemon + 100*time.Millisecond)
	a, _ = b.p.ApplyUsage(b.now, Usage{Daemon: "y", Runs: run(4)})
	assert.Equal(t, a.LoadAt(0), 4)
}

func TestMissedAdapterIsNotOfferedAgainAtOnce(t *testing.T) {
	b := newBench(newEngine("r1", 4))
	b.want(adapter(1))
	b.tick(3 * time.Second)
	a, _ := b.p.ApplyUsage(b.now, Usage{Daemon: "d", Demands: []Demand{{Service: "s", Weights: adapter(1), MissingAt: "r1"}}})
	for _, board := range a.Inventories {
		for _, h := range board.Holdings {
			assert.Assert(t, h.Weights != adapter(1))
		}
	}
}

// TestSilentReplicaIsAvoided answers replicas that go dark: they announce
// nothing any more, and the daemons learn it from the placer, not each by
// requests of its own. One that was silent only for a while takes part again.
func TestSilentReplicaIsAvoided(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	quiet := false
	for range 40 {
		for name, e := range b.engines {
			if name == "r2" && quiet {
				continue
			}
			b.use(Usage{Listings: []Listing{e.listing(b.now, 300*time.Millisecond)}})
		}
		b.tick(200 * time.Millisecond)
		quiet = true
	}
	a := b.use(Usage{})
	assert.DeepEqual(t, a.Avoided, []int{b.p.seats["r2"].number})
	b.use(Usage{Listings: []Listing{b.engines["r2"].listing(b.now, 0)}})
	b.tick(50 * time.Millisecond)
	assert.Equal(t, len(b.use(Usage{}).Avoided), 0)
}

// TestTwoDaemonsMakeAReplicaAvoided: the word of one daemon may be its own
// trouble.
func TestTwoDaemonsMakeAReplicaAvoided(t *testing.T) {
	b := newBench(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	say := func(d ident.Daemon) {
		_, e := b.p.ApplyUsage(b.now, Usage{Daemon: d, Avoid: []ident.Upstream{"r2"}})
		b.carry(e)
		_, _ = b.p.ApplyUsage(b.now, Usage{Daemon: "other"})
		b.tick(50 * time.Millisecond)
	}
	say("d1")
	assert.Equal(t, len(b.use(Usage{}).Avoided), 0)
	say("d2")
	assert.Equal(t, len(b.use(Usage{}).Avoided), 1)
}
