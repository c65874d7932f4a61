package gateway

import (
	"time"

	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/ident"
)

// State is a summary of the gateway's state, for the state dump and metrics.
type State struct {
	RoutingVersion   uint64
	Routes           int
	PlacerAnsweredAt time.Time
	WaitingRequests  int
	Ejected          []ident.Upstream
	// LeftAlone names the replicas that have said that they want no requests.
	LeftAlone   []ident.Upstream
	RetriesLeft map[ident.Service]int
	// Blamed holds the verdicts on requests that have crashed replicas.
	Blamed   []blame.Decision
	Replicas int
}

// State returns a summary of the gateway's state.
func (g *Gateway) State() State {
	now := g.Clock()
	s := State{RetriesLeft: make(map[ident.Service]int)}
	if t := g.table.Load(); t != nil {
		s.RoutingVersion, s.Routes = t.Version(), t.Len()
	}
	g.evidence.update(func(t *blame.Tracker) { s.Blamed = t.Decisions(now) })
	g.mu.Lock()
	defer g.mu.Unlock()
	s.PlacerAnsweredAt, s.Ejected, s.LeftAlone = g.balancer.PlacerAnsweredAt(), g.balancer.Ejected(now), g.balancer.LeftAlone(now)
	for _, d := range g.demands {
		s.WaitingRequests += d.waiting
	}
	for name, r := range g.retries {
		s.RetriesLeft[name] = r.Remaining(now, g.daemons)
	}
	return s
}
