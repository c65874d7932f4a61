package dispatch_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
)

const (
	adapters     = 3000
	zipfExponent = 1.1
	warmUp       = 2 * time.Minute
	measuredTime = 5 * time.Minute
	// floodStart is when the flood begins, after the start of the measurement.
	// floodRamp is how long its rate rises and floodDuration how long it lasts.
	floodStart    = time.Minute
	floodRamp     = time.Minute
	floodDuration = 3 * time.Minute
	floodAdapters = 5
)

// class is a request class with its target latency.
type class struct {
	name   ident.Class
	share  float64
	target time.Duration
	// runTime is the median run time of a request that runs alone in the batch.
	runTime time.Duration
}

var classes = []class{
	{"urgent", 0.3, 2 * time.Second, 400 * time.Millisecond},
	{"notes", 0.5, 8 * time.Second, 2 * time.Second},
	{"letters", 0.2, 30 * time.Second, 5 * time.Second},
}

// workload is one row of the tables of TestMeasure.
type workload struct {
	// arrivals adds calls to the quiet traffic.
	arrivals func(g *generator)
	// faults schedules failures before the run starts.
	faults func(sim *simulation)
	// shift is how long after the start of the measurement the popularity moves
	// to other adapters; zero for never.
	shift time.Duration
}

var workloads = map[string]workload{
	"1 quiet day":        {},
	"2 broadcast flood":  {arrivals: flood},
	"3 popularity shift": {shift: time.Minute},
	"4 scan in a flood":  {arrivals: func(g *generator) { flood(g); scan(g) }},
	"5 empty restarts":   {arrivals: popularTraffic, faults: restartThird},
	"6 failing loads":    {arrivals: popularTraffic, faults: func(sim *simulation) { sim.loadFailureRate = 0.2 }},
	"7 crashing request": {arrivals: popularTraffic, faults: poisonRequests},
	"8 lost data centre": {arrivals: popularTraffic, faults: func(sim *simulation) {
		sim.after(warmUp+time.Minute, func() { sim.failDataCentre(dataCentre(0)) })
	}},
	"no holder": {faults: func(sim *simulation) {
		sim.after(warmUp+time.Minute, func() { sim.holder = nil })
		sim.after(warmUp+3*time.Minute, func() { sim.holder = budget.NewHolder(sim.now, sim.size.limits, sim.names(), 1<<32) })
	}},
	"9 late reports": {arrivals: flood, faults: func(sim *simulation) {
		sim.reportLag, sim.recordLag, sim.reportLoss = 3*time.Second, 3*time.Second, 0.3
	}},
}

func workloadNames() []string {
	var out []string
	for name := range workloads {
		if name != "no holder" {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// generator generates the calls of a workload from a seed, so that both
// policies get the same calls.
type generator struct {
	rng   *rand.Rand
	size  clusterSize
	cdf   []float64
	calls []*call
}

func newGenerator(s clusterSize, seed uint64) *generator {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 11)), size: s}
	var sum float64
	for i := range adapters {
		sum += math.Pow(float64(i+1), -zipfExponent)
		g.cdf = append(g.cdf, sum)
	}
	for i := range g.cdf {
		g.cdf[i] /= sum
	}
	return g
}

func adapter(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("lora%04d", i%adapters), Version: "1"}
}

// drawRank draws the popularity rank of an adapter.
func (g *generator) drawRank() int {
	i, _ := slices.BinarySearch(g.cdf, g.rng.Float64())
	return i
}

// add generates a call that arrives the given time after the start of the run.
func (g *generator) add(at time.Duration, a ident.Adapter) *call {
	x, c := g.rng.Float64(), classes[0]
	for _, c = range classes {
		if x < c.share {
			break
		}
		x -= c.share
	}
	n := len(g.calls)
	arrived := epoch.Add(at)
	cl := &call{runTime: time.Duration(float64(c.runTime) * math.Exp(0.4*g.rng.NormFloat64()))}
	cl.req = dispatch.Request{
		ID: ident.Request(fmt.Sprintf("r%06d", n)), Class: c.name, Model: model, Adapter: a,
		Arrived: arrived, Deadline: arrived.Add(c.target), Digest: digest(uint64(n)), Idempotent: true,
	}
	g.calls = append(g.calls, cl)
	return cl
}

