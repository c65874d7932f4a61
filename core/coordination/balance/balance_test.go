package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func replica(name ident.Upstream, centre ident.DataCentre) Replica {
	return Replica{Name: name, Incarnation: 1, Service: "s", Address: "x", DataCentre: centre, Slots: 10}
}

func with(rs ...Replica) *Balancer {
	b := New("here")
	b.SetReplicas(rs)
	return b
}

func pick(b *Balancer, now time.Time, q Query) (ident.Upstream, Reason) {
	q.Service = "s"
	c, m, _ := b.Pick(now, q)
	return c.Replica.Name, m
}

func TestPick(t *testing.T) {
	cases := map[string]struct {
		prepare func(b *Balancer)
		query   Query
		want    ident.Upstream
		miss    Reason
	}{
		"own data centre first": {func(*Balancer) {}, Query{}, "near", Found},
		"excluded":              {func(*Balancer) {}, Query{Exclude: []ident.Upstream{"near"}}, "far", Found},
		"all excluded":          {func(*Balancer) {}, Query{Exclude: []ident.Upstream{"near", "far"}}, "", NoReplica},
		"busy near": {func(b *Balancer) {
			for range 5 {
				b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{"far"}})
			}
		}, Query{}, "far", Found},
		"others are busy near": {func(b *Balancer) {
			b.Usage(start)
			b.ApplyAnswer(start, placement.Answer{
				Inventories: []placement.Inventory{{Replica: "near", Number: 1, Complete: true}}, Loads: []int{0, 9},
			})
		}, Query{}, "far", Found},
		"bounded": {func(b *Balancer) {
			b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{"far"}})
			b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{"near"}})
		}, Query{MaxInFlight: 1}, "", Crowded},
		"connections to near fail": {func(b *Balancer) {
			c, _, _ := b.Pick(start, Query{Service: "s"})
			b.Done(start, c, Unreachable, 0)
		}, Query{}, "far", Found},
		"all fail": {func(b *Balancer) {
			for _, not := range []ident.Upstream{"near", "far"} {
				c, _, _ := b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{not}})
				b.Done(start, c, Unreachable, 0)
			}
		}, Query{}, "near", Found},
		"near fails its requests": {func(b *Balancer) {
			for range maxFaults {
				c, _, _ := b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{"far"}})
				b.Done(start, c, Faulty, 0)
			}
		}, Query{}, "far", Found},
		"near leaves": {func(b *Balancer) {
			n := replica("near", "here")
			n.Leaving = true
			b.SetReplicas([]Replica{n, replica("far", "there")})
		}, Query{}, "far", Found},
		"near is slow": {func(b *Balancer) {
			for _, x := range []struct {
				not  ident.Upstream
				took time.Duration
			}{{"far", time.Second}, {"near", 10 * time.Millisecond}} {
				for range 30 {
					c, _, _ := b.Pick(start, Query{Service: "s", Exclude: []ident.Upstream{x.not}})
					b.Done(start, c, Good, x.took)
				}
			}
		}, Query{}, "far", Found},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := with(replica("near", "here"), replica("far", "there"))
			tc.prepare(b)
			got, miss := pick(b, start, tc.query)
			assert.Equal(t, got, tc.want)
			assert.Equal(t, miss, tc.miss)
		})
	}
}

func TestPickWeights(t *testing.T) {
	w := placement.Weights{Model: "m", Adapter: "a"}
	board := func(name ident.Upstream, inc ident.Incarnation, h placement.Holding) placement.Answer {
		h.Weights = w
		return placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: name, Incarnation: inc, Complete: true, Holdings: []placement.Holding{h}}}}
	}
	cases := map[string]struct {
		answers []placement.Answer
		version uint64
		want    ident.Upstream
		miss    Reason
	}{
		"nobody holds it":      {nil, 0, "", NotLoaded},
		"one holds it":         {[]placement.Answer{board("far", 1, placement.Holding{})}, 0, "far", Found},
		"it is coming":         {[]placement.Answer{board("far", 1, placement.Holding{ReadyAt: start.Add(time.Second)})}, 0, "", Loading},
		"an older version":     {[]placement.Answer{board("far", 1, placement.Holding{Version: 1})}, 2, "", NotLoaded},
		"the version":          {[]placement.Answer{board("far", 1, placement.Holding{Version: 2})}, 2, "far", Found},
		"of an earlier run":    {[]placement.Answer{board("far", 7, placement.Holding{})}, 0, "", NotLoaded},
		"an earlier placer":    {[]placement.Answer{{Fence: 2}, board("far", 1, placement.Holding{})}, 0, "", NotLoaded},
		"coming beats absence": {[]placement.Answer{board("near", 1, placement.Holding{ReadyAt: start.Add(time.Second)})}, 0, "", Loading},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := with(replica("near", "here"), replica("far", "there"))
			for _, a := range tc.answers {
				b.ApplyAnswer(start, a)
			}
			got, miss := pick(b, start, Query{Weights: w, Version: tc.version})
			assert.Equal(t, got, tc.want)
			assert.Equal(t, miss, tc.miss)
		})
	}
}

