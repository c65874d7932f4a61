package daemon

import (
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// voter is the part of a daemon that participates in consensus.
type voter struct {
	node *consensus.Node
	// persist queues a batch for the disk writer. It does not block.
	persist func(p consensus.WriteBatch)
	// readPending is true while a linearizable read for the witness is open.
	readPending bool
}

// stepVoter feeds one event to the consensus node and executes its effects.
// Outcomes are handled before committed entries, so that an entry's index is
// already matched to its proposal when the entry is applied.
func (c *control) stepVoter(now time.Time, ev consensus.Event) {
	if c.voter == nil {
		return
	}
	eff := c.voter.node.Step(now, ev)
	if p, ok := eff.Persist.Get(); ok {
		c.voter.persist(p)
	}
	for _, m := range eff.Send {
		c.send.consensus(m)
	}
	if s, ok := eff.Restore.Get(); ok {
		c.stepWitness(now, witness.CommittedSnapshot{Snapshot: witness.Snapshot{Index: s.Index, Term: s.Term, Data: s.Data}})
	}
	for _, o := range eff.Outcomes {
		c.proposalDone(o)
	}
	if len(eff.Committed) > 0 {
		c.stepWitness(now, witness.Committed{Entries: eff.Committed})
	}
	for _, r := range eff.Reads {
		c.readDone(now, r)
	}
	if r, ok := eff.Role.Get(); ok {
		c.roleChanged(now, r)
	}
	if eff.NeedSnapshot {
		c.compact(now)
	}
}

// proposalDone handles consensus's decision on a proposal.
func (c *control) proposalDone(o consensus.Outcome) {
	switch o.Status {
	case consensus.Committed:
		c.proposals.committed(o.Number, o.Index)
	case consensus.Refused, consensus.Overwritten:
		c.proposals.fail(o.Number, proposalResult{code: result.NoLeader, leader: o.Leader.Daemon})
	default:
		c.proposals.fail(o.Number, proposalResult{code: result.Unknown})
	}
}

// readDone passes the outcome of a linearizable read to the daemon that waits
// for it, or to the witness if it was the witness's own.
func (c *control) readDone(now time.Time, r consensus.ReadOutcome) {
	if reply := c.pendingReads[r.Number]; reply != nil {
		delete(c.pendingReads, r.Number)
		reply <- r
		return
	}
	c.voter.readPending = false
	if r.OK {
		c.stepWitness(now, witness.LinearizableRead{Index: r.Index})
	}
}

// leading reports whether this daemon leads and knows all committed entries.
func (c *control) leading() bool { return c.voter != nil && c.voter.node.Established() }

// compact passes the state to the consensus node as a snapshot.
func (c *control) compact(now time.Time) {
	data, err := encodeState(c.state)
	if err != nil {
		c.log.Error(err, "snapshot")
		return
	}
	c.snapshotSize = uint64(len(data))
	c.stepVoter(now, consensus.Compact(c.witness.Applied(), data))
}

// propose proposes a command if this daemon leads.
func (c *control) propose(now time.Time, cmd state.Command, data []byte) <-chan proposalResult {
	reply := make(chan proposalResult, 1)
	if c.voter == nil || !c.mayCommit(now, cmd) {
		reply <- proposalResult{code: result.NoLeader, leader: c.leader}
		return reply
	}
	p := &proposal{reply: reply, awaitVisible: needsVisible(cmd), deadline: now.Add(proposalTimeout)}
	c.stepVoter(now, consensus.Propose(c.proposals.add(p), data))
	return reply
}
