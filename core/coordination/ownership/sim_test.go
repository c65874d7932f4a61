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
	tick       = 50 * time.Millisecond
	daemonsAll = 5
	majority   = daemonsAll/2 + 1
)

var start = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// node is one daemon of the simulation. Every daemon is a witness.
type node struct {
	name  ident.Daemon
	state *state.State
	// clock is the daemon's own, which runs at its own rate.
	clock time.Time
	rate  float64
	fresh time.Time
	// asked is when the running poll was sent, by clock; zero if none runs.
	asked time.Time
	// replies are the applied indexes that the poll has brought.
	replies map[ident.Daemon]uint64
	// frozen daemons do nothing; cut ones hear nothing; slow ones get no new
	// entries by themselves.
	frozen, cut, slow bool
	holder            *ownership.Holder
	// assigner is not nil while the daemon believes that it leads.
	assigner *ownership.Assigner
	// acks are the applied indexes that the leader has heard of.
	acks map[ident.Daemon]uint64
}

// sim is a cluster in virtual time. Consensus is taken for granted: log is the
// committed log, and only the leader appends to it.
type sim struct {
	t     *rapid.T
	now   time.Time
	nodes []*node
	log   []state.Command
	// network holds proposals on their way to the leader, in any order.
	network []packet
	leader  int
	// changes counts the operators' changes.
	changes int
	// links holds the pairs of daemons that cannot reach each other.
	links     map[[2]ident.Daemon]bool
	suspect   map[ident.Daemon]bool
	upstreams []ownership.Upstream
	// fences is the largest fence that any write passed under.
	fences map[ident.Upstream]ident.Fence
}

// packet is a proposal on its way.
type packet struct {
	command state.Command
	arrives time.Time
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: start, suspect: map[ident.Daemon]bool{}, links: map[[2]ident.Daemon]bool{}, fences: map[ident.Upstream]ident.Fence{}}
	for i := range daemonsAll {
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
	s.lead(0)
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

// lead makes a daemon the leader; a former one goes on believing that it
// leads, but its proposals come to nothing.
func (s *sim) lead(i int) {
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

// step moves time on by one tick; chaos returns true with about one in n.
func (s *sim) step(chaos func(n int) bool) {
	s.now = s.now.Add(tick)
	for _, n := range s.nodes {
		n.clock = n.clock.Add(time.Duration(float64(tick) * n.rate))
	}
	s.deliver()
	for _, n := range s.nodes {
		if !n.frozen {
			s.run(n, chaos)
		}
	}
	s.write()
}

// send puts proposals on their way; one in three travels twice, and one in
// four takes long.
func (s *sim) send(commands []state.Command, chaos func(n int) bool) {
	for _, c := range commands {
		s.network = append(s.network, s.packet(c, chaos))
		if chaos(3) {
			s.network = append(s.network, s.packet(c, chaos))
		}
	}
}

func (s *sim) packet(c state.Command, chaos func(n int) bool) packet {
	p := packet{command: c, arrives: s.now}
	for chaos(2) {
		p.arrives = p.arrives.Add(tick)
	}
	if chaos(4) {
		for !chaos(40) {
			p.arrives = p.arrives.Add(tick)
		}
	}
	return p
}

// deliver appends to the log what has arrived at the leader.
func (s *sim) deliver() {
	if s.nodes[s.leader].frozen || s.nodes[s.leader].cut {
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

func (s *sim) run(n *node, chaos func(n int) bool) {
	if !n.cut && !n.slow && !chaos(3) {
		n.applyUpTo(s.log, uint64(len(s.log)))
	}
	s.poll(n, chaos)
	commands, _ := n.holder.Step(n.clock, n.state.View())
	s.send(commands, chaos)
	if n.assigner == nil {
		return
	}
	s.gather(n, chaos)
	commands = n.assigner.Step(n.clock, n.state.View(), visible(n.acks), s.cluster())
	if n == s.nodes[s.leader] {
		s.send(commands, chaos)
	}
}

// poll asks the witnesses whether they know anything newer.
func (s *sim) poll(n *node, chaos func(n int) bool) {
	if n.asked.IsZero() {
		n.asked, n.replies = n.clock, map[ident.Daemon]uint64{}
	}
	for _, w := range s.nodes {
		_, heard := n.replies[w.name]
		if !heard && s.reach(n, w) && !chaos(3) {
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
	n.fresh, n.asked = n.asked.Add(ownership.Freshness), time.Time{}
}

// reach reports whether a gets an answer from b.
func (s *sim) reach(a, b *node) bool {
	return a == b || !a.cut && !b.cut && !b.frozen && !s.links[link(a, b)]
}

func link(a, b *node) [2]ident.Daemon {
	return [2]ident.Daemon{min(a.name, b.name), max(a.name, b.name)}
}

// gather lets the leader hear how far the witnesses have applied.
func (s *sim) gather(n *node, chaos func(n int) bool) {
	for _, w := range s.nodes {
		if s.reach(n, w) && !chaos(3) {
			n.acks[w.name] = w.state.Index()
		}
	}
}

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

// write lets every daemon try to write to every upstream now, also frozen
// ones, as any may wake at this moment with what it last knew. It fails if two
// may write, or if one may write under a fence that is no longer the newest.
func (s *sim) write() {
	for _, u := range s.upstreams {
		var writers []ident.Daemon
		for _, n := range s.nodes {
			g := n.holder.WriteGuard(u.Name)
			if g == nil || g.Begin(n.writeNow()) != nil {
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

func (n *node) writeNow() ownership.WriteAttempt {
	return ownership.WriteAttempt{Now: n.clock, View: n.state.View(), FreshUntil: n.fresh, Deadline: n.clock.Add(time.Minute)}
}
