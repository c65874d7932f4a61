package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/ident"
	"pgregory.net/rapid"
)

var (
	epoch  = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)
	limits = budget.Limits{PerSecond: 3, InTransit: 8}
	owners = []ident.Daemon{"a", "b", "c", "d"}
)

func desiredLoad(adapter string, benefit float64, slack time.Duration) budget.DesiredLoad {
	return budget.DesiredLoad{
		Upstream: ident.Upstream("gpu-" + adapter), Adapter: ident.Adapter{Name: adapter, Version: "1"},
		Benefit: benefit, Deadline: epoch.Add(time.Minute + slack),
	}
}

// readyHolder returns a holder that has received a request from every owner,
// and the current time.
func readyHolder(owners []ident.Daemon, l budget.Limits) (*budget.Holder, time.Time) {
	h := budget.NewHolder(epoch, l, owners, 0)
	now := epoch.Add(2 * time.Second)
	for _, o := range owners {
		h.Submit(now, budget.PermitRequest{Owner: o})
	}
	return h, now
}

func TestGrantsInOrderOfBenefit(t *testing.T) {
	h, now := readyHolder(owners, limits)
	ps := h.Submit(now, budget.PermitRequest{Owner: "a", DesiredLoads: []budget.DesiredLoad{
		desiredLoad("late", 1, 9*time.Second), desiredLoad("soon", 1, time.Second), desiredLoad("many", 5, 20*time.Second), desiredLoad("gone", 9, -time.Hour),
	}})
	var got []string
	for _, p := range ps {
		got = append(got, p.Adapter.Name)
	}
	assert.DeepEqual(t, got, []string{"many", "soon", "late"})
}

func TestHolder(t *testing.T) {
	cases := map[string]struct {
		// act returns the number of permits granted.
		act  func() int
		want int
	}{
		"a new holder waits for all owners": {func() int {
			h := budget.NewHolder(epoch, limits, owners, 0)
			return len(h.Submit(epoch.Add(2*time.Second), budget.PermitRequest{Owner: "d", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0)}}))
		}, 0},
		"an owner that never asked keeps its share": {func() int {
			h := budget.NewHolder(epoch, limits, owners, 0)
			now := epoch.Add(budget.PermitLifetime)
			return len(h.Submit(now, budget.PermitRequest{Owner: "d", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0), desiredLoad("y", 1, 0)}}))
		}, 0},
		"an owner in fallback keeps its share": {func() int {
			h, now := readyHolder(owners, limits)
			h.Submit(now, budget.PermitRequest{Owner: "a", Fallback: true})
			return len(h.Submit(now, budget.PermitRequest{Owner: "b", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0), desiredLoad("y", 1, 0), desiredLoad("z", 1, 0)}}))
		}, 2},
		"loads that an earlier holder permitted count": {func() int {
			h, now := readyHolder(owners, budget.Limits{PerSecond: 9, InTransit: 2})
			h.Submit(now, budget.PermitRequest{Owner: "a", InTransit: 1})
			return len(h.Submit(now, budget.PermitRequest{Owner: "b", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0), desiredLoad("y", 1, 0)}}))
		}, 1},
		"a poll answers only the owner that polls": {func() int {
			h, now := readyHolder(owners, limits)
			h.Poll(now, budget.PermitRequest{Owner: "a", DesiredLoads: []budget.DesiredLoad{desiredLoad("w", 1, 0)}})
			return len(h.Poll(now, budget.PermitRequest{Owner: "b", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0), desiredLoad("y", 1, 0), desiredLoad("z", 1, 0)}}))
		}, 2},
		"a better load keeps its rank while its owner polls": {func() int {
			h, now := readyHolder(owners, budget.Limits{PerSecond: 1, InTransit: 9})
			better := budget.PermitRequest{Owner: "a", DesiredLoads: []budget.DesiredLoad{desiredLoad("v", 2, 0)}}
			h.Poll(now, better)
			h.Poll(now.Add(time.Second), better)
			worse := func(at time.Duration) int {
				return len(h.Poll(now.Add(at), budget.PermitRequest{Owner: "c", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0)}}))
			}
			return 10*worse(1100*time.Millisecond) + worse(1400*time.Millisecond)
		}, 1},
		"a lost owner gets nothing": {func() int {
			h, now := readyHolder(owners, limits)
			h.SetOwners(owners[:3])
			return len(h.Submit(now, budget.PermitRequest{Owner: "d", DesiredLoads: []budget.DesiredLoad{desiredLoad("x", 1, 0)}}))
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.act(), c.want) })
	}
}

func TestSharesAddUpToNoMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := budget.Limits{PerSecond: rapid.IntRange(1, 9).Draw(t, "rate"), InTransit: rapid.IntRange(1, 9).Draw(t, "transit")}
		var names []ident.Daemon
		for i := range rapid.IntRange(1, 20).Draw(t, "owners") {
			names = append(names, ident.Daemon(string(rune('a'+i))))
		}
		var rate, transit int
		for _, n := range names {
			s := budget.FallbackShare(n, names, l)
			rate += s.PerSecond
			transit += s.InTransit
		}
		assert.Assert(t, rate >= 1 && rate <= l.PerSecond && transit <= l.InTransit)
	})
}

// TestLimitsHold lets owners request, return and lose permits at random. It
// checks that both limits hold at every start, regardless of the delay of a
// permit.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := readyHolder(owners, limits)
		open := map[budget.PermitID]time.Time{}
		var starts []time.Time
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			for id, until := range open {
				if !now.Before(until) {
					delete(open, id)
				}
			}
			o := owners[rapid.IntRange(0, 3).Draw(t, "owner")]
			var ps []budget.Permit
			if len(open) > 0 && rapid.Bool().Draw(t, "done") {
				first := budget.PermitID(0)
				for id := range open {
					if first == 0 || id < first {
						first = id
					}
				}
				delete(open, first)
				ps = h.ReleaseAndGrant(now, first)
			} else {
				w := desiredLoad(string(rune('a'+i%20)), float64(i%5), 0)
				w.Deadline = now.Add(time.Second)
				ask := h.Submit
				if rapid.Bool().Draw(t, "poll") {
					ask = h.Poll
				}
				ps = ask(now, budget.PermitRequest{Owner: o, DesiredLoads: []budget.DesiredLoad{w, w}})
			}
			for _, p := range ps {
				open[p.ID] = now.Add(budget.PermitLifetime)
				late := time.Duration(rapid.Int64Range(0, int64(budget.StartWithin)-1).Draw(t, "late"))
				starts = append(starts, now.Add(late))
			}
			assert.Assert(t, len(open) <= limits.InTransit)
		}
		for _, s := range starts {
			var n int
			for _, x := range starts {
				if !x.Before(s) && x.Sub(s) < time.Second {
					n++
				}
			}
			assert.Assert(t, n <= limits.PerSecond, "%d starts in a second", n)
		}
	})
}

func TestAdmit(t *testing.T) {
	cases := map[string]struct {
		perSecond int
		seconds   int
		want      func(share float64) bool
	}{
		"quiet":           {1, 60, func(s float64) bool { return s == 1 }},
		"short burst":     {9, 2, func(s float64) bool { return s == 1 }},
		"lasting excess":  {6, 60, func(s float64) bool { return s > 0.35 && s < 0.45 }},
		"excess is over":  {0, 60, func(s float64) bool { return s == 1 }},
		"owner restarted": {-1, 3, func(s float64) bool { return s == 1 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, now := readyHolder(owners, limits)
			misses := 5
			h.Submit(now, budget.PermitRequest{Owner: "a", Misses: uint64(misses)})
			for range c.seconds {
				now = now.Add(time.Second)
				misses += c.perSecond
				h.Submit(now, budget.PermitRequest{Owner: "a", Misses: uint64(misses)})
			}
			assert.Assert(t, c.want(h.Admit(now)), "%v", h.Admit(now))
		})
	}
}
