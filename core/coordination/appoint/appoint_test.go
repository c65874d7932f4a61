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

const rival = 3 * time.Second

func up(name ident.Daemon, inc ident.Incarnation) Candidate {
	return Candidate{Name: name, Incarnation: inc, Reachable: true}
}

func TestStep(t *testing.T) {
	office := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, Retired: 9}
	disk := Candidate{Name: "a", Incarnation: 1, Reachable: true, Disk: true}
	cases := map[string]struct {
		placer state.Placer
		cs     []Candidate
		after  time.Duration
		want   state.Command
	}{
		"first placer needs no wait":          {state.Placer{}, []Candidate{up("b", 2)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 2}},
		"one without a disk is preferred":     {state.Placer{}, []Candidate{disk, up("b", 2)}, 0, state.AppointPlacer{Daemon: "b", Incarnation: 2}},
		"nobody is there":                     {state.Placer{}, nil, 0, nil},
		"placer in office":                    {office, []Candidate{up("a", 1)}, time.Second, nil},
		"placer makes no reads":               {office, []Candidate{up("a", 1), up("b", 1)}, silentAfter + 1, state.RetirePlacer{Fence: 5}},
		"placer is gone":                      {office, []Candidate{up("b", 1)}, 0, state.RetirePlacer{Fence: 5}},
		"placer drains":                       {office, []Candidate{{Name: "a", Incarnation: 1, Reachable: true, Draining: true}}, 0, state.RetirePlacer{Fence: 5}},
		"placer has started anew":             {office, []Candidate{up("a", 2)}, 0, state.RetirePlacer{Fence: 5}},
		"the same daemon, started anew":       {retired, []Candidate{up("a", 2)}, 0, state.AppointPlacer{Daemon: "a", Incarnation: 2, After: 9}},
		"the same run of it waits":            {retired, []Candidate{up("a", 1)}, LeaseFor, nil},
		"another daemon waits":                {retired, []Candidate{up("b", 1)}, 0, nil},
		"another daemon after the lease only": {retired, []Candidate{up("b", 1)}, LeaseFor + 100*time.Millisecond, nil},
		"another daemon after the whole wait": {retired, []Candidate{up("b", 1)}, LeaseFor + rival + margin, state.AppointPlacer{Daemon: "b", Incarnation: 1, After: 9}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			a := New(start, rival)
			got := a.Step(start, tc.placer, start, tc.cs)
			if tc.after > 0 && got == nil {
				got = a.Step(start.Add(tc.after), tc.placer, start, tc.cs)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}

// TestRetiredPlacerIsBack retires a placer that was silent: as soon as it makes
// reads again it is appointed, without the wait that another would need.
func TestRetiredPlacerIsBack(t *testing.T) {
	a := New(start, rival)
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, Retired: 9}
	cs := []Candidate{up("a", 1), up("b", 1)}
	now := start.Add(2 * time.Second)
	assert.Assert(t, a.Step(now, retired, start, cs) == nil)
	a.Read(now, retired)
	assert.Equal(t, a.Step(now, retired, start, cs), state.AppointPlacer{Daemon: "a", Incarnation: 1, After: 9})
}

// TestNextLeaderKnowsOfTheRetirement begins to lead long after it applied the
// retirement of a placer: it need not wait anew.
func TestNextLeaderKnowsOfTheRetirement(t *testing.T) {
	retired := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, Retired: 9}
	now := start.Add(LeaseFor + rival + margin)
	a := New(now, rival)
	assert.Equal(t, a.Step(now, retired, start, []Candidate{up("b", 1)}), state.AppointPlacer{Daemon: "b", Incarnation: 1, After: 9})
}

func TestLease(t *testing.T) {
	office := state.Placer{Daemon: "a", Incarnation: 1, Fence: 5}
	now := time.Now()
	lease := Grant(now, office, "a", 1)
	wall := func(d time.Duration) time.Time { return now.Round(0).Add(d) }
	cases := map[string]struct {
		lease Lease
		at    time.Time
		holds bool
	}{
		"at once":               {lease, now, true},
		"shortly before":        {lease, now.Add(LeaseFor - 1), true},
		"over":                  {lease, now.Add(LeaseFor), false},
		"none":                  {Lease{}, now, false},
		"another daemon":        {Grant(now, office, "b", 1), now, false},
		"an earlier run":        {Grant(now, office, "a", 2), now, false},
		"retired":               {Grant(now, state.Placer{Daemon: "a", Incarnation: 1, Fence: 5, Retired: 6}, "a", 1), now, false},
		"time of day jumped on": {lease, wall(time.Minute), false},
		"time of day went back": {lease, wall(-time.Minute), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tc.lease.Holds(tc.at), tc.holds) })
	}
}

// world is a log, daemons that renew leases from it, and leaders that change.
type world struct {
	t     *rapid.T
	now   time.Time
	index uint64
	state *state.State
	// views is what each daemon has applied, leases what it was granted.
	views  map[ident.Daemon]state.Placer
	leases map[ident.Daemon]Lease
	// ordered is when each daemon gave its last order, and with which fence.
	ordered map[ident.Daemon]time.Time
	fence   ident.Fence
	leader  *Assigner
	// retired is when the last retirement was applied.
	retired time.Time
}

func (w *world) step(down map[ident.Daemon]bool) {
	var cs []Candidate
	for _, name := range []ident.Daemon{"a", "b", "c"} {
		cs = append(cs, Candidate{Name: name, Incarnation: 1, Reachable: !down[name]})
	}
	if cmd := w.leader.Step(w.now, w.state.View().Placer(), w.retired, cs); cmd != nil {
		w.index++
		w.state.Apply(w.index, cmd)
		if _, ok := cmd.(state.RetirePlacer); ok {
			w.retired = w.now
		}
	}
}

// order lets a daemon give an order if it believes that it may.
func (w *world) order(name ident.Daemon) {
	l := w.leases[name]
	if !l.Holds(w.now) {
		return
	}
	assert.Assert(w.t, l.Fence() >= w.fence, "%s orders with %d after %d", name, l.Fence(), w.fence)
	w.fence = l.Fence()
	for other, at := range w.ordered {
		if other != name {
			assert.Assert(w.t, w.now.Sub(at) >= rival, "%s orders %s after %s", name, w.now.Sub(at), other)
		}
	}
	w.ordered[name] = w.now
}

// TestPlacersNeverMix lets leaders change, daemons vanish and leases be renewed
// by reads that take their time; no order follows one of another daemon within
// the time in which they would be rivals.
func TestPlacersNeverMix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: start, state: state.New(), leader: New(start, rival),
			views: make(map[ident.Daemon]state.Placer), leases: make(map[ident.Daemon]Lease),
			ordered: make(map[ident.Daemon]time.Time),
		}
		names := []ident.Daemon{"a", "b", "c"}
		down := make(map[ident.Daemon]bool)
		type read struct {
			name  ident.Daemon
			asked time.Time
			state state.Placer
		}
		var reads []read
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "daemon")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				down[name] = !down[name]
			case 1:
				w.leader = New(w.now, rival)
			case 2, 3, 4:
				// The read covers what is committed now, but comes later.
				p := w.state.View().Placer()
				reads = append(reads, read{name, w.now, p})
				if p.Daemon == name {
					w.leader.Read(w.now, p)
				}
			case 5, 6:
				for _, r := range reads {
					w.leases[r.name] = Grant(r.asked, r.state, r.name, 1)
				}
				reads = nil
			}
			w.step(down)
			for _, n := range names {
				w.order(n)
			}
		}
	})
}
