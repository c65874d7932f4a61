package daemon

import (
	"context"
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/peer"
	"papayaspoke/io/protocol/upstream"
)

const (
	// announcedFor is how long an announcement lasts without a report.
	announcedFor = 5 * time.Second
	// addressKept is how long a caller may keep an answer to "which address".
	addressKept = 5 * time.Second
	// maxAddresses bounds that answer.
	maxAddresses = 4
)

// announced takes in a new upstream, or a new run of a known one.
func (d *Daemon) announced(ctx context.Context, a upstream.Announcement) (upstream.DaemonReply, error) {
	u := membership.Upstream{
		Name: a.Name, Version: membership.Version{Incarnation: a.Incarnation}, Kind: membership.Engine,
		Model: a.Model, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre,
		Slots: uint32(a.Slots), MaxBatch: uint32(a.MaxBatch), HonoursFence: a.HonoursFence, Resumes: a.Resumes,
		IdempotentPaths: a.IdempotentPaths,
	}
	if a.Kind == upstream.ServiceKind {
		u.Kind = membership.PlainService
	}
	return d.tell(ctx, a.Name, func(now time.Time) bool {
		old, ok := d.ctl.members.Upstream(a.Name)
		if !ok || old.Version.Incarnation != a.Incarnation {
			d.ctl.announceUpstream(now, u)
		}
		return true
	})
}

// refreshed takes in a report.
func (d *Daemon) refreshed(ctx context.Context, r upstream.Report) (upstream.DaemonReply, error) {
	return d.tell(ctx, r.Name, func(now time.Time) bool {
		u, ok := d.ctl.members.Upstream(r.Name)
		if !ok || u.Version.Incarnation != r.Incarnation {
			return false
		}
		if u.Leaving {
			return true
		}
		u.InFlight, u.Queue, u.Prefixes = uint32(r.Running), uint32(r.Waiting), r.Prefixes
		u.Residents = residentsOf(r)
		d.ctl.announceUpstream(now, u)
		d.ctl.report(now, r)
		return true
	})
}

func residentsOf(r upstream.Report) []ident.Adapter {
	out := make([]ident.Adapter, 0, len(r.Residents))
	for _, res := range r.Residents {
		out = append(out, res.Adapter)
	}
	slices.SortFunc(out, ident.Adapter.Compare)
	return out
}

// left stops new work for an upstream.
func (d *Daemon) left(ctx context.Context, l upstream.Leaving) (upstream.DaemonReply, error) {
	return d.tell(ctx, l.Name, func(now time.Time) bool {
		u, ok := d.ctl.members.Upstream(l.Name)
		if !ok || u.Version.Incarnation != l.Incarnation {
			return false
		}
		u.Leaving = true
		d.log.Info("upstream leaves", "upstream", l.Name)
		d.ctl.announceUpstream(now, u)
		return true
	})
}

// announceUpstream makes a new version of an upstream's record. Daemons that
// hear of one upstream side by side number its versions by the time, so that
// the later word wins.
func (c *control) announceUpstream(now time.Time, u membership.Upstream) {
	u.Version.Sequence = max(u.Version.Sequence+1, uint64(now.UnixMilli()))
	u.Deadline = now.Add(announcedFor)
	c.stepMembers(now, membership.Announce{Upstream: u})
}

// tell runs f on the control loop and answers with the addresses to report to
// next.
func (d *Daemon) tell(ctx context.Context, name ident.Upstream, f func(now time.Time) bool) (upstream.DaemonReply, error) {
	var w upstream.DaemonReply
	err := d.ctl.call(ctx, func(now time.Time) {
		w.Known = f(now)
		o, _ := d.ctl.view.Owner(name)
		for _, m := range d.ctl.members.AdvertisedDaemons() {
			w.Daemons = append(w.Daemons, m.Caller)
			if o.Owned() && m.Name == o.Owner {
				w.Owner = m.Caller
			}
		}
	})
	if err != nil {
		return upstream.DaemonReply{}, result.New(result.Draining, "%w", err)
	}
	return w, nil
}

// addresses tells a caller where to connect: to owners of replicas that hold
// the adapter first.
func (d *Daemon) addresses(q caller.DirectoryQuery) (caller.Directory, error) {
	v := d.view.Load()
	a, ok := v.state.Adapter(q.Adapter)
	if !ok && !q.Adapter.IsZero() {
		return caller.Directory{}, result.New(result.UnknownAdapter, "adapter %s", q.Adapter)
	}
	var names []ident.Daemon
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	if err := d.ctl.call(ctx, func(time.Time) { names = d.ctl.ownersFor(a.Model, q.Adapter) }); err != nil {
		return caller.Directory{}, result.New(result.Draining, "%w", err)
	}
	out := caller.Directory{ExpiresAt: d.clock().Add(addressKept)}
	for _, n := range append(names, d.nearest(v)...) {
		i, known := v.daemons[n]
		usable := known && !i.draining && !i.suspected
		if usable && !slices.Contains(out.Addresses, i.caller) && len(out.Addresses) < maxAddresses {
			out.Addresses = append(out.Addresses, i.caller)
		}
	}
	return out, nil
}

// nearest returns the daemons, those of the own data centre first.
func (d *Daemon) nearest(v *view) []ident.Daemon {
	var near, far []ident.Daemon
	for _, name := range sortedKeys(v.daemons) {
		if v.daemons[name].dataCentre == d.dataCentre {
			near = append(near, name)
			continue
		}
		far = append(far, name)
	}
	return append(near, far...)
}

// consensusReceived takes messages of the replicated log. On a daemon without
// a disk they are stray and dropped.
func (d *Daemon) consensusReceived(ms []consensus.Message) {
	d.ctl.post(func(now time.Time) {
		for _, m := range ms {
			d.ctl.stepVoter(now, consensus.Receive(m))
		}
	})
}

// permitsAsked answers an owner's question if this daemon holds the budget.
func (d *Daemon) permitsAsked(ctx context.Context, a budget.PermitRequest, released []budget.PermitID) peer.PermitGrant {
	answers := make(chan peer.PermitGrant, 1)
	d.ctl.post(func(now time.Time) { answers <- d.ctl.holderAsk(now, a, released) })
	select {
	case g := <-answers:
		return g
	case <-ctx.Done():
		return peer.PermitGrant{}
	}
}
