package daemon

import (
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// voter is the part of a daemon that takes part in the replicated log.
type voter struct {
	node *consensus.Node
	// persist hands a batch to the disk and returns at once.
	persist func(p consensus.WriteBatch)
	// readAsked is true while a linearizable read is open.
	readAsked bool
}

// stepVoter feeds one event to the consensus node and carries out its
// effects. Outcomes come before committed entries so that whoever proposed an
// entry is known by the time that it is applied.
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
		c.outcome(o)
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

func (c *control) outcome(o consensus.Outcome) {
	switch o.Status {
	case consensus.Committed:
		c.proposals.committed(o.Number, o.Index)
	case consensus.Refused, consensus.Overwritten:
		c.proposals.fail(o.Number, answer{code: result.NoLeader, leader: o.Leader.Daemon})
	default:
		c.proposals.fail(o.Number, answer{code: result.Unknown})
	}
}

func (c *control) readDone(now time.Time, r consensus.ReadOutcome) {
	if reply := c.reads[r.Number]; reply != nil {
		delete(c.reads, r.Number)
		reply <- r
		return
	}
	c.voter.readAsked = false
	if r.OK {
		c.stepWitness(now, witness.LinearizableRead{Index: r.Index})
	}
}

// leading reports whether this daemon leads and knows everything committed.
func (c *control) leading() bool { return c.voter != nil && c.voter.node.Established() }

// compact hands the state to the consensus node as a snapshot.
func (c *control) compact(now time.Time) {
	data, err := encodeState(c.state)
	if err != nil {
		c.log.Error(err, "snapshot")
		return
	}
	c.stepVoter(now, consensus.Compact(c.witness.Applied(), data))
}

// propose commits a command if this daemon leads.
func (c *control) propose(now time.Time, cmd state.Command, data []byte) <-chan answer {
	reply := make(chan answer, 1)
	if c.voter == nil || !c.promises(cmd) {
		reply <- answer{code: result.NoLeader, leader: c.leader}
		return reply
	}
	p := &proposal{reply: reply, visible: waitsVisible(cmd), deadline: now.Add(proposalTimeout)}
	c.stepVoter(now, consensus.Propose(c.proposals.add(p), data))
	return reply
}
