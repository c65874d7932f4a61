package daemon

import (
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/upstream"
)

// claimRetryInterval is how often an unanswered claim is sent again.
const claimRetryInterval = 500 * time.Millisecond

// owned is a replica that this daemon owns.
type owned struct {
	fence ident.Fence
	inc   ident.Incarnation
	// settledAt is when every write of a former owner has arrived or been lost.
	// In reports made earlier, an adapter without requests in flight need not
	// be idle.
	settledAt time.Time
	// nextClaimAt is when the claim is sent again if it is still unanswered.
	nextClaimAt time.Time
}

// anchor relates an engine's clock to this daemon's: the engine's clock showed
// the time engine when this daemon's clock showed local or later.
type anchor struct {
	inc    ident.Incarnation
	local  time.Time
	engine time.Time
}

// anchor records the engine's clock from the answer to an order sent at local.
func (c *control) anchor(name ident.Upstream, inc ident.Incarnation, local, engine time.Time) {
	c.clockAnchors[name] = anchor{inc: inc, local: local, engine: engine}
}

// stepOwnership feeds the current state to the holder of this daemon's write guards
// and, on the leader, to the owner assigner.
func (c *control) stepOwnership(now time.Time) {
	cmds, opened := c.holder.Step(now, c.view)
	for _, cmd := range cmds {
		c.async.commit(cmd)
	}
	for _, g := range opened {
		c.replicaAcquired(now, g.Ownership())
	}
	for name := range c.owned {
		if c.holder.WriteGuard(name) == nil {
			c.replicaReleased(now, name)
		}
	}
	if c.ownerAssigner == nil || !c.leading() {
		return
	}
	for _, cmd := range c.ownerAssigner.Step(now, c.view, c.witness.Visible(), c.clusterView(now)) {
		c.async.commit(cmd)
	}
}

// clusterView returns the daemons and engines for the owner assigner.
func (c *control) clusterView(now time.Time) ownership.Cluster {
	var out ownership.Cluster
	for _, d := range c.members.Daemons() {
		stale := d.Draining || d.Name == c.self && !now.Before(c.witness.FreshUntil())
		out.Daemons = append(out.Daemons, ownership.Daemon{
			Name: d.Name, Incarnation: d.Version.Incarnation, DataCentre: d.DataCentre,
			Suspect: c.members.Unreachable(d.Name), Stale: stale,
		})
	}
	for _, u := range c.upstreams() {
		if u.Kind == membership.Engine {
			out.Upstreams = append(out.Upstreams, ownership.Upstream{
				Name: u.Name, Incarnation: u.Version.Incarnation, DataCentre: u.DataCentre, Leaving: u.Leaving,
			})
		}
	}
	return out
}

// replicaAcquired begins the ownership of a replica.
func (c *control) replicaAcquired(now time.Time, o state.Ownership) {
	u, ok := c.members.Upstream(o.Upstream)
	if !ok {
		return
	}
	c.log.Info("owns a replica", "upstream", o.Upstream, "fence", uint64(o.Fence))
	own := &owned{fence: o.Fence, inc: u.Version.Incarnation, settledAt: now.Add(ownership.DeliveryBound)}
	c.owned[o.Upstream] = own
	delete(c.clockAnchors, o.Upstream)
	c.stepDispatch(now, dispatch.Acquired{
		Upstream: u.Name, Incarnation: own.inc, Model: u.Model, DataCentre: u.DataCentre,
		Slots: int(u.Slots), MaxBatch: int(u.MaxBatch), Fence: o.Fence, InheritedUntil: formerOwnerDeadline(now),
	})
	c.claim(now, o.Upstream, own)
	c.viewDirty = true
}

// formerOwnerDeadline returns the latest time at which a request of a former
// owner can still run, assuming the longest possible target since the target of
// its class may have changed.
func formerOwnerDeadline(now time.Time) time.Time {
	longest := state.Milliseconds(state.MaxTarget).Deadline(now)
	return hardDeadlineOf(now, longest).Add(ownership.DeliveryBound)
}

// claim sends a claim once the next view is published, and schedules the retry.
func (c *control) claim(now time.Time, name ident.Upstream, own *owned) {
	own.nextClaimAt = now.Add(claimRetryInterval)
	// The claim needs the write guard, which is in the view only once the next view is
	// published.
	c.viewDirty = true
	c.afterPublish = append(c.afterPublish, func() { c.async.claim(name, own.inc, own.fence) })
}

