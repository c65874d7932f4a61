package daemon

import (
	"context"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// leaderRetryInterval is the pause between attempts to find a leader.
const leaderRetryInterval = 60 * time.Millisecond

// proposer commits commands through the current leader. It is safe for
// concurrent use.
type proposer struct {
	// local proposes on this daemon's control loop.
	local func(ctx context.Context, cmd state.Command, data []byte) proposalResult
	// remote proposes through another daemon.
	remote func(ctx context.Context, to ident.Daemon, data []byte) proposalResult
	// leader returns the last known leader, or the empty name.
	leader func() ident.Daemon
	// candidates returns the daemons that may lead or know the leader.
	candidates func() []ident.Daemon
	self       ident.Daemon
}

// propose commits a command and returns its result. It retries until the
// context ends while there is no leader or an answer was lost. Retrying is safe
// because commands are idempotent, each by an id of its own.
//
// An error with code [result.NoLeader] guarantees that the command will not
// take effect later; after [result.Unknown] it may.
func (p *proposer) propose(ctx context.Context, cmd state.Command) (proposalResult, error) {
	data, err := peer.EncodeCommand(cmd)
	if err != nil {
		return proposalResult{}, err
	}
	lost, hint := false, p.leader()
	for try := 0; ; try++ {
		a := p.try(ctx, p.target(hint, try), cmd, data)
		switch a.code {
		case result.OK, result.Pending:
			return a, nil
		case result.NoLeader:
			hint = a.leader
		default:
			lost, hint = true, ""
		}
		if !sleep(ctx, leaderRetryInterval) {
			return a, proposeError(lost)
		}
	}
}

// proposeError returns the error of a proposal that was given up. lost is true
// if it was sent at least once without an answer.
func proposeError(lost bool) error {
	if lost {
		return result.New(result.Unknown, "the proposal was sent, but the answer was lost")
	}
	return result.New(result.NoLeader, "no leader found in time")
}

// try makes one proposal through one daemon.
func (p *proposer) try(ctx context.Context, to ident.Daemon, cmd state.Command, data []byte) proposalResult {
	if to == p.self {
		return p.local(ctx, cmd, data)
	}
	return p.remote(ctx, to, data)
}

// target returns the hinted leader if there is one, or else each candidate in
// turn.
func (p *proposer) target(hint ident.Daemon, try int) ident.Daemon {
	all := p.candidates()
	if hint != "" || len(all) == 0 {
		if hint == "" {
			return p.self
		}
		return hint
	}
	return all[try%len(all)]
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
