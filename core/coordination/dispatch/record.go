package dispatch

import (
	"math"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
)

// Records returns the routing records of the owned replicas, sorted by name.
func (d *Dispatcher) Records(now time.Time) []routing.Replica {
	out := make([]routing.Replica, 0, len(d.replicas))
	for _, p := range d.replicas {
		out = append(out, d.record(now, p))
	}
	return out
}

func (d *Dispatcher) record(now time.Time, p *replica) routing.Replica {
	r := routing.Replica{
		Upstream:     p.name,
		Owner:        d.self,
		DataCentre:   p.dataCentre,
		Model:        p.model,
		Slots:        p.slots,
		MaxBatch:     p.maxBatch,
		Outstanding:  p.inFlight + p.inheritedInFlight + p.waiting,
		ColdAdapters: p.coldAdapters(),
		EvictionCost: d.evictionCost(now, p),
		Closed:       p.draining || p.down || !p.residentsKnown,
		Isolating:    p.isolating(),
		CanLoad:      d.canLoad(),
	}
	for a, res := range p.residents {
		if !res.evicting {
			r.Residents = append(r.Residents, a)
		}
	}
	if p.load != nil {
		r.Residents = append(r.Residents, p.load.adapter)
	}
	slices.SortFunc(r.Residents, ident.Adapter.Compare)
	return r
}

// coldAdapters returns the number of queues that wait for an adapter that is
// neither resident nor being loaded.
func (p *replica) coldAdapters() int {
	var n int
	for a := range p.queues {
		if !p.residentOrLoading(a) {
			n++
		}
	}
	return n
}

// evictionCost returns the demand of the adapter that the next load would
// evict: zero if a slot is free, infinity if all adapters are pinned.
func (d *Dispatcher) evictionCost(now time.Time, p *replica) float64 {
	if p.freeSlots() > 0 {
		return 0
	}
	victims := p.evictable(now)
	if len(victims) == 0 {
		return math.Inf(1)
	}
	return victims[d.policy.ChooseVictim(now, victims)].Demand
}

// Waiting returns the number of requests queued at the owned replicas.
func (d *Dispatcher) Waiting() int {
	var n int
	for _, p := range d.replicas {
		n += p.waiting
	}
	return n
}

// Len returns the number of requests that have not ended.
func (d *Dispatcher) Len() int { return len(d.requests) }
