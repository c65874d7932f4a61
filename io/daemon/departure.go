package daemon

import (
	"context"
	"maps"
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// departureTimeout limits how long a departure may take. Upstreams wait for an
// acknowledgement for a second.
const departureTimeout = 800 * time.Millisecond

const (
	// maxClockDifference is how far the clock of a replica that this daemon does not
	// know may be ahead of its own.
	maxClockDifference = 250 * time.Millisecond
	// Reports from before a departure arrive seconds late. A run that did not leave
	// goes on reporting for at least these times, and as often as readmitReports.
	readmitPresumed = 30 * time.Second
	readmitUnseen   = 10 * time.Second
	readmitReports  = 4
)

// recordDeparture runs f on the control loop and commits the departure that it
// returns to the replicated log, unless that is the zero departure or the log has it
// already. An error means that the departure must not be acknowledged.
func (d *Daemon) recordDeparture(ctx context.Context, f func(now time.Time) state.Departure) error {
	deadline := d.clock().Add(departureTimeout)
	var departure state.Departure
	var recorded, readable bool
	err := d.ctl.call(ctx, func(now time.Time) {
		departure = f(now)
		old := d.ctl.view.Departure(departure.Upstream)
		recorded = old.Incarnation >= departure.Incarnation && old.Presumed >= departure.Presumed && old.Unseen >= departure.Unseen
		readable = d.ctl.departuresReadable()
	})
	switch {
	case err != nil:
		return result.New(result.Draining, "%w", err)
	case recorded:
		return nil
	case !readable:
		return result.New(result.NotFresh, "departure of %q: daemons of an earlier version can't read it", departure.Upstream)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a, err := d.proposer.propose(ctx, state.Depart(departure))
	if err != nil {
		return result.New(result.NotFresh, "departure of %q: %w", departure.Upstream, err)
	}
	if a.outcome.Code != result.OK {
		return result.New(result.NotFresh, "departure of %q: %w", departure.Upstream, a.outcome.Err())
	}
	return nil
}

// deregistered returns the departure of a replica that is deregistered by its name
// alone. It is that of the run that this daemon knows. If it knows none, or one that
// has left already, any run that has started until now may be meant: its first report
// may still be on its way.
func (c *control) deregistered(now time.Time, name ident.Upstream) state.Departure {
	if u, ok := c.upstream(name); ok && !c.view.HasLeft(name, u.Version.Incarnation) {
		return state.Departure{Upstream: name, Presumed: u.Version.Incarnation, At: now.Round(0)}
	}
	last := latestWall(now.Round(0), c.startedAt.Round(0).Add(now.Sub(c.startedAt)))
	return state.Departure{Upstream: name, Unseen: startedAt(last.Add(maxClockDifference)), At: now.Round(0)}
}

// startedAt returns the incarnation of a replica's run that starts at t.
func startedAt(t time.Time) ident.Incarnation { return ident.Incarnation(t.UnixMilli()) }

// latestWall returns the wall time, or steady, which is counted from the start of this
// daemon, if the clock was set back since.
func latestWall(wall, steady time.Time) time.Time {
	if steady.After(wall) {
		return steady
	}
	return wall
}

// doubtedRun is a run of a replica that was deregistered by its name. Its reports may
// be from before.
type doubtedRun struct {
	incarnation ident.Incarnation
	// sequence is that of its first report since.
	sequence uint64
	// readmitAt is when the run may be readmitted.
	readmitAt time.Time
}

// mayBeLate reports whether an announcement is to be ignored: after a deregistration of
// a replica that nobody knew, it may be from before although it tells a later start,
// since clocks differ. The next one of the same run counts.
func (c *control) mayBeLate(now time.Time, a Announcement) bool {
	d := c.view.Departure(a.Replica)
	if d.Unseen == 0 || a.Incarnation <= d.Last() || now.Round(0).After(d.At.Add(readmitPresumed)) {
		return false
	}
	if u, ok := c.members.Upstream(a.Replica); ok && u.Version.Incarnation == a.Incarnation {
		return false
	}
	r, ok := c.doubtedRuns[a.Replica]
	if ok && r.incarnation == a.Incarnation && a.Sequence > r.sequence {
		return false
	}
	c.doubt(now, a, 0)
	return true
}

// reconsiderDeparture readmits a run that goes on reporting as ready although a
// deregistration covers it: its clock is behind, or the deregistration was that of an
// earlier run and arrived late.
func (c *control) reconsiderDeparture(now time.Time, a Announcement) {
	d := c.view.Departure(a.Replica)
	if a.Incarnation <= d.Incarnation || a.Incarnation > d.Last() {
		return
	}
	r, ok := c.doubtedRuns[a.Replica]
	if !ok || r.incarnation != a.Incarnation || a.Sequence < r.sequence {
		wait := readmitUnseen
		if a.Incarnation <= d.Presumed {
			wait = readmitPresumed
		}
		c.doubt(now, a, wait)
		return
	}
	if now.Before(r.readmitAt) || a.Sequence-r.sequence < readmitReports {
		return
	}
	delete(c.doubtedRuns, a.Replica)
	c.log.Info("replica readmitted", "replica", a.Replica, "incarnation", uint64(a.Incarnation))
	c.async.commit(state.Readmit{Upstream: a.Replica, Incarnation: a.Incarnation})
}

// doubt remembers the first report of a run that may not be readmitted before wait is
// over, and forgets runs that have not gone on.
func (c *control) doubt(now time.Time, a Announcement, wait time.Duration) {
	maps.DeleteFunc(c.doubtedRuns, func(_ ident.Upstream, r doubtedRun) bool { return now.After(r.readmitAt.Add(readmitPresumed)) })
	c.doubtedRuns[a.Replica] = doubtedRun{incarnation: a.Incarnation, sequence: a.Sequence, readmitAt: now.Add(wait)}
}

// discoveryTime is how long a daemon that has just started may not know others: a few
// rounds of gossip.
const discoveryTime = time.Second

// departuresReadable reports whether all known daemons can read a departure in the
// log. One that can't would stop.
func (c *control) departuresReadable() bool {
	for _, m := range c.members.Daemons() {
		if !m.ReadsDepartures {
			return false
		}
	}
	return true
}

// upstreams returns the known upstreams. One that has left according to the log is
// leaving, whatever its record says: an older report may have arrived late.
func (c *control) upstreams() []membership.Upstream {
	out := c.members.Upstreams()
	for i, u := range out {
		out[i].Leaving = u.Leaving || c.view.HasLeft(u.Name, u.Version.Incarnation)
	}
	return out
}

// upstream returns one of upstreams.
func (c *control) upstream(name ident.Upstream) (membership.Upstream, bool) {
	u, ok := c.members.Upstream(name)
	u.Leaving = u.Leaving || ok && c.view.HasLeft(name, u.Version.Incarnation)
	return u, ok
}
