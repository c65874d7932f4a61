package appoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const competingFor = 3 * time.Second

func up(name ident.Daemon, inc ident.Incarnation) Candidate {
	return Candidate{Name: name, Incarnation: inc, Reachable: true}
}

// longHistory returns the history of a daemon that has been running for a long
// time.
func longHistory(competingFor time.Duration) *History {
	return NewHistory(start.Add(-time.Hour), competingFor)
}

// TestFormerPlacersWait makes placers resign in turn: no daemon is appointed
// again while others have given orders since its own and all of these are
// recent. A daemon that has just started does not know the former placers, so
// it excludes every daemon except the last placer.
func TestFormerPlacersWait(t *testing.T) {
	resigned := func(name ident.Daemon, fence ident.Fence) state.Placer {
		return state.Placer{Daemon: name, Incarnation: 1, Fence: fence, RetiredIndex: uint64(fence) + 1, Resigned: true}
	}
	inOffice := func(p state.Placer) state.Placer {
		p.RetiredIndex, p.Resigned = 0, false
		return p
	}
	cs := []Candidate{up("a", 1), up("b", 1)}
	now := start
	h := longHistory(competingFor)
	for i, name := range []ident.Daemon{"a", "b"} {
		p := resigned(name, ident.Fence(5+2*i))
		h.Observe(now, inOffice(p))
		now = now.Add(100 * time.Millisecond)
		h.Observe(now, p)
	}
	last := resigned("b", 7)
	onlyA := cs[:1]
	assert.Assert(t, New(now).Step(now, last, h, onlyA) == nil, "a held the role recently")
	assert.Equal(t, New(now).Step(now, last, h, []Candidate{up("a", 1), up("b", 2)}), state.AppointPlacer{Daemon: "b", Incarnation: 2, RetiredIndex: 8})
	later := now.Add(h.returnDelay())
	assert.Equal(t, New(later).Step(later, last, h, onlyA), state.AppointPlacer{Daemon: "a", Incarnation: 1, RetiredIndex: 8})

	young := NewHistory(now, competingFor)
	young.Observe(now, last)
	assert.Assert(t, New(now).Step(now, last, young, onlyA) == nil, "the history of a is unknown")
	missed := longHistory(competingFor)
	missed.Observe(now, inOffice(resigned("a", 3)))
	missed.Observe(now, last)
	assert.Assert(t, New(now).Step(now, last, missed, []Candidate{up("c", 1)}) == nil, "c may have held the role in between")
}

