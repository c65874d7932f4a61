package daemon

import (
	"context"
	"slices"
	"time"

	"papayaspoke/core/coordination/appoint"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/routes"
	"papayaspoke/io/gateway"
)

const (
	// usageInterval is how often a daemon sends a usage report to the placer.
	// In a large cluster the interval is usagePerDaemon times the number of
	// daemons, which limits the placer's load. minUsagePause is the minimum
	// time between two reports of a daemon.
	usageInterval  = 200 * time.Millisecond
	usagePerDaemon = 3 * time.Millisecond
	minUsagePause  = 5 * time.Millisecond
	// usageTimeout limits one usage report.
	usageTimeout = 300 * time.Millisecond
	// orderTimeout limits an order to a replica, or a request for its listing.
	orderTimeout = 200 * time.Millisecond
	// summaryInterval is how often the placer's state is logged.
	summaryInterval = time.Second
)

// placementState is the part of the control loop's state that concerns
// placement.
type placementState struct {
	// assigner is nil unless this daemon leads.
	assigner *appoint.Assigner
	// placer is nil unless this daemon holds the placer role.
	placer *placement.Placer
	lease  appoint.Lease
	// renewAt is when the lease is renewed next. renewing is true during a
	// renewal.
	renewAt  time.Time
	renewing bool
	// history records the changes of the placer role that this daemon has seen.
	history *appoint.History
	// ordersInFlight counts the orders in flight. Once it is 0, no order can
	// reach a replica any more after ordersSettledAt.
	ordersInFlight  int
	ordersSettledAt time.Time
	// resignAt is when the resignation may be proposed next.
	resignAt time.Time
	// leaseHeld is whether the lease was held when that was last logged.
	leaseHeld bool
	// nextSummaryAt is when the placer's state is logged next.
	nextSummaryAt time.Time
	// namedVersions holds the named versions of adapters, and since when this
	// daemon knows them.
	namedVersions map[placement.Weights]gateway.RequiredVersion
	// table is the routing table that replicasChanged last used.
	table *routes.Table
}

// stepPlatform updates routes, named versions and replicas, and runs the placer
// if this daemon holds its role.
func (c *control) stepPlatform(now time.Time) {
	if c.platform == nil {
		return
	}
	c.updateTable(now)
	if at := c.witness.ConfirmedAt(now); !at.IsZero() {
		c.platform.confirmedAt.Store(&at)
	}
	c.updateNamedVersions(now)
	if t := c.platform.gateway.Table(); t != c.placementState.table {
		c.placementState.table = t
		c.replicasChanged(now)
	}
	c.appoint(now)
	c.updatePlacerRole(now)
	c.resign(now)
	c.logLease(now)
	// Without the lease no order may be sent, so none is planned.
	if p := c.placementState.placer; p != nil && c.placementState.lease.Holds(now) {
		c.executePlacement(p.Tick(now))
	}
	c.logPlacement(now)
	c.commitBlame(now)
}

// logPlacement logs the placer's state every summaryInterval.
func (c *control) logPlacement(now time.Time) {
	p := c.placementState.placer
	if p == nil || now.Before(c.placementState.nextSummaryAt) {
		return
	}
	c.placementState.nextSummaryAt = now.Add(summaryInterval)
	s := p.Summary(now)
	c.log.Info("placement", "fence", uint64(p.Fence()), "lease", c.placementState.lease.Holds(now), "replicas", s.Replicas, "known", s.Listed,
		"stale", s.Stale, "leaving", s.Leaving, "avoided", s.Avoided, "transit", s.Transit, "room", s.StoreLimit, "planned", s.Planned,
		"ordered", s.Ordered, "wanted", s.Wanted, "doubtful", s.Uncertain)
}

// versions returns the named versions in the form that the placer uses.
func (c *control) versions() map[placement.Weights]uint64 {
	out := make(map[placement.Weights]uint64, len(c.placementState.namedVersions))
	for w, n := range c.placementState.namedVersions {
		out[w] = n.Version
	}
	return out
}

// updateNamedVersions passes newly named versions of adapters to the gateway
// and the placer.
func (c *control) updateNamedVersions(now time.Time) {
	changed := false
	next := make(map[placement.Weights]gateway.RequiredVersion)
	for _, n := range c.view.NamedVersions() {
		w := placement.Weights{Model: n.Model, Adapter: n.Adapter}
		old := c.placementState.namedVersions[w]
		if old.Version != n.Version {
			changed = true
			old = gateway.RequiredVersion{Version: n.Version, Since: now}
			c.log.Info("version named", "model", n.Model, "adapter", n.Adapter, "version", n.Version)
		}
		next[w] = old
	}
	if !changed {
		return
	}
	c.placementState.namedVersions = next
	c.platform.gateway.SetRequiredVersions(next)
	if p := c.placementState.placer; p != nil {
		c.executePlacement(p.SetNamedVersions(c.versions()))
	}
}

// replicasChanged passes the current replicas to the gateway and the placer,
// and removes the pacers of others.
func (c *control) replicasChanged(now time.Time) {
	if c.platform == nil {
		return
	}
	t := c.placementState.table
	var rs []balance.Replica
	var ps []placement.Replica
	for _, u := range latestPerAddress(c.upstreams()) {
		rs = append(rs, balance.Replica{
			Name: u.Name, Incarnation: u.Version.Incarnation, Service: u.Service, Address: u.Address,
			DataCentre: u.DataCentre, Slots: int(u.Slots), Leaving: u.Leaving,
		})
		if t == nil {
			continue
		}
		if s := t.Service(u.Service); s != nil && s.Engine != nil {
			ps = append(ps, placementReplica(u, s.Engine))
		}
	}
	c.platform.gateway.SetReplicas(rs, len(c.daemons))
	c.platform.d.pacers.retain(func(name ident.Upstream) bool {
		return slices.ContainsFunc(rs, func(r balance.Replica) bool { return r.Name == name })
	})
	if p := c.placementState.placer; p != nil {
		c.executePlacement(p.SetReplicas(now, ps))
	}
}

