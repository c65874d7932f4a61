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

// engine simulates a replica: it carries out orders, now or later, and tracks
// what it was ordered to hold.
type engine struct {
	Replica
	held map[Weights]time.Time // when each can be used
	// history is what it held before, for listings that lag.
	history []snapshot
	// sequence counts the orders accepted.
	sequence uint64
	// maxHeld is the largest number of adapters that it ever had to hold.
	maxHeld int
}

type snapshot struct {
	at       time.Time
	held     []Weights
	sequence uint64
}

func newEngine(name ident.Upstream, slots int) *engine {
	return &engine{
		Replica: Replica{
			Name: name, Incarnation: 1, Service: "s", Batch: 64, AdapterSlots: slots,
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
		e.held[o.Weights] = now.Add(defaultFetchTime)
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
	e.maxHeld = max(e.maxHeld, n)
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

// listing returns what the engine held a while ago.
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

// simulation is a placer with simulated engines, a clock and orders in flight.
type simulation struct {
	now     time.Time
	p       *Placer
	engines map[ident.Upstream]*engine
	// late are orders that will be carried out later.
	late []lateOrder
	// outcome draws what becomes of an order.
	outcome func() int
	orders  int
	log     func(string)
}

type lateOrder struct {
	at    time.Time
	order Order
}

func newSimulation(engines ...*engine) *simulation {
	sim := &simulation{now: start, p: New(7, StoreEstimate{}), engines: make(map[ident.Upstream]*engine), outcome: func() int { return 0 }}
	var rs []Replica
	for _, e := range engines {
		sim.engines[e.Name] = e
		rs = append(rs, e.Replica)
	}
	sim.apply(sim.p.SetReplicas(sim.now, rs))
	sim.tick(50 * time.Millisecond)
	return sim
}

// replacePlacer creates another placer, which does not know the orders of the
// first one.
func (sim *simulation) replacePlacer() {
	sim.p = New(sim.p.Fence()+1, StoreEstimate{})
	var rs []Replica
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		rs = append(rs, sim.engines[name].Replica)
	}
	sim.apply(sim.p.SetReplicas(sim.now, rs))
}

func (sim *simulation) apply(e Effects) {
	for _, o := range e.Orders {
		sim.orders++
		engine := sim.engines[o.Replica]
		f := sim.outcome()
		if sim.log != nil {
			sim.log(fmt.Sprintf("%s %s load=%v %s outcome %d held %d sequence %d %v", sim.now.Sub(start), o.Replica, o.Load, o.Weights.Adapter, f, len(engine.held)-1, engine.sequence, o.Sequence))
		}
		switch f {
		case 1:
			// The answer is lost; the order is carried out later.
			sim.late = append(sim.late, lateOrder{sim.now.Add(time.Duration(2+len(sim.late)%10) * time.Second), o})
			sim.apply(sim.p.HandleVerdict(sim.now, o, Unanswered))
		case 2:
			sim.apply(sim.p.HandleVerdict(sim.now, o, Unanswered))
		case 3:
			sim.apply(sim.p.HandleVerdict(sim.now, o, Refused))
		case 4:
			engine.carryOut(sim.now, o)
			sim.apply(sim.p.HandleVerdict(sim.now, o, Unanswered))
		case 5:
			// A listing that shows the effect of the order overtakes its
			// answer.
			v := engine.carryOut(sim.now, o)
			sim.apply(sim.p.ApplyListing(sim.now, engine.listing(sim.now, 0)))
			sim.apply(sim.p.HandleVerdict(sim.now, o, v))
		default:
			sim.apply(sim.p.HandleVerdict(sim.now, o, engine.carryOut(sim.now, o)))
		}
	}
	for _, name := range e.RequestListings {
		sim.apply(sim.p.ApplyListing(sim.now, sim.engines[name].listing(sim.now, 300*time.Millisecond)))
	}
}

func (sim *simulation) tick(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(50 * time.Millisecond)
		sim.late = slices.DeleteFunc(sim.late, func(l lateOrder) bool {
			if l.at.After(sim.now) {
				return false
			}
			sim.engines[l.order.Replica].carryOut(sim.now, l.order)
			return true
		})
		sim.apply(sim.p.Tick(sim.now))
	}
}

func (sim *simulation) use(u Usage) Answer {
	u.Daemon = "d"
	a, e := sim.p.ApplyUsage(sim.now, u)
	sim.apply(e)
	return a
}

func (sim *simulation) request(ws ...Weights) Answer {
	var u Usage
	for _, w := range ws {
		u.Demands = append(u.Demands, sim.demand(w, sim.now))
	}
	return sim.use(u)
}

// demand returns the demand of one request that has waited since a time, with a
// latency target of a second.
func (sim *simulation) demand(w Weights, since time.Time) Demand {
	return Demand{Service: "s", Weights: w, Waiting: 1, StartDeadline: since.Add(500 * time.Millisecond)}
}

// holders returns the replicas that hold w.
func (sim *simulation) holders(w Weights) []ident.Upstream {
	var out []ident.Upstream
	for name, e := range sim.engines {
		if at, ok := e.held[w]; ok && !at.After(sim.now) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// TestNeverMoreThanFits requests many rare adapters at once, with orders that
// are refused, carried out seconds later or whose answers are lost, with
// delayed listings and announcements, and with changing placers. No replica is
// ever ordered to hold more adapters than it has slots.
func TestNeverMoreThanFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		sim := newSimulation(newEngine("r1", slots), newEngine("r2", slots))
		sim.log = func(s string) { t.Log(s) }
		trouble := rapid.IntRange(0, 3).Draw(t, "trouble")
		sim.outcome = func() int {
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
				sim.replacePlacer()
			}
			if rapid.Bool().Draw(t, "announces") {
				e := sim.engines["r1"]
				u.Listings = append(u.Listings, e.listing(sim.now, time.Duration(rapid.IntRange(0, 4000).Draw(t, "age"))*time.Millisecond))
			}
			sim.use(u)
			sim.tick(time.Duration(rapid.IntRange(50, 600).Draw(t, "ms")) * time.Millisecond)
			for name, e := range sim.engines {
				assert.Assert(t, e.maxHeld <= slots, "%s had to hold %d", name, e.maxHeld)
			}
		}
	})
}

