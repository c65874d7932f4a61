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

// TestOneWriter checks in virtual time that no two daemons may write to an
// upstream at once, and that every upstream has an owner again once the faults
// end. The faults are freezes, partitions, false suspicions, changes of leader,
// drains, clock drift, and delayed and duplicated proposals.
func TestOneWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		rngState := rapid.Uint64().Draw(t, "dice")
		rates := drawFaultRates(t)
		oneIn := func(n int) bool {
			rngState = rngState*6364136223846793005 + 1442695040888963407
			return int(rngState>>33)%n == 0
		}
		for range 300 {
			s.injectFaults(rates, oneIn)
			s.step(oneIn)
		}
		s.heal()
		for range 300 {
			s.step(func(n int) bool { return n == 40 })
		}
		s.checkAllOwned()
	})
}

// faultRates holds for each fault the average number of ticks until it starts
// or ends at a daemon. Each run draws its own rates, because a frequent fault
// would mask others.
type faultRates struct {
	freeze, offline, slow, breakLink, suspect, drain, changeLeader int
}

func drawFaultRates(t *rapid.T) faultRates {
	draw := func(name string) int { return rapid.SampledFrom([]int{15, 40, 150, 1 << 30}).Draw(t, name) }
	return faultRates{
		freeze: draw("freeze"), offline: draw("cut"), slow: draw("slow"), breakLink: draw("unlink"),
		suspect: draw("suspect"), drain: 5 * draw("drain"), changeLeader: 5 * draw("lead"),
	}
}

// injectFaults starts and ends faults at random.
func (s *sim) injectFaults(f faultRates, oneIn func(int) bool) {
	for i, n := range s.nodes {
		toggleIf(&n.frozen, oneIn(f.freeze))
		toggleIf(&n.offline, oneIn(f.offline))
		toggleIf(&n.slow, oneIn(f.slow))
		if oneIn(f.suspect) {
			s.suspect[n.name] = !s.suspect[n.name]
		}
		for _, o := range s.nodes[i+1:] {
			if oneIn(f.breakLink) {
				s.brokenLinks[linkKey(n, o)] = !s.brokenLinks[linkKey(n, o)]
			}
		}
		if oneIn(f.drain) {
			s.drain(n.name)
		}
		if oneIn(f.changeLeader) && !n.frozen {
			s.changeLeader(i)
		}
	}
}

// toggleIf negates b if condition holds.
func toggleIf(b *bool, condition bool) { *b = *b != condition }

// drain toggles the draining of a daemon, as an operator does.
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

// heal ends all faults.
func (s *sim) heal() {
	s.network = nil
	clear(s.brokenLinks)
	s.nodes[s.leader].applyUpTo(s.log, uint64(len(s.log)))
	for _, n := range s.nodes {
		n.frozen, n.offline, n.slow = false, false, false
		s.suspect[n.name] = false
		if _, drained := s.nodes[s.leader].state.View().Drained(n.name); drained {
			s.drain(n.name)
		}
	}
}

