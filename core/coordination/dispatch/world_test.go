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
	pollInterval = 50 * time.Millisecond // between polls of an owner that wants loads
	daemonDelay  = 4 * time.Millisecond  // one way between daemons
	engineDelay  = time.Millisecond      // one way between a daemon and a replica
	model        = ident.Model("base")
	restartDelay = 5 * time.Second // from a crash to the new incarnation
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

// clusterSize is the size and traffic of one cluster.
type clusterSize struct {
	name        string
	dataCentres int
	daemons     int
	replicas    int
	slots       int
	maxBatch    int
	limits      budget.Limits
	// quiet and flood are request rates per second.
	quiet, flood float64
}

var clusterSizes = []clusterSize{
	{"Mattress Care", 3, 10, 12, 6, 16, budget.Limits{PerSecond: 3, InTransit: 8}, 3, 40},
	{"Veilig Zitje", 4, 11, 18, 6, 16, budget.Limits{PerSecond: 4, InTransit: 8}, 5, 60},
}

// policies holds the dispatch and routing policies of one run.
type policies struct {
	name     string
	dispatch dispatch.Policy
	routing  routing.Policy
}

// scheduled is a function that runs at a simulated time.
type scheduled struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap ordered by time, then by order of insertion.
type eventQueue []scheduled

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if c := a[i].at.Compare(a[j].at); c != 0 {
		return c < 0
	}
	return a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduled)) }
func (a *eventQueue) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

// daemon is a simulated daemon.
type daemon struct {
	name       ident.Daemon
	dataCentre ident.DataCentre
	d          *dispatch.Dispatcher
	dir        *routing.Directory
	lost       bool
	// lastAnswer is when the holder of the budget last answered.
	lastAnswer time.Time
	fallback   bool
	// request and released are sent with the next poll. polling is true while a
	// poll is in progress or scheduled.
	request  budget.PermitRequest
	released []budget.PermitID
	polling  bool
}

// simulation runs daemons, fake engines and a fake weight store in virtual
// time.
type simulation struct {
	now      time.Time
	events   eventQueue
	seq      int
	rng      *rand.Rand
	size     clusterSize
	policies policies
	daemons  []*daemon
	engines  []*engine
	store    store
	holder   *budget.Holder
	calls    map[ident.Request]*call
	stats    *stats
	// reportLag and recordLag delay reports and routing records; reportLoss is
	// the part of the reports that is lost.
	reportLag, recordLag time.Duration
	reportLoss           float64
	loadFailureRate      float64
	// violations lists broken invariants.
	violations []string
}

func newSimulation(s clusterSize, r policies, seed uint64) *simulation {
	sim := &simulation{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), size: s, policies: r,
		calls: make(map[ident.Request]*call), stats: newStats(),
	}
	sim.store = store{sim: sim}
	var names []ident.Daemon
	for i := range s.daemons {
		dm := &daemon{
			name: ident.Daemon("vm" + letter(i)), dataCentre: dataCentre(i % s.dataCentres),
			dir: routing.NewDirectory(r.routing), lastAnswer: epoch,
		}
		dm.d = dispatch.New(dm.name, r.dispatch)
		sim.daemons = append(sim.daemons, dm)
		names = append(names, dm.name)
	}
	sim.holder = budget.NewHolder(epoch, s.limits, names, 0)
	for i := range s.replicas {
		sim.addEngine(i)
	}
	sim.every(50*time.Millisecond, sim.tick)
	sim.every(200*time.Millisecond, sim.gossip)
	sim.every(500*time.Millisecond, sim.report)
	return sim
}

func letter(i int) string { return string(rune('a' + i)) }

func dataCentre(i int) ident.DataCentre { return ident.DataCentre("dc" + letter(i)) }

func (sim *simulation) addEngine(i int) {
	c := dataCentre(i % sim.size.dataCentres)
	var local []*daemon
	for _, dm := range sim.daemons {
		if dm.dataCentre == c {
			local = append(local, dm)
		}
	}
	e := &engine{
		sim: sim, name: ident.Upstream("gpu" + letter(i)), incarnation: 1, dataCentre: c,
		owner: local[i/sim.size.dataCentres%len(local)], residents: make(map[ident.Adapter]*residentCopy),
		running: make(map[ident.Request]*attempt), runningSince: epoch,
	}
	sim.engines = append(sim.engines, e)
	sim.after(0, func() {
		sim.step(e.owner, dispatch.Acquired{
			Upstream: e.name, Incarnation: e.incarnation, Model: model, DataCentre: c,
			Slots: sim.size.slots, MaxBatch: sim.size.maxBatch, Fence: 1,
		})
	})
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, scheduled{sim.now.Add(d), sim.seq, run})
}

func (sim *simulation) every(d time.Duration, run func()) {
	sim.after(d, func() { run(); sim.every(d, run) })
}

func (sim *simulation) runUntil(t time.Time) {
	for sim.events[0].at.Before(t) {
		next := heap.Pop(&sim.events).(scheduled)
		sim.now = next.at
		next.run()
	}
	sim.now = t
}

