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
	// probeInterval is the interval at which a node probes.
	probeInterval = 300 * time.Millisecond
	// probeLifetime is how long a probe or a probe reply remains valid.
	probeLifetime = 2 * time.Second
	// outsiderProbeInterval is the interval at which a leader of an open cluster
	// probes eligible daemons that are not members.
	outsiderProbeInterval = time.Second
	// maxLearners limits the learners that are added automatically.
	maxLearners = 2
	// maxOpenVoters limits the voters of an open cluster.
	maxOpenVoters = 7
	// minOpenVoters is the number of voters that an open cluster keeps even if
	// some are unresponsive: with fewer, the loss of one disk could lose
	// entries.
	minOpenVoters = 3
	// removeLearnerAfter is how long a learner of an open cluster must be
	// unresponsive before it is removed, which makes room for others.
	removeLearnerAfter = 8 * time.Second
	// removeVoterAfter is the corresponding time for a voter without a learner to
	// replace it. Its disk may hold entries that are needed when other disks are
	// lost, so it must be gone for good, not merely down.
	removeVoterAfter = 10 * time.Minute
)

// probeResult is the probe reply of an eligible daemon.
type probeResult struct {
	voter Voter
	// cluster is empty if the daemon never belonged to a cluster.
	cluster string
	// eligible is the sorted list that the daemon sent.
	eligible []ident.Daemon
	until    time.Time
}

// tickUninitialized probes the eligible daemons and forms a cluster if none of
// them belongs to one.
func (n *Node) tickUninitialized(now time.Time) {
	if !slices.Contains(n.eligible, n.self.Daemon) {
		return
	}
	if !n.open && n.allUninitialized(now) && n.self.Daemon == n.eligible[0] {
		n.formCluster(now)
		return
	}
	n.probe(now)
}

// probe asks the eligible daemons which cluster they belong to. A member that
// receives nothing from a leader probes too: it may have been added by a leader
// that failed before the entry was committed.
func (n *Node) probe(now time.Time) {
	if now.Before(n.probeAt) {
		return
	}
	n.probeAt = now.Add(probeInterval)
	for _, d := range n.eligible {
		if d != n.self.Daemon {
			n.sendNow(Message{Kind: Probe, To: Voter{Daemon: d}, Eligible: n.eligible})
		}
	}
}

// probeOutsiders asks the eligible daemons that are not members which cluster
// they belong to. A member of another cluster with a leader doesn't probe itself.
func (n *Node) probeOutsiders(now time.Time) {
	if !n.open || now.Before(n.probeAt) {
		return
	}
	n.probeAt = now.Add(outsiderProbeInterval)
	members := n.members().all()
	for _, d := range n.eligible {
		if !slices.ContainsFunc(members, func(v Voter) bool { return v.Daemon == d }) {
			n.sendNow(Message{Kind: Probe, To: Voter{Daemon: d}, Eligible: n.eligible})
		}
	}
}

// Foreign returns the eligible daemons that lately replied that they belong to
// another cluster, sorted. Only a leader and a node without a leader ask.
func (n *Node) Foreign(now time.Time) []Voter {
	var out []Voter
	for _, d := range n.eligible {
		p, ok := n.probeReplies[d]
		if ok && now.Before(p.until) && p.cluster != "" && p.cluster != n.hardState.Cluster {
			out = append(out, p.voter)
		}
	}
	return out
}

func (n *Node) allUninitialized(now time.Time) bool {
	for _, d := range n.eligible {
		p, ok := n.probeReplies[d]
		fresh := ok && p.cluster == "" && now.Before(p.until) && slices.Equal(p.eligible, n.eligible)
		if d != n.self.Daemon && !fresh {
			return false
		}
	}
	return true
}

// formCluster forms a new cluster of the eligible daemons.
func (n *Node) formCluster(now time.Time) {
	voters := []Voter{n.self}
	for _, d := range n.eligible {
		if d != n.self.Daemon {
			voters = append(voters, n.probeReplies[d].voter)
		}
	}
	n.onBootstrap(now, Bootstrap(n.newCluster(), voters, true))
}

// onBootstrap installs the first state of a cluster. A node that has adopted the
// cluster from a message keeps its term and vote; it has no entries yet, since
// every leader's log begins with this state.
func (n *Node) onBootstrap(now time.Time, ev Event) {
	if len(n.members().voters) > 0 || !n.adoptCluster(ev.hard.Cluster) {
		return
	}
	n.hardState.Term = max(n.hardState.Term, ev.hard.Term)
	n.step.hardChanged = true
	n.installSnapshot(ev.snapshot)
	n.resetElection(now)
	if ev.campaign {
		n.electionAt = now
	}
}

// BootstrapState returns the state that the first voter of a new cluster starts
// from.
func BootstrapState(cluster string, voters []Voter) PersistentState {
	return RecoveredState(cluster, voters, 1, 1, nil)
}

