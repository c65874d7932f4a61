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
	adapters = 3000
	skew     = 1.1
	warmUp   = 2 * time.Minute
	measured = 5 * time.Minute
	// broadcast is when the flood begins, after the start of the measurement,
	// ramp is how long it grows and flooding how long it lasts.
	broadcast = time.Minute
	ramp      = time.Minute
	flooding  = 3 * time.Minute
	flooded   = 5 // adapters
)

// class is a class of work with its target.
type class struct {
	name   ident.Class
	share  float64
	target time.Duration
	// run is the median run time alone in a batch.
	run time.Duration
}

var classes = []class{
	{"urgent", 0.3, 2 * time.Second, 400 * time.Millisecond},
	{"notes", 0.5, 8 * time.Second, 2 * time.Second},
	{"letters", 0.2, 30 * time.Second, 5 * time.Second},
}

// workload is one row of the measurement.
type workload struct {
	// arrivals adds to the quiet traffic.
	arrivals func(g *generator)
	// faults schedules what goes wrong, before the run.
	faults func(w *world)
	// shift moves the popularity at a time after the start of the measurement.
	shift time.Duration
}

var workloads = map[string]workload{
	"1 quiet day":        {},
	"2 broadcast flood":  {arrivals: flood},
	"3 popularity shift": {shift: time.Minute},
	"4 scan in a flood":  {arrivals: func(g *generator) { flood(g); scan(g) }},
	"5 empty restarts":   {arrivals: busy, faults: restartThird},
	"6 failing loads":    {arrivals: busy, faults: func(w *world) { w.loadFailures = 0.2 }},
	"7 crashing request": {arrivals: busy, faults: poison},
	"8 lost data centre": {arrivals: busy, faults: func(w *world) {
		w.after(warmUp+time.Minute, func() { w.loseCentre(centre(0)) })
	}},
	"no holder": {faults: func(w *world) {
		w.after(warmUp+time.Minute, func() { w.holder = nil })
		w.after(warmUp+3*time.Minute, func() { w.holder = budget.NewHolder(w.now, w.size.limits, w.names(), 1<<32) })
	}},
	"9 late reports": {arrivals: flood, faults: func(w *world) {
		w.reportLag, w.recordLag, w.gaps = 3*time.Second, 3*time.Second, 0.3
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

// generator makes the calls of a workload from a seed; both policies get the
// same ones.
type generator struct {
	rng   *rand.Rand
	size  size
	cdf   []float64
	calls []*call
}

func newGenerator(s size, seed uint64) *generator {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 11)), size: s}
	var sum float64
	for i := range adapters {
		sum += math.Pow(float64(i+1), -skew)
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

// popular draws the rank of an adapter.
func (g *generator) popular() int {
	i, _ := slices.BinarySearch(g.cdf, g.rng.Float64())
	return i
}

// add makes a call at a time after the start of the run.
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
	cl := &call{run: time.Duration(float64(c.run) * math.Exp(0.4*g.rng.NormFloat64()))}
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

// poisson calls fn at random times between from and to, at rate(t) a second,
// which is at most most.
func (g *generator) poisson(from, to time.Duration, most float64, rate func(t time.Duration) float64, fn func(t time.Duration)) {
	for t := from; ; {
		t += time.Duration(g.rng.ExpFloat64() / most * float64(time.Second))
		if t >= to {
			return
		}
		if g.rng.Float64()*most < rate(t) {
			fn(t)
		}
	}
}

func constant(r float64) func(time.Duration) float64 { return func(time.Duration) float64 { return r } }

func (g *generator) quiet(shift time.Duration) {
	g.poisson(0, warmUp+measured, g.size.quiet, constant(g.size.quiet), func(t time.Duration) {
		i := g.popular()
		if shift > 0 && t >= warmUp+shift {
			i += 1500
		}
		g.add(t, adapter(i))
	})
}

// flood adds a broadcast: a handful of adapters of middling popularity are
// asked for within a minute and go quiet again.
func flood(g *generator) {
	start := warmUp + broadcast
	rate := func(t time.Duration) float64 { return g.size.flood * min(1, float64(t-start)/float64(ramp)) }
	g.poisson(start, start+flooding, g.size.flood, rate, func(t time.Duration) {
		g.add(t, adapter(200+g.rng.IntN(flooded)))
	})
}

// scan adds requests that go through idle adapters one by one.
func scan(g *generator) {
	next := 1000
	rate := float64(g.size.limits.PerSecond)
	g.poisson(warmUp+broadcast, warmUp+broadcast+flooding, rate, constant(rate), func(t time.Duration) {
		g.add(t, adapter(next))
		next++
	})
}

// busy adds traffic on popular adapters, so that batches are not empty.
func busy(g *generator) {
	g.poisson(0, warmUp+measured, g.size.flood/4, constant(g.size.flood/4), func(t time.Duration) {
		g.add(t, adapter(g.rng.IntN(20)))
	})
}

func restartThird(w *world) {
	w.after(warmUp+time.Minute, func() {
		for i, e := range w.engines {
			if i%3 == 0 {
				e.crash(false)
			}
		}
	})
}

// poison lets a caller send a crashing request every ten seconds, each time as
// a new request with the same body.
func poison(w *world) {
	for i := range 12 {
		w.after(warmUp+time.Minute+time.Duration(i)*10*time.Second, func() {
			c := &call{poison: true, run: time.Second}
			c.req = dispatch.Request{
				ID: ident.Request(fmt.Sprintf("poison%02d", i)), Class: "notes", Model: model, Adapter: adapter(3),
				Arrived: w.now, Deadline: w.now.Add(8 * time.Second), Digest: digest(1 << 40), Idempotent: true,
			}
			w.arrive(c)
		})
	}
}

func run(s size, name string, r rules, seed uint64) *world {
	wl := workloads[name]
	g := newGenerator(s, seed)
	g.quiet(wl.shift)
	if wl.arrivals != nil {
		wl.arrivals(g)
	}
	slices.SortStableFunc(g.calls, func(a, b *call) int { return a.req.Arrived.Compare(b.req.Arrived) })
	w := newWorld(s, r, seed)
	w.stats.from = epoch.Add(warmUp)
	w.arriveAll(g.calls)
	if wl.faults != nil {
		wl.faults(w)
	}
	w.runUntil(epoch.Add(warmUp + measured + time.Minute))
	for _, c := range g.calls {
		if !c.ended {
			w.fault("never ended: " + string(c.req.ID))
		}
	}
	return w
}
