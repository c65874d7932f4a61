package consensus

import (
	"fmt"
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/option"
)

const (
	// resendEntriesAfter is how long the leader waits for an acknowledgement of
	// entries before it resends them.
	resendEntriesAfter = 300 * time.Millisecond
	// resendSnapshotAfter is the corresponding time for a snapshot.
	resendSnapshotAfter = 3 * time.Second
	// unresponsiveAfter is how long a member must be unresponsive before another
	// daemon may take its place.
	unresponsiveAfter = 3 * time.Second
	// confirmedFor is how long a reply confirms that a member is running: a few
	// heartbeats.
	confirmedFor = 4 * HeartbeatInterval
	// silentAfter is how long a member must be silent before its disk counts as
	// lost when its daemon has reappeared with another one.
	silentAfter = 4 * HeartbeatInterval
	// maxEntries limits the number of entries in one message.
	maxEntries = 256
	// maxBytes limits the size of their data, unless a single entry is larger.
	maxBytes = 1 << 20
	// maxInFlight limits the unacknowledged entries sent to a member.
	maxInFlight = 4096
)

// progress is the leader's view of another member.
type progress struct {
	// match is the highest index known to be synced on the member's disk.
	match uint64
	// next is the index of the next entry to send; it is greater than match.
	next uint64
	// probing is true from a rejected Append until the next acknowledgement.
	// Meanwhile only one message is in flight.
	probing bool
	// resendAt is when unacknowledged entries are resent.
	resendAt time.Time
	// round is the last heartbeat round that the member replied to.
	round uint64
	// reachableUntil is the time until which the member counts as reachable.
	reachableUntil time.Time
	// unresponsiveAt is when the member starts to count as unresponsive.
	unresponsiveAt time.Time
	// silentAt is when the member starts to count as silent; it is at most
	// unresponsiveAt.
	silentAt time.Time
	// confirmedUntil is the time until which the member is confirmed to be
	// running; it is zero until the member has replied to this leader.
	confirmedUntil time.Time
}

// extendReachable restarts the timeouts of a member as if it had just replied.
func (p *progress) extendReachable(now time.Time) {
	p.reachableUntil = now.Add(ElectionTimeout)
	p.unresponsiveAt = now.Add(unresponsiveAfter)
	p.silentAt = now.Add(silentAfter)
}

func (p *progress) recordReply(now time.Time) {
	p.extendReachable(now)
	p.confirmedUntil = now.Add(confirmedFor)
}