// RecoveredState returns the initial state of a new cluster that continues from
// the state machine as of the entry with the given index and term. It is used
// by operators after a majority of the disks is lost; entries that only those
// disks held are lost as well. Nodes of the old cluster are refused because of
// their cluster id; they can join again with an empty data folder.
func RecoveredState(cluster string, voters []Voter, index, term uint64, data []byte) PersistentState {
	return PersistentState{
		Hard:     HardState{Cluster: cluster, Term: term},
		Snapshot: Snapshot{Index: index, Term: term, Members: NewMembers(voters, nil), Data: data},
	}
}

// onRecover makes the node the only voter of a new cluster. Messages that are
// still deferred carry the old cluster's id, so no node of the new cluster
// counts them. Proposals to the old cluster are answered as undetermined.
func (n *Node) onRecover(now time.Time, ev Event) {
	if ev.snapshot.Index < n.commit {
		err := result.New(result.ChangeRefused, "index %d is already committed, cannot recover to index %d", n.commit, ev.snapshot.Index)
		n.rejectProposal(ev.number, err)
		return
	}
	n.becomeFollower(now, max(n.hardState.Term, ev.hard.Term)+1, Voter{})
	n.hardState.Cluster = ev.hard.Cluster
	n.probeReplies = make(map[ident.Daemon]probeResult)
	n.resolveUndetermined(math.MaxUint64)
	ev.snapshot.Members = NewMembers([]Voter{n.self}, nil)
	n.installSnapshot(ev.snapshot)
	n.electionAt = now
	// The first entry of the new cluster is the no-op of its first leader.
	n.pending = []pending{{ev.number, ev.snapshot.Index + 1, n.hardState.Term + 1}}
}

// adoptCluster reports whether the node belongs to the cluster. A node that
// belongs to none adopts it.
func (n *Node) adoptCluster(cluster string) bool {
	if n.hardState.Cluster == "" {
		n.hardState.Cluster = cluster
		n.step.hardChanged = true
	}
	return n.hardState.Cluster == cluster
}

func (n *Node) receiveProbe(now time.Time, m Message) {
	if m.To.Daemon != n.self.Daemon {
		return
	}
	if m.Kind == ProbeReply && m.To == n.self {
		n.probeReplies[m.From.Daemon] = probeResult{m.From, m.Cluster, m.Eligible, now.Add(probeLifetime)}
		return
	}
	if m.Kind != Probe {
		return
	}
	n.sendAfterSync(Message{Kind: ProbeReply, To: m.From, Eligible: n.eligible})
	if n.role == Leader && n.canJoin(m) {
		n.joinRequests[m.From] = now.Add(probeLifetime)
	}
}

// canJoin reports whether the sender of a probe may become a learner: it is
// eligible, not yet a member and in no other cluster.
func (n *Node) canJoin(m Message) bool {
	isMember := n.members().IsVoter(m.From) || n.members().IsLearner(m.From)
	inOtherCluster := m.Cluster != "" && m.Cluster != n.hardState.Cluster
	return !isMember && !inOtherCluster && (n.open || slices.Contains(n.eligible, m.From.Daemon))
}

// repairMembership proposes the next change that adds an eligible daemon with a
// new disk or replaces a lost disk. It depends only on the current state, so a
// new leader continues where the previous one stopped.
func (n *Node) repairMembership(now time.Time) {
	if n.proposalError() != nil {
		return
	}
	c, ok := n.nextRepairChange(now)
	if !ok {
		return
	}
	if m, err := n.membersAfter(c); err == nil && n.confirmsMajority(now, m) {
		n.appendEntry(now, entry.Voters, EncodeMembers(m))
	}
}

// confirmsMajority reports whether a majority of the voters in m is confirmed to
// be running.
func (n *Node) confirmsMajority(now time.Time, m Members) bool {
	confirmed := 0
	for _, v := range m.voters {
		if p := n.progress[v]; v == n.self || p != nil && now.Before(p.confirmedUntil) {
			confirmed++
		}
	}
	return confirmed >= m.Majority()
}

func (n *Node) nextRepairChange(now time.Time) (Change, bool) {
	for _, l := range n.members().learners {
		if c, ok := n.promotionChange(now, l); ok {
			return c, true
		}
	}
	for _, j := range slices.SortedFunc(maps.Keys(n.joinRequests), Voter.Compare) {
		if !now.Before(n.joinRequests[j]) {
			delete(n.joinRequests, j)
			continue
		}
		if c, ok := n.addLearnerChange(now, j); ok {
			return c, true
		}
	}
	return n.removalChange(now)
}

// onEligibleDaemons updates the daemons that have a disk.
func (n *Node) onEligibleDaemons(_ time.Time, ev Event) {
	if !n.open {
		return
	}
	n.eligible = slices.Sorted(slices.Values(ev.names))
	n.leaving = ev.leaving
}