// replicaReleased ends the ownership of a replica.
func (c *control) replicaReleased(now time.Time, name ident.Upstream) {
	c.log.Info("owns a replica no more", "upstream", name)
	delete(c.owned, name)
	delete(c.clockAnchors, name)
	c.viewDirty = true
	c.stepDispatch(now, dispatch.Released{Upstream: name})
	c.membersDirty = true
}

// ownedReplicaChanged passes the announcement of an owned engine to the
// dispatcher.
func (c *control) ownedReplicaChanged(now time.Time, u membership.Upstream) {
	own := c.owned[u.Name]
	if own == nil {
		if g := c.holder.WriteGuard(u.Name); g != nil {
			c.replicaAcquired(now, g.Ownership())
		}
		return
	}
	if u.Version.Incarnation != own.inc {
		c.log.Info("upstream restarted", "upstream", u.Name)
		own.inc, own.settledAt = u.Version.Incarnation, now
		delete(c.clockAnchors, u.Name)
		c.stepDispatch(now, dispatch.Restarted{Upstream: u.Name, Incarnation: own.inc})
		c.claim(now, u.Name, own)
	}
	if u.Leaving {
		c.stepDispatch(now, dispatch.Draining{Upstream: u.Name})
	}
}

// retryClaims sends claims again that were not answered.
func (c *control) retryClaims(now time.Time) {
	for name, own := range c.owned {
		if _, ok := c.clockAnchors[name]; !ok && !now.Before(own.nextClaimAt) {
			c.claim(now, name, own)
		}
	}
}

// applyReport passes an owned engine's report to the dispatcher. The clock
// anchor converts the time of the report to this daemon's clock.
func (c *control) applyReport(now time.Time, r upstream.Report) {
	own, a := c.owned[r.Name], c.clockAnchors[r.Name]
	if own == nil || own.inc != r.Incarnation || a.inc != r.Incarnation {
		return
	}
	rep := dispatch.ReplicaReport{
		Upstream: r.Name, Incarnation: r.Incarnation, InFlight: r.Running + r.Waiting,
		MadeAt: a.local.Add(r.MadeAt.Sub(a.engine)),
	}
	for _, res := range r.Residents {
		rep.Residents = append(rep.Residents, res.Adapter)
		if res.InFlight == 0 && !rep.MadeAt.Before(own.settledAt) {
			rep.Idle = append(rep.Idle, res.Adapter)
		}
	}
	c.stepDispatch(now, rep)
}

// ensureWitnesses lets the leader add daemons to the witnesses, one at a time,
// until the set is full. On a platform nothing depends on freshness, so daemons
// without a disk are not added, which saves them the polls of all other
// daemons.
func (c *control) ensureWitnesses(now time.Time) {
	if !c.leading() || !c.witness.Settled() || now.Before(c.nextWitnessAt) {
		return
	}
	set, version := c.view.Witnesses()
	if len(set) == 0 {
		c.nextWitnessAt = now.Add(witnessInterval)
		c.formWitnesses()
		return
	}
	if len(set) >= state.MaxWitnesses {
		return
	}
	for _, d := range c.members.Daemons() {
		if c.view.IsWitness(d.Name) || c.members.Unreachable(d.Name) || d.Draining || c.platform != nil && d.Disk == "" {
			continue
		}
		c.nextWitnessAt = now.Add(witnessInterval)
		c.async.commit(state.Change{
			ID: ident.Change("witness-" + string(d.Name) + "-" + formatUint(version)), Author: "leader",
			ProposedAt: now.Round(0), Expected: version, Edit: state.AddWitness{Name: d.Name},
		})
		return
	}
}

// formWitnesses makes the voters the first witnesses, all at once, since all of
// them were up when the cluster was founded.
func (c *control) formWitnesses() {
	var names []ident.Daemon
	for _, v := range c.voter.node.Members().Voters() {
		names = append(names, v.Daemon)
	}
	c.async.commit(state.FormWitnesses{Names: names})
}

// witnessInterval is the minimum time between additions to the witnesses.
const witnessInterval = 200 * time.Millisecond

// hardDeadlineOf returns when a request with that deadline is aborted.
func hardDeadlineOf(arrived, deadline time.Time) time.Time {
	return deadline.Add(max(deadline.Sub(arrived), minOverrun))
}
