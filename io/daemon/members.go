package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// membershipConfig returns the configuration of membership, with the record of
// this daemon.
func (d *Daemon) membershipConfig(r *rand.Rand) membership.Config {
	s := d.settings
	own := membership.Daemon{
		Name: d.self, Version: membership.Version{Incarnation: d.inc},
		Caller: s.AdvertisedCaller().String(), Peer: s.AdvertisedPeer().String(), Operator: s.Operator().String(),
		DataCentre: d.dataCentre, Disk: s.DataFolder(), ReadsDepartures: true,
	}
	seeds := make([]string, 0, len(s.Peers()))
	for _, p := range s.Peers() {
		seeds = append(seeds, p.String())
	}
	if s.Platform().Enabled() {
		own.Front = s.Platform().Front().String()
		own.Power = uint32(s.Platform().Cores() * 1000)
	}
	return membership.Config{Own: own, Seeds: seeds, Rand: r}
}

// stepMembers feeds one event to membership and executes its effects.
func (c *control) stepMembers(now time.Time, ev membership.Event) {
	for _, e := range c.members.Step(now, ev) {
		switch e := e.(type) {
		case membership.Send:
			c.gossip(e)
		case membership.Reply:
			if ch := c.gossipReplies[e.Token]; ch != nil {
				ch <- e.Response
			}
			delete(c.gossipReplies, e.Token)
		case membership.ProbeNewConnection:
			c.send.probe(e.Daemon, e.Address)
		case membership.Changed:
			// Hundreds of reports can arrive per second, so the tables are
			// rebuilt at most once per tick.
			c.membersDirty = true
		case membership.Superseded:
			c.log.Info("superseded by a later process of the same name", "incarnation", uint64(e.By))
			c.stop()
		}
	}
}

// gossip performs one exchange and feeds its result to membership.
func (c *control) gossip(e membership.Send) {
	c.send.gossip(e.Address, e.Request, func(now time.Time, resp membership.Response, err error) {
		switch {
		case err == nil:
			c.stepMembers(now, membership.ResponseReceived{Response: resp})
		case e.To != "":
			c.stepMembers(now, membership.CallFailed{Daemon: e.To})
		}
	})
}

// membersChanged rebuilds the tables of daemons and upstreams, which views
// share until members change again, and passes the names of the daemons on to
// the witness and the holder of the load budget.
func (c *control) membersChanged(now time.Time) {
	c.viewDirty = true
	c.membersDirty = false
	daemons := c.members.Daemons()
	before := c.daemonTable
	c.daemonTable = make(map[ident.Daemon]daemonInfo, len(daemons))
	for _, m := range daemons {
		c.daemonTable[m.Name] = daemonInfo{
			caller: m.Caller, peer: m.Peer, front: m.Front, dataCentre: m.DataCentre, draining: m.Draining,
			suspected: c.members.Unreachable(m.Name), hasDisk: m.Disk != "",
		}
	}
	c.logMemberChanges(before, c.daemonTable)
	names := make([]ident.Daemon, 0, len(daemons))
	for _, d := range daemons {
		names = append(names, d.Name)
	}
	if !slices.Equal(names, c.daemons) {
		c.daemons = names
		c.stepWitness(now, witness.Peers{Daemons: names})
		if c.permits.holder != nil {
			c.permits.holder.SetOwners(c.owners())
		}
	}
	c.upstreamsChanged(now)
}

// logMemberChanges logs changes in this daemon's view of the others. Daemons
// that joined share one line, since at a start each daemon sees all others
// join.
func (c *control) logMemberChanges(before, after map[ident.Daemon]daemonInfo) {
	var joined []string
	for _, name := range sortedKeys(after) {
		old, known := before[name]
		info := after[name]
		switch {
		case name == c.self:
		case !known:
			joined = append(joined, string(name))
		case info.suspected && !old.suspected:
			c.log.Info("daemon suspected", "name", name)
		case old.suspected && !info.suspected:
			c.log.Info("daemon trusted", "name", name)
		case info.draining && !old.draining:
			c.log.Info("daemon drains", "name", name)
		}
	}
	if n := len(joined); n > 0 {
		c.log.Info("daemons joined", "names", strings.Join(joined[:min(n, maxLoggedNames)], " "), "count", n, "known", len(after))
	}
	for _, name := range sortedKeys(before) {
		if _, known := after[name]; !known {
			c.log.Info("daemon gone", "name", name)
		}
	}
}

