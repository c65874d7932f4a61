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

// claimInterval is how often an unanswered claim is repeated.
const claimInterval = 500 * time.Millisecond

// owned is a replica that this daemon owns.
type owned struct {
	fence ident.Fence
	inc   ident.Incarnation
	// settledAt is when everything that a former owner wrote has arrived or
	// died; reports made before say nothing of what is idle.
	settledAt time.Time
	// claimAt is when the claim is repeated while it is unanswered.
	claimAt time.Time
}

// anchor ties an engine's clock to this daemon's: the engine's clock showed
// engine at or after local.
type anchor struct {
	inc    ident.Incarnation
	local  time.Time
	engine time.Time
}

// anchor notes the answer to an order sent at local.
func (c *control) anchor(name ident.Upstream, inc ident.Incarnation, local, engine time.Time) {
	c.anchors[name] = anchor{inc: inc, local: local, engine: engine}
}

// stepOwnership lets the holder and, at the leader, the assigner see the
// newest state.
func (c *control) stepOwnership(now time.Time) {
	cmds, opened := c.holder.Step(now, c.view)
	for _, cmd := range cmds {
		c.orders.commit(cmd)
	}
	for _, g := range opened {
		c.acquired(now, g.Ownership())
	}
	for name := range c.owned {
		if c.holder.WriteGuard(name) == nil {
			c.released(now, name)
		}
	}
	if c.assigner == nil || !c.leading() {
		return
	}
	for _, cmd := range c.assigner.Step(now, c.view, c.witness.Visible(), c.cluster(now)) {
		c.orders.commit(cmd)
	}
}

// cluster is the membership as the leader sees it.
func (c *control) cluster(now time.Time) ownership.Cluster {
	var out ownership.Cluster
	for _, d := range c.members.Daemons() {
		stale := d.Draining || d.Name == c.self && !now.Before(c.witness.FreshUntil())
		out.Daemons = append(out.Daemons, ownership.Daemon{
			Name: d.Name, Incarnation: d.Version.Incarnation, DataCentre: d.DataCentre,
			Suspect: c.members.Unreachable(d.Name), Stale: stale,
		})
	}
	for _, u := range c.members.Upstreams() {
		if u.Kind == membership.Engine {
			out.Upstreams = append(out.Upstreams, ownership.Upstream{
				Name: u.Name, Incarnation: u.Version.Incarnation, DataCentre: u.DataCentre, Leaving: u.Leaving,
			})
		}
	}
	return out
}

// acquired begins the ownership of a replica.
func (c *control) acquired(now time.Time, o state.Ownership) {
	u, ok := c.members.Upstream(o.Upstream)
	if !ok {
		return
	}
	c.log.Info("owns a replica", "upstream", o.Upstream, "fence", uint64(o.Fence))
	w := &owned{fence: o.Fence, inc: u.Version.Incarnation, settledAt: now.Add(ownership.DeliveryBound)}
	c.owned[o.Upstream] = w
	delete(c.anchors, o.Upstream)
	c.stepDispatch(now, dispatch.Acquired{
		Upstream: u.Name, Incarnation: w.inc, Model: u.Model, DataCentre: u.DataCentre,
		Slots: int(u.Slots), MaxBatch: int(u.MaxBatch), Fence: o.Fence, InheritedUntil: latestFormer(now),
	})
	c.claim(now, o.Upstream, w)
	c.dirty = true
}

// latestFormer is the latest time at which a request of a former owner can
// still run, whatever its class's target was then.
func latestFormer(now time.Time) time.Time {
	longest := state.Milliseconds(state.MaxTarget).Deadline(now)
	return cutoffOf(now, longest).Add(ownership.DeliveryBound)
}

func (c *control) claim(now time.Time, name ident.Upstream, w *owned) {
	w.claimAt = now.Add(claimInterval)
	// The gate is in the view only once it is published.
	c.dirty = true
	c.afterPublish = append(c.afterPublish, func() { c.orders.claim(name, w.inc, w.fence) })
}

func (c *control) released(now time.Time, name ident.Upstream) {
	c.log.Info("owns a replica no more", "upstream", name)
	delete(c.owned, name)
	delete(c.anchors, name)
	c.dirty = true
	c.stepDispatch(now, dispatch.Released{Upstream: name})
	c.membersDirty = true
}

// ownedChanged brings what an owned engine says of itself to the dispatcher.
func (c *control) ownedChanged(now time.Time, u membership.Upstream) {
	w := c.owned[u.Name]
	if w == nil {
		if g := c.holder.WriteGuard(u.Name); g != nil {
			c.acquired(now, g.Ownership())
		}
		return
	}
	if u.Version.Incarnation != w.inc {
		c.log.Info("upstream restarted", "upstream", u.Name)
		w.inc, w.settledAt = u.Version.Incarnation, now
		delete(c.anchors, u.Name)
		c.stepDispatch(now, dispatch.Restarted{Upstream: u.Name, Incarnation: w.inc})
		c.claim(now, u.Name, w)
	}
	if u.Leaving {
		c.stepDispatch(now, dispatch.Draining{Upstream: u.Name})
	}
}

// tickOwned repeats claims that were not answered.
func (c *control) tickOwned(now time.Time) {
	for name, w := range c.owned {
		if _, ok := c.anchors[name]; !ok && !now.Before(w.claimAt) {
			c.claim(now, name, w)
		}
	}
}

// report brings an owned engine's report to the dispatcher. Reports are dated
// by the engine's clock and this daemon's anchor.
func (c *control) report(now time.Time, r upstream.Report) {
	w, a := c.owned[r.Name], c.anchors[r.Name]
	if w == nil || w.inc != r.Incarnation || a.inc != r.Incarnation {
		return
	}
	rep := dispatch.ReplicaReport{
		Upstream: r.Name, Incarnation: r.Incarnation, InFlight: r.Running + r.Waiting,
		MadeAt: a.local.Add(r.MadeAt.Sub(a.engine)),
	}
	for _, res := range r.Residents {
		rep.Residents = append(rep.Residents, res.Adapter)
		if res.InFlight == 0 && !rep.MadeAt.Before(w.settledAt) {
			rep.Idle = append(rep.Idle, res.Adapter)
		}
	}
	c.stepDispatch(now, rep)
}

// ensureWitnesses lets the leader add daemons to the witnesses, one at a
// time, until the set is full. On a platform nothing rests on freshness, and
// those without a disk are spared the polls of all others.
func (c *control) ensureWitnesses(now time.Time) {
	if !c.leading() || !c.witness.Settled() || now.Before(c.witnessAt) {
		return
	}
	set, version := c.view.Witnesses()
	if len(set) == 0 {
		c.witnessAt = now.Add(witnessInterval)
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
		c.witnessAt = now.Add(witnessInterval)
		c.orders.commit(state.Change{
			ID: ident.Change("witness-" + string(d.Name) + "-" + number(version)), Author: "leader",
			ProposedAt: now.Round(0), Expected: version, Edit: state.AddWitness{Name: d.Name},
		})
		return
	}
}

// formWitnesses makes the voters the first witnesses, all at once: they were
// all up when the cluster was born.
func (c *control) formWitnesses() {
	var names []ident.Daemon
	for _, v := range c.voter.node.Members().Voters() {
		names = append(names, v.Daemon)
	}
	c.orders.commit(state.FormWitnesses{Names: names})
}

// witnessInterval separates additions to the witnesses.
const witnessInterval = 200 * time.Millisecond

func cutoffOf(arrived, deadline time.Time) time.Time {
	return deadline.Add(max(deadline.Sub(arrived), minOverrun))
}