func (sim *simulation) tick() {
	for _, dm := range sim.daemons {
		if dm.lost {
			continue
		}
		sim.step(dm, dispatch.Tick{})
		if lost := sim.now.Sub(dm.lastAnswer) > budget.FallbackAfter; lost && !dm.fallback {
			dm.fallback = true
			sim.step(dm, dispatch.BudgetLost{Share: budget.FallbackShare(dm.name, sim.names(), sim.size.limits)})
		}
	}
}

func (sim *simulation) names() []ident.Daemon {
	var out []ident.Daemon
	for _, dm := range sim.daemons {
		out = append(out, dm.name)
	}
	return out
}

func (sim *simulation) gossip() {
	for _, dm := range sim.daemons {
		sim.announce(dm)
	}
}

// announce sends the routing records of a daemon to all daemons.
func (sim *simulation) announce(dm *daemon) {
	if dm.lost {
		return
	}
	records := dm.d.Records(sim.now)
	put := func(to *daemon) {
		for _, r := range records {
			to.dir.Put(r)
		}
	}
	put(dm)
	sim.after(daemonDelay+sim.recordLag, func() {
		for _, to := range sim.daemons {
			if to != dm {
				put(to)
			}
		}
	})
}

func (sim *simulation) report() {
	for _, e := range sim.engines {
		if e.down || sim.rng.Float64() < sim.reportLoss {
			continue
		}
		r := e.report()
		sim.after(engineDelay+sim.reportLag, func() { sim.step(e.owner, r) })
	}
}

func (sim *simulation) step(dm *daemon, ev dispatch.Event) {
	if dm.lost {
		return
	}
	for _, ef := range dm.d.Step(sim.now, ev) {
		sim.apply(dm, ef)
	}
}

func (sim *simulation) apply(dm *daemon, ef dispatch.Effect) {
	switch ef := ef.(type) {
	case dispatch.Load:
		sim.after(engineDelay, func() { sim.engine(ef.Upstream).load(ef) })
	case dispatch.Send:
		sim.after(engineDelay, func() { sim.engine(ef.Upstream).startRun(sim.calls[ef.Request], ef) })
	case dispatch.Refuse:
		sim.refused(dm, ef)
	case dispatch.Fail:
		sim.failed(dm, ef)
	case dispatch.RequestPermits:
		dm.request = ef.Request
		sim.pollIfIdle(dm)
	case dispatch.ReleasePermit:
		dm.released = append(dm.released, ef.Permit)
		sim.pollIfIdle(dm)
	case dispatch.PublishQuarantine:
		sim.after(daemonDelay, func() {
			for _, to := range sim.daemons {
				if to != dm {
					sim.step(to, dispatch.QuarantineReceived{Entries: []quarantine.Entry{ef.Entry}})
				}
			}
		})
	case dispatch.Announce:
		sim.announce(dm)
	}
}

func (sim *simulation) pollIfIdle(dm *daemon) {
	if !dm.polling {
		sim.poll(dm)
	}
}

// poll requests permits from the holder. It is repeated as long as the daemon
// wants loads or has permits to return.
func (sim *simulation) poll(dm *daemon) {
	dm.polling = true
	sent, request, released := sim.now, dm.request, dm.released
	dm.released = nil
	sim.after(daemonDelay, func() {
		if sim.holder == nil {
			sim.after(pollInterval, func() { sim.poll(dm) })
			return
		}
		for _, id := range released {
			sim.holder.Release(id)
		}
		ps := sim.holder.Poll(sim.now, request)
		share := sim.holder.Admit(sim.now)
		sim.after(daemonDelay, func() { sim.handlePoll(dm, sent, ps, share) })
	})
}

func (sim *simulation) handlePoll(dm *daemon, sent time.Time, ps []budget.Permit, share float64) {
	dm.lastAnswer, dm.polling = sim.now, false
	if dm.fallback {
		dm.fallback = false
		sim.step(dm, dispatch.BudgetRestored{})
	}
	sim.step(dm, dispatch.AdmissionShare{Share: share})
	for i := range ps {
		ps[i].StartBy = sent.Add(budget.StartWithin)
	}
	if len(ps) > 0 {
		sim.step(dm, dispatch.PermitsGranted{Permits: ps})
	}
	if len(dm.request.DesiredLoads) == 0 && len(dm.released) == 0 || dm.polling {
		return
	}
	dm.polling = true
	sim.after(pollInterval, func() { sim.poll(dm) })
}

func (sim *simulation) engine(name ident.Upstream) *engine {
	i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.name == name })
	return sim.engines[i]
}

// failDataCentre stops all daemons and replicas of a data centre.
func (sim *simulation) failDataCentre(c ident.DataCentre) {
	for _, dm := range sim.daemons {
		dm.lost = dm.lost || dm.dataCentre == c
	}
	sim.holder = nil
	for _, e := range sim.engines {
		if e.dataCentre == c {
			e.crash(false)
			sim.after(2*time.Second, func() {
				for _, dm := range sim.daemons {
					dm.dir.Remove(e.name)
				}
			})
		}
	}
	sim.after(2*time.Second, func() { sim.holder = budget.NewHolder(sim.now, sim.size.limits, sim.names(), 1<<32) })
	sim.failCalls()
}

var some = option.Some[bool]