func TestStep(t *testing.T) {
	current := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, RetiredIndex: 9}
	resigned := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, RetiredIndex: 9, Resigned: true}
	draining := Candidate{Name: "a", Incarnation: 1, Reachable: true, Draining: true}
	strong := Candidate{Name: "c", Incarnation: 1, Reachable: true, Power: 512}
	leads := Candidate{Name: "a", Incarnation: 1, Reachable: true, Leads: true}
	cases := map[string]struct {
		placer state.Placer
		cs     []Candidate
		after  time.Duration
		want   state.Command
	}{
		"first placer needs no wait":                  {state.Placer{}, []Candidate{up("b", 2)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 2}},
		"larger processor share is preferred":         {state.Placer{}, []Candidate{up("b", 2), strong}, 0, state.AppointPlacer{Daemon: "c", Incarnation: 1}},
		"a daemon other than the leader is preferred": {state.Placer{}, []Candidate{leads, up("b", 2)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 2}},
		"the leader if there is no other":             {state.Placer{}, []Candidate{leads}, 0, state.AppointPlacer{Daemon: "a", Incarnation: 1}},
		"no candidates":                               {state.Placer{}, nil, 0, nil},
		"placer holds the role":                       {current, []Candidate{up("a", 1)}, time.Second, nil},
		"placer makes no reads":                       {current, []Candidate{up("a", 1), up("b", 1)}, maxReadGap + 1, state.RetirePlacer{Fence: 5}},
		"placer is not a candidate":                   {current, []Candidate{up("b", 1)}, 0, state.RetirePlacer{Fence: 5}},
		"placer drains, it will resign":               {current, []Candidate{draining, up("b", 1)}, maxReadGap / 2, nil},
		"placer has resigned, candidate list is old":  {resigned, []Candidate{up("a", 1), up("b", 1)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 9}},
		"placer drains and does not resign":           {current, []Candidate{draining, up("b", 1)}, maxReadGap + 1, state.RetirePlacer{Fence: 5}},
		"placer has resigned":                         {resigned, []Candidate{draining, up("b", 1)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 9}},
		"placer has restarted":                        {current, []Candidate{up("a", 2)}, 0, state.RetirePlacer{Fence: 5}},
		"the same daemon after a restart":             {retired, []Candidate{up("a", 2)}, 0, state.AppointPlacer{Daemon: "a", Incarnation: 2, RetiredIndex: 9}},
		"the same incarnation waits":                  {retired, []Candidate{up("a", 1)}, LeaseDuration, nil},
		"another daemon waits":                        {retired, []Candidate{up("b", 1)}, 0, nil},
		"another daemon, only the lease has expired":  {retired, []Candidate{up("b", 1)}, LeaseDuration + 100*time.Millisecond, nil},
		"an order may still be in transit":            {retired, []Candidate{up("b", 1)}, LeaseDuration + MaxOrderTransit, nil},
		"another daemon after the complete wait":      {retired, []Candidate{up("b", 1)}, LeaseDuration + clockDriftMargin + MaxOrderTransit, state.AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a, h := New(start), longHistory(competingFor)
			h.Observe(start, tc.placer)
			got := a.Step(start, tc.placer, h, tc.cs)
			if tc.after > 0 && got == nil {
				got = a.Step(start.Add(tc.after), tc.placer, h, tc.cs)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// TestRestartedPlacerIsBackAtOnce restarts all daemons: the leader retires the
// former incarnation of the placer and appoints the new one in its next step.
func TestRestartedPlacerIsBackAtOnce(t *testing.T) {
	a, h := New(start), NewHistory(start, competingFor)
	p := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	h.Observe(start, p)
	cs := []Candidate{up("a", 2), up("b", 2)}
	assert.Equal(t, a.Step(start, p, h, cs), state.RetirePlacer{Fence: 5})
	p.RetiredIndex = 6
	now := start.Add(25 * time.Millisecond)
	h.Observe(now, p)
	assert.Equal(t, a.Step(now, p, h, cs), state.AppointPlacer{Daemon: "a", Incarnation: 2, RetiredIndex: 6})
	assert.Assert(t, a.Step(now, p, h, cs) == nil, "the command is in flight")
	assert.Assert(t, a.Step(now.Add(proposalRetryInterval), p, h, cs) != nil, "the command was lost")
}

// TestSilentPlacerGivesWay retires a placer that was unresponsive. That it
// makes reads again does not show that it receives the answers, since a link
// can fail in one direction. Another daemon is appointed as soon as the lease
// has expired; the placer returns only if there is no other.
// TestWeakPlacerGivesWay guards against a daemon that got the role while no stronger
// one was to be had, and keeps it although it can't answer the reports of hundreds of
// daemons.
func TestWeakPlacerGivesWay(t *testing.T) {
	weak := Candidate{Name: "a", Incarnation: 1, Reachable: true, Power: 192}
	strong := Candidate{Name: "b", Incarnation: 1, Reachable: true, Power: 512}
	with := func(change func(c *Candidate)) Candidate {
		c := strong
		change(&c)
		return c
	}
	cases := map[string]struct {
		holder, other Candidate
		retired       bool
	}{
		"much stronger":             {weak, strong, true},
		"hardly stronger":           {weak, with(func(c *Candidate) { c.Power = 200 }), false},
		"weaker":                    {strong, with(func(c *Candidate) { c.Name, c.Power = "c", 192 }), false},
		"drains":                    {weak, with(func(c *Candidate) { c.Draining = true }), false},
		"out of reach":              {weak, with(func(c *Candidate) { c.Reachable = false }), false},
		"power of the other":        {weak, with(func(c *Candidate) { c.Power = 0 }), false},
		"power of the holder":       {with(func(c *Candidate) { c.Name, c.Power = "a", 0 }), strong, false},
		"it is strong, others weak": {with(func(c *Candidate) { c.Name = "a" }), strong, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := state.Placer{Daemon: tc.holder.Name, Incarnation: 1, Fence: 5}
			a, h := New(start), longHistory(competingFor)
			h.Observe(start, p)
			var got state.Command
			for now := start; now.Before(start.Add(10*time.Second)) && got == nil; now = now.Add(25 * time.Millisecond) {
				a.Read(now, p)
				got = a.Step(now, p, h, []Candidate{tc.holder, tc.other})
				assert.Assert(t, got == nil || now.Sub(start) >= time.Second, "retired at once: the other may come and go")
			}
			if !tc.retired {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, got, state.RetirePlacer{Fence: 5})
		})
	}
}

// TestPlacerStaysWhileOthersComeAndGo guards against a role that moves at each change
// of what the leader can reach.
func TestPlacerStaysWhileOthersComeAndGo(t *testing.T) {
	p := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	a, h := New(start), longHistory(competingFor)
	h.Observe(start, p)
	for i := range 400 {
		now := start.Add(time.Duration(i) * 25 * time.Millisecond)
		a.Read(now, p)
		strong := Candidate{Name: "b", Incarnation: 1, Reachable: i%80 < 70, Power: 512}
		assert.Assert(t, a.Step(now, p, h, []Candidate{{Name: "a", Incarnation: 1, Reachable: true, Power: 192}, strong}) == nil)
	}
}

func TestSilentPlacerGivesWay(t *testing.T) {
	a, h := New(start), longHistory(competingFor)
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, RetiredIndex: 9}
	h.Observe(start, retired)
	now := start.Add(1500 * time.Millisecond)
	a.Read(now, retired)
	assert.Assert(t, a.Step(now, retired, h, []Candidate{up("a", 1), up("b", 1)}) == nil)
	now = start.Add(LeaseDuration + clockDriftMargin + MaxOrderTransit)
	a.Read(now, retired)
	assert.Equal(t, a.Step(now, retired, h, []Candidate{up("a", 1)}), state.AppointPlacer{Daemon: "a", Incarnation: 1, RetiredIndex: 9})
	assert.Equal(t, a.Step(now, retired, h, []Candidate{up("a", 1), up("b", 1)}), state.AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 9})
}

