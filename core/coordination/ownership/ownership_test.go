package ownership_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestOneWriter checks in virtual time that never two daemons may write to an
// upstream at once, and that every upstream has an owner again once the faults
// end: freezes, cuts, false suspicions, changes of the leader, drains, clocks
// of different rates, proposals that arrive late and twice.
func TestOneWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		dice := rapid.Uint64().Draw(t, "dice")
		mixture := drawFaults(t)
		chaos := func(n int) bool {
			dice = dice*6364136223846793005 + 1442695040888963407
			return int(dice>>33)%n == 0
		}
		for range 300 {
			s.disturb(mixture, chaos)
			s.step(chaos)
		}
		s.heal()
		for range 300 {
			s.step(func(n int) bool { return n == 40 })
		}
		s.allOwned()
	})
}

// faults holds for each fault after how many ticks, on average, it starts or
// ends at a daemon. Each run draws its own mixture, as a fault that is common
// in one run would hide others.
type faults struct {
	freeze, cut, slow, unlink, suspect, drain, lead int
}

func drawFaults(t *rapid.T) faults {
	draw := func(name string) int { return rapid.SampledFrom([]int{15, 40, 150, 1 << 30}).Draw(t, name) }
	return faults{
		freeze: draw("freeze"), cut: draw("cut"), slow: draw("slow"), unlink: draw("unlink"),
		suspect: draw("suspect"), drain: 5 * draw("drain"), lead: 5 * draw("lead"),
	}
}

// disturb starts and ends faults.
func (s *sim) disturb(f faults, chaos func(int) bool) {
	for i, n := range s.nodes {
		flip(&n.frozen, chaos(f.freeze))
		flip(&n.cut, chaos(f.cut))
		flip(&n.slow, chaos(f.slow))
		if chaos(f.suspect) {
			s.suspect[n.name] = !s.suspect[n.name]
		}
		for _, o := range s.nodes[i+1:] {
			if chaos(f.unlink) {
				s.links[link(n, o)] = !s.links[link(n, o)]
			}
		}
		if chaos(f.drain) {
			s.drain(n.name)
		}
		if chaos(f.lead) && !n.frozen {
			s.lead(i)
		}
	}
}

func flip(b *bool, now bool) { *b = *b != now }

func (s *sim) drain(name ident.Daemon) {
	version, drained := s.nodes[s.leader].state.View().Drained(name)
	var edit state.Edit = state.DrainDaemon{Name: name}
	if drained {
		edit = state.UndrainDaemon{Name: name}
	}
	id := ident.Change(fmt.Sprintf("drain-%d", s.changes))
	s.changes++
	s.network = append(s.network, packet{
		command: state.Change{ID: id, Expected: version, Edit: edit},
		arrives: s.now,
	})
}

func (s *sim) heal() {
	s.network = nil
	clear(s.links)
	s.nodes[s.leader].applyUpTo(s.log, uint64(len(s.log)))
	for _, n := range s.nodes {
		n.frozen, n.cut, n.slow = false, false, false
		s.suspect[n.name] = false
		if _, drained := s.nodes[s.leader].state.View().Drained(n.name); drained {
			s.drain(n.name)
		}
	}
}

// allOwned checks that exactly one daemon may write to each upstream, and that
// the load is even.
func (s *sim) allOwned() {
	count := map[ident.Daemon]int{}
	for _, u := range s.upstreams {
		writers := 0
		for _, n := range s.nodes {
			if g := n.holder.WriteGuard(u.Name); g != nil && g.Begin(n.writeNow()) == nil {
				g.End()
				writers++
				count[n.name]++
			}
		}
		assert.Equal(s.t, writers, 1, "upstream %v", u.Name)
	}
	for name, n := range count {
		assert.Assert(s.t, n <= 2, "%v owns %d of %d", name, n, len(s.upstreams))
	}
	for _, n := range s.nodes {
		assert.NilError(s.t, n.state.Check())
	}
}

// leader drives an assigner against a state in which every proposal is
// committed and visible at once.
type leader struct {
	now      time.Time
	assigner *ownership.Assigner
	state    *state.State
	cluster  ownership.Cluster
}

func newLeader(daemons, upstreams int) *leader {
	l := &leader{now: start, assigner: ownership.New(), state: state.New()}
	for i := range daemons {
		l.cluster.Daemons = append(l.cluster.Daemons, ownership.Daemon{Name: ident.Daemon(fmt.Sprintf("d%02d", i)), Incarnation: 1, DataCentre: dc(i)})
	}
	for i := range upstreams {
		l.cluster.Upstreams = append(l.cluster.Upstreams, ownership.Upstream{Name: ident.Upstream(fmt.Sprintf("u%02d", i)), Incarnation: 1, DataCentre: dc(i)})
	}
	return l
}

func dc(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint(i % 3)) }

// run moves on in steps of 100 ms and returns the commands proposed.
func (l *leader) run(d time.Duration) []state.Command {
	var out []state.Command
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		for _, c := range l.assigner.Step(l.now, l.state.View(), l.state.Index(), l.cluster) {
			l.state.Apply(l.state.Index()+1, c)
			out = append(out, c)
		}
	}
	return out
}

