package daemon

import (
	"context"
	"net/http"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/transport/client"
)

// tick feeds the time to every part of the control state and runs the periodic
// tasks.
func (c *control) tick(now time.Time) {
	defer c.observeTick(now)
	c.stepVoter(now, consensus.Tick())
	c.stepWitness(now, witness.Tick{})
	c.stepMembers(now, membership.Tick{})
	c.stepDispatch(now, dispatch.Tick{})
	c.tickPermits(now)
	c.view = c.state.View()
	if c.membersDirty {
		c.membersChanged(now)
	}
	c.stepPlatform(now)
	c.updateEligibleDaemons(now)
	c.stepFounding(now)
	c.stepOwnership(now)
	c.retryClaims(now)
	c.ensureWitnesses(now)
	c.maintainLedger(now)
	c.proposals.expire(now)
	if !now.Before(c.nextGaugeAt) {
		c.nextGaugeAt = now.Add(gaugeInterval)
		c.updateGauges(c, now)
	}
	if c.directoryRefreshedAt.Before(now.Add(-directoryInterval)) {
		c.directoryRefreshedAt = now
		c.refreshDirectory(now)
	}
}

// gaugeInterval is how often the gauges are updated.
const gaugeInterval = time.Second

// directoryInterval is how often the records of owned replicas are copied to
// the directory.
const directoryInterval = 100 * time.Millisecond

// maintainLedger lets the leader expire ledger entries and resolve those whose
// owner is gone.
func (c *control) maintainLedger(now time.Time) {
	if c.ledgerKeeper == nil || !c.leading() {
		return
	}
	for _, cmd := range c.ledgerKeeper.Step(now, now.Round(0), c.view, c.liveRuns()) {
		c.async.commit(cmd)
	}
}

// liveRuns returns the runs of the daemons that are known and reachable.
func (c *control) liveRuns() []state.AttemptOwner {
	var out []state.AttemptOwner
	for _, m := range c.members.Daemons() {
		if !c.members.Unreachable(m.Name) {
			out = append(out, state.AttemptOwner{Owner: m.Name, Incarnation: m.Version.Incarnation})
		}
	}
	return out
}

// roleChanged starts or stops the tasks of the leader.
func (c *control) roleChanged(now time.Time, r consensus.RoleChange) {
	leads := r.Role == consensus.Leader
	c.log.Info("role changed", "role", r.Role.String(), "term", r.Term, "leader", r.Leader.Daemon)
	c.leader = r.Leader.Daemon
	c.viewDirty = true
	c.ownerAssigner, c.ledgerKeeper = nil, nil
	if leads {
		c.ownerAssigner, c.ledgerKeeper = ownership.New(), ledger.NewSweeper()
	}
	c.resetHolder(now, leads, r.Term)
	c.stepWitness(now, witness.Leading{On: leads})
}

// ownersForAdapter returns the owners to connect to for an adapter.
func (c *control) ownersForAdapter(m ident.Model, a ident.Adapter) []ident.Daemon {
	return c.directory.Addresses(routing.Query{Model: m, Adapter: a, DataCentre: c.dataCentre}, maxAddresses)
}

// beginDrain marks this daemon as draining, so that others avoid it, and
// transfers leadership. The leader reassigns its replicas once it receives the
// record.
func (c *control) beginDrain(now, reachableUntil time.Time) {
	c.draining = true
	c.stepMembers(now, membership.Drain{ReachableUntil: reachableUntil})
	c.stepVoter(now, consensus.TransferLeadership())
	c.viewDirty = true
}

// publish replaces the view that request goroutines read, and then runs the
// functions that waited for it.
func (d *Daemon) publish(c *control) {
	c.view = c.state.View()
	c.updateTable(c.clock())
	v := &view{
		state: c.view, freshUntil: c.witness.FreshUntil(), visible: c.witness.Visible(), leader: c.leader,
		writeGuards: c.holder.WriteGuards(), draining: c.draining,
		daemons: c.daemonTable, upstreams: c.upstreamTable,
	}
	d.view.Store(v)
	for _, f := range c.afterPublish {
		f()
	}
	c.afterPublish = nil
}

// peerAddress returns the peer address of a daemon.
func (d *Daemon) peerAddress(name ident.Daemon) (string, bool) {
	i, ok := d.view.Load().daemons[name]
	return i.peer, ok
}

// leaderCandidates returns the daemons that have a disk, as only they can lead.
func (d *Daemon) leaderCandidates() []ident.Daemon {
	v := d.view.Load()
	var out []ident.Daemon
	for _, name := range sortedKeys(v.daemons) {
		if v.daemons[name].hasDisk {
			out = append(out, name)
		}
	}
	return out
}

// readByNoop performs a linearizable read by committing a command that changes
// nothing. This also works on a daemon without a disk, which has no consensus
// node to read from.
func (d *Daemon) readByNoop() {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
		defer cancel()
		a, err := d.proposer.propose(ctx, state.Batch{})
		if err == nil && a.code == result.OK {
			d.ctl.postLog(func(now time.Time) { d.ctl.stepWitness(now, witness.LinearizableRead{Index: a.index}) })
		}
	}()
}

// probe tests whether a daemon answers a request over a new connection. A
// successful connection alone is no proof, since the kernel still accepts
// connections for a frozen process.
func (d *Daemon) probe(name ident.Daemon, addr string) {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
		defer cancel()
		a, err := d.conns.Do(ctx, client.Exchange{Method: http.MethodGet, URL: "http://" + addr + "/"})
		if err == nil {
			_ = a.Body().Close()
		}
		d.ctl.post(func(now time.Time) { d.ctl.stepMembers(now, membership.ProbeResult{Daemon: name, OK: err == nil}) })
	}()
}
