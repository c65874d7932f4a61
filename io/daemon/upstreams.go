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
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/peer"
	"papayaspoke/io/protocol/upstream"
)

const (
	// announcementTTL is how long an announcement is valid without a report.
	announcementTTL = 5 * time.Second
	// addressTTL is how long callers may use the addresses in a directory
	// answer.
	addressTTL = 5 * time.Second
	// maxAddresses limits the number of addresses in it.
	maxAddresses = 4
)

// handleAnnounce adds a new upstream, or a new run of a known one.
func (d *Daemon) handleAnnounce(ctx context.Context, a upstream.Announcement) (upstream.DaemonReply, error) {
	u := membership.Upstream{
		Name: a.Name, Version: membership.Version{Incarnation: a.Incarnation}, Kind: membership.Engine,
		Model: a.Model, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre,
		Slots: uint32(a.Slots), MaxBatch: uint32(a.MaxBatch), HonoursFence: a.HonoursFence, Resumes: a.Resumes,
		IdempotentPaths: a.IdempotentPaths,
	}
	if a.Kind == upstream.ServiceKind {
		u.Kind = membership.PlainService
	}
	return d.updateUpstream(ctx, a.Name, func(now time.Time) bool {
		old, ok := d.ctl.upstream(a.Name)
		if !ok || old.Version.Incarnation != a.Incarnation {
			d.ctl.announceUpstream(now, u)
		}
		return true
	})
}

// handleRefresh applies a report of a known upstream.
func (d *Daemon) handleRefresh(ctx context.Context, r upstream.Report) (upstream.DaemonReply, error) {
	return d.updateUpstream(ctx, r.Name, func(now time.Time) bool {
		u, ok := d.ctl.upstream(r.Name)
		if !ok || u.Version.Incarnation != r.Incarnation {
			return false
		}
		if u.Leaving {
			return true
		}
		u.InFlight, u.Queue, u.Prefixes = uint32(r.Running), uint32(r.Waiting), r.Prefixes
		u.Residents = residentsOf(r)
		d.ctl.announceUpstream(now, u)
		d.ctl.applyReport(now, r)
		return true
	})
}

// residentsOf returns the resident adapters of a report, sorted.
func residentsOf(r upstream.Report) []ident.Adapter {
	out := make([]ident.Adapter, 0, len(r.Residents))
	for _, res := range r.Residents {
		out = append(out, res.Adapter)
	}
	slices.SortFunc(out, ident.Adapter.Compare)
	return out
}

// handleLeave marks a run of an upstream as leaving, which stops new work for it. It
// returns once the departure is in the replicated log, also if the run is not known here.
func (d *Daemon) handleLeave(ctx context.Context, l upstream.Leaving) (upstream.DaemonReply, error) {
	reply, err := d.updateUpstream(ctx, l.Name, func(now time.Time) bool {
		u, ok := d.ctl.members.Upstream(l.Name)
		if !ok || u.Version.Incarnation != l.Incarnation {
			return false
		}
		u.Leaving = true
		d.log.Info("upstream leaves", "upstream", l.Name)
		d.ctl.announceUpstream(now, u)
		return true
	})
	if err != nil {
		return reply, err
	}
	return reply, d.recordDeparture(ctx, func(now time.Time) state.Departure {
		return state.Departure{Upstream: l.Name, Incarnation: l.Incarnation, At: now.Round(0)}
	})
}

// announceUpstream creates a new version of an upstream's record. The sequence
// number is based on the time, so that the later report wins when several
// daemons receive reports of one upstream concurrently.
func (c *control) announceUpstream(now time.Time, u membership.Upstream) {
	u.Version.Sequence = max(u.Version.Sequence+1, uint64(now.UnixMilli()))
	u.Deadline = now.Add(announcementTTL)
	c.stepMembers(now, membership.Announce{Upstream: u})
}

// updateUpstream runs f on the control loop and returns the addresses that the
// upstream should send its next reports to. f returns false if this run of the
// upstream is not known.
func (d *Daemon) updateUpstream(ctx context.Context, name ident.Upstream, f func(now time.Time) bool) (upstream.DaemonReply, error) {
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

// addresses returns the addresses that a caller should connect to, first those
// of the owners of replicas that hold the adapter.
func (d *Daemon) addresses(q caller.DirectoryQuery) (caller.Directory, error) {
	v := d.view.Load()
	a, ok := v.state.Adapter(q.Adapter)
	if !ok && !q.Adapter.IsZero() {
		return caller.Directory{}, result.New(result.UnknownAdapter, "adapter %s", q.Adapter)
	}
	var names []ident.Daemon
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	if err := d.ctl.call(ctx, func(time.Time) { names = d.ctl.ownersForAdapter(a.Model, q.Adapter) }); err != nil {
		return caller.Directory{}, result.New(result.Draining, "%w", err)
	}
	out := caller.Directory{ExpiresAt: d.clock().Add(addressTTL)}
	for _, n := range append(names, d.byProximity(v)...) {
		i, known := v.daemons[n]
		usable := known && !i.draining && !i.suspected
		if usable && !slices.Contains(out.Addresses, i.caller) && len(out.Addresses) < maxAddresses {
			out.Addresses = append(out.Addresses, i.caller)
		}
	}
	return out, nil
}

// byProximity returns all daemons, those in this daemon's data centre first.
func (d *Daemon) byProximity(v *view) []ident.Daemon {
	var local, remote []ident.Daemon
	for _, name := range sortedKeys(v.daemons) {
		if v.daemons[name].dataCentre == d.dataCentre {
			local = append(local, name)
			continue
		}
		remote = append(remote, name)
	}
	return append(local, remote...)
}

// handleConsensus feeds consensus messages to the voter. On a daemon without a
// disk they are misdirected and dropped.
func (d *Daemon) handleConsensus(ms []consensus.Message) {
	d.ctl.postLog(func(now time.Time) {
		for _, m := range ms {
			d.ctl.stepVoter(now, consensus.Receive(m))
		}
	})
}

// handlePermits serves an owner's request for permits if this daemon holds the
// load budget.
func (d *Daemon) handlePermits(ctx context.Context, a budget.PermitRequest, released []budget.PermitID) peer.PermitGrant {
	grants := make(chan peer.PermitGrant, 1)
	d.ctl.post(func(now time.Time) { grants <- d.ctl.grantPermits(now, a, released) })
	select {
	case g := <-grants:
		return g
	case <-ctx.Done():
		return peer.PermitGrant{}
	}
}
