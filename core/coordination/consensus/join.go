package consensus

import (
	"maps"
	"math"
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

const (
	// probeInterval is how often a node probes.
	probeInterval = 300 * time.Millisecond
	// probeFresh is how long an answer or a probe counts.
	probeFresh = 2 * time.Second
	// maxLearners bounds the learners that are added without an operator.
	maxLearners = 2
	// maxOpen bounds the voters of an open cluster.
	maxOpen = 7
	// minSeats is how many voters an open cluster keeps even if some are gone:
	// with fewer, the loss of one disk could lose entries.
	minSeats = 3
	// vacateAfter is how long beyond goneAfter a voter of an open cluster is
	// silent before it loses its seat without a successor at hand.
	vacateAfter = 5 * time.Second
)

// probe is the answer of a listed daemon.
type probe struct {
	voter Voter
	// blank is true if it never belonged to a cluster.
	blank bool
	// listed is sorted.
	listed []ident.Daemon
	until  time.Time
}

// tickBlank probes the listed voters and forms a cluster if all are blank.
func (n *Node) tickBlank(now time.Time) {
	if n.open && n.founder {
		n.form(now)
		return
	}
	if !slices.Contains(n.listed, n.self.Daemon) {
		return
	}
	if !n.open && n.allBlank(now) && n.self.Daemon == n.listed[0] {
		n.form(now)
		return
	}
	n.probe(now)
}

// probe asks the listed daemons about their cluster. A node that belongs to one
// but hears from no leader probes too: it may have been added by a leader that
// failed before the entry was committed.
func (n *Node) probe(now time.Time) {
	if now.Before(n.probeAt) {
		return
	}
	n.probeAt = now.Add(probeInterval)
	for _, d := range n.listed {
		if d != n.self.Daemon {
			n.send(Message{Kind: Probe, To: Voter{Daemon: d}, Eligible: n.listed})
		}
	}
}

func (n *Node) allBlank(now time.Time) bool {
	for _, d := range n.listed {
		p, ok := n.probes[d]
		fresh := ok && p.blank && now.Before(p.until) && slices.Equal(p.listed, n.listed)
		if d != n.self.Daemon && !fresh {
			return false
		}
	}
	return true
}

// form makes a new cluster of the listed voters.
func (n *Node) form(now time.Time) {
	voters := []Voter{n.self}
	for _, d := range n.listed {
		if d != n.self.Daemon && !n.open {
			voters = append(voters, n.probes[d].voter)
		}
	}
	first := FirstState(n.newCluster(), voters)
	n.hard = first.Hard
	n.install(first.Snapshot)
	n.step.hard = true
	n.electionAt = now
}

// FirstState returns the state that the first voter of a new cluster starts
// from.
func FirstState(cluster string, voters []Voter) PersistentState {
	return RecoveredState(cluster, voters, 1, 1, nil)
}

// RecoveredState returns the state of a new cluster that continues from the
// state machine's state after the entry at the index, of the given term. It is
// for operators, after the disks of a majority are lost: entries that only
// those had are lost too. Nodes of the old cluster are refused by the new
// cluster's id; they join again with an empty folder.
func RecoveredState(cluster string, voters []Voter, index, term uint64, data []byte) PersistentState {
	return PersistentState{
		Hard:     HardState{Cluster: cluster, Term: term},
		Snapshot: Snapshot{Index: index, Term: term, Members: NewMembers(voters, nil), Data: data},
	}
}

// onRecover makes the node the only voter of a new cluster. What it still holds
// back carries the old cluster's id, so that nobody in the new one counts it.
// Proposals to the old one stay open for ever.
func (n *Node) onRecover(now time.Time, ev Event) {
	if ev.snapshot.Index < n.commit {
		err := result.New(result.ChangeRefused, "index %d is committed, %d is offered", n.commit, ev.snapshot.Index)
		n.refuse(ev.number, err)
		return
	}
	n.becomeFollower(now, max(n.hard.Term, ev.hard.Term)+1, Voter{})
	n.hard.Cluster = ev.hard.Cluster
	n.probes = make(map[ident.Daemon]probe)
	n.resolveUpTo(math.MaxUint64)
	ev.snapshot.Members = NewMembers([]Voter{n.self}, nil)
	n.install(ev.snapshot)
	n.electionAt = now
	// The first entry of the new cluster is the noop of its first leader.
	n.pending = []pending{{ev.number, ev.snapshot.Index + 1, n.hard.Term + 1}}
}

// adopt reports whether the cluster is the node's own. A node without one
// makes it its own.
func (n *Node) adopt(cluster string) bool {
	if n.hard.Cluster == "" {
		n.hard.Cluster = cluster
		n.step.hard = true
	}
	return n.hard.Cluster == cluster
}

func (n *Node) receiveProbe(now time.Time, m Message) {
	if m.To.Daemon != n.self.Daemon {
		return
	}
	if m.Kind == ProbeReply && m.To == n.self {
		blank := m.Cluster == ""
		n.probes[m.From.Daemon] = probe{m.From, blank, m.Eligible, now.Add(probeFresh)}
		return
	}
	if m.Kind != Probe {
		return
	}
	n.sendSynced(Message{Kind: ProbeReply, To: m.From, Eligible: n.listed})
	if n.role == Leader && n.mayJoin(m) {
		n.joiners[m.From] = now.Add(probeFresh)
	}
}

// mayJoin reports whether the sender of a probe is a listed daemon that is not
// a member and belongs to no other cluster.
func (n *Node) mayJoin(m Message) bool {
	known := n.members().IsVoter(m.From) || n.members().IsLearner(m.From)
	other := m.Cluster != "" && m.Cluster != n.hard.Cluster
	return !known && !other && (n.open || slices.Contains(n.listed, m.From.Daemon))
}

// repair proposes the next change that brings a listed daemon with a new disk
// into the cluster, or replaces a lost disk. It looks only at the present
// state, so that the next leader goes on where this one stopped.
func (n *Node) repair(now time.Time) {
	if n.refusal() != nil {
		return
	}
	c, ok := n.nextRepair(now)
	if !ok {
		return
	}
	if m, err := n.changed(c); err == nil && n.reachesMajority(now, m) {
		n.appendEntry(now, entry.Voters, EncodeMembers(m))
	}
}

func (n *Node) nextRepair(now time.Time) (Change, bool) {
	for _, l := range n.members().learners {
		if c, ok := n.seat(now, l); ok {
			return c, true
		}
	}
	for _, j := range slices.SortedFunc(maps.Keys(n.joiners), Voter.Compare) {
		if !now.Before(n.joiners[j]) {
			delete(n.joiners, j)
			continue
		}
		if c, ok := n.welcome(now, j); ok {
			return c, true
		}
	}
	return n.vacate(now)
}

// onCandidates takes over who has a disk.
func (n *Node) onCandidates(_ time.Time, ev Event) {
	if !n.open {
		return
	}
	n.listed = slices.Sorted(slices.Values(ev.names))
	n.leaving = ev.leaving
	n.founder = ev.founder
}

// TargetVoters returns how many of the daemons with a disk vote in an open cluster: an
// odd number, as an even one bears no more losses and has no majority in either
// half of a cut. The others stand by with all that is committed.
func TargetVoters(disks int) int {
	if disks < minSeats {
		return disks
	}
	return min(disks-1+disks%2, maxOpen)
}

// vacate removes a member of an open cluster that has been silent for long. It
// may return as a learner, with all that it has synced.
func (n *Node) vacate(now time.Time) (Change, bool) {
	if !n.open {
		return Change{}, false
	}
	absent := func(v Voter) bool {
		p := n.progress[v]
		return p != nil && !now.Before(p.goneAt.Add(vacateAfter))
	}
	if i := slices.IndexFunc(n.members().learners, absent); i >= 0 {
		return Change{Remove, n.members().learners[i]}, true
	}
	if i := slices.IndexFunc(n.members().voters, absent); i >= 0 && len(n.members().voters) > minSeats {
		return Change{Remove, n.members().voters[i]}, true
	}
	return Change{}, false
}

// departing returns a voter of an open cluster whose seat a learner may take:
// one that is silent, or is about to stop. While it still works it keeps its
// seat unless all voters are there.
func (n *Node) departing(now time.Time) (Voter, bool) {
	i := slices.IndexFunc(n.members().voters, func(v Voter) bool { return v != n.self && n.gone(now, v) })
	if i < 0 && n.allAlive(now) {
		i = slices.IndexFunc(n.members().voters, func(v Voter) bool { return v != n.self && slices.Contains(n.leaving, v.Daemon) })
	}
	if !n.open || i < 0 || len(n.members().voters) < minSeats {
		return Voter{}, false
	}
	return n.members().voters[i], true
}

func (n *Node) allAlive(now time.Time) bool {
	return !slices.ContainsFunc(n.members().voters, func(v Voter) bool { return v != n.self && !n.alive(now, v) })
}

// seat returns the next step to make a learner of a listed daemon a voter, if
// it has caught up with its data synced.
func (n *Node) seat(now time.Time, l Voter) (Change, bool) {
	ready := n.alive(now, l) && n.progress[l].match >= n.commit
	if !ready || !n.open && !slices.Contains(n.listed, l.Daemon) || slices.Contains(n.leaving, l.Daemon) {
		return Change{}, false
	}
	if old, ok := namesake(n.members().voters, l); ok {
		return Change{Remove, old}, n.gone(now, old)
	}
	if old, ok := n.departing(now); ok {
		return Change{Remove, old}, true
	}
	return Change{Promote, l}, !n.open || len(n.members().voters) < TargetVoters(n.present(now))
}

// present counts the members that are there. Dead ones must not count: they
// would make room for a voter that is one too many.
func (n *Node) present(now time.Time) int {
	count := 1
	for _, v := range n.others() {
		if now.Before(n.progress[v].presentUntil) {
			count++
		}
	}
	return count
}

// welcome returns the next step to make a joiner a learner.
func (n *Node) welcome(now time.Time, j Voter) (Change, bool) {
	m := n.members()
	if m.IsLearner(j) || m.IsVoter(j) {
		delete(n.joiners, j)
		return Change{}, false
	}
	if old, ok := namesake(m.learners, j); ok {
		return Change{Remove, old}, n.gone(now, old)
	}
	if old, ok := namesake(m.voters, j); ok && !n.gone(now, old) {
		return Change{}, false
	}
	return Change{AddLearner, j}, len(m.learners) < maxLearners
}

// gone reports whether a member has been silent for long.
func (n *Node) gone(now time.Time, v Voter) bool {
	p := n.progress[v]
	return p != nil && !now.Before(p.goneAt)
}

// namesake returns the voter in vs with the daemon of v but another disk.
func namesake(vs []Voter, v Voter) (Voter, bool) {
	i := slices.IndexFunc(vs, func(o Voter) bool {
		return o.Daemon == v.Daemon && o.Disk != v.Disk
	})
	if i < 0 {
		return Voter{}, false
	}
	return vs[i], true
}
