package consensus

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/result"
)

const (
	// snapshotEntries and snapshotBytes are how much is committed after a
	// snapshot before the next is asked for.
	snapshotEntries = 1024
	snapshotBytes   = 8 << 20
	// trailingEntries stay in memory below a snapshot, so that a slow member
	// need not be sent the whole state.
	trailingEntries = 512
	// transferTimeout is how long a leader refuses proposals while it hands
	// over.
	transferTimeout = time.Second
)

// pending is a proposal whose entry is in the log.
type pending struct {
	number, index, term uint64
}

// read waits for a majority to answer a heartbeat round.
type read struct {
	number uint64
	// index is 0 until the leader has committed an entry of its term.
	index, round uint64
}

func (n *Node) onPropose(now time.Time, ev Event) {
	if err := n.refusal(); err != nil {
		n.refuse(ev.number, err)
		return
	}
	n.propose(now, ev.number, entry.Command, ev.data)
}

func (n *Node) onChange(now time.Time, ev Event) {
	if err := n.refusal(); err != nil {
		n.refuse(ev.number, err)
		return
	}
	m, err := n.changed(ev.change)
	if err != nil {
		n.refuse(ev.number, err)
		return
	}
	n.propose(now, ev.number, entry.Voters, EncodeMembers(m))
}

// changed returns the members after a change. Changes go one at a time, and
// only after an entry of the leader's own term is committed: only then does
// the leader know that no change of an earlier leader is still open.
func (n *Node) changed(c Change) (Members, error) {
	if n.configs[len(n.configs)-1].index > n.commit || n.commit < n.termStart {
		return Members{}, result.New(result.ChangeRefused, "another change of the voters is open")
	}
	return n.members().With(c)
}

func (n *Node) refusal() error {
	if n.role != Leader {
		return result.New(result.NoLeader, "this daemon does not lead")
	}
	if !n.transferee.IsZero() {
		return result.New(result.NoLeader, "leadership is being handed over")
	}
	return nil
}

func (n *Node) refuse(number uint64, err error) {
	leader := n.leader
	if !n.transferee.IsZero() {
		leader = n.transferee
	}
	n.outcome(Outcome{Number: number, Status: Refused, Leader: leader, Err: err})
}

func (n *Node) propose(now time.Time, number uint64, kind entry.Kind, data []byte) {
	// Proposals of an earlier term of this node may be open at this index.
	i := n.appendEntry(now, kind, data)
	at, _ := slices.BinarySearchFunc(n.pending, i+1, func(p pending, i uint64) int {
		return int(int64(p.index - i))
	})
	n.pending = slices.Insert(n.pending, at, pending{number, i, n.hard.Term})
}

// resolve answers the proposals at the index of a committed entry.
func (n *Node) resolve(e entry.Entry) {
	for len(n.pending) > 0 && n.pending[0].index <= e.Index {
		p := n.pending[0]
		n.pending = n.pending[1:]
		o := Outcome{Number: p.number, Status: Overwritten, Leader: n.leader}
		if p.index == e.Index && p.term == e.Term {
			o.Status, o.Index = Committed, e.Index
		}
		n.outcome(o)
	}
}

// resolveUpTo answers the proposals that a snapshot covers.
func (n *Node) resolveUpTo(i uint64) {
	for len(n.pending) > 0 && n.pending[0].index <= i {
		n.outcome(Outcome{Number: n.pending[0].number, Status: Undetermined, Leader: n.leader})
		n.pending = n.pending[1:]
	}
}

func (n *Node) outcome(o Outcome) {
	n.step.effects.Outcomes = append(n.step.effects.Outcomes, o)
}

func (n *Node) onRead(now time.Time, ev Event) {
	if n.role != Leader {
		n.step.effects.Reads = append(n.step.effects.Reads, ReadOutcome{Number: ev.number, Leader: n.leader})
		return
	}
	n.reads = append(n.reads, read{number: ev.number})
	n.startReads()
	n.broadcastHeartbeat(now)
	n.finishReads()
}

// startReads fixes the index of the reads that wait for the leader's first
// committed entry.
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
		n.step.announce = true
		n.finishReads()
	}
}

// finishReads answers the reads whose round a majority has answered: no later
// leader can have committed anything before the round began.
func (n *Node) finishReads() {
	confirmed := n.majorityOf(n.round, func(p *progress) uint64 { return p.round })
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

func (n *Node) askSnapshot() {
	due := n.applied-n.snapshot.Index >= snapshotEntries || n.size >= snapshotBytes
	if due && !n.asked {
		n.asked = true
		n.step.effects.NeedSnapshot = true
	}
}

func (n *Node) onCompact(_ time.Time, ev Event) {
	// If the caller is ahead of the node, it is asked again at the next commit.
	n.asked = false
	i := ev.number
	if i <= n.snapshot.Index || i > n.applied {
		return
	}
	term, _ := n.log.term(i)
	n.snapshot = Snapshot{Index: i, Term: term, Members: n.membersAt(i), Data: ev.data}
	n.size = 0
	n.step.snapshot = true
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
	for _, v := range n.others() {
		if !n.members().IsVoter(v) || !n.alive(now, v) {
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
	n.handOver(best)
}

// handOver tells the transferee to campaign once it has the whole log.
func (n *Node) handOver(v Voter) {
	if n.role == Leader && v == n.transferee && n.progress[v].match == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: v})
	}
}
