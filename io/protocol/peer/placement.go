package peer

import (
	"time"

	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/io/protocol/peer/peerpb"
)

func usageRequestToWire(u placement.Usage, now time.Time) *peerpb.UsageRequest {
	p := &peerpb.UsageRequest{
		Daemon: string(u.Daemon), Centre: string(u.DataCentre), Fence: uint64(u.Fence), Revision: u.Revision,
		Transit: uint32(u.Store.Transit * transitScale), Probed: u.Store.Probed,
	}
	for _, r := range u.Runs {
		p.Runs = append(p.Runs, &peerpb.Run{
			Replica: string(r.Replica), Model: string(r.Weights.Model), Adapter: r.Weights.Adapter,
			Running: uint32(max(r.Running, 0)), Started: uint32(max(r.Started, 0)),
		})
	}
	for _, d := range u.Demands {
		p.Demands = append(p.Demands, &peerpb.Demand{
			Service: string(d.Service), Model: string(d.Weights.Model), Adapter: d.Weights.Adapter,
			Version: d.Version, Waiting: uint32(max(d.Waiting, 0)), Missed: string(d.MissingAt),
			Left: millis(d.StartDeadline.Sub(now)),
		})
	}
	for _, name := range u.Avoid {
		p.Avoid = append(p.Avoid, string(name))
	}
	for _, l := range u.Listings {
		p.Listings = append(p.Listings, &peerpb.Listing{
			Replica: string(l.Replica), Incarnation: uint64(l.Incarnation), Age: millis(now.Sub(l.MadeAt)),
			Holdings: holdingsToWire(l.Holdings, now), Memory: modelsToWire(l.InMemory), Disk: modelsToWire(l.OnDisk),
		})
	}
	return p
}

func modelsToWire(ms []ident.Model) []string {
	var out []string
	for _, m := range ms {
		out = append(out, string(m))
	}
	return out
}

func modelsFromWire(names []string) []ident.Model {
	var out []ident.Model
	for _, name := range names {
		out = append(out, ident.Model(name))
	}
	return out
}

func usageRequestFromWire(p *peerpb.UsageRequest, now time.Time) placement.Usage {
	u := placement.Usage{
		Daemon: ident.Daemon(p.GetDaemon()), DataCentre: ident.DataCentre(p.GetCentre()),
		Fence: ident.Fence(p.GetFence()), Revision: p.GetRevision(),
		Store: placement.StoreEstimate{Transit: float64(p.GetTransit()) / transitScale, Probed: p.GetProbed()},
	}
	for _, r := range p.GetRuns() {
		u.Runs = append(u.Runs, placement.Run{
			Replica: ident.Upstream(r.GetReplica()), Weights: weightsOf(r.GetModel(), r.GetAdapter()),
			Running: int(r.GetRunning()), Started: int(r.GetStarted()),
		})
	}
	for _, d := range p.GetDemands() {
		u.Demands = append(u.Demands, placement.Demand{
			Service: ident.Service(d.GetService()), Weights: weightsOf(d.GetModel(), d.GetAdapter()),
			Version: d.GetVersion(), Waiting: int(d.GetWaiting()), MissingAt: ident.Upstream(d.GetMissed()),
			StartDeadline: now.Add(time.Duration(d.GetLeft()) * time.Millisecond),
		})
	}
	for _, name := range p.GetAvoid() {
		u.Avoid = append(u.Avoid, ident.Upstream(name))
	}
	for _, l := range p.GetListings() {
		u.Listings = append(u.Listings, placement.Listing{
			Replica: ident.Upstream(l.GetReplica()), Incarnation: ident.Incarnation(l.GetIncarnation()),
			MadeAt: now.Add(-time.Duration(l.GetAge()) * time.Millisecond), Holdings: holdingsFromWire(l.GetHoldings(), now),
			InMemory: modelsFromWire(l.GetMemory()), OnDisk: modelsFromWire(l.GetDisk()),
		})
	}
	return u
}

func usageResponseToWire(a placement.Answer, ok bool, now time.Time) *peerpb.UsageResponse {
	p := &peerpb.UsageResponse{
		Placer: ok, Fence: uint64(a.Fence), Revision: a.Revision,
		Transit: uint32(a.Store.Transit * transitScale), Probed: a.Store.Probed,
	}
	for _, b := range a.Inventories {
		w := &peerpb.Board{
			Replica: string(b.Replica), Incarnation: uint64(b.Incarnation), Number: uint32(max(b.Number, 0)),
			Whole: b.Complete, Holdings: holdingsToWire(b.Holdings, now),
		}
		for _, g := range b.Removed {
			w.Gone = append(w.Gone, &peerpb.Holding{Model: string(g.Model), Adapter: g.Adapter})
		}
		p.Boards = append(p.Boards, w)
	}
	for _, n := range a.Loads {
		p.Loads = append(p.Loads, uint32(max(n, 0)))
	}
	for _, n := range a.Avoided {
		p.Away = append(p.Away, uint32(max(n, 0)))
	}
	return p
}

// transitScale is the number of wire units per adapter: the store's transit
// estimate is sent in thousandths.
const transitScale = 1000

func usageResponseFromWire(p *peerpb.UsageResponse, now time.Time) (placement.Answer, bool) {
	a := placement.Answer{
		Fence: ident.Fence(p.GetFence()), Revision: p.GetRevision(), Loads: make([]int, 0, len(p.GetLoads())),
		Store: placement.StoreEstimate{Transit: float64(p.GetTransit()) / transitScale, Probed: p.GetProbed()},
	}
	for _, b := range p.GetBoards() {
		inventory := placement.Inventory{
			Replica: ident.Upstream(b.GetReplica()), Incarnation: ident.Incarnation(b.GetIncarnation()),
			Number: int(b.GetNumber()), Complete: b.GetWhole(), Holdings: holdingsFromWire(b.GetHoldings(), now),
		}
		for _, g := range b.GetGone() {
			inventory.Removed = append(inventory.Removed, weightsOf(g.GetModel(), g.GetAdapter()))
		}
		a.Inventories = append(a.Inventories, inventory)
	}
	for _, n := range p.GetLoads() {
		a.Loads = append(a.Loads, int(n))
	}
	for _, n := range p.GetAway() {
		a.Avoided = append(a.Avoided, int(n))
	}
	return a, p.GetPlacer()
}

func holdingsToWire(hs []placement.Holding, now time.Time) []*peerpb.Holding {
	out := make([]*peerpb.Holding, 0, len(hs))
	for _, h := range hs {
		out = append(out, &peerpb.Holding{
			Model: string(h.Weights.Model), Adapter: h.Weights.Adapter, Version: h.Version, Ready: millis(h.ReadyAt.Sub(now)),
		})
	}
	return out
}

func holdingsFromWire(ps []*peerpb.Holding, now time.Time) []placement.Holding {
	out := make([]placement.Holding, 0, len(ps))
	for _, p := range ps {
		out = append(out, placement.Holding{
			Weights: weightsOf(p.GetModel(), p.GetAdapter()), Version: p.GetVersion(),
			ReadyAt: now.Add(time.Duration(p.GetReady()) * time.Millisecond),
		})
	}
	return out
}

func weightsOf(model, adapter string) placement.Weights {
	return placement.Weights{Model: ident.Model(model), Adapter: adapter}
}

// millis returns d in milliseconds, rounded up so that the receiver never
// treats weights as ready too early; it returns 0 for a time in the past.
func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
