package daemon

import (
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// stepWitness feeds one event to the witness and carries out its effects.
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
			c.dirty = true
		case witness.Fresh:
			c.dirty = true
		case witness.Activated:
			c.log.Info("stands as a witness", "index", c.witness.Applied())
		case witness.ReadWanted:
			c.wantRead(now)
		case witness.NoopWanted:
			c.send.read()
		case witness.Superseded:
			c.log.Info("superseded by a later process of the same name", "incarnation", uint64(e.By))
			c.supersede()
		}
	}
}

func (c *control) replyWitness(r witness.Reply) {
	ch := c.replies[r.Token]
	delete(c.replies, r.Token)
	if ch == nil {
		return
	}
	if r.WithSnapshot {
		data, err := encodeState(c.state)
		if err != nil {
			c.log.Error(err, "snapshot for a witness")
			return
		}
		r.Response.Snapshot = witness.Snapshot{Index: c.witness.Applied(), Term: c.term, Data: data}
	}
	ch <- r.Response
}

// apply carries out committed entries in order.
func (c *control) apply(now time.Time, entries []entry.Entry) {
	for _, e := range entries {
		if !c.applyOne(now, e) {
			return
		}
	}
	c.applied(now, entries[len(entries)-1].Index)
}

// applyOne returns false if the entry can't be read; the daemon then ends
// without having said that it applied it.
func (c *control) applyOne(now time.Time, e entry.Entry) bool {
	var cmd state.Command
	if e.Kind == entry.Command {
		var err error
		if cmd, err = peer.DecodeCommand(e.Data); err != nil {
			// A later version's command: applying nothing would let states
			// drift apart, so the daemon stops taking part.
			c.log.Error(err, "committed command can't be read", "index", e.Index)
			c.supersede()
			return false
		}
	}
	c.term = e.Term
	o := c.state.Apply(e.Index, cmd)
	c.placing.history.Observe(now, c.state.View().Placer())
	c.proposals.applied(e.Index, o)
	c.noteQuarantine(now, cmd)
	c.noteOwner(cmd)
	return true
}

// noteOwner has the routing tables made anew after an ownership has changed.
func (c *control) noteOwner(cmd state.Command) {
	switch cmd.(type) {
	case state.Assign, state.Revoke, state.Yield, state.Release:
		c.membersDirty = true
	}
}

func (c *control) install(now time.Time, s witness.Snapshot) {
	st, err := decodeState(s.Data)
	if err != nil {
		c.log.Error(err, "snapshot can't be read", "index", s.Index)
		c.supersede()
		return
	}
	c.state, c.term = st, s.Term
	c.placing.history.Observe(now, st.View().Placer())
	c.membersDirty = true
	c.restoreQuarantine(now)
	c.applied(now, s.Index)
}

func (c *control) applied(now time.Time, index uint64) {
	c.dirty = true
	v := c.state.View()
	set, _ := v.Witnesses()
	former, changed := v.WitnessChange()
	c.stepWitness(now, witness.Applied{Index: index, Witnesses: witness.NewWitnesses(former, set, changed)})
}

// wantRead asks for an index that covers everything committed so far: from
// the own consensus node if it leads, or else through whichever voter does.
func (c *control) wantRead(now time.Time) {
	if !c.leading() {
		c.send.read()
		return
	}
	if c.voter.readAsked {
		return
	}
	c.voter.readAsked = true
	c.proposals.last++
	c.stepVoter(now, consensus.ReadIndex(c.proposals.last))
}

// encodeState returns the snapshot of a state.
func encodeState(s *state.State) ([]byte, error) { return peer.EncodeSnapshot(s.View().Export()) }

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
