package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// indexRead serves a linearizable read, if this daemon leads.
func (d *Daemon) indexRead(ctx context.Context, from ident.Daemon) (uint64, bool) {
	reply := make(chan consensus.ReadOutcome, 1)
	d.ctl.post(func(now time.Time) {
		if !d.ctl.leading() {
			reply <- consensus.ReadOutcome{}
			return
		}
		if a, p := d.ctl.placing.assigner, d.ctl.view.Placer(); a != nil && p.Daemon == from {
			a.Read(now, p)
		}
		d.ctl.proposals.last++
		d.ctl.reads[d.ctl.proposals.last] = reply
		d.ctl.stepVoter(now, consensus.ReadIndex(d.ctl.proposals.last))
	})
	select {
	case r := <-reply:
		return r.Index, r.OK
	case <-ctx.Done():
		return 0, false
	}
}

// catchUp makes a linearizable read through the leader and waits until this
// daemon has applied what it covers.
func (d *Daemon) catchUp(ctx context.Context) (uint64, error) {
	index, ok := d.readThrough(ctx)
	if !ok {
		return 0, result.New(result.NotFresh, "no leader has confirmed a read").WithRetryAfter(d.clock().Add(time.Second))
	}
	for d.view.Load().state.Index() < index {
		if !pause(ctx, catchUpPoll) {
			return 0, result.New(result.NotFresh, "index %d is not applied yet", index).WithRetryAfter(d.clock().Add(time.Second))
		}
	}
	return index, nil
}

// catchUpPoll is how often a reader looks whether the log was applied.
const catchUpPoll = 10 * time.Millisecond

func (d *Daemon) readThrough(ctx context.Context) (uint64, bool) {
	v := d.view.Load()
	if v.leader == d.self {
		return d.indexRead(ctx, d.self)
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
		one, cancel := context.WithTimeout(ctx, readTimeout)
		index, ok, err := d.peers.client.ReadIndex(one, addr, d.self)
		cancel()
		if err == nil && ok {
			d.ctl.post(func(time.Time) { d.ctl.leader = name })
			return index, true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return 0, false
}

// readTimeout bounds a read through one daemon.
const readTimeout = 250 * time.Millisecond

func (d *Daemon) catchUpThen(f func(ok bool)) {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
		defer cancel()
		_, err := d.catchUp(ctx)
		d.ctl.post(func(time.Time) { f(err == nil) })
	}()
}