// TestListingOvertakesAnAnswer guards against orders counted twice: a listing
// includes an order whose answer is still in transit, the answer counts it
// again, and another order that is carried out late makes the wrong count
// match, so that the replica has to hold too many adapters.
func TestListingOvertakesAnAnswer(t *testing.T) {
	sim := newSimulation(newEngine("r1", 2))
	e := sim.engines["r1"]
	sim.outcome = func() int { return 5 }
	sim.request(adapter(1))
	sim.tick(50 * time.Millisecond)
	late := Order{Replica: "r1", Incarnation: 1, Weights: adapter(9), Load: true, Sequence: option.Some(e.sequence)}
	sim.outcome = func() int { return 0 }
	sim.tick(time.Second)
	assert.Equal(t, e.carryOut(sim.now, late), Begun)
	sim.request(adapter(2))
	sim.tick(time.Second)
	assert.Assert(t, e.maxHeld <= 2, "had to hold %d", e.maxHeld)
}

// TestPhantomFreesNoPlace guards against unloading an adapter twice: an
// announcement made before the adapter was unloaded arrives afterwards, the
// adapter is unloaded again, and its slot counts as freed although it was not.
func TestPhantomFreesNoPlace(t *testing.T) {
	sim := newSimulation(newEngine("r1", 2))
	old := sim.engines["r1"]
	sim.request(adapter(1), adapter(2))
	sim.tick(time.Second)
	late := old.listing(sim.now, 0)
	late.MadeAt = sim.now
	for i := 3; i < 12; i++ {
		sim.request(adapter(i))
		sim.use(Usage{Listings: []Listing{late}})
		sim.tick(700 * time.Millisecond)
		assert.Assert(t, old.maxHeld <= 2, "had to hold %d", old.maxHeld)
	}
}

// TestColdAdaptersHaveOneHome requests a cold adapter repeatedly: it is fetched
// once.
func TestColdAdaptersHaveOneHome(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	for range 5 {
		sim.request(adapter(1))
	}
	sim.tick(time.Second)
	sim.request(adapter(1))
	sim.tick(time.Second)
	assert.Equal(t, len(sim.holders(adapter(1))), 1)
	assert.Equal(t, sim.orders, 1)
}

// TestFormerHomeIsPreferred evicts an adapter and requests it again: the
// replica that held it has it on its disk.
func TestFormerHomeIsPreferred(t *testing.T) {
	sim := newSimulation(newEngine("r1", 2), newEngine("r2", 2))
	sim.request(adapter(1))
	sim.tick(time.Second)
	home := sim.holders(adapter(1))
	for i := 2; i < 12; i++ {
		sim.request(adapter(i))
		sim.tick(time.Second)
	}
	sim.request(adapter(1))
	sim.tick(time.Second)
	assert.DeepEqual(t, sim.holders(adapter(1)), home)
}

