package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// rateHalf is the time in which a rate of use falls by half.
	rateHalf = 5 * time.Second
	// copyInterval separates looks for adapters that want another copy.
	copyInterval = 200 * time.Millisecond
	// minCopyLoad is how many requests in flight a copy carries before another
	// is made, even if replicas are nearly idle.
	minCopyLoad = 8
	// copyShare is the part of a replica's mean load that one copy may carry.
	copyShare = 0.7
)

// rate is a decaying count of uses.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) now(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(rateHalf))
}

func (r *rate) add(now time.Time, n int) {
	r.value, r.at = r.now(now)+float64(n), now
}

func (p *Placer) rate(w Weights) *rate {
	r := p.rates[w]
	if r == nil {
		r = &rate{}
		p.rates[w] = r
	}
	return r
}

// copies makes another copy of what fills more than its share.
func (p *Placer) copies(now time.Time) {
	if now.Before(p.copyAt) {
		return
	}
	p.copyAt = now.Add(copyInterval)
	total, seats := 0, 0
	for _, s := range p.seats {
		if s.known && !s.Leaving {
			total += s.running
			seats++
		}
	}
	if seats == 0 {
		return
	}
	share := max(minCopyLoad, copyShare*float64(total)/float64(seats))
	running := make(map[Weights]int)
	for _, u := range p.daemons {
		for _, r := range u.runs {
			running[r.Weights] += r.Running
		}
	}
	for _, w := range slices.SortedFunc(maps.Keys(running), func(a, b Weights) int {
		return cmp.Or(cmp.Compare(running[b], running[a]), cmp.Compare(a.Adapter, b.Adapter))
	}) {
		if float64(running[w]) <= share {
			return
		}
		p.copy(now, w, int(math.Ceil(float64(running[w])/share)))
	}
}

func (p *Placer) copy(now time.Time, w Weights, wanted int) {
	if w.IsModel() {
		return
	}
	var service ident.Service
	have := 0
	for _, s := range p.seats {
		if sl := s.slots[w]; sl != nil && sl.usable() && !s.Leaving || s.plans(w) {
			have++
			service = s.Service
		}
	}
	for ; have > 0 && have < wanted && p.transit(now) < MaxTransit; have++ {
		if !p.placeOne(now, w, p.named[w], service) {
			return
		}
	}
}