func (l *leader) count() map[ident.Daemon]int {
	out := map[ident.Daemon]int{}
	for _, o := range l.state.View().Owners() {
		if o.Owned() {
			out[o.Owner]++
		}
	}
	return out
}

func TestAssignIsEvenAndLocal(t *testing.T) {
	l := newLeader(11, 22)
	l.run(time.Second)
	for name, n := range l.count() {
		assert.Assert(t, n <= 3, "%v owns %d", name, n)
	}
	for i, o := range l.state.View().Owners() {
		var d int
		_, err := fmt.Sscanf(string(o.Owner), "d%02d", &d)
		assert.NilError(t, err)
		assert.Equal(t, dc(d), dc(i), "%v owns %v", o.Owner, o.Upstream)
	}
	assert.Equal(t, len(l.run(time.Minute)), 0, "a settled cluster moves")
}

func TestJoinMovesSlowly(t *testing.T) {
	l := newLeader(2, 12)
	l.run(time.Second)
	l.cluster = newLeader(6, 12).cluster
	for range 30 {
		moves := 0
		for _, c := range l.run(time.Second) {
			if _, ok := c.(state.Revoke); ok {
				moves++
			}
		}
		assert.Assert(t, moves <= 1, "%d moves in a second", moves)
	}
	for name, n := range l.count() {
		assert.Assert(t, n >= 1 && n <= 3, "%v owns %d", name, n)
	}
	assert.Equal(t, len(l.run(time.Minute)), 0)
}

// TestEnd checks after which time an ownership of the owner d00 ends and
// another begins, 0 for never.
func TestEnd(t *testing.T) {
	cases := map[string]struct {
		change func(l *leader)
		revoke time.Duration
		assign time.Duration
	}{
		"nothing":     {func(*leader) {}, 0, 0},
		"suspect":     {func(l *leader) { l.cluster.Daemons[0].Suspect = true }, tick, ownership.Wait},
		"stale":       {func(l *leader) { l.cluster.Daemons[0].Stale = true }, tick, ownership.Wait},
		"all suspect": {func(l *leader) { l.cluster.Daemons[0].Suspect, l.cluster.Daemons[1].Suspect = true, true }, 0, 0},
		"missing":     {func(l *leader) { l.cluster.Daemons = l.cluster.Daemons[1:] }, ownership.Grace, ownership.Grace + ownership.Wait},
		"restarted":   {func(l *leader) { l.cluster.Daemons[0].Incarnation = 2 }, ownership.Grace, ownership.Grace + ownership.Wait},
		"drained": {func(l *leader) {
			l.state.Apply(l.state.Index()+1, state.Change{ID: "x", Edit: state.DrainDaemon{Name: "d00"}})
		}, tick, ownership.Wait},
		"leaving": {func(l *leader) { l.cluster.Upstreams[0].Leaving = true }, 0, 0},
		"left":    {func(l *leader) { l.cluster.Upstreams = nil }, ownership.Grace, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLeader(2, 1)
			l.run(time.Second)
			assert.Equal(t, l.state.View().Owners()[0].Owner, ident.Daemon("d00"))
			c.change(l)
			changed := l.now
			var revoked, assigned time.Duration
			for range 100 {
				at := l.now.Sub(changed)
				for _, command := range l.run(100 * time.Millisecond) {
					switch command.(type) {
					case state.Revoke:
						revoked = at + tick
					case state.Assign:
						assigned = at + tick
					}
				}
			}
			within(t, "revoked", revoked, c.revoke)
			within(t, "assigned", assigned, c.assign)
		})
	}
}

// within checks that got is want or up to three steps later.
func within(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if want == 0 {
		assert.Equal(t, got, time.Duration(0), what)
		return
	}
	assert.Assert(t, got >= want && got <= want+300*time.Millisecond, "%s after %v, want %v", what, got, want)
}

// TestWaitCoversDrift lets the leader's clock run 4 % fast and the former
// owner's 4 % slow.
func TestWaitCoversDrift(t *testing.T) {
	leader, owner := 1.04, 0.96
	waited := float64(ownership.Wait) / leader
	fresh := float64(ownership.Freshness) / owner
	assert.Assert(t, waited >= fresh, "the owner may write for %v, the leader waits %v", time.Duration(fresh), time.Duration(waited))
}

func TestLeftUpstreamIsReleased(t *testing.T) {
	l := newLeader(2, 1)
	l.run(time.Second)
	l.cluster.Upstreams = nil
	l.run(10 * time.Second)
	assert.Equal(t, len(l.state.View().Owners()), 0)
}

