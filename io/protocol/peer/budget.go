package peer

import (
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/ident"
	"papayaspoke/io/protocol/peer/peerpb"
)

// PermitGrant is what the holder of the load budget answers an owner.
type PermitGrant struct {
	// Holder is false if the daemon that was asked does not hold the budget;
	// the rest is then empty.
	Holder bool
	// Permits are those of the owner that asked.
	Permits []budget.Permit
	// Admitted is the share of misses that the budget can serve, from 0 to 1.
	Admitted float64
}

// Times travel as milliseconds from now, since the clocks of daemons differ.

func permitsRequestToWire(a budget.PermitRequest, released []budget.PermitID, now time.Time) *peerpb.PermitsRequest {
	out := &peerpb.PermitsRequest{Owner: string(a.Owner), Fallback: a.Fallback, Loading: int64(a.InTransit), Misses: a.Misses}
	for _, w := range a.DesiredLoads {
		out.Wants = append(out.Wants, &peerpb.Want{
			Upstream: string(w.Upstream), Adapter: w.Adapter.Name, Version: w.Adapter.Version,
			Saves: w.Benefit, DeadlineMs: w.Deadline.Sub(now).Milliseconds(),
		})
	}
	for _, id := range released {
		out.Released = append(out.Released, uint64(id))
	}
	return out
}

func permitsRequestFromWire(r *peerpb.PermitsRequest) (budget.PermitRequest, []budget.PermitID) {
	now := time.Now()
	a := budget.PermitRequest{Owner: ident.Daemon(r.GetOwner()), Fallback: r.GetFallback(), InTransit: int(r.GetLoading()), Misses: r.GetMisses()}
	for _, w := range r.GetWants() {
		a.DesiredLoads = append(a.DesiredLoads, budget.DesiredLoad{
			Upstream: ident.Upstream(w.GetUpstream()),
			Adapter:  ident.Adapter{Name: w.GetAdapter(), Version: w.GetVersion()},
			Benefit:  w.GetSaves(),
			Deadline: now.Add(time.Duration(w.GetDeadlineMs()) * time.Millisecond),
		})
	}
	var released []budget.PermitID
	for _, id := range r.GetReleased() {
		released = append(released, budget.PermitID(id))
	}
	return a, released
}

// permitsResponseToWire leaves out when a permit has to be used: the owner
// counts that from when it asked.
func permitsResponseToWire(g PermitGrant) *peerpb.PermitsResponse {
	out := &peerpb.PermitsResponse{Holder: g.Holder, Admitted: g.Admitted}
	for _, p := range g.Permits {
		out.Permits = append(out.Permits, &peerpb.Permit{
			Id: uint64(p.ID), Upstream: string(p.Upstream), Adapter: p.Adapter.Name, Version: p.Adapter.Version,
		})
	}
	return out
}

func permitsResponseFromWire(r *peerpb.PermitsResponse, owner ident.Daemon) PermitGrant {
	out := PermitGrant{Holder: r.GetHolder(), Admitted: r.GetAdmitted()}
	for _, p := range r.GetPermits() {
		out.Permits = append(out.Permits, budget.Permit{
			ID: budget.PermitID(p.GetId()), Owner: owner, Upstream: ident.Upstream(p.GetUpstream()),
			Adapter: ident.Adapter{Name: p.GetAdapter(), Version: p.GetVersion()},
		})
	}
	return out
}
