package dispatch

import (
	"math"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
)

// Records returns what routing should know of the owned replicas, by name.
func (d *Dispatcher) Records(now time.Time) []routing.Replica {
	out := make([]routing.Replica, 0, len(d.replicas))
	for _, p := range d.replicas {
		out = append(out, d.record(now, p))
	}
	return out
}

func (d *Dispatcher) record(now time.Time, p *replica) routing.Replica {
	r := routing.Replica{
		Upstream:    p.name,
		Owner:       d.self,
		DataCentre:  p.dataCentre,
		Model:       p.model,
		Slots:       p.slots,
		MaxBatch:    p.maxBatch,
		Outstanding: p.inFlight + p.foreign + p.waiting,
		Cold:        p.cold(),
		Evict:       d.cheapest(now, p),
		Closed:      p.draining || p.down || !p.known,
		Isolating:   p.isolates(),
		CanLoad:     d.mayLoad(),
	}
	for a, res := range p.residents {
		if !res.leaving {
			r.Residents = append(r.Residents, a)
		}
	}
	if p.load != nil {
		r.Residents = append(r.Residents, p.load.adapter)
	}
	slices.SortFunc(r.Residents, ident.Adapter.Compare)
	return r
}

// cold returns the number of lines that wait for an adapter.
func (p *replica) cold() int {
	var n int
	for a := range p.lines {
		if !p.expects(a) {
			n++
		}
	}
	return n
}

// cheapest returns the demand of the adapter that the next load would evict:
// none if a slot is free, infinite if all are pinned.
func (d *Dispatcher) cheapest(now time.Time, p *replica) float64 {
	if p.free() > 0 {
		return 0
	}
	idle := p.idle(now)
	if len(idle) == 0 {
		return math.Inf(1)
	}
	return idle[d.policy.Victim(now, idle)].Demand
}

// Waiting returns the number of requests that wait for any owned replica.
func (d *Dispatcher) Waiting() int {
	var n int
	for _, p := range d.replicas {
		n += p.waiting
	}
	return n
}

// Len returns the number of requests that have not ended.
func (d *Dispatcher) Len() int { return len(d.requests) }