// TestEjectedReplicaComesBackSlowly fails a replica again and again: it is left
// out for longer each time, and a good answer forgives it.
func TestEjectedReplicaComesBackSlowly(t *testing.T) {
	b := with(replica("a", "here"), replica("b", "here"))
	now, last := start, time.Duration(0)
	for range 4 {
		c, _, _ := b.Pick(now, Query{Service: "s", Exclude: []ident.Upstream{"b"}})
		assert.Equal(t, c.Replica.Name, ident.Upstream("a"))
		beside, _, _ := b.Pick(now, Query{Service: "s", Exclude: []ident.Upstream{"b"}})
		until, left := b.Done(now, c, Unreachable, 0).Get()
		assert.Assert(t, left && until.After(now))
		_, again := b.Done(now, beside, Unreachable, 0).Get()
		assert.Assert(t, !again, "it is told once")
		out := time.Duration(0)
		for ; len(b.Ejected(now)) > 0; now = now.Add(50 * time.Millisecond) {
			out += 50 * time.Millisecond
		}
		assert.Assert(t, out > last, "out for %s after %s", out, last)
		last = out
	}
	c, _, _ := b.Pick(now, Query{Service: "s", Exclude: []ident.Upstream{"b"}})
	b.Done(now, c, Good, time.Millisecond)
	c, _, _ = b.Pick(now, Query{Service: "s", Exclude: []ident.Upstream{"b"}})
	b.Done(now, c, Unreachable, 0)
	assert.Equal(t, len(b.Ejected(now.Add(ejectFirst))), 0)
}

func TestUsageCountsStartsOnce(t *testing.T) {
	b := with(replica("a", "here"))
	c, _, _ := b.Pick(start, Query{Service: "s"})
	u := b.Usage(start)
	assert.Equal(t, len(u.Runs), 1)
	assert.Equal(t, u.Runs[0].Running, 1)
	assert.Equal(t, u.Runs[0].Started, 1)
	u = b.Usage(start)
	assert.Equal(t, u.Runs[0].Running, 1)
	assert.Equal(t, u.Runs[0].Started, 0)
	b.Done(start, c, Good, 0)
	assert.Equal(t, len(b.Usage(start).Runs), 0)
}

// TestRetriesStayWithinTheAllowance lets daemons send as many repeats as they
// are allowed, through a storm: over any window all of them together stay
// within the share of the traffic and the extra.
func TestRetriesStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := RetryBudget{Window: 10 * time.Second, Share: 0.2, Extra: 60}
		daemons := rapid.IntRange(1, 11).Draw(t, "daemons")
		var rs []*RetryLimiter
		for range daemons {
			rs = append(rs, NewRetryLimiter(start, a))
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		var all []event
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			r := rs[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			r.AddRequest(now)
			all = append(all, event{now, false})
			for range rapid.IntRange(0, 5).Draw(t, "tries") {
				if r.Take(now, daemons) {
					all = append(all, event{now, true})
				}
			}
		}
		for i := range all {
			requests, repeats := 0, 0
			for _, e := range all[i:] {
				if e.at.Sub(all[i].at) >= a.Window {
					break
				}
				if e.repeat {
					repeats++
				} else {
					requests++
				}
			}
			// The window before counts, too, for who judges it.
			assert.Assert(t, float64(repeats) <= a.Share*float64(requests)+a.Extra, "%d repeats of %d", repeats, requests)
		}
	})
}

func TestRetriesForgetWithTime(t *testing.T) {
	r := NewRetryLimiter(start, RetryBudget{Window: 10 * time.Second, Extra: 4})
	assert.Assert(t, r.Take(start, 1))
	assert.Assert(t, r.Take(start, 1))
	assert.Assert(t, !r.Take(start, 1))
	assert.Assert(t, !r.Take(start.Add(9*time.Second), 1))
	assert.Assert(t, r.Take(start.Add(11*time.Second), 1))
}

// TestShunnedReplicaIsLeftOut answers a crash of many replicas at once: a daemon
// that has not met one of them yet does not try it.
func TestShunnedReplicaIsLeftOut(t *testing.T) {
	b := with(replica("near", "here"), replica("far", "there"))
	b.ApplyAnswer(start, placement.Answer{
		Fence: 1, Inventories: []placement.Inventory{{Replica: "near", Number: 0, Complete: true}, {Replica: "far", Number: 1, Complete: true}},
		Loads: []int{0, 0}, Avoided: []int{0},
	})
	name, m := pick(b, start, Query{})
	assert.Equal(t, name, ident.Upstream("far"))
	assert.Equal(t, m, Found)
	b.ApplyAnswer(start, placement.Answer{Fence: 1, Loads: []int{0, 0}})
	name, _ = pick(b, start, Query{})
	assert.Equal(t, name, ident.Upstream("near"))
}

// TestFewAnswersMakeNobodySlow answers a fleet in which each daemon has met each
// replica once or twice: the first answers are no measure.
func TestFewAnswersMakeNobodySlow(t *testing.T) {
	b := with(replica("a", "here"), replica("b", "here"), replica("c", "here"))
	answer := func(name ident.Upstream, took time.Duration, times int) {
		for range times {
			c := Choice{Replica: replica(name, "here")}
			b.Done(start, c, Good, took)
		}
	}
	answer("a", 20*time.Millisecond, 20)
	answer("b", 20*time.Millisecond, 20)
	answer("c", 300*time.Millisecond, slowSamples-1)
	assert.Equal(t, len(b.Usage(start).Avoid), 0)
	answer("c", 300*time.Millisecond, 1)
	assert.DeepEqual(t, b.Usage(start).Avoid, []ident.Upstream{"c"})
}
