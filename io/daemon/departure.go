package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// departureTimeout limits the commit of a departure. Upstreams wait for an
// acknowledgement for a second.
const departureTimeout = 800 * time.Millisecond

// recordDeparture runs f on the control loop and commits the departure that it
// returns to the replicated log, unless the log has it already. An error means that
// the departure must not be acknowledged.
func (d *Daemon) recordDeparture(ctx context.Context, f func(now time.Time) state.Departure) error {
	var departure state.Departure
	var recorded, readable bool
	err := d.ctl.call(ctx, func(now time.Time) {
		departure = f(now)
		recorded = departure.Upstream == "" || d.ctl.view.HasLeft(departure.Upstream, departure.Incarnation)
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
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
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