// maxLoggedNames is how many daemons one log line names.
const maxLoggedNames = 8

// owners returns the daemons that may own replicas and therefore share the load
// budget.
func (c *control) owners() []ident.Daemon {
	if len(c.daemons) == 0 {
		return []ident.Daemon{c.self}
	}
	return c.daemons
}

// upstreamsChanged updates the routing tables from the records of upstreams.
func (c *control) upstreamsChanged(now time.Time) {
	upstreams := c.upstreams()
	c.upstreamTable = make(map[ident.Upstream]upstreamInfo, len(upstreams))
	removed := c.knownUpstreams
	c.knownUpstreams = make(map[ident.Upstream]bool, len(upstreams))
	for _, u := range upstreams {
		c.knownUpstreams[u.Name] = true
		delete(removed, u.Name)
		c.upstreamTable[u.Name] = upstreamInfoOf(u)
		if u.Kind == membership.Routed {
			continue
		}
		if u.Kind == membership.PlainService {
			c.services.Put(routing.ServiceReplica{Upstream: u.Name, Service: u.Service, DataCentre: u.DataCentre, Closed: u.Leaving})
			continue
		}
		c.replicaChanged(now, u)
	}
	for name := range removed {
		c.services.Remove(name)
		c.directory.Remove(name)
	}
	c.replicasChanged(now)
}

func upstreamInfoOf(u membership.Upstream) upstreamInfo {
	return upstreamInfo{
		incarnation: u.Version.Incarnation, model: u.Model, service: u.Service, address: u.Address,
		dataCentre: u.DataCentre, honoursFence: u.HonoursFence, resumes: u.Resumes, leaving: u.Leaving,
		idempotent: u.IdempotentPaths,
	}
}

// replicaChanged updates the directory from an engine's own announcement. If
// this daemon owns the engine, it updates the dispatcher instead, whose records
// are more accurate.
func (c *control) replicaChanged(now time.Time, u membership.Upstream) {
	o, _ := c.view.Owner(u.Name)
	if !o.Owned() {
		c.directory.Remove(u.Name)
		return
	}
	if o.Owner == c.self && c.holder.WriteGuard(u.Name) != nil {
		c.ownedReplicaChanged(now, u)
		return
	}
	c.directory.Put(routing.Replica{
		Upstream: u.Name, Owner: o.Owner, DataCentre: u.DataCentre, Model: u.Model,
		Slots: int(u.Slots), MaxBatch: int(u.MaxBatch), Residents: u.Residents,
		Outstanding: int(u.InFlight + u.Queue), Closed: u.Leaving || c.members.Unreachable(o.Owner), CanLoad: true,
	})
}

// refreshDirectory copies the dispatcher's records of owned replicas to the
// directory.
func (c *control) refreshDirectory(now time.Time) {
	for _, r := range c.dispatcher.Records(now) {
		c.directory.Put(r)
	}
}

// handleGossip serves a membership exchange.
func (d *Daemon) handleGossip(ctx context.Context, r membership.Request) (membership.Response, error) {
	ch := make(chan membership.Response, 1)
	d.ctl.post(func(now time.Time) {
		d.ctl.lastToken++
		d.ctl.gossipReplies[d.ctl.lastToken] = ch
		d.ctl.stepMembers(now, membership.RequestReceived{Token: d.ctl.lastToken, Request: r})
	})
	return awaitReply(ctx, ch)
}

// handleWitness serves a witness exchange.
func (d *Daemon) handleWitness(ctx context.Context, r witness.Request) (witness.Response, error) {
	ch := make(chan witness.Response, 1)
	d.ctl.postLog(func(now time.Time) {
		d.ctl.lastToken++
		d.ctl.witnessReplies[d.ctl.lastToken] = ch
		d.ctl.stepWitness(now, witness.RequestReceived{Token: d.ctl.lastToken, Request: r})
	})
	return awaitReply(ctx, ch)
}

// awaitReply returns the reply from ch, or an error if none arrives within
// exchangeTimeout.
func awaitReply[T any](ctx context.Context, ch <-chan T) (T, error) {
	select {
	case resp := <-ch:
		return resp, nil
	case <-ctx.Done():
		var none T
		return none, result.New(result.TimedOut, "%w", ctx.Err())
	case <-time.After(exchangeTimeout):
		var none T
		return none, result.New(result.TimedOut, "no answer in time")
	}
}