func TestWaitBeginsWhenVisible(t *testing.T) {
	l := newLeader(2, 1)
	l.run(time.Second)
	l.cluster.Daemons[0].Suspect = true
	assert.Equal(t, len(l.run(100*time.Millisecond)), 1)
	revoked := l.state.Index()
	step := func(visible uint64) int {
		l.now = l.now.Add(ownership.Wait)
		return len(l.assigner.Step(l.now, l.state.View(), visible, l.cluster))
	}
	assert.Equal(t, step(revoked-1), 0)
	assert.Equal(t, step(revoked-1), 0)
	assert.Equal(t, step(revoked), 0, "the wait began before the revocation was visible")
	assert.Equal(t, step(revoked), 1)
}

func TestNewLeaderWaitsAnew(t *testing.T) {
	l := newLeader(2, 1)
	l.run(time.Second)
	l.cluster.Daemons[0].Suspect = true
	l.run(ownership.Wait - 200*time.Millisecond)
	l.assigner = ownership.New()
	assert.Equal(t, len(l.run(ownership.Wait)), 0)
	assert.Equal(t, len(l.run(300*time.Millisecond)), 1)
}

func TestYieldEndsTheWait(t *testing.T) {
	l := newLeader(2, 1)
	l.run(time.Second)
	h := ownership.NewHolder("d00", 1)
	_, opened := h.Step(l.now, l.state.View())
	assert.Equal(t, len(opened), 1)
	gate := opened[0]
	w := ownership.WriteAttempt{Now: l.now, View: l.state.View(), FreshUntil: l.now.Add(time.Minute), Deadline: l.now.Add(time.Minute)}
	assert.NilError(t, gate.Begin(w))

	l.cluster.Daemons[0].Stale = true
	l.run(200 * time.Millisecond)
	commands, _ := h.Step(l.now, l.state.View())
	assert.Equal(t, len(commands), 0, "yields while a write is under way")
	assert.Equal(t, result.CodeOf(gate.Begin(w)), result.NoUpstream, "a closed gate lets a write pass")
	gate.End()
	commands, _ = h.Step(l.now, l.state.View())
	assert.Equal(t, len(commands), 1)
	l.state.Apply(l.state.Index()+1, commands[0])
	l.run(200 * time.Millisecond)
	assert.Equal(t, l.state.View().Owners()[0].Owner, ident.Daemon("d01"))
	commands, _ = h.Step(l.now, l.state.View())
	assert.Equal(t, len(commands), 0)
}

func TestGate(t *testing.T) {
	s := state.New()
	s.Apply(1, state.Assign{Upstream: "u", Owner: "d", OwnerIncarnation: 1})
	before := s.View()
	o, _ := before.Owner("u")
	s.Apply(2, state.Revoke{Upstream: "u", Fence: 1})
	later := start.Add(time.Second)
	cases := map[string]struct {
		write ownership.WriteAttempt
		code  result.Code
	}{
		"passes":     {ownership.WriteAttempt{Now: start, View: before, FreshUntil: later, Deadline: later}, result.OK},
		"not fresh":  {ownership.WriteAttempt{Now: later, View: before, FreshUntil: later, Deadline: later.Add(1)}, result.NotFresh},
		"too late":   {ownership.WriteAttempt{Now: later, View: before, FreshUntil: later.Add(1), Deadline: later}, result.DeadlineHopeless},
		"revoked":    {ownership.WriteAttempt{Now: start, View: s.View(), FreshUntil: later, Deadline: later}, result.NoUpstream},
		"never knew": {ownership.WriteAttempt{Now: start, View: state.New().View(), FreshUntil: later, Deadline: later}, result.NoUpstream},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, result.CodeOf(ownership.NewWriteGuard(o).Begin(c.write)), c.code)
		})
	}
}

func TestTakeover(t *testing.T) {
	a, b := ident.Adapter{Name: "a", Version: "1"}, ident.Adapter{Name: "b", Version: "1"}
	counts := start.Add(ownership.DeliveryBound)
	end := start.Add(time.Hour)
	cases := map[string]struct {
		report func(*ownership.Takeover)
		now    time.Time
		busy   bool
	}{
		"nothing heard":     {func(*ownership.Takeover) {}, counts, true},
		"idle":              {func(o *ownership.Takeover) { o.Report(counts, []ident.Adapter{b}) }, counts, false},
		"in use":            {func(o *ownership.Takeover) { o.Report(counts, []ident.Adapter{a}) }, counts, true},
		"asked too early":   {func(o *ownership.Takeover) { o.Report(counts.Add(-1), nil) }, counts, true},
		"idle, then in use": {func(o *ownership.Takeover) { o.Report(counts, nil); o.Report(counts, []ident.Adapter{a}) }, counts, false},
		"in use, then idle": {func(o *ownership.Takeover) {
			o.Report(counts, []ident.Adapter{a, b})
			o.Report(counts, []ident.Adapter{b})
		}, counts, false},
		"restarted":     {func(o *ownership.Takeover) { o.Restart() }, start, false},
		"all deadlines": {func(*ownership.Takeover) {}, end, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := ownership.NewTakeover(start, end)
			c.report(o)
			assert.Equal(t, o.Busy(c.now, a), c.busy)
		})
	}
}
