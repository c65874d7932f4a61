package daemon

import (
	"context"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// leaderRetryInterval separates tries to find a leader.
const leaderRetryInterval = 60 * time.Millisecond

// proposer commits commands through whichever daemon leads. It is safe for
// concurrent use.
type proposer struct {
	// local proposes on this daemon's control loop.
	local func(ctx context.Context, cmd state.Command, data []byte) proposalResult
	// remote proposes through another daemon.
	remote func(ctx context.Context, to ident.Daemon, data []byte) proposalResult
	// leader returns the last known leader, or empty.
	leader func() ident.Daemon
	// candidates returns the daemons that may lead or know who does.
	candidates func() []ident.Daemon
	self       ident.Daemon
}

// propose commits a command and returns its outcome. It goes on while no
// daemon leads, until the context ends. Commands are idempotent, each by an id
// of its own, so one whose answer was lost is proposed again.
//
// An error with code [result.NoLeader] means that the command provably does
// not take effect later; [result.Unknown] that it may.
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

func proposeError(lost bool) error {
	if lost {
		return result.New(result.Unknown, "the proposal was sent, its answer was lost")
	}
	return result.New(result.NoLeader, "no leader found in time")
}

func (p *proposer) try(ctx context.Context, to ident.Daemon, cmd state.Command, data []byte) proposalResult {
	if to == p.self {
		return p.local(ctx, cmd, data)
	}
	return p.remote(ctx, to, data)
}

// target is the hinted leader first, then each candidate in turn.
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

// sleep waits; it returns false if the context ends first.
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