// TestFloodOnOneAdapterMakesCopies fills one replica with requests for one
// adapter: within a second or two other replicas hold it too.
func TestFloodOnOneAdapterMakesCopies(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4), newEngine("r4", 4))
	sim.request(adapter(1))
	sim.tick(time.Second)
	home := sim.holders(adapter(1))[0]
	for range 10 {
		sim.use(Usage{Runs: []Run{{Replica: home, Weights: adapter(1), Running: 40, Started: 10}}})
		sim.tick(200 * time.Millisecond)
	}
	assert.Assert(t, len(sim.holders(adapter(1))) >= 3)
}

// TestCopiesGoBeforeRareAdapters guards against starved copies after many
// adapters were evicted: the store is kept busy by rare adapters with one
// request each, while a popular one has all its requests at a single replica.
// Copies of the popular one are made first.
func TestCopiesGoBeforeRareAdapters(t *testing.T) {
	var es []*engine
	for i := range 6 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 20))
	}
	sim := newSimulation(es...)
	sim.request(adapter(0))
	sim.tick(time.Second)
	home := sim.holders(adapter(0))[0]
	for i := range 200 {
		u := Usage{Runs: []Run{{Replica: home, Weights: adapter(0), Running: 80, Started: 5}}}
		for j := range 60 {
			u.Demands = append(u.Demands, sim.demand(adapter(1+i/5+j), sim.now))
		}
		// Daemons report far more often than the placer ticks.
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.use(u)
		if i%10 == 9 {
			sim.apply(sim.p.Tick(sim.now))
		}
	}
	assert.Assert(t, len(sim.holders(adapter(0))) >= 4, "held by %d", len(sim.holders(adapter(0))))
}

// TestInTimeBeforeLate requests more rare adapters than the store can fetch,
// each once and for three seconds: many are still loaded while their request
// can be answered in time. First come, first served would serve all of them
// late.
func TestInTimeBeforeLate(t *testing.T) {
	var es []*engine
	for i := range 8 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 100))
	}
	sim := newSimulation(es...)
	wanted := make(map[int]time.Time)
	inTime, requested := 0, 0
	for i := range 120 {
		wanted[2*i], wanted[2*i+1] = sim.now, sim.now
		var u Usage
		for j, at := range wanted {
			late := sim.now.Sub(at)
			held := len(sim.holders(adapter(j))) > 0
			if held || late > 3*time.Second {
				delete(wanted, j)
				if j > 120 {
					requested++
					if held && late < 800*time.Millisecond {
						inTime++
					}
				}
				u.Demands = append(u.Demands, Demand{Service: "s", Weights: adapter(j)})
				continue
			}
			u.Demands = append(u.Demands, sim.demand(adapter(j), at))
		}
		sim.use(u)
		sim.tick(50 * time.Millisecond)
	}
	assert.Assert(t, 2*inTime > requested, "%d of %d in time", inTime, requested)
}

// TestScanKeepsPopularAdapters requests each of many rare adapters once while a
// few others are in constant use: the popular ones stay loaded.
func TestScanKeepsPopularAdapters(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4))
	popular := []Weights{adapter(1), adapter(2), adapter(3)}
	sim.request(popular...)
	sim.tick(time.Second)
	for i := 10; i < 60; i++ {
		u := Usage{Demands: []Demand{{Service: "s", Weights: adapter(i), Waiting: 1}}}
		for _, w := range popular {
			for _, name := range sim.holders(w) {
				u.Runs = append(u.Runs, Run{Replica: name, Weights: w, Running: 1, Started: 1})
			}
		}
		sim.use(u)
		sim.tick(400 * time.Millisecond)
		for _, w := range popular {
			assert.Assert(t, len(sim.holders(w)) > 0, "%s was evicted", w.Adapter)
		}
	}
}

// TestEmptyReplicaGetsTheModel restarts a replica: it gets the base model, and
// adapters only after that.
func TestEmptyReplicaGetsTheModel(t *testing.T) {
	e := newEngine("r1", 4)
	sim := newSimulation(e)
	sim.request(adapter(1))
	sim.tick(time.Second)
	e.Incarnation++
	e.held, e.history, e.sequence = map[Weights]time.Time{}, []snapshot{{time.Time{}, nil, 0}}, 0
	sim.apply(sim.p.SetReplicas(sim.now, []Replica{e.Replica}))
	sim.tick(time.Second)
	assert.Equal(t, len(e.held), 1)
	sim.request(adapter(1))
	assert.Equal(t, len(e.held), 1)
	sim.tick(2 * time.Second)
	sim.request(adapter(1))
	sim.tick(time.Second)
	assert.Equal(t, len(sim.holders(adapter(1))), 1)
}

