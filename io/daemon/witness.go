package daemon

import (
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// stepWitness feeds one event to the witness and executes its effects.
func (c *control) stepWitness(now time.Time, ev witness.Event) {
	for _, e := range c.witness.Step(now, ev) {
		switch e := e.(type) {
		case witness.Send:
			c.send.witness(e.To, e.Request)
		case witness.Reply:
			c.replyWitness(e)
		case witness.Apply:
			c.apply(now, e.Entries)
		case witness.Install:
			c.install(now, e.Snapshot)
		case witness.Visible:
			c.proposals.visible(e.Index)
			c.viewDirty = true
		case witness.Fresh:
			c.viewDirty = true
		case witness.Activated:
			c.log.Info("stands as a witness", "index", c.witness.Applied())
		case witness.ReadWanted:
			c.requestRead(now)
		case witness.NoopWanted:
			c.send.read()
		case witness.Superseded:
			c.log.Info("superseded by a later process of the same name", "incarnation", uint64(e.By))
			c.stop()
		}
	}
}

// replyWitness answers a witness exchange, with a snapshot of the state if the
// other daemon needs one or gets it sooner than the entries.
func (c *control) replyWitness(r witness.Reply) {
	ch := c.witnessReplies[r.Token]
	delete(c.witnessReplies, r.Token)
	if ch == nil {
		return
	}
	if r.WithSnapshot || r.Behind > c.snapshotSize {
		data, err := encodeState(c.state)
		if err != nil {
			c.log.Error(err, "snapshot for a witness")
			return
		}
		c.snapshotSize = uint64(len(data))
		if r.WithSnapshot || r.Behind > c.snapshotSize {
			r.Response.Entries = nil
			r.Response.Snapshot = witness.Snapshot{Index: c.witness.Applied(), Term: c.term, Data: data}
		}
	}
	ch <- r.Response
}

// apply applies committed entries in order.
func (c *control) apply(now time.Time, entries []entry.Entry) {
	for _, e := range entries {
		if !c.applyOne(now, e) {
			return
		}
	}
	c.applied(now, entries[len(entries)-1].Index)
}

// applyOne applies one entry. If the entry can't be decoded, it stops the
// daemon and returns false; the entry must not be reported as applied.
func (c *control) applyOne(now time.Time, e entry.Entry) bool {
	var cmd state.Command
	if e.Kind == entry.Command {
		var err error
		if cmd, err = peer.DecodeCommand(e.Data); err != nil {
			// This may be a command of a later software version. Skipping it
			// would let the replicated states diverge, so the daemon stops.
			c.log.Error(err, "committed command can't be read", "index", e.Index)
			c.stop()
			return false
		}
	}
	c.term = e.Term
	o := c.state.Apply(e.Index, cmd)
	c.placementState.history.Observe(now, c.state.View().Placer())
	c.proposals.applied(e.Index, o)
	c.applyVerdicts(now, cmd)
	c.noteRoutingChange(cmd)
	return true
}

// noteRoutingChange schedules a rebuild of the routing tables after commands that
// change the ownership of upstreams or record their departure.
func (c *control) noteRoutingChange(cmd state.Command) {
	switch cmd := cmd.(type) {
	case state.Depart:
		c.log.Info("departure in force", "upstream", cmd.Upstream, "incarnation", uint64(cmd.Incarnation), "presumed", uint64(cmd.Presumed), "unseen", uint64(cmd.Unseen))
		c.membersDirty = true
	case state.Assign, state.Revoke, state.Yield, state.Release, state.Readmit:
		c.membersDirty = true
	}
}

// install replaces the state by a snapshot.
func (c *control) install(now time.Time, s witness.Snapshot) {
	st, err := decodeState(s.Data)
	if err != nil {
		c.log.Error(err, "snapshot can't be read", "index", s.Index)
		c.stop()
		return
	}
	c.state, c.term, c.snapshotSize = st, s.Term, uint64(len(s.Data))
	c.placementState.history.Observe(now, st.View().Placer())
	c.membersDirty = true
	c.restoreVerdicts(now)
	c.applied(now, s.Index)
}

// applied reports the applied index, and the witnesses as of that index, to the
// witness.
func (c *control) applied(now time.Time, index uint64) {
	c.viewDirty = true
	v := c.state.View()
	set, _ := v.Witnesses()
	former, changed := v.WitnessChange()
	c.stepWitness(now, witness.Applied{Index: index, Witnesses: witness.NewWitnesses(former, set, changed)})
}

// requestRead requests an index that covers everything committed so far: from
// this daemon's consensus node if it leads, or otherwise through the leader.
func (c *control) requestRead(now time.Time) {
	if !c.leading() {
		c.send.read()
		return
	}
	if c.voter.readPending {
		return
	}
	c.voter.readPending = true
	c.proposals.last++
	c.stepVoter(now, consensus.ReadIndex(c.proposals.last))
}

// encodeState returns the encoded snapshot of a state.
func encodeState(s *state.State) ([]byte, error) { return peer.EncodeSnapshot(s.View().Export()) }

// decodeState restores a state from a snapshot. Empty data is the empty state.
func decodeState(data []byte) (*state.State, error) {
	if len(data) == 0 {
		return state.New(), nil
	}
	snap, err := peer.DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	return state.Import(snap)
}
