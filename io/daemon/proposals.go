package daemon

import (
	"context"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// proposalTimeout is how long the leader waits for a command to be committed
// and, if the command requires it, to become visible, that is, in force on all
// daemons. A command that is only durable by then is answered as pending.
const proposalTimeout = 3 * time.Second

// proposalResult is the result of a proposal.
type proposalResult struct {
	// outcome is set if code is OK or Pending.
	outcome state.Outcome
	// index is the log index of the command, 0 if it was not committed.
	index uint64
	// code is OK, Pending, NoLeader if it is certain that the command will
	// never enter the log, or Unknown.
	code result.Code
	// leader is the daemon to ask instead if code is NoLeader. It may be empty.
	leader ident.Daemon
}

// proposal is a command that has been proposed and not yet answered.
type proposal struct {
	// reply is buffered, so that sending the one result does not block.
	reply chan proposalResult
	// awaitVisible is true if the command is answered only once it is visible.
	awaitVisible bool
	deadline     time.Time
	// index is 0 until the command is committed.
	index   uint64
	outcome state.Outcome
	// applied is true once outcome is set.
	applied bool
}

// proposals are the open proposals of a leader.
type proposals struct {
	last     uint64
	byNumber map[uint64]*proposal
	byIndex  map[uint64]*proposal
}

func newProposals() proposals {
	return proposals{byNumber: make(map[uint64]*proposal), byIndex: make(map[uint64]*proposal)}
}

// add registers a proposal and returns its number.
func (ps *proposals) add(p *proposal) uint64 {
	ps.last++
	ps.byNumber[ps.last] = p
	return ps.last
}

// committed records the index at which a proposal was committed.
func (ps *proposals) committed(number, index uint64) {
	p := ps.byNumber[number]
	if p == nil {
		return
	}
	delete(ps.byNumber, number)
	p.index = index
	ps.byIndex[index] = p
}

// fail ends a proposal that was not committed.
func (ps *proposals) fail(number uint64, a proposalResult) {
	if p := ps.byNumber[number]; p != nil {
		delete(ps.byNumber, number)
		p.reply <- a
	}
}

// applied records the outcome of the entry at index, and answers its proposal
// unless it waits to become visible.
func (ps *proposals) applied(index uint64, o state.Outcome) {
	p := ps.byIndex[index]
	if p == nil {
		return
	}
	p.outcome, p.applied = o, true
	if !p.awaitVisible {
		ps.finish(p, result.OK)
	}
}

// visible answers the applied proposals up to index.
func (ps *proposals) visible(index uint64) {
	for i, p := range ps.byIndex {
		if i <= index && p.applied {
			ps.finish(p, result.OK)
		}
	}
}

// finish answers a committed proposal.
func (ps *proposals) finish(p *proposal, code result.Code) {
	delete(ps.byIndex, p.index)
	p.reply <- proposalResult{outcome: p.outcome, index: p.index, code: code}
}

// expire answers the proposals whose deadline has passed.
func (ps *proposals) expire(now time.Time) {
	for n, p := range ps.byNumber {
		if now.After(p.deadline) {
			ps.fail(n, proposalResult{code: result.Unknown})
		}
	}
	for _, p := range ps.byIndex {
		if !now.After(p.deadline) {
			continue
		}
		code := result.Pending
		if !p.applied {
			code = result.Unknown
		}
		ps.finish(p, code)
	}
}

// needsVisible reports whether a command is answered only once it is in force
// on all daemons.
func needsVisible(cmd state.Command) bool {
	switch cmd := cmd.(type) {
	case state.Change, state.Revoke, state.Assign, state.Release, state.Begin:
		return true
	case state.Batch:
		return len(cmd.Commands) > 0
	}
	return false
}

// awaitResult returns the result of a proposal, or Unknown if the context ends.
func awaitResult(ctx context.Context, reply <-chan proposalResult) proposalResult {
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return proposalResult{code: result.Unknown}
	}
}