// trackMembers makes progress contain exactly the members other than the
// leader.
func (n *Node) trackMembers(now time.Time) {
	peers := n.peers()
	for v := range n.progress {
		if !slices.Contains(peers, v) {
			delete(n.progress, v)
		}
	}
	for _, v := range peers {
		if n.progress[v] == nil {
			p := &progress{next: n.log.last() + 1}
			p.extendReachable(now)
			n.progress[v] = p
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.electionAt) {
		n.electionAt = now.Add(ElectionTimeout)
		if !n.reachesMajority(now, n.members()) {
			n.becomeFollower(now, n.hardState.Term, Voter{})
			return
		}
	}
	if !n.transferee.IsZero() && now.After(n.transferUntil) {
		n.transferee = Voter{}
	}
	if !now.Before(n.broadcastAt) {
		n.broadcastHeartbeat(now)
	}
	// Every read puts the next heartbeats off. What follows has deadlines of its
	// own and must not wait for them.
	for _, v := range n.peers() {
		n.resend(now, v)
	}
	n.repairMembership(now)
	n.probeOutsiders(now)
}

// reachesMajority reports whether the leader reaches a majority of the voters
// in m.
func (n *Node) reachesMajority(now time.Time, m Members) bool {
	reachable := 0
	for _, v := range m.voters {
		if v == n.self || n.reachable(now, v) {
			reachable++
		}
	}
	return reachable >= m.Majority()
}

func (n *Node) reachable(now time.Time, v Voter) bool {
	p := n.progress[v]
	return p != nil && now.Before(p.reachableUntil)
}

func (n *Node) broadcastHeartbeat(now time.Time) {
	n.broadcastAt = now.Add(HeartbeatInterval)
	n.step.broadcast = false
	for _, v := range n.peers() {
		commit := min(n.commit, n.progress[v].match)
		n.sendNow(Message{Kind: Heartbeat, To: v, Commit: commit, Round: n.round})
	}
}

// appendEntry appends an entry to the leader's log and sends it to the members.
func (n *Node) appendEntry(now time.Time, kind entry.Kind, data []byte) uint64 {
	e := entry.Entry{Index: n.log.last() + 1, Term: n.hardState.Term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, e)
	n.appendConfig(e)
	n.markChanged(e.Index)
	if kind == entry.Voters {
		n.trackMembers(now)
	}
	n.sendAfterSync(Message{Kind: AppendReply, To: n.self, Index: e.Index})
	for _, v := range n.peers() {
		n.sendEntries(now, v)
	}
	return e.Index
}

func (n *Node) appendNoop(now time.Time) { n.appendEntry(now, entry.Noop, nil) }

func (n *Node) markChanged(i uint64) {
	if n.step.firstChanged == 0 || i < n.step.firstChanged {
		n.step.firstChanged = i
	}
}

// sendEntries sends the entries that a member lacks, within the limits. A
// member that does not respond gets heartbeats only.
func (n *Node) sendEntries(now time.Time, v Voter) {
	p := n.progress[v]
	if !now.Before(p.reachableUntil) {
		return
	}
	if p.next <= n.log.base {
		n.sendSnapshot(now, v, p)
		return
	}
	busy := p.probing && now.Before(p.resendAt)
	if busy || p.next > n.log.last() || (p.match > 0 && p.next-p.match > maxInFlight) {
		return
	}
	n.sendAppend(now, v, p)
}

func (n *Node) sendAppend(now time.Time, v Voter, p *progress) {
	prev := p.next - 1
	term, _ := n.log.term(prev)
	es := n.log.from(p.next, maxEntries, maxBytes)
	n.sendNow(Message{Kind: Append, To: v, Index: prev, LogTerm: term, Commit: n.commit, Entries: es})
	p.next += uint64(len(es))
	p.resendAt = now.Add(resendEntriesAfter)
}

func (n *Node) sendSnapshot(now time.Time, v Voter, p *progress) {
	if now.Before(p.resendAt) {
		return
	}
	n.sendNow(Message{Kind: InstallSnapshot, To: v, Snapshot: n.snapshot})
	p.resendAt = now.Add(resendSnapshotAfter)
}

// resend repeats what was not acknowledged in time.
func (n *Node) resend(now time.Time, v Voter) {
	p := n.progress[v]
	if now.Before(p.resendAt) || p.match == n.log.last() || !now.Before(p.reachableUntil) {
		return
	}
	if !p.probing && p.match > 0 {
		p.next = p.match + 1
	}
	if p.next <= n.log.base {
		n.sendSnapshot(now, v, p)
		return
	}
	n.sendAppend(now, v, p)
}

func (n *Node) onAppendReply(now time.Time, m Message) {
	if n.role != Leader {
		return
	}
	if m.From == n.self {
		n.syncedIndex = max(n.syncedIndex, m.Index)
		n.advanceCommit()
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.recordReply(now)
	if m.Refused {
		n.onAppendRejected(now, m, p)
		return
	}
	if p.match = max(p.match, m.Index); p.next <= p.match {
		p.next = p.match + 1
	}
	p.probing = false
	if n.advanceCommit(); n.role == Leader {
		n.sendEntries(now, m.From)
		n.completeTransfer(m.From)
	}
}

// onAppendRejected moves next back to where the logs may match.
func (n *Node) onAppendRejected(now time.Time, m Message, p *progress) {
	if m.Index <= p.match || (p.probing && m.Index >= p.next) {
		return
	}
	p.probing = true
	p.next = max(min(m.Hint, m.Index-1), p.match) + 1
	p.resendAt = now
	n.sendEntries(now, m.From)
}

// advanceCommit commits the entries that a majority has synced, provided that
// the last one is of the leader's own term.
func (n *Node) advanceCommit() {
	i := n.majorityValue(n.syncedIndex, func(p *progress) uint64 { return p.match })
	if i <= n.commit {
		return
	}
	if t, _ := n.log.term(i); t != n.hardState.Term {
		return
	}
	n.commitTo(i)
	n.startReads()
}

// majorityValue returns the highest value that a majority of the voters has
// reached.
func (n *Node) majorityValue(own uint64, value func(*progress) uint64) uint64 {
	m := n.members()
	reached := make([]uint64, 0, len(m.voters))
	for _, v := range m.voters {
		if v == n.self {
			reached = append(reached, own)
		} else {
			reached = append(reached, value(n.progress[v]))
		}
	}
	slices.Sort(reached)
	return reached[len(reached)-m.Majority()]
}

// commitTo returns the entries up to index i to the caller as committed.
func (n *Node) commitTo(i uint64) {
	n.commit = max(n.commit, i)
	for n.applied < n.commit {
		n.applied++
		e := n.log.at(n.applied)
		n.bytesSinceSnapshot += len(e.Data)
		n.step.effects.Committed = append(n.step.effects.Committed, e)
		n.resolveProposals(e)
	}
	n.requestSnapshot()
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down once its own removal is
// committed.
func (n *Node) stepDownIfRemoved() {
	c := n.configs[len(n.configs)-1]
	if n.role == Leader && c.index <= n.commit && !c.members.IsVoter(n.self) {
		n.failReads()
		n.role, n.leader, n.progress = Follower, Voter{}, nil
	}
}

// followLeader records that leader leads the current term and renews its lease.
func (n *Node) followLeader(now time.Time, leader Voter) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(now, n.hardState.Term, leader)
	}
	n.resetElection(now)
	n.leaseUntil = now.Add(ElectionTimeout)
	n.leaderlessAt = now.Add(unresponsiveAfter)
}

func (n *Node) onHeartbeat(now time.Time, m Message) {
	n.followLeader(now, m.From)
	n.commitTo(min(m.Commit, n.log.last()))
	n.sendNow(Message{Kind: HeartbeatReply, To: m.From, Round: m.Round})
}

func (n *Node) onHeartbeatReply(now time.Time, m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil || m.Refused {
		return
	}
	p.recordReply(now)
	p.round = max(p.round, m.Round)
	n.finishReads()
}

func (n *Node) onAppend(now time.Time, m Message) {
	n.followLeader(now, m.From)
	if m.Index < n.commit {
		n.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: n.commit})
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		hint := n.matchHint(m)
		n.sendNow(Message{Kind: AppendReply, To: m.From, Index: m.Index, Refused: true, Hint: hint})
		return
	}
	n.storeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: last})
}

