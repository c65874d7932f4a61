package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// handleReadIndex serves a linearizable read if this daemon leads. It returns
// the index up to which the reader must apply the log.
func (d *Daemon) handleReadIndex(ctx context.Context, from ident.Daemon) (uint64, bool) {
	reply := make(chan consensus.ReadOutcome, 1)
	d.ctl.postLog(func(now time.Time) {
		if !d.ctl.leading() {
			reply <- consensus.ReadOutcome{}
			return
		}
		if a, p := d.ctl.placementState.assigner, d.ctl.view.Placer(); a != nil && p.Daemon == from {
			a.Read(now, p)
		}
		d.ctl.proposals.last++
		d.ctl.pendingReads[d.ctl.proposals.last] = reply
		d.ctl.stepVoter(now, consensus.ReadIndex(d.ctl.proposals.last))
	})
	select {
	case r := <-reply:
		return r.Index, r.OK
	case <-ctx.Done():
		return 0, false
	}
}

// catchUp performs a linearizable read through the leader and waits until this
// daemon has applied the log up to the index that it returns.
func (d *Daemon) catchUp(ctx context.Context) (uint64, error) {
	index, ok := d.readIndexFromLeader(ctx)
	if !ok {
		return 0, result.New(result.NotFresh, "no leader has confirmed the read").WithRetryAfter(d.clock().Add(time.Second))
	}
	for d.view.Load().state.Index() < index {
		if !sleep(ctx, catchUpPoll) {
			return 0, result.New(result.NotFresh, "index %d is not applied yet", index).WithRetryAfter(d.clock().Add(time.Second))
		}
	}
	return index, nil
}

// catchUpPoll is how often a reader checks how far the log has been applied.
const catchUpPoll = 10 * time.Millisecond

// readIndexFromLeader returns the read index of the leader. It asks the last
// known leader first and then the other daemons that may lead.
func (d *Daemon) readIndexFromLeader(ctx context.Context) (uint64, bool) {
	v := d.view.Load()
	if v.leader == d.self {
		return d.handleReadIndex(ctx, d.self)
	}
	names := d.leaderCandidates()
	if v.leader != "" {
		names = append([]ident.Daemon{v.leader}, names...)
	}
	for _, name := range names {
		addr, ok := d.peerAddress(name)
		if !ok || name == d.self || v.daemons[name].suspected {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, readIndexTimeout)
		index, ok, err := d.peers.client.ReadIndex(callCtx, addr, d.self)
		cancel()
		if err == nil && ok {
			d.ctl.postLog(func(time.Time) { d.ctl.leader = name })
			return index, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, false
}

// readIndexTimeout limits a read through one daemon.
const readIndexTimeout = 250 * time.Millisecond

// catchUpAsync runs catchUp and then f on the control loop.
func (d *Daemon) catchUpAsync(f func(ok bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
		defer cancel()
		_, err := d.catchUp(ctx)
		d.ctl.postLog(func(time.Time) { f(err == nil) })
	}()
}
