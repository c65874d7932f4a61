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
	// resignAgain is when a resignation that has had no effect is proposed
	// again.
	resignAgain = 500 * time.Millisecond
)

// appoint lets the leader look after the office of the placer.
func (c *control) appoint(now time.Time) {
	if !c.leading() {
		c.placing.assigner = nil
		return
	}
	if c.placing.assigner == nil {
		c.placing.assigner = appoint.New(now)
	}
	if cmd := c.placing.assigner.Step(now, c.view.Placer(), c.placing.history, c.candidates()); cmd != nil {
		c.log.Info("office of the placer", "command", describe(cmd))
		c.orders.commit(cmd)
	}
}

// inOffice returns the record of the office, and whether this run of the daemon
// is the placer.
func (c *control) inOffice() (state.Placer, bool) {
	o := c.view.Placer()
	return o, o.HoldsRole() && o.Daemon == c.self && o.Incarnation == c.inc
}

// hold begins and ends this daemon's own term as the placer, and keeps its
// lease alive.
func (c *control) hold(now time.Time) {
	o, mine := c.inOffice()
	mine = mine && !c.draining
	switch {
	case !mine && c.placing.placer != nil:
		c.log.Info("places no more", "fence", uint64(c.placing.placer.Fence()))
		c.placing.placer, c.placing.lease = nil, appoint.Lease{}
	case mine && (c.placing.placer == nil || c.placing.placer.Fence() != o.Fence):
		c.log.Info("places", "fence", uint64(o.Fence))
		c.placing.placer = placement.New(o.Fence, c.platform.gateway.StoreEstimate())
		c.placing.renewAt = now
		c.placing.placer.SetNamedVersions(c.versions())
		c.replicasChanged(now)
	}
	if mine && !c.placing.renewing && !now.Before(c.placing.renewAt) {
		c.renew(now)
	}
}

// resign ends the office of a placer that is about to stop, once none of its
// orders is under way: the next placer then need not wait for its lease to end.
func (c *control) resign(now time.Time) {
	o, mine := c.inOffice()
	if !mine || !c.draining || c.placing.giving > 0 || now.Before(c.placing.quietAt) || now.Before(c.placing.resignAt) {
		return
	}
	c.placing.resignAt = now.Add(resignAgain)
	c.log.Info("resigns as the placer", "fence", uint64(o.Fence))
	go c.platform.resign(o.Fence)
}

func (p *Platform) resign(fence ident.Fence) {
	if err := p.commit(p.d.ctx, state.RetirePlacer{Fence: fence, Resigned: true}); err != nil {
		p.d.log.Info("the resignation was not taken", "fence", uint64(fence), "error", err.Error())
	}
}

func (c *control) renew(now time.Time) {
	c.placing.renewAt, c.placing.renewing = now.Add(renewInterval), true
	c.send.catchUp(func(ok bool) {
		c.placing.renewing = false
		if ok {
			c.placing.lease = appoint.Grant(now, c.state.View().Placer(), c.self, c.inc)
		}
	})
}

// logLease tells when this daemon, as the placer, loses or regains its lease.
func (c *control) logLease(now time.Time) {
	holds := c.placing.placer != nil && c.placing.lease.Holds(now)
	if holds == c.placing.held {
		return
	}
	c.placing.held = holds
	c.log.Info("lease of the placer", "held", holds, "fence", uint64(c.view.Placer().Fence), "leader", c.leader)
}