// latestPerAddress returns the routed replicas, without those at whose address
// a later replica has started: they no longer exist, although their records
// remain until they expire.
func latestPerAddress(all []membership.Upstream) []membership.Upstream {
	latest := make(map[string]membership.Upstream)
	for _, u := range all {
		if old, ok := latest[u.Address]; u.Kind == membership.Routed && (!ok || u.Version.Incarnation > old.Version.Incarnation) {
			latest[u.Address] = u
		}
	}
	out := make([]membership.Upstream, 0, len(latest))
	for _, u := range all {
		if u.Kind == membership.Routed && latest[u.Address].Name == u.Name {
			out = append(out, u)
		}
	}
	return out
}

// placementReplica converts a replica for the placer. Its times are the longest
// of all models of the engine.
func placementReplica(u membership.Upstream, e *routes.Engine) placement.Replica {
	r := placement.Replica{
		Name: u.Name, Incarnation: u.Version.Incarnation, Service: u.Service, DataCentre: u.DataCentre,
		Batch: e.MaxBatch, AdapterSlots: e.AdapterSlots, Leaving: u.Leaving, LoadsPerSecond: e.LoadsPerSecond,
	}
	for _, m := range e.Models {
		r.Models = append(r.Models, m.Name)
		r.LoadTime = max(r.LoadTime, m.LoadTime)
		r.MemoryTime, r.DiskTime = max(r.MemoryTime, m.MemoryTime), max(r.DiskTime, m.DiskTime)
	}
	return r
}

// executePlacement sends the orders and the requests for listings that the
// placer returned.
func (c *control) executePlacement(e placement.Effects) {
	for _, o := range e.Orders {
		t, ok := c.target(o.Replica)
		if !ok || t.Incarnation != o.Incarnation || c.isQuiet(t) {
			c.postAsync(func(now time.Time) { c.orderDone(now, o, placement.Withheld) })
			continue
		}
		c.placementState.ordersInFlight++
		go c.platform.sendOrder(t, o, c.placementState.placer.Fence())
	}
	for _, name := range e.RequestListings {
		if t, ok := c.target(name); ok && !c.isQuiet(t) {
			go c.platform.fetchListing(t)
		}
	}
}

// isQuiet reports whether a replica wants nothing of this daemon now.
func (c *control) isQuiet(t Target) bool {
	return c.platform.gateway.IsQuiet(t.Replica, t.Incarnation)
}

// postAsync posts f from the control loop itself, which must not block on its
// own inbox.
func (c *control) postAsync(f func(now time.Time)) { go c.post(f) }

// target returns the current address and incarnation of a replica.
func (c *control) target(name ident.Upstream) (Target, bool) {
	u, ok := c.members.Upstream(name)
	return c.platform.targetOf(balance.Replica{Name: name, Incarnation: u.Version.Incarnation, Address: u.Address}), ok
}

// orderDone passes the verdict on an order to the placer.
func (c *control) orderDone(now time.Time, o placement.Order, v placement.Verdict) {
	if p := c.placementState.placer; p != nil {
		c.executePlacement(p.HandleVerdict(now, o, v))
	}
}

// sendOrder sends an order if this daemon holds the lease immediately before
// the order is written.
func (p *Platform) sendOrder(t Target, o placement.Order, fence ident.Fence) {
	v := placement.Withheld
	var lease appoint.Lease
	ctx, cancel := context.WithTimeout(p.d.ctx, orderTimeout)
	defer cancel()
	if err := p.d.ctl.callLog(ctx, func(time.Time) { lease = p.d.ctl.placementState.lease }); err == nil &&
		lease.Fence() == fence && lease.Holds(p.d.clock()) {
		v = p.dialect.Order(ctx, p.replicas, t, o, p.d.self, fence)
	}
	if v != placement.Begun && v != placement.Done {
		p.d.log.Info("order not carried out", "replica", t.Replica, "adapter", o.Weights.Adapter, "load", o.Load, "verdict", v.String())
	} else {
		p.d.log.Info("order", "replica", t.Replica, "adapter", o.Weights.Adapter, "load", o.Load, "version", o.Version, "verdict", v.String())
	}
	p.d.ctl.post(func(now time.Time) {
		c := p.d.ctl
		if c.placementState.ordersInFlight--; v == placement.Unanswered {
			c.placementState.ordersSettledAt = now.Add(appoint.MaxOrderTransit)
		}
		c.orderDone(now, o, v)
	})
}

// fetchListing asks a replica which weights it holds.
func (p *Platform) fetchListing(t Target) {
	ctx, cancel := context.WithTimeout(p.d.ctx, orderTimeout)
	defer cancel()
	start := p.d.clock()
	l, err := p.dialect.Listing(ctx, p.replicas, t)
	if err != nil {
		p.d.log.V(1).Info("no listing from the replica", "replica", t.Replica, "error", err.Error())
		return
	}
	l.MadeAt = start.Add(-maxListingAge)
	p.d.ctl.post(func(now time.Time) {
		if x := p.d.ctl.placementState.placer; x != nil {
			p.d.ctl.executePlacement(x.ApplyListing(now, l))
		}
	})
}