func digest(n uint64) (d quarantine.Digest) {
	binary.BigEndian.PutUint64(d[:], n+1)
	return d
}

// poisson calls fn at the times of a Poisson process between from and to, with
// rate(t) events a second, which never exceeds maxRate.
func (g *generator) poisson(from, to time.Duration, maxRate float64, rate func(t time.Duration) float64, fn func(t time.Duration)) {
	for t := from; ; {
		t += time.Duration(g.rng.ExpFloat64() / maxRate * float64(time.Second))
		if t >= to {
			return
		}
		if g.rng.Float64()*maxRate < rate(t) {
			fn(t)
		}
	}
}

func constant(r float64) func(time.Duration) float64 { return func(time.Duration) float64 { return r } }

func (g *generator) addQuiet(shift time.Duration) {
	g.poisson(0, warmUp+measuredTime, g.size.quiet, constant(g.size.quiet), func(t time.Duration) {
		i := g.drawRank()
		if shift > 0 && t >= warmUp+shift {
			i += 1500
		}
		g.add(t, adapter(i))
	})
}

// flood adds requests for a few adapters of medium popularity, as after a
// broadcast: their rate rises for a minute and the requests end after
// floodDuration.
func flood(g *generator) {
	start := warmUp + floodStart
	rate := func(t time.Duration) float64 { return g.size.flood * min(1, float64(t-start)/float64(floodRamp)) }
	g.poisson(start, start+floodDuration, g.size.flood, rate, func(t time.Duration) {
		g.add(t, adapter(200+g.rng.IntN(floodAdapters)))
	})
}

// scan adds one request for each of many unpopular adapters in turn.
func scan(g *generator) {
	next := 1000
	rate := float64(g.size.limits.PerSecond)
	g.poisson(warmUp+floodStart, warmUp+floodStart+floodDuration, rate, constant(rate), func(t time.Duration) {
		g.add(t, adapter(next))
		next++
	})
}

// popularTraffic adds requests for popular adapters, so that batches are not
// empty.
func popularTraffic(g *generator) {
	g.poisson(0, warmUp+measuredTime, g.size.flood/4, constant(g.size.flood/4), func(t time.Duration) {
		g.add(t, adapter(g.rng.IntN(20)))
	})
}

func restartThird(sim *simulation) {
	sim.after(warmUp+time.Minute, func() {
		for i, e := range sim.engines {
			if i%3 == 0 {
				e.crash(false)
			}
		}
	})
}

// poisonRequests sends a crashing request every ten seconds, each time as a new
// request with the same body.
func poisonRequests(sim *simulation) {
	for i := range 12 {
		sim.after(warmUp+time.Minute+time.Duration(i)*10*time.Second, func() {
			c := &call{poison: true, runTime: time.Second}
			c.req = dispatch.Request{
				ID: ident.Request(fmt.Sprintf("poison%02d", i)), Class: "notes", Model: model, Adapter: adapter(3),
				Arrived: sim.now, Deadline: sim.now.Add(8 * time.Second), Digest: digest(1 << 40), Idempotent: true,
			}
			sim.arrive(c)
		})
	}
}

func simulate(s clusterSize, name string, r policies, seed uint64) *simulation {
	wl := workloads[name]
	g := newGenerator(s, seed)
	g.addQuiet(wl.shift)
	if wl.arrivals != nil {
		wl.arrivals(g)
	}
	slices.SortStableFunc(g.calls, func(a, b *call) int { return a.req.Arrived.Compare(b.req.Arrived) })
	sim := newSimulation(s, r, seed)
	sim.stats.measureFrom = epoch.Add(warmUp)
	sim.arriveAll(g.calls)
	if wl.faults != nil {
		wl.faults(sim)
	}
	sim.runUntil(epoch.Add(warmUp + measuredTime + time.Minute))
	for _, c := range g.calls {
		if !c.ended {
			sim.violate("call never ended: " + string(c.req.ID))
		}
	}
	return sim
}