// TestNamedVersionReplacesTheOld names a new version while the old one is in
// use: another copy is fetched, and the old one is unloaded.
func TestNamedVersionReplacesTheOld(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4))
	sim.request(adapter(1))
	sim.tick(time.Second)
	home := sim.holders(adapter(1))[0]
	sim.use(Usage{Runs: []Run{{Replica: home, Weights: adapter(1), Running: 2, Started: 5}}})
	sim.apply(sim.p.SetNamedVersions(map[Weights]uint64{adapter(1): 2}))
	sim.tick(2 * time.Second)
	now := sim.holders(adapter(1))
	assert.Equal(t, len(now), 1)
	assert.Assert(t, now[0] != home)
}

func TestAnswerContainsChangesOnly(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4))
	first := sim.use(Usage{})
	assert.Equal(t, len(first.Inventories), 2)
	again := sim.use(Usage{Fence: first.Fence, Revision: first.Revision})
	assert.Equal(t, len(again.Inventories), 0)
	sim.request(adapter(1))
	sim.tick(50 * time.Millisecond)
	changed := sim.use(Usage{Fence: first.Fence, Revision: first.Revision})
	assert.Equal(t, len(changed.Inventories), 1)
	assert.Assert(t, !changed.Inventories[0].Complete)
	assert.Equal(t, len(changed.Inventories[0].Holdings), 1)
	other := sim.use(Usage{Fence: first.Fence + 1, Revision: changed.Revision})
	assert.Equal(t, len(other.Inventories), 2)
}

func TestLoadsAreSummedOverDaemons(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4))
	run := func(n int) []Run { return []Run{{Replica: "r1", Weights: Weights{Model: model}, Running: n}} }
	_, _ = sim.p.ApplyUsage(sim.now, Usage{Daemon: "x", Runs: run(3)})
	a, _ := sim.p.ApplyUsage(sim.now, Usage{Daemon: "y", Runs: run(4)})
	assert.Equal(t, a.LoadAt(0), 7)
	sim.tick(daemonTimeout + 100*time.Millisecond)
	a, _ = sim.p.ApplyUsage(sim.now, Usage{Daemon: "y", Runs: run(4)})
	assert.Equal(t, a.LoadAt(0), 4)
}

func TestMissingAdapterIsNotReportedAsHeld(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4))
	sim.request(adapter(1))
	sim.tick(3 * time.Second)
	a, _ := sim.p.ApplyUsage(sim.now, Usage{Daemon: "d", Demands: []Demand{{Service: "s", Weights: adapter(1), MissingAt: "r1"}}})
	for _, inventory := range a.Inventories {
		for _, h := range inventory.Holdings {
			assert.Assert(t, h.Weights != adapter(1))
		}
	}
}

// TestSilentReplicaIsAvoided covers replicas that stop announcing themselves:
// daemons learn that from the placer, not each by failed requests of its own. A
// replica that announces itself again is no longer avoided.
func TestSilentReplicaIsAvoided(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	silent := false
	for range 40 {
		for name, e := range sim.engines {
			if name == "r2" && silent {
				continue
			}
			sim.use(Usage{Listings: []Listing{e.listing(sim.now, 300*time.Millisecond)}})
		}
		sim.tick(200 * time.Millisecond)
		silent = true
	}
	a := sim.use(Usage{})
	assert.DeepEqual(t, a.Avoided, []int{sim.p.replicas["r2"].number})
	sim.use(Usage{Listings: []Listing{sim.engines["r2"].listing(sim.now, 0)}})
	sim.tick(50 * time.Millisecond)
	assert.Equal(t, len(sim.use(Usage{}).Avoided), 0)
}

// TestTwoDaemonsMakeAReplicaAvoided checks that one daemon is not enough: the
// fault may be its own.
func TestTwoDaemonsMakeAReplicaAvoided(t *testing.T) {
	sim := newSimulation(newEngine("r1", 4), newEngine("r2", 4), newEngine("r3", 4))
	report := func(d ident.Daemon) {
		_, e := sim.p.ApplyUsage(sim.now, Usage{Daemon: d, Avoid: []ident.Upstream{"r2"}})
		sim.apply(e)
		_, _ = sim.p.ApplyUsage(sim.now, Usage{Daemon: "other"})
		sim.tick(50 * time.Millisecond)
	}
	report("d1")
	assert.Equal(t, len(sim.use(Usage{}).Avoided), 0)
	report("d2")
	assert.Equal(t, len(sim.use(Usage{}).Avoided), 1)
}
