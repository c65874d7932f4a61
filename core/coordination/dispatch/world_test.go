package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	again    = 50 * time.Millisecond // between polls of an owner with wants
	hop      = 4 * time.Millisecond  // one way between daemons
	wire     = time.Millisecond      // one way between a daemon and a replica
	model    = ident.Model("base")
	restarts = 5 * time.Second // from a crash to the new incarnation
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

// size is one of the users.
type size struct {
	name     string
	centres  int
	daemons  int
	replicas int
	slots    int
	batch    int
	limits   budget.Limits
	// quiet and flood are in requests a second.
	quiet, flood float64
}

var sizes = []size{
	{"Mattress Care", 3, 10, 12, 6, 16, budget.Limits{PerSecond: 3, InTransit: 8}, 3, 40},
	{"Veilig Zitje", 4, 11, 18, 6, 16, budget.Limits{PerSecond: 4, InTransit: 8}, 5, 60},
}

// rules are the policies of one run.
type rules struct {
	name     string
	dispatch dispatch.Policy
	routing  routing.Policy
}

type item struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if c := a[i].at.Compare(a[j].at); c != 0 {
		return c < 0
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

type daemon struct {
	name   ident.Daemon
	centre ident.DataCentre
	d      *dispatch.Dispatcher
	dir    *routing.Directory
	lost   bool
	// answered is when the holder of the budget last answered.
	answered time.Time
	fallback bool
	// ask and released are for the next poll, polling is true from a poll to
	// the next if one is due.
	ask      budget.PermitRequest
	released []budget.PermitID
	polling  bool
}

// world runs daemons, fake engines and a fake weight store in virtual time.
type world struct {
	now     time.Time
	agenda  agenda
	seq     int
	rng     *rand.Rand
	size    size
	rules   rules
	daemons []*daemon
	engines []*engine
	store   store
	holder  *budget.Holder
	calls   map[ident.Request]*call
	stats   *stats
	// reportLag, recordLag and gaps model late knowledge.
	reportLag, recordLag time.Duration
	gaps                 float64
	loadFailures         float64
	// faults lists broken invariants.
	faults []string
}

func newWorld(s size, r rules, seed uint64) *world {
	w := &world{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), size: s, rules: r,
		calls: make(map[ident.Request]*call), stats: newStats(),
	}
	w.store = store{w: w}
	var names []ident.Daemon
	for i := range s.daemons {
		dm := &daemon{
			name: ident.Daemon("vm" + letter(i)), centre: centre(i % s.centres),
			dir: routing.NewDirectory(r.routing), answered: epoch,
		}
		dm.d = dispatch.New(dm.name, r.dispatch)
		w.daemons = append(w.daemons, dm)
		names = append(names, dm.name)
	}
	w.holder = budget.NewHolder(epoch, s.limits, names, 0)
	for i := range s.replicas {
		w.addEngine(i)
	}
	w.every(50*time.Millisecond, w.tick)
	w.every(200*time.Millisecond, w.gossip)
	w.every(500*time.Millisecond, w.report)
	return w
}

func letter(i int) string { return string(rune('a' + i)) }

func centre(i int) ident.DataCentre { return ident.DataCentre("dc" + letter(i)) }