// TargetVoters returns how many of the daemons with a disk are voters in an open
// cluster. The number is odd: an even number
// tolerates no more failures than the odd number below it, and leaves no
// majority if the network splits into equal halves. The other daemons stay
// learners that hold everything committed.
func TargetVoters(disks int) int {
	if disks < minOpenVoters {
		return disks
	}
	return min(disks-1+disks%2, maxOpenVoters)
}

// removalChange returns the removal of a member of an open cluster that has
// been unresponsive for long. The member may return as a learner with
// everything that it has synced.
func (n *Node) removalChange(now time.Time) (Change, bool) {
	if !n.open {
		return Change{}, false
	}
	m := n.members()
	if l, ok := n.goneFor(now, m.learners, removeLearnerAfter); ok {
		return Change{Remove, l}, true
	}
	if v, ok := n.goneFor(now, m.voters, removeVoterAfter); ok && len(m.voters) > minOpenVoters {
		return Change{Remove, v}, true
	}
	return Change{}, false
}

// goneFor returns the first of some members that has been unresponsive for a time,
// which is at least unresponsiveAfter.
func (n *Node) goneFor(now time.Time, vs []Voter, d time.Duration) (Voter, bool) {
	for _, v := range vs {
		if p := n.progress[v]; p != nil && !now.Before(p.unresponsiveAt.Add(d-unresponsiveAfter)) {
			return v, true
		}
	}
	return Voter{}, false
}

// replaceableVoter returns a voter of an open cluster that a learner may
// replace: one that is unresponsive or about to stop. A voter that is about to
// stop is replaced only while all voters are reachable.
func (n *Node) replaceableVoter(now time.Time) (Voter, bool) {
	i := slices.IndexFunc(n.members().voters, func(v Voter) bool { return v != n.self && n.unresponsive(now, v) })
	if i < 0 && n.allVotersReachable(now) {
		i = slices.IndexFunc(n.members().voters, func(v Voter) bool { return v != n.self && slices.Contains(n.leaving, v.Daemon) })
	}
	if !n.open || i < 0 || len(n.members().voters) < minOpenVoters {
		return Voter{}, false
	}
	return n.members().voters[i], true
}

func (n *Node) allVotersReachable(now time.Time) bool {
	return !slices.ContainsFunc(n.members().voters, func(v Voter) bool { return v != n.self && !n.reachable(now, v) })
}

// promotionChange returns the next change on the way to make an eligible
// learner a voter, if it has synced everything that is committed.
func (n *Node) promotionChange(now time.Time, l Voter) (Change, bool) {
	ready := n.reachable(now, l) && n.progress[l].match >= n.commit
	if !ready || !n.open && !slices.Contains(n.eligible, l.Daemon) || slices.Contains(n.leaving, l.Daemon) {
		return Change{}, false
	}
	if old, ok := otherDiskOf(n.members().voters, l); ok {
		return Change{Remove, old}, n.silent(now, old)
	}
	if old, ok := n.replaceableVoter(now); ok {
		return Change{Remove, old}, true
	}
	return Change{Promote, l}, !n.open || len(n.members().voters) < TargetVoters(n.confirmedMembers(now))
}

// confirmedMembers counts the members confirmed to be running. Counting failed
// members as well would raise the target and add one voter too many.
func (n *Node) confirmedMembers(now time.Time) int {
	count := 1
	for _, v := range n.peers() {
		if now.Before(n.progress[v].confirmedUntil) {
			count++
		}
	}
	return count
}

// addLearnerChange returns the next change on the way to make j, which has
// asked to join, a learner.
func (n *Node) addLearnerChange(now time.Time, j Voter) (Change, bool) {
	m := n.members()
	if m.IsLearner(j) || m.IsVoter(j) {
		delete(n.joinRequests, j)
		return Change{}, false
	}
	if old, ok := otherDiskOf(m.learners, j); ok {
		return Change{Remove, old}, n.silent(now, old)
	}
	if old, ok := otherDiskOf(m.voters, j); ok {
		return Change{AddLearner, j}, n.silent(now, old)
	}
	return Change{AddLearner, j}, len(m.learners) < maxLearners
}

// silent reports whether a member has been silent for long enough to count as
// lost when its daemon speaks with another disk. The word of the other disk alone
// is not enough: a second process of that name must not displace one that works.
func (n *Node) silent(now time.Time, v Voter) bool {
	p := n.progress[v]
	return p != nil && !now.Before(p.silentAt)
}

// unresponsive reports whether a member has been unresponsive for
// unresponsiveAfter.
func (n *Node) unresponsive(now time.Time, v Voter) bool {
	p := n.progress[v]
	return p != nil && !now.Before(p.unresponsiveAt)
}

// otherDiskOf returns the identity in vs that has the daemon of v but another
// disk.
func otherDiskOf(vs []Voter, v Voter) (Voter, bool) {
	i := slices.IndexFunc(vs, func(o Voter) bool {
		return o.Daemon == v.Daemon && o.Disk != v.Disk
	})
	if i < 0 {
		return Voter{}, false
	}
	return vs[i], true
}
