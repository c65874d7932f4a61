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
	// usageInterval is how often a daemon talks to the placer, and usagePause
	// the least time between two such talks. usageEach is added for each daemon
	// beyond what the interval has room for.
	usageInterval = 200 * time.Millisecond
	usageEach     = 3 * time.Millisecond
	usagePause    = 5 * time.Millisecond
	// usageTimeout bounds one of them.
	usageTimeout = 300 * time.Millisecond
	// orderTimeout bounds an order to a replica.
	orderTimeout = 200 * time.Millisecond
	// placementInterval separates the lines that tell of the placer's state.
	placementInterval = time.Second
)

// placing is the part of the control loop that has to do with placement.
type placing struct {
	// assigner is nil unless this daemon leads.
	assigner *appoint.Assigner
	// placer is nil unless this daemon is in office.
	placer *placement.Placer
	lease  appoint.Lease
	// renewAt is when the lease is renewed, renewing is true meanwhile.
	renewAt  time.Time
	renewing bool
	// history is what this daemon has seen of the office.
	history *appoint.History
	// giving counts the orders under way; none can reach a replica any more
	// after quietAt if it is 0.
	giving  int
	quietAt time.Time
	// resignAt is when the resignation may be proposed (again).
	resignAt time.Time
	// held is whether the lease was held when that was last told.
	held bool
	// tellAt is when the next line about the placer's state is due.
	tellAt time.Time
	// named is since when versions of adapters are known here.
	named map[placement.Weights]gateway.RequiredVersion
	// table is the routing table that the replicas were last matched with.
	table *routes.Table
}

// tickPlatform brings routes, replicas and placement up to date.
func (c *control) tickPlatform(now time.Time) {
	if c.platform == nil {
		return
	}
	c.platform.tableChanged(c.view)
	c.namedChanged(now)
	if t := c.platform.gateway.Table(); t != c.placing.table {
		c.placing.table = t
		c.replicasChanged(now)
	}
	c.appoint(now)
	c.hold(now)
	c.resign(now)
	c.logLease(now)
	// Without the lease no order would go out, so none is planned.
	if p := c.placing.placer; p != nil && c.placing.lease.Holds(now) {
		c.carryOrders(p.Tick(now))
	}
	c.logPlacement(now)
}

// logPlacement tells once in a while what the placer knows and waits for.
func (c *control) logPlacement(now time.Time) {
	p := c.placing.placer
	if p == nil || now.Before(c.placing.tellAt) {
		return
	}
	c.placing.tellAt = now.Add(placementInterval)
	s := p.Summary(now)
	c.log.Info("placement", "fence", uint64(p.Fence()), "lease", c.placing.lease.Holds(now), "replicas", s.Replicas, "known", s.Listed,
		"stale", s.Stale, "leaving", s.Leaving, "avoided", s.Avoided, "transit", s.Transit, "room", s.StoreLimit, "planned", s.Planned,
		"ordered", s.Ordered, "wanted", s.Wanted, "doubtful", s.Uncertain)
}

// versions returns the named versions.
func (c *control) versions() map[placement.Weights]uint64 {
	out := make(map[placement.Weights]uint64, len(c.placing.named))
	for w, n := range c.placing.named {
		out[w] = n.Version
	}
	return out
}

// namedChanged takes over the versions of adapters that were named.
func (c *control) namedChanged(now time.Time) {
	changed := false
	next := make(map[placement.Weights]gateway.RequiredVersion)
	for _, n := range c.view.NamedVersions() {
		w := placement.Weights{Model: n.Model, Adapter: n.Adapter}
		old := c.placing.named[w]
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
	c.placing.named = next
	c.platform.gateway.SetRequiredVersions(next)
	if p := c.placing.placer; p != nil {
		c.carryOrders(p.SetNamedVersions(c.versions()))
	}
}

// replicasChanged tells gateway and placer which replicas there are.
func (c *control) replicasChanged(now time.Time) {
	if c.platform == nil {
		return
	}
	t := c.placing.table
	var rs []balance.Replica
	var ps []placement.Replica
	for _, u := range successors(c.members.Upstreams()) {
		rs = append(rs, balance.Replica{
			Name: u.Name, Incarnation: u.Version.Incarnation, Service: u.Service, Address: u.Address,
			DataCentre: u.DataCentre, Slots: int(u.Slots), Leaving: u.Leaving,
		})
		if t == nil {
			continue
		}
		if s := t.Service(u.Service); s != nil && s.Engine != nil {
			ps = append(ps, replicaOf(u, s.Engine))
		}
	}
	c.platform.gateway.SetReplicas(rs, len(c.daemons))
	c.platform.d.booking.keep(func(name ident.Upstream) bool {
		return slices.ContainsFunc(rs, func(r balance.Replica) bool { return r.Name == name })
	})
	if p := c.placing.placer; p != nil {
		c.carryOrders(p.SetReplicas(now, ps))
	}
}

// successors leaves out replicas at whose address a later one has started: they
// are gone, however long their records last.
func successors(all []membership.Upstream) []membership.Upstream {
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

func replicaOf(u membership.Upstream, e *routes.Engine) placement.Replica {
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

// carryOrders carries out what the placer wants done.
func (c *control) carryOrders(e placement.Effects) {
	for _, o := range e.Orders {
		t, ok := c.target(o.Replica)
		if !ok || t.Incarnation != o.Incarnation {
			c.postLater(func(now time.Time) { c.ordered(now, o, placement.Withheld) })
			continue
		}
		c.placing.giving++
		go c.platform.order(t, o, c.placing.placer.Fence())
	}
	for _, name := range e.RequestListings {
		if t, ok := c.target(name); ok {
			go c.platform.list(t)
		}
	}
}

// postLater hands f to the loop from the loop itself, which must not wait for
// room in its own inbox.
func (c *control) postLater(f func(now time.Time)) { go c.post(f) }

func (c *control) target(name ident.Upstream) (Target, bool) {
	u, ok := c.members.Upstream(name)
	return Target{Replica: name, Incarnation: u.Version.Incarnation, Address: u.Address}, ok
}

func (c *control) ordered(now time.Time, o placement.Order, v placement.Verdict) {
	if p := c.placing.placer; p != nil {
		c.carryOrders(p.HandleVerdict(now, o, v))
	}
}

// order gives an order, if the lease holds right before it is written.
func (p *Platform) order(t Target, o placement.Order, fence ident.Fence) {
	v := placement.Withheld
	var lease appoint.Lease
	ctx, cancel := context.WithTimeout(p.d.ctx, orderTimeout)
	defer cancel()
	if err := p.d.ctl.call(ctx, func(time.Time) { lease = p.d.ctl.placing.lease }); err == nil &&
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
		if c.placing.giving--; v == placement.Unanswered {
			c.placing.quietAt = now.Add(appoint.MaxOrderTransit)
		}
		c.ordered(now, o, v)
	})
}

// list asks a replica what it holds.
func (p *Platform) list(t Target) {
	ctx, cancel := context.WithTimeout(p.d.ctx, orderTimeout)
	defer cancel()
	asked := p.d.clock()
	l, err := p.dialect.Listing(ctx, p.replicas, t)
	if err != nil {
		p.d.log.V(1).Info("replica does not say what it holds", "replica", t.Replica, "error", err.Error())
		return
	}
	l.MadeAt = asked.Add(-listingAge)
	p.d.ctl.post(func(now time.Time) {
		if x := p.d.ctl.placing.placer; x != nil {
			p.d.ctl.carryOrders(x.ApplyListing(now, l))
		}
	})
}
