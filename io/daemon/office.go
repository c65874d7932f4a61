package daemon

import (
	"time"

	"papayaspoke/core/coordination/appoint"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// renewInterval is how often a placer renews its lease.
	renewInterval = appoint.LeaseDuration / 4
	// resignRetryInterval is after what time a resignation that has had no
	// effect is proposed again.
	resignRetryInterval = 500 * time.Millisecond
)

// appoint lets the leader appoint and retire placers.
func (c *control) appoint(now time.Time) {
	if !c.leading() {
		c.placementState.assigner = nil
		return
	}
	if c.placementState.assigner == nil {
		c.placementState.assigner = appoint.New(now)
	}
	if cmd := c.placementState.assigner.Step(now, c.view.Placer(), c.placementState.history, c.placerCandidates()); cmd != nil {
		c.log.Info("office of the placer", "command", describe(cmd))
		c.async.commit(cmd)
	}
}

// placerRole returns the record of the placer role, and whether this run of the
// daemon holds the role.
func (c *control) placerRole() (state.Placer, bool) {
	o := c.view.Placer()
	return o, o.HoldsRole() && o.Daemon == c.self && o.Incarnation == c.inc
}

// updatePlacerRole starts and stops the placer of this daemon as it gains and
// loses the role, and renews the lease while it holds the role.
func (c *control) updatePlacerRole(now time.Time) {
	o, mine := c.placerRole()
	mine = mine && !c.draining
	switch {
	case !mine && c.placementState.placer != nil:
		c.log.Info("places no more", "fence", uint64(c.placementState.placer.Fence()))
		c.placementState.placer, c.placementState.lease = nil, appoint.Lease{}
	case mine && (c.placementState.placer == nil || c.placementState.placer.Fence() != o.Fence):
		c.log.Info("places", "fence", uint64(o.Fence))
		c.placementState.placer = placement.New(o.Fence, c.platform.gateway.StoreEstimate())
		c.placementState.renewAt = now
		c.placementState.placer.SetNamedVersions(c.versions())
		c.replicasChanged(now)
	}
	if mine && !c.placementState.renewing && !now.Before(c.placementState.renewAt) {
		c.renewLease(now)
	}
}

// resign gives up the placer role of a draining daemon once none of its orders
// is in flight. The next placer then need not wait for the lease to expire.
func (c *control) resign(now time.Time) {
	o, mine := c.placerRole()
	if !mine || !c.draining || c.placementState.ordersInFlight > 0 || now.Before(c.placementState.ordersSettledAt) || now.Before(c.placementState.resignAt) {
		return
	}
	c.placementState.resignAt = now.Add(resignRetryInterval)
	c.log.Info("resigns as the placer", "fence", uint64(o.Fence))
	go c.platform.resign(o.Fence)
}

// resign commits the resignation of the placer.
func (p *Platform) resign(fence ident.Fence) {
	if err := p.commit(p.d.ctx, state.RetirePlacer{Fence: fence, Resigned: true}); err != nil {
		p.d.log.Info("resignation not committed", "fence", uint64(fence), "error", err.Error())
	}
}

// renewLease performs a linearizable read. If this daemon still holds the
// placer role after it, the lease is extended from the time at which the read
// began.
func (c *control) renewLease(now time.Time) {
	c.placementState.renewAt, c.placementState.renewing = now.Add(renewInterval), true
	c.send.catchUp(func(ok bool) {
		c.placementState.renewing = false
		if ok {
			c.placementState.lease = appoint.Grant(now, c.state.View().Placer(), c.self, c.inc)
		}
	})
}

// logLease logs when this daemon loses or regains its lease as the placer.
func (c *control) logLease(now time.Time) {
	holds := c.placementState.placer != nil && c.placementState.lease.Holds(now)
	if holds == c.placementState.leaseHeld {
		return
	}
	c.placementState.leaseHeld = holds
	c.log.Info("lease of the placer", "held", holds, "fence", uint64(c.view.Placer().Fence), "leader", c.leader)
}
