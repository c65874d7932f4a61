package consensus

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/result"
)

const (
	// snapshotEntries and snapshotBytes are the number of entries and the
	// amount of data committed after a snapshot at which the next one is
	// requested.
	snapshotEntries = 1024
	snapshotBytes   = 8 << 20
	// trailingEntries is the number of entries kept in memory below a snapshot,
	// so that a slow member need not be sent the whole state.
	trailingEntries = 512
	// transferTimeout is the maximum time for which a leader refuses proposals
	// during a leadership transfer.
	transferTimeout = time.Second
)

// pending is a proposal whose entry is in the log but not yet committed.
type pending struct {
	number, index, term uint64
}

// pendingRead is a read that waits until a majority has replied to a heartbeat
// round.
type pendingRead struct {
	number uint64
	// index is 0 until the leader has committed an entry of its own term.
	index, round uint64
}

func (n *Node) onPropose(now time.Time, ev Event) {
	if err := n.proposalError(); err != nil {
		n.rejectProposal(ev.number, err)
		return
	}
	n.propose(now, ev.number, entry.Command, ev.data)
}

func (n *Node) onChange(now time.Time, ev Event) {
	if err := n.proposalError(); err != nil {
		n.rejectProposal(ev.number, err)
		return
	}
	m, err := n.membersAfter(ev.change)
	if err != nil {
		n.rejectProposal(ev.number, err)
		return
	}
	n.propose(now, ev.number, entry.Voters, EncodeMembers(m))
}

// membersAfter returns the members after a change. Only one change may be in
// progress, and none may start before an entry of the leader's own term is
// committed: until then the leader cannot know whether a change by an earlier
// leader is still uncommitted.
func (n *Node) membersAfter(c Change) (Members, error) {
	if n.configs[len(n.configs)-1].index > n.commit || n.commit < n.termStart {
		return Members{}, result.New(result.ChangeRefused, "another membership change is in progress")
	}
	return n.members().With(c)
}

func (n *Node) proposalError() error {
	if n.role != Leader {
		return result.New(result.NoLeader, "this daemon is not the leader")
	}
	if !n.transferee.IsZero() {
		return result.New(result.NoLeader, "leadership is being transferred")
	}
	return nil
}

func (n *Node) rejectProposal(number uint64, err error) {
	leader := n.leader
	if !n.transferee.IsZero() {
		leader = n.transferee
	}
	n.addOutcome(Outcome{Number: number, Status: Refused, Leader: leader, Err: err})
}

func (n *Node) propose(now time.Time, number uint64, kind entry.Kind, data []byte) {
	// Proposals that this node made as leader of an earlier term may still be
	// pending at this index.
	i := n.appendEntry(now, kind, data)
	at, _ := slices.BinarySearchFunc(n.pending, i+1, func(p pending, i uint64) int {
		return int(int64(p.index - i))
	})
	n.pending = slices.Insert(n.pending, at, pending{number, i, n.hardState.Term})
}

// resolveProposals answers the proposals up to the index of a committed entry.
func (n *Node) resolveProposals(e entry.Entry) {
	for len(n.pending) > 0 && n.pending[0].index <= e.Index {
		p := n.pending[0]
		n.pending = n.pending[1:]
		o := Outcome{Number: p.number, Status: Overwritten, Leader: n.leader}
		if p.index == e.Index && p.term == e.Term {
			o.Status, o.Index = Committed, e.Index
		}
		n.addOutcome(o)
	}
}

// resolveUndetermined answers the proposals that a snapshot covers.
func (n *Node) resolveUndetermined(i uint64) {
	for len(n.pending) > 0 && n.pending[0].index <= i {
		n.addOutcome(Outcome{Number: n.pending[0].number, Status: Undetermined, Leader: n.leader})
		n.pending = n.pending[1:]
	}
}

func (n *Node) addOutcome(o Outcome) {
	n.step.effects.Outcomes = append(n.step.effects.Outcomes, o)
}

func (n *Node) onRead(now time.Time, ev Event) {
	if n.role != Leader {
		n.step.effects.Reads = append(n.step.effects.Reads, ReadOutcome{Number: ev.number, Leader: n.leader})
		return
	}
	n.reads = append(n.reads, pendingRead{number: ev.number})
	n.startReads()
	n.broadcastHeartbeat(now)
	n.finishReads()
}

// startReads assigns an index and a heartbeat round to the reads that waited
// for the leader's first committed entry.
func (n *Node) startReads() {
	if n.role != Leader || n.commit < n.termStart {
		return
	}
	started := false
	for i := range n.reads {
		if r := &n.reads[i]; r.index == 0 {
			r.index, r.round, started = n.commit, n.round+1, true
		}
	}
	if started {
		n.round++
		n.step.broadcast = true
		n.finishReads()
	}
}

// finishReads answers the reads whose round a majority has replied to: no later
// leader can have committed anything before that round began.
func (n *Node) finishReads() {
	confirmed := n.majorityValue(n.round, func(p *progress) uint64 { return p.round })
	for len(n.reads) > 0 && n.reads[0].index > 0 && n.reads[0].round <= confirmed {
		r := n.reads[0]
		n.reads = n.reads[1:]
		o := ReadOutcome{Number: r.number, OK: true, Index: r.index, Leader: n.leader}
		n.step.effects.Reads = append(n.step.effects.Reads, o)
	}
}

func (n *Node) failReads() {
	for _, r := range n.reads {
		n.step.effects.Reads = append(n.step.effects.Reads, ReadOutcome{Number: r.number})
	}
	n.reads = nil
}

func (n *Node) requestSnapshot() {
	due := n.applied-n.snapshot.Index >= snapshotEntries || n.bytesSinceSnapshot >= snapshotBytes
	if due && !n.snapshotRequested {
		n.snapshotRequested = true
		n.step.effects.NeedSnapshot = true
	}
}

func (n *Node) onCompact(_ time.Time, ev Event) {
	// If the caller is ahead of the node, the snapshot is requested again at
	// the next commit.
	n.snapshotRequested = false
	i := ev.number
	if i <= n.snapshot.Index || i > n.applied {
		return
	}
	term, _ := n.log.term(i)
	n.snapshot = Snapshot{Index: i, Term: term, Members: n.membersAt(i), Data: ev.data}
	n.bytesSinceSnapshot = 0
	n.step.snapshotChanged = true
	if i > trailingEntries {
		n.log.compact(i - trailingEntries)
	}
	for len(n.configs) > 1 && n.configs[1].index <= i {
		n.configs = n.configs[1:]
	}
}

func (n *Node) membersAt(i uint64) Members {
	for _, c := range slices.Backward(n.configs) {
		if c.index <= i {
			return c.members
		}
	}
	return n.configs[0].members
}

func (n *Node) onTransfer(now time.Time, _ Event) {
	if n.role != Leader || !n.transferee.IsZero() {
		return
	}
	var best Voter
	for _, v := range n.peers() {
		if !n.members().IsVoter(v) || !n.reachable(now, v) {
			continue
		}
		if best.IsZero() || n.progress[v].match > n.progress[best].match {
			best = v
		}
	}
	if best.IsZero() {
		return
	}
	n.transferee = best
	n.transferUntil = now.Add(transferTimeout)
	n.completeTransfer(best)
}

// completeTransfer tells the transferee to start an election once it has the
// whole log.
func (n *Node) completeTransfer(v Voter) {
	if n.role == Leader && v == n.transferee && n.progress[v].match == n.log.last() {
		n.sendNow(Message{Kind: TimeoutNow, To: v})
	}
}
