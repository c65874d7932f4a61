package daemon

import (
	"context"
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// ensureDeparture returns once the departure of an upstream, if it leaves, is known
// to enough other daemons that the loss of this one does not undo it. An error
// means that the departure must not be acknowledged.
func (d *Daemon) ensureDeparture(ctx context.Context, name ident.Upstream) error {
	safe := make(chan bool, 1)
	if err := d.ctl.call(ctx, func(now time.Time) { d.ctl.replicateDeparture(now, name, safe) }); err != nil {
		return result.New(result.Draining, "%w", err)
	}
	select {
	case ok := <-safe:
		if !ok {
			return result.New(result.NotFresh, "too few daemons know of the departure of %q", name)
		}
		return nil
	case <-ctx.Done():
		return result.New(result.NotFresh, "departure of %q: %w", name, ctx.Err())
	}
}

// replicateDeparture copies the record of an upstream that leaves to other daemons
// and reports whether enough of them have it. Nothing needs to be copied if the
// upstream does not leave, or if they have it already.
func (c *control) replicateDeparture(now time.Time, name ident.Upstream, safe chan<- bool) {
	u, known := c.members.Upstream(name)
	if !known || !u.Leaving || c.safeDepartures[name] == u.Version.Incarnation {
		safe <- true
		return
	}
	c.lastToken++
	c.replications[c.lastToken] = func(ok bool) {
		if ok {
			c.safeDepartures[name] = u.Version.Incarnation
		}
		safe <- ok
	}
	c.stepMembers(now, membership.Replicate{Token: c.lastToken, Upstream: name})
}

// replicated ends a replication.
func (c *control) replicated(token uint64, ok bool) {
	done := c.replications[token]
	delete(c.replications, token)
	done(ok)
}