func (w *world) addEngine(i int) {
	c := centre(i % w.size.centres)
	var local []*daemon
	for _, dm := range w.daemons {
		if dm.centre == c {
			local = append(local, dm)
		}
	}
	e := &engine{
		w: w, name: ident.Upstream("gpu" + letter(i)), incarnation: 1, centre: c,
		owner: local[i/w.size.centres%len(local)], loads: make(map[ident.Adapter]*copyOf),
		running: make(map[ident.Request]*attempt), since: epoch,
	}
	w.engines = append(w.engines, e)
	w.after(0, func() {
		w.step(e.owner, dispatch.Acquired{
			Upstream: e.name, Incarnation: e.incarnation, Model: model, DataCentre: c,
			Slots: w.size.slots, MaxBatch: w.size.batch, Fence: 1,
		})
	})
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, item{w.now.Add(d), w.seq, do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

func (w *world) runUntil(t time.Time) {
	for w.agenda[0].at.Before(t) {
		it := heap.Pop(&w.agenda).(item)
		w.now = it.at
		it.do()
	}
	w.now = t
}

func (w *world) tick() {
	for _, dm := range w.daemons {
		if dm.lost {
			continue
		}
		w.step(dm, dispatch.Tick{})
		if lost := w.now.Sub(dm.answered) > budget.FallbackAfter; lost && !dm.fallback {
			dm.fallback = true
			w.step(dm, dispatch.BudgetLost{Share: budget.FallbackShare(dm.name, w.names(), w.size.limits)})
		}
	}
}

func (w *world) names() []ident.Daemon {
	var out []ident.Daemon
	for _, dm := range w.daemons {
		out = append(out, dm.name)
	}
	return out
}

func (w *world) gossip() {
	for _, dm := range w.daemons {
		w.announce(dm)
	}
}

// announce spreads the records of a daemon to all others.
func (w *world) announce(dm *daemon) {
	if dm.lost {
		return
	}
	records := dm.d.Records(w.now)
	put := func(to *daemon) {
		for _, r := range records {
			to.dir.Put(r)
		}
	}
	put(dm)
	w.after(hop+w.recordLag, func() {
		for _, to := range w.daemons {
			if to != dm {
				put(to)
			}
		}
	})
}

func (w *world) report() {
	for _, e := range w.engines {
		if e.down || w.rng.Float64() < w.gaps {
			continue
		}
		r := e.report()
		w.after(wire+w.reportLag, func() { w.step(e.owner, r) })
	}
}

func (w *world) step(dm *daemon, ev dispatch.Event) {
	if dm.lost {
		return
	}
	for _, ef := range dm.d.Step(w.now, ev) {
		w.do(dm, ef)
	}
}

func (w *world) do(dm *daemon, ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.Load:
		w.after(wire, func() { w.engine(ef.Upstream).load(ef) })
	case dispatch.Send:
		w.after(wire, func() { w.engine(ef.Upstream).start(w.calls[ef.Request], ef) })
	case dispatch.Refuse:
		w.refused(dm, ef)
	case dispatch.Fail:
		w.failed(dm, ef)
	case dispatch.RequestPermits:
		dm.ask = ef.Request
		w.pollNow(dm)
	case dispatch.ReleasePermit:
		dm.released = append(dm.released, ef.Permit)
		w.pollNow(dm)
	case dispatch.PublishQuarantine:
		w.after(hop, func() {
			for _, to := range w.daemons {
				if to != dm {
					w.step(to, dispatch.QuarantineReceived{Entries: []quarantine.Entry{ef.Entry}})
				}
			}
		})
	case dispatch.Announce:
		w.announce(dm)
	}
}

func (w *world) pollNow(dm *daemon) {
	if !dm.polling {
		w.poll(dm)
	}
}

// poll asks the holder and asks again as long as there are wants.
func (w *world) poll(dm *daemon) {
	dm.polling = true
	sent, ask, released := w.now, dm.ask, dm.released
	dm.released = nil
	w.after(hop, func() {
		if w.holder == nil {
			w.after(again, func() { w.poll(dm) })
			return
		}
		for _, id := range released {
			w.holder.Release(id)
		}
		ps := w.holder.Poll(w.now, ask)
		admit := w.holder.Admit(w.now)
		w.after(hop, func() { w.polled(dm, sent, ps, admit) })
	})
}

func (w *world) polled(dm *daemon, sent time.Time, ps []budget.Permit, admit float64) {
	dm.answered, dm.polling = w.now, false
	if dm.fallback {
		dm.fallback = false
		w.step(dm, dispatch.BudgetRestored{})
	}
	w.step(dm, dispatch.AdmissionShare{Share: admit})
	for i := range ps {
		ps[i].StartBy = sent.Add(budget.StartWithin)
	}
	if len(ps) > 0 {
		w.step(dm, dispatch.PermitsGranted{Permits: ps})
	}
	if len(dm.ask.DesiredLoads) == 0 && len(dm.released) == 0 || dm.polling {
		return
	}
	dm.polling = true
	w.after(again, func() { w.poll(dm) })
}

func (w *world) engine(name ident.Upstream) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == name })
	return w.engines[i]
}

// loseCentre takes away a data centre with its daemons and replicas.
func (w *world) loseCentre(c ident.DataCentre) {
	for _, dm := range w.daemons {
		dm.lost = dm.lost || dm.centre == c
	}
	w.holder = nil
	for _, e := range w.engines {
		if e.centre == c {
			e.crash(false)
			w.after(2*time.Second, func() {
				for _, dm := range w.daemons {
					dm.dir.Remove(e.name)
				}
			})
		}
	}
	w.after(2*time.Second, func() { w.holder = budget.NewHolder(w.now, w.size.limits, w.names(), 1<<32) })
	w.loseCalls()
}

var some = option.Some[bool]