// TestNextLeaderKnowsOfTheRetirement starts a leadership long after the daemon
// applied the retirement of a placer: no further wait is needed.
func TestNextLeaderKnowsOfTheRetirement(t *testing.T) {
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, RetiredIndex: 9}
	now := start.Add(LeaseDuration + clockDriftMargin + MaxOrderTransit)
	a, h := New(now), longHistory(competingFor)
	h.Observe(start, retired)
	assert.Equal(t, a.Step(now, retired, h, []Candidate{up("b", 1)}), state.AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 9})
}

func TestLease(t *testing.T) {
	current := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	now := time.Now()
	lease := Grant(now, current, "a", 1)
	wall := func(d time.Duration) time.Time { return now.Round(0).Add(d) }
	cases := map[string]struct {
		lease Lease
		at    time.Time
		holds bool
	}{
		"at once":                   {lease, now, true},
		"shortly before":            {lease, now.Add(LeaseDuration - 1), true},
		"over":                      {lease, now.Add(LeaseDuration), false},
		"none":                      {Lease{}, now, false},
		"another daemon":            {Grant(now, current, "b", 1), now, false},
		"another incarnation":       {Grant(now, current, "a", 2), now, false},
		"retired":                   {Grant(now, state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, RetiredIndex: 6}, "a", 1), now, false},
		"wall clock jumped forward": {lease, wall(time.Minute), false},
		"wall clock jumped back":    {lease, wall(-time.Minute), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.lease.Holds(tc.at), tc.holds) })
	}
}

// simulation is a log, daemons that renew leases from it, and changing leaders.
type simulation struct {
	t     *rapid.T
	now   time.Time
	index uint64
	state *state.State
	// views are the placer records that each daemon has applied, leases what it
	// was granted.
	views  map[ident.Daemon]state.Placer
	leases map[ident.Daemon]Lease
	// ordered is when each daemon gave its last order, fence the highest
	// fencing number of any order.
	ordered map[ident.Daemon]time.Time
	fence   ident.Fence
	leader  *Assigner
	// history is that of the leader's daemon.
	history *History
	// after holds the daemons that have given orders since each daemon's last
	// one.
	after map[ident.Daemon]map[ident.Daemon]bool
	// arrived is when the last order of each daemon arrives.
	arrived map[ident.Daemon]time.Time
	// draining daemons give no orders.
	draining map[ident.Daemon]bool
}

