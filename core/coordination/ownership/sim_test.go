package ownership_test

import (
	"fmt"
	"slices"
	"time"

	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

const (
	tick        = 50 * time.Millisecond
	daemonCount = 5
	majority    = daemonCount/2 + 1
)

var start = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// node is one simulated daemon. Every daemon is a witness.
type node struct {
	name  ident.Daemon
	state *state.State
	// clock is the daemon's clock, which runs at its own rate.
	clock      time.Time
	rate       float64
	freshUntil time.Time
	// polledAt is when the current freshness poll was sent, by clock; zero if
	// there is none.
	polledAt time.Time
	// replies are the applied indexes returned by the poll.
	replies map[ident.Daemon]uint64
	// A frozen daemon does nothing, an offline one receives nothing, and a slow
	// one learns of new entries only through polls.
	frozen, offline, slow bool
	holder                *ownership.Holder
	// assigner is not nil while the daemon believes that it leads.
	assigner *ownership.Assigner
	// acks are the applied indexes reported to the leader.
	acks map[ident.Daemon]uint64
}

// sim simulates a cluster in virtual time. Consensus is not simulated: log is
// the committed log, and only the leader appends to it.
type sim struct {
	t     *rapid.T
	now   time.Time
	nodes []*node
	log   []state.Command
	// network holds proposals in transit to the leader, in any order.
	network []packet
	leader  int
	// changes counts the changes by operators.
	changes int
	// brokenLinks holds the pairs of daemons that cannot reach each other.
	brokenLinks map[[2]ident.Daemon]bool
	suspect     map[ident.Daemon]bool
	upstreams   []ownership.Upstream
	// fences holds the greatest fence under which a write was permitted.
	fences map[ident.Upstream]ident.Fence
}

// packet is a proposal in transit.
type packet struct {
	command state.Command
	arrives time.Time
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: start, suspect: map[ident.Daemon]bool{}, brokenLinks: map[[2]ident.Daemon]bool{}, fences: map[ident.Upstream]ident.Fence{}}
	for i := range daemonCount {
		name := ident.Daemon(fmt.Sprintf("d%d", i))
		s.nodes = append(s.nodes, &node{
			name:   name,
			state:  state.New(),
			clock:  start,
			rate:   []float64{1, 0.96, 1.04, 0.98, 1.02}[i],
			holder: ownership.NewHolder(name, 1),
		})
	}
	for i := range 4 {
		name := ident.Upstream(fmt.Sprintf("u%d", i))
		s.upstreams = append(s.upstreams, ownership.Upstream{Name: name, Incarnation: 1, DataCentre: ident.DataCentre(fmt.Sprint(i % 2))})
	}
	s.changeLeader(0)
	return s
}

func (s *sim) cluster() ownership.Cluster {
	c := ownership.Cluster{Upstreams: s.upstreams}
	for i, n := range s.nodes {
		c.Daemons = append(c.Daemons, ownership.Daemon{
			Name: n.name, Incarnation: 1, DataCentre: ident.DataCentre(fmt.Sprint(i % 2)), Suspect: s.suspect[n.name],
		})
	}
	return c
}

// changeLeader makes a daemon the leader. The former leader still believes that
// it leads, but its proposals are dropped.
func (s *sim) changeLeader(i int) {
	s.leader = i
	n := s.nodes[i]
	n.assigner = ownership.New()
	n.acks = map[ident.Daemon]uint64{}
	n.applyUpTo(s.log, uint64(len(s.log)))
}

func (n *node) applyUpTo(log []state.Command, index uint64) {
	for n.state.Index() < index {
		n.state.Apply(n.state.Index()+1, log[n.state.Index()])
	}
}

// step advances time by one tick; oneIn returns true about once in n calls.
func (s *sim) step(oneIn func(n int) bool) {
	s.now = s.now.Add(tick)
	for _, n := range s.nodes {
		n.clock = n.clock.Add(time.Duration(float64(tick) * n.rate))
	}
	s.deliver()
	for _, n := range s.nodes {
		if !n.frozen {
			s.run(n, oneIn)
		}
	}
	s.checkWrites()
}

// send puts proposals on the network. One in three is duplicated, and one in
// four is delayed for long.
func (s *sim) send(commands []state.Command, oneIn func(n int) bool) {
	for _, c := range commands {
		s.network = append(s.network, s.packet(c, oneIn))
		if oneIn(3) {
			s.network = append(s.network, s.packet(c, oneIn))
		}
	}
}

