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

// tick tells every part the time.
func (c *control) tick(now time.Time) {
	c.stepVoter(now, consensus.Tick())
	c.stepWitness(now, witness.Tick{})
	c.stepMembers(now, membership.Tick{})
	c.stepDispatch(now, dispatch.Tick{})
	c.tickPermits(now)
	c.view = c.state.View()
	if c.membersDirty {
		c.membersChanged(now)
	}
	c.tickPlatform(now)
	c.tickOpen(now)
	c.stepOwnership(now)
	c.tickOwned(now)
	c.ensureWitnesses(now)
	c.keepLedger(now)
	c.proposals.expire(now)
	if !now.Before(c.gaugeAt) {
		c.gaugeAt = now.Add(gaugeInterval)
		c.gauge(c, now)
	}
	if c.announcedAt.Before(now.Add(-announceInterval)) {
		c.announcedAt = now
		c.announce(now)
	}
}

// gaugeInterval is how often the gauges are brought up to date.
const gaugeInterval = time.Second

// announceInterval is how often the directory learns of owned replicas.
const announceInterval = 100 * time.Millisecond

// keepLedger lets the leader tidy the ledger.
func (c *control) keepLedger(now time.Time) {
	if c.keeper == nil || !c.leading() {
		return
	}
	for _, cmd := range c.keeper.Step(now, now.Round(0), c.view, c.runs()) {
		c.orders.commit(cmd)
	}
}

// runs returns the runs of daemons that are in the cluster and not suspected.
func (c *control) runs() []state.AttemptOwner {
	var out []state.AttemptOwner
	for _, m := range c.members.Daemons() {
		if !c.members.Unreachable(m.Name) {
			out = append(out, state.AttemptOwner{Owner: m.Name, Incarnation: m.Version.Incarnation})
		}
	}
	return out
}

// roleChanged begins or ends what only the leader does.
func (c *control) roleChanged(now time.Time, r consensus.RoleChange) {
	leads := r.Role == consensus.Leader
	c.log.Info("role changed", "role", r.Role.String(), "term", r.Term, "leader", r.Leader.Daemon)
	c.leader = r.Leader.Daemon
	c.dirty = true
	c.assigner, c.keeper = nil, nil
	if leads {
		c.assigner, c.keeper = ownership.New(), ledger.NewSweeper()
	}
	c.resetHolder(now, leads, r.Term)
	c.stepWitness(now, witness.Leading{On: leads})
}

// ownersFor returns the owners to connect to for an adapter.
func (c *control) ownersFor(m ident.Model, a ident.Adapter) []ident.Daemon {
	return c.directory.Addresses(routing.Query{Model: m, Adapter: a, DataCentre: c.dataCentre}, maxAddresses)
}

// beginDrain makes others avoid this daemon; its replicas move once the
// leader sees the record.
func (c *control) beginDrain(now, until time.Time) {
	c.draining = true
	c.stepMembers(now, membership.Drain{ReachableUntil: until})
	c.stepVoter(now, consensus.TransferLeadership())
	c.dirty = true
}

// publish swaps the view that traffic goroutines read.
func (d *Daemon) publish(c *control) {
	c.view = c.state.View()
	v := &view{
		state: c.view, freshUntil: c.witness.FreshUntil(), visible: c.witness.Visible(), leader: c.leader,
		gates: c.holder.WriteGuards(), draining: c.draining,
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

// leaderCandidates returns the daemons with disks.
func (d *Daemon) leaderCandidates() []ident.Daemon {
	v := d.view.Load()
	var out []ident.Daemon
	for _, name := range sortedKeys(v.daemons) {
		if v.daemons[name].disk {
			out = append(out, name)
		}
	}
	return out
}

// readIndex makes a linearizable read by committing a command that changes
// nothing; a daemon without a disk has no other way.
func (d *Daemon) readIndex() {
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
		defer cancel()
		a, err := d.proposer.propose(ctx, state.Batch{})
		if err == nil && a.code == result.OK {
			d.ctl.post(func(now time.Time) { d.ctl.stepWitness(now, witness.LinearizableRead{Index: a.index}) })
		}
	}()
}

// probe tries whether a daemon answers over a new connection. A connection
// alone proves nothing: the kernel of a frozen process still accepts them.
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