// checkAllOwned checks that exactly one daemon may write to each upstream, and
// that the load is even.
func (s *sim) checkAllOwned() {
	count := map[ident.Daemon]int{}
	for _, u := range s.upstreams {
		writers := 0
		for _, n := range s.nodes {
			if g := n.holder.WriteGuard(u.Name); g != nil && g.Begin(n.currentWrite()) == nil {
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

// leaderHarness runs an assigner against a state in which every proposal is
// committed and visible at once.
type leaderHarness struct {
	now      time.Time
	assigner *ownership.Assigner
	state    *state.State
	cluster  ownership.Cluster
}

func newLeaderHarness(daemons, upstreams int) *leaderHarness {
	l := &leaderHarness{now: start, assigner: ownership.New(), state: state.New()}
	for i := range daemons {
		l.cluster.Daemons = append(l.cluster.Daemons, ownership.Daemon{Name: ident.Daemon(fmt.Sprintf("d%02d", i)), Incarnation: 1, DataCentre: dc(i)})
	}
	for i := range upstreams {
		l.cluster.Upstreams = append(l.cluster.Upstreams, ownership.Upstream{Name: ident.Upstream(fmt.Sprintf("u%02d", i)), Incarnation: 1, DataCentre: dc(i)})
	}
	return l
}

func dc(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint(i % 3)) }

// run advances the time in steps of 100 ms and returns the proposed commands.
func (l *leaderHarness) run(d time.Duration) []state.Command {
	var out []state.Command
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(100 * time.Millisecond) {
		for _, c := range l.assigner.Step(l.now, l.state.View(), l.state.Index(), l.cluster) {
			l.state.Apply(l.state.Index()+1, c)
			out = append(out, c)
		}
	}
	return out
}

func (l *leaderHarness) ownedCount() map[ident.Daemon]int {
	out := map[ident.Daemon]int{}
	for _, o := range l.state.View().Owners() {
		if o.Owned() {
			out[o.Owner]++
		}
	}
	return out
}

func TestAssignIsEvenAndLocal(t *testing.T) {
	l := newLeaderHarness(11, 22)
	l.run(time.Second)
	for name, n := range l.ownedCount() {
		assert.Assert(t, n <= 3, "%v owns %d", name, n)
	}
	for i, o := range l.state.View().Owners() {
		var d int
		_, err := fmt.Sscanf(string(o.Owner), "d%02d", &d)
		assert.NilError(t, err)
		assert.Equal(t, dc(d), dc(i), "%v owns %v", o.Owner, o.Upstream)
	}
	assert.Equal(t, len(l.run(time.Minute)), 0, "upstreams move in a balanced cluster")
}

func TestJoinRebalancesGradually(t *testing.T) {
	l := newLeaderHarness(2, 12)
	l.run(time.Second)
	l.cluster = newLeaderHarness(6, 12).cluster
	for range 30 {
		moves := 0
		for _, c := range l.run(time.Second) {
			if _, ok := c.(state.Revoke); ok {
				moves++
			}
		}
		assert.Assert(t, moves <= 1, "%d moves in a second", moves)
	}
	for name, n := range l.ownedCount() {
		assert.Assert(t, n >= 1 && n <= 3, "%v owns %d", name, n)
	}
	assert.Equal(t, len(l.run(time.Minute)), 0)
}

// TestOwnershipEnd checks how long after a change the ownership of d00 is
// revoked and the upstream is assigned again; 0 means never.
func TestOwnershipEnd(t *testing.T) {
	cases := map[string]struct {
		change func(l *leaderHarness)
		revoke time.Duration
		assign time.Duration
	}{
		"nothing":     {func(*leaderHarness) {}, 0, 0},
		"suspect":     {func(l *leaderHarness) { l.cluster.Daemons[0].Suspect = true }, tick, ownership.RevocationWait},
		"stale":       {func(l *leaderHarness) { l.cluster.Daemons[0].Stale = true }, tick, ownership.RevocationWait},
		"all suspect": {func(l *leaderHarness) { l.cluster.Daemons[0].Suspect, l.cluster.Daemons[1].Suspect = true, true }, 0, 0},
		"missing":     {func(l *leaderHarness) { l.cluster.Daemons = l.cluster.Daemons[1:] }, ownership.MissingGrace, ownership.MissingGrace + ownership.RevocationWait},
		"restarted":   {func(l *leaderHarness) { l.cluster.Daemons[0].Incarnation = 2 }, ownership.MissingGrace, ownership.MissingGrace + ownership.RevocationWait},
		"drained": {func(l *leaderHarness) {
			l.state.Apply(l.state.Index()+1, state.Change{ID: "x", Edit: state.DrainDaemon{Name: "d00"}})
		}, tick, ownership.RevocationWait},
		"leaving": {func(l *leaderHarness) { l.cluster.Upstreams[0].Leaving = true }, 0, 0},
		"left":    {func(l *leaderHarness) { l.cluster.Upstreams = nil }, ownership.MissingGrace, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := newLeaderHarness(2, 1)
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
			assertWithin(t, "revoked", revoked, c.revoke)
			assertWithin(t, "assigned", assigned, c.assign)
		})
	}
}

// assertWithin checks that got is want or up to three steps later.
func assertWithin(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if want == 0 {
		assert.Equal(t, got, time.Duration(0), what)
		return
	}
	assert.Assert(t, got >= want && got <= want+300*time.Millisecond, "%s after %v, want %v", what, got, want)
}

// TestWaitCoversDrift checks that the wait is long enough if the leader's clock
// runs 4 % fast and the former owner's 4 % slow.
func TestWaitCoversDrift(t *testing.T) {
	leader, owner := 1.04, 0.96
	waited := float64(ownership.RevocationWait) / leader
	fresh := float64(ownership.Freshness) / owner
	assert.Assert(t, waited >= fresh, "the former owner may write for %v, the leader waits %v", time.Duration(fresh), time.Duration(waited))
}

func TestLeftUpstreamIsReleased(t *testing.T) {
	l := newLeaderHarness(2, 1)
	l.run(time.Second)
	l.cluster.Upstreams = nil
	l.run(10 * time.Second)
	assert.Equal(t, len(l.state.View().Owners()), 0)
}

func TestWaitBeginsWhenVisible(t *testing.T) {
	l := newLeaderHarness(2, 1)
	l.run(time.Second)
	l.cluster.Daemons[0].Suspect = true
	assert.Equal(t, len(l.run(100*time.Millisecond)), 1)
	revoked := l.state.Index()
	step := func(visible uint64) int {
		l.now = l.now.Add(ownership.RevocationWait)
		return len(l.assigner.Step(l.now, l.state.View(), visible, l.cluster))
	}
	assert.Equal(t, step(revoked-1), 0)
	assert.Equal(t, step(revoked-1), 0)
	assert.Equal(t, step(revoked), 0, "the wait began before the revocation was visible")
	assert.Equal(t, step(revoked), 1)
}

func TestNewLeaderWaitsAnew(t *testing.T) {
	l := newLeaderHarness(2, 1)
	l.run(time.Second)
	l.cluster.Daemons[0].Suspect = true
	l.run(ownership.RevocationWait - 200*time.Millisecond)
	l.assigner = ownership.New()
	assert.Equal(t, len(l.run(ownership.RevocationWait)), 0)
	assert.Equal(t, len(l.run(300*time.Millisecond)), 1)
}

func TestYieldEndsTheWait(t *testing.T) {
	l := newLeaderHarness(2, 1)
	l.run(time.Second)
	h := ownership.NewHolder("d00", 1)
	_, opened := h.Step(l.now, l.state.View())
	assert.Equal(t, len(opened), 1)
	guard := opened[0]
	w := ownership.WriteAttempt{Now: l.now, View: l.state.View(), FreshUntil: l.now.Add(time.Minute), Deadline: l.now.Add(time.Minute)}
	assert.NilError(t, guard.Begin(w))

	l.cluster.Daemons[0].Stale = true
	l.run(200 * time.Millisecond)
	commands, _ := h.Step(l.now, l.state.View())
	assert.Equal(t, len(commands), 0, "yields while a write is in progress")
	assert.Equal(t, result.CodeOf(guard.Begin(w)), result.NoUpstream, "a write is permitted after the revocation")
	guard.End()
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
		"idle":              {func(o *ownership.Takeover) { o.AddReport(counts, []ident.Adapter{b}) }, counts, false},
		"in use":            {func(o *ownership.Takeover) { o.AddReport(counts, []ident.Adapter{a}) }, counts, true},
		"asked too early":   {func(o *ownership.Takeover) { o.AddReport(counts.Add(-1), nil) }, counts, true},
		"idle, then in use": {func(o *ownership.Takeover) { o.AddReport(counts, nil); o.AddReport(counts, []ident.Adapter{a}) }, counts, false},
		"in use, then idle": {func(o *ownership.Takeover) {
			o.AddReport(counts, []ident.Adapter{a, b})
			o.AddReport(counts, []ident.Adapter{b})
		}, counts, false},
		"restarted":     {func(o *ownership.Takeover) { o.EngineRestarted() }, start, false},
		"all deadlines": {func(*ownership.Takeover) {}, end, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := ownership.NewTakeover(start, end)
			c.report(o)
			assert.Equal(t, o.MayBeInUse(c.now, a), c.busy)
		})
	}
}
