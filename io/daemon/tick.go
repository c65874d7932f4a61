package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// tick tells every part the time.
func (c *control) tick(now time.Time) {
	c.stepVoter(now, consensus.Tick())
	c.stepWitness(now, witness.Tick{})
	c.stepMembers(now, membership.Tick{})
	c.stepDispatch(now, dispatch.Tick{})
	c.tickPermits(now)
	c.view = c.state.View()
	c.stepOwnership(now)
	c.tickOwned(now)
	c.ensureWitnesses(now)
	c.expireLedger(now)
	c.orphanLost(now)
	c.proposals.expire(now)
	if c.announcedAt.Before(now.Add(-announceInterval)) {
		c.announcedAt = now
		c.announce(now)
	}
}

const (
	// announceInterval is how often the directory learns of owned replicas.
	announceInterval = 100 * time.Millisecond
	// expireInterval is how often the leader lets the ledger forget.
	expireInterval = 10 * time.Second
	// clockBound is how far the wall clocks of daemons may differ.
	clockBound = 5 * time.Second
)

// expireLedger lets the leader forget what has ended.
func (c *control) expireLedger(now time.Time) {
	if !c.leading() || now.Before(c.expireAt) {
		return
	}
	c.expireAt = now.Add(expireInterval)
	c.orders.commit(state.Expire{Until: now.Round(0).Add(-clockBound)})
}

// orphanLost lets the leader mark the attempts of daemons that have ended as
// unknown. A run that membership has forgotten, or that a later run of the
// same name has replaced, has ended.
func (c *control) orphanLost(now time.Time) {
	if !c.leading() || now.Before(c.orphanAt) {
		return
	}
	c.orphanAt = now.Add(orphanInterval)
	for _, r := range c.view.Runners() {
		m, ok := c.members.Daemon(r.Owner)
		if ok && m.Version.Incarnation > r.Incarnation {
			c.orders.commit(state.Orphan(r))
		}
	}
}

// orphanInterval is how often the leader looks for ended attempts.
const orphanInterval = time.Second

// roleChanged begins or ends what only the leader does.
func (c *control) roleChanged(now time.Time, r consensus.RoleChange) {
	leads := r.Role == consensus.Leader
	c.log.Info("role changed", "role", r.Role.String(), "term", r.Term, "leader", r.Leader.Daemon)
	c.leader = r.Leader.Daemon
	c.dirty = true
	c.assigner = nil
	if leads {
		c.assigner = ownership.New()
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
	c.stepVoter(now, consensus.Transfer())
	c.dirty = true
}

// publish swaps the view that traffic goroutines read.
func (d *Daemon) publish(c *control) {
	c.view = c.state.View()
	v := &view{
		state: c.view, freshUntil: c.witness.FreshUntil(), visible: c.witness.Visible(), leader: c.leader,
		gates: c.holder.Gates(), draining: c.draining,
		daemons:   make(map[ident.Daemon]daemonInfo),
		upstreams: make(map[ident.Upstream]upstreamInfo),
	}
	for _, m := range c.members.Daemons() {
		v.daemons[m.Name] = daemonInfo{
			caller: m.Caller, peer: m.Peer, dataCentre: m.DataCentre, draining: m.Draining,
			suspected: c.members.Unreachable(m.Name), disk: m.Disk != "",
		}
	}
	for _, u := range c.members.Upstreams() {
		v.upstreams[u.Name] = upstreamInfo{
			incarnation: u.Version.Incarnation, model: u.Model, service: u.Service, address: u.Address,
			dataCentre: u.DataCentre, honours: u.HonoursFence, resumes: u.Resumes, leaving: u.Leaving,
			idempotent: u.IdempotentPaths,
		}
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

// probe tries whether a daemon answers over a new connection.
func (d *Daemon) probe(name ident.Daemon, addr string) {
	go func() {
		ok := d.dials(addr)
		d.ctl.post(func(now time.Time) { d.ctl.stepMembers(now, membership.ProbeResult{Daemon: name, OK: ok}) })
	}()
}