// matchHint returns the highest index below m.Index at which the log may match
// the leader's.
func (n *Node) matchHint(m Message) uint64 {
	i := min(m.Index-1, n.log.last())
	for i > n.commit {
		if t, _ := n.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// storeEntries appends the entries that the log lacks, after dropping entries
// that conflict with them.
func (n *Node) storeEntries(es []entry.Entry) {
	for _, e := range es {
		if t, ok := n.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= n.log.last() {
			n.truncate(e.Index - 1)
		}
		n.log.entries = append(n.log.entries, e)
		n.appendConfig(e)
		n.markChanged(e.Index)
	}
}

func (n *Node) truncate(last uint64) {
	if last < n.commit {
		panic(fmt.Sprintf("consensus: truncation to %d below commit %d", last, n.commit))
	}
	n.log.truncate(last)
	for len(n.configs) > 1 && n.configs[len(n.configs)-1].index > last {
		n.configs = n.configs[:len(n.configs)-1]
	}
}

func (n *Node) onInstall(now time.Time, m Message) {
	n.followLeader(now, m.From)
	s := m.Snapshot
	if s.Index > n.commit {
		if t, ok := n.log.term(s.Index); ok && t == s.Term {
			n.commitTo(s.Index)
		} else {
			n.installSnapshot(s)
		}
	}
	n.sendAfterSync(Message{Kind: AppendReply, To: m.From, Index: n.commit})
}

// installSnapshot replaces the log and the state machine by a snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.log = memlog{base: s.Index, baseTerm: s.Term}
	n.configs = []config{{s.Index, s.Members}}
	n.snapshot = s
	n.commit, n.applied = s.Index, s.Index
	n.bytesSinceSnapshot, n.snapshotRequested = 0, false
	n.step.firstChanged, n.step.snapshotChanged = 0, true
	n.step.effects.Committed = nil
	n.step.effects.Restore = option.Some(s)
	n.resolveUndetermined(s.Index)
}