func (s *sim) packet(c state.Command, oneIn func(n int) bool) packet {
	p := packet{command: c, arrives: s.now}
	for oneIn(2) {
		p.arrives = p.arrives.Add(tick)
	}
	if oneIn(4) {
		for !oneIn(40) {
			p.arrives = p.arrives.Add(tick)
		}
	}
	return p
}

// deliver appends the proposals that have arrived at the leader to the log.
func (s *sim) deliver() {
	if s.nodes[s.leader].frozen || s.nodes[s.leader].offline {
		return
	}
	var later []packet
	for _, p := range s.network {
		if p.arrives.After(s.now) {
			later = append(later, p)
			continue
		}
		s.log = append(s.log, p.command)
	}
	s.network = later
	s.nodes[s.leader].applyUpTo(s.log, uint64(len(s.log)))
}

func (s *sim) run(n *node, oneIn func(n int) bool) {
	if !n.offline && !n.slow && !oneIn(3) {
		n.applyUpTo(s.log, uint64(len(s.log)))
	}
	s.poll(n, oneIn)
	commands, _ := n.holder.Step(n.clock, n.state.View())
	s.send(commands, oneIn)
	if n.assigner == nil {
		return
	}
	s.collectAcks(n, oneIn)
	commands = n.assigner.Step(n.clock, n.state.View(), visible(n.acks), s.cluster())
	if n == s.nodes[s.leader] {
		s.send(commands, oneIn)
	}
}

// poll asks the witnesses for their applied indexes and renews the daemon's
// freshness once a majority has replied.
func (s *sim) poll(n *node, oneIn func(n int) bool) {
	if n.polledAt.IsZero() {
		n.polledAt, n.replies = n.clock, map[ident.Daemon]uint64{}
	}
	for _, w := range s.nodes {
		_, replied := n.replies[w.name]
		if !replied && s.reachable(n, w) && !oneIn(3) {
			n.replies[w.name] = w.state.Index()
		}
	}
	if len(n.replies) < majority {
		return
	}
	newest := uint64(0)
	for _, i := range n.replies {
		newest = max(newest, i)
	}
	n.applyUpTo(s.log, newest)
	n.freshUntil, n.polledAt = n.polledAt.Add(ownership.Freshness), time.Time{}
}

// reachable reports whether a gets a reply from b.
func (s *sim) reachable(a, b *node) bool {
	return a == b || !a.offline && !b.offline && !b.frozen && !s.brokenLinks[linkKey(a, b)]
}

func linkKey(a, b *node) [2]ident.Daemon {
	return [2]ident.Daemon{min(a.name, b.name), max(a.name, b.name)}
}

// collectAcks updates the leader's view of the witnesses' applied indexes.
func (s *sim) collectAcks(n *node, oneIn func(n int) bool) {
	for _, w := range s.nodes {
		if s.reachable(n, w) && !oneIn(3) {
			n.acks[w.name] = w.state.Index()
		}
	}
}

// visible returns the index that a majority of witnesses has applied.
func visible(acks map[ident.Daemon]uint64) uint64 {
	var all []uint64
	for _, i := range acks {
		all = append(all, i)
	}
	if len(all) < majority {
		return 0
	}
	slices.Sort(all)
	return all[len(all)-majority]
}

// checkWrites attempts a write from every daemon to every upstream. Frozen
// daemons are included, because they may resume at this moment with an old
// view. The check fails if two daemons may write, or if one may write under a
// fence that is no longer the newest.
func (s *sim) checkWrites() {
	for _, u := range s.upstreams {
		var writers []ident.Daemon
		for _, n := range s.nodes {
			g := n.holder.WriteGuard(u.Name)
			if g == nil || g.Begin(n.currentWrite()) != nil {
				continue
			}
			g.End()
			writers = append(writers, n.name)
			fence := g.Ownership().Fence
			if fence < s.fences[u.Name] {
				s.t.Fatalf("%v writes to %v under fence %d after %d", n.name, u.Name, fence, s.fences[u.Name])
			}
			s.fences[u.Name] = fence
		}
		if len(writers) > 1 {
			s.t.Fatalf("at %v both of %v may write to %v", s.now.Sub(start), writers, u.Name)
		}
	}
}

func (n *node) currentWrite() ownership.WriteAttempt {
	return ownership.WriteAttempt{Now: n.clock, View: n.state.View(), FreshUntil: n.freshUntil, Deadline: n.clock.Add(time.Minute)}
}
