package gateway

import (
	"context"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/core/routes"
)

// maxRoutingWait is how long a request waits for the routing document of a
// daemon that has just started: an election and a read of the log take less.
const maxRoutingWait = time.Second

// awaitTable returns the routing table, nil if this daemon receives none in
// time.
func (g *Gateway) awaitTable(ctx context.Context, r Request) *routes.Table {
	if t := g.table.Load(); t != nil {
		return t
	}
	ctx, cancel := context.WithDeadline(ctx, r.Arrival.Add(maxRoutingWait))
	defer cancel()
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if t := g.table.Load(); t != nil {
			return t
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// route returns the route of a request and the table that holds it. That there is none
// is said only if the table is known to be recent.
func (g *Gateway) route(ctx context.Context, r Request) (*routes.Table, *routes.Route, *result.Error) {
	t := g.awaitTable(ctx, r)
	if t == nil {
		return nil, nil, result.New(result.NoRouting, "this daemon has no routing document yet").WithRetryAfter(g.Clock().Add(defaultRetryAfter))
	}
	if rt := t.Lookup(r.Host, r.Path); rt != nil {
		return t, rt, nil
	}
	if err := g.ConfirmRoutes(ctx); err != nil {
		return nil, nil, result.New(result.NotFresh, "no route for %s%s in routing document version %d: %w", r.Host, r.Path, t.Version(), err).WithRetryAfter(g.Clock())
	}
	t = g.table.Load()
	if rt := t.Lookup(r.Host, r.Path); rt != nil {
		return t, rt, nil
	}
	return nil, nil, result.New(result.NoRoute, "%s%s in routing document version %d", r.Host, r.Path, t.Version())
}