func (w *simulation) step(down map[ident.Daemon]bool) {
	var cs []Candidate
	for _, name := range []ident.Daemon{"a", "b", "c"} {
		power := uint32(192)
		if name == "c" {
			power = 512
		}
		cs = append(cs, Candidate{Name: name, Incarnation: 1, Reachable: !down[name], Draining: w.draining[name], Power: power})
	}
	if cmd := w.leader.Step(w.now, w.state.View().Placer(), w.history, cs); cmd != nil {
		w.commit(cmd)
	}
}

func (w *simulation) commit(cmd state.Command) {
	w.index++
	w.state.Apply(w.index, cmd)
	w.history.Observe(w.now, w.state.View().Placer())
}

// drain makes a daemon stop giving orders, and resign if it holds the role and
// none of its orders is in transit.
func (w *simulation) drain(name ident.Daemon) {
	w.draining[name] = true
	p := w.state.View().Placer()
	if p.HoldsRole() && p.Daemon == name && !w.now.Before(w.arrived[name]) {
		w.commit(state.RetirePlacer{Fence: p.Fence, Resigned: true})
	}
}

// order makes a daemon give an order if its lease permits it.
func (w *simulation) order(name ident.Daemon) {
	l := w.leases[name]
	if !l.Holds(w.now) || w.draining[name] {
		return
	}
	assert.Assert(w.t, l.Fence() >= w.fence, "%s gives an order with fence %d after %d", name, l.Fence(), w.fence)
	w.fence = l.Fence()
	if at, ok := w.ordered[name]; ok && len(w.after[name]) > 0 {
		assert.Assert(w.t, w.now.Sub(at) >= competingFor, "%s gives an order again after %s, with %v in between", name, w.now.Sub(at), w.after[name])
	}
	for other, at := range w.arrived {
		if other != name {
			assert.Assert(w.t, !w.now.Before(at), "%s gives an order while an order of %s is in transit", name, other)
		}
	}
	w.ordered[name] = w.now
	w.arrived[name] = w.now.Add(time.Duration(rapid.IntRange(0, int(MaxOrderTransit)).Draw(w.t, "way")))
	w.after[name] = make(map[ident.Daemon]bool)
	for other := range w.ordered {
		if other != name {
			w.after[other][name] = true
		}
	}
}

// TestPlacersNeverMix simulates leader changes, daemons that fail, delayed
// reads that renew leases, and orders that are in transit for a while. The
// orders of two daemons never overtake each other, and no daemon gives an order
// again within the time in which it would compete with a daemon that has given
// orders in between. A simple change of the placer needs no such wait: in a
// trial on the users' test bench, 34 changes within 1.5 s of each other caused
// no failures, while 35 changes back and forth between two daemons did.
func TestPlacersNeverMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			t: t, now: start, state: state.New(), leader: New(start), history: NewHistory(start, competingFor),
			after: make(map[ident.Daemon]map[ident.Daemon]bool), arrived: make(map[ident.Daemon]time.Time), draining: make(map[ident.Daemon]bool),
			views: make(map[ident.Daemon]state.Placer), leases: make(map[ident.Daemon]Lease),
			ordered: make(map[ident.Daemon]time.Time),
		}
		names := []ident.Daemon{"a", "b", "c"}
		down := make(map[ident.Daemon]bool)
		type read struct {
			asked time.Time
			state state.Placer
		}
		reads := make(map[ident.Daemon]read)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "daemon")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1:
				down[name] = !down[name]
			case 2:
				w.leader = New(w.now)
				if rapid.Bool().Draw(t, "started anew") {
					w.history = NewHistory(w.now, competingFor)
					w.history.Observe(w.now, w.state.View().Placer())
				}
			case 3:
				w.drain(name)
			case 4:
				// It restarts and loses what it was granted.
				delete(w.draining, name)
				delete(w.leases, name)
				delete(reads, name)
			}
			for _, n := range names {
				r, asked := reads[n]
				switch {
				case asked && rapid.Bool().Draw(t, "answered"):
					w.leases[n] = Grant(r.asked, r.state, n, 1)
					delete(reads, n)
				case !asked && !down[n]:
					// The read covers what is committed now, but its answer
					// comes later.
					p := w.state.View().Placer()
					reads[n] = read{w.now, p}
					if p.Daemon == n {
						w.leader.Read(w.now, p)
					}
				}
			}
			w.step(down)
			for _, n := range names {
				w.order(n)
			}
		}
	})
}
