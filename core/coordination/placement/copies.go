package placement

import (
	"math"
	"time"

	"papayaspoke/core/ident"
)

const (
	// rateHalfLife is the time in which a rate of use falls by half.
	rateHalfLife = 5 * time.Second
	// copyInterval separates looks for adapters that want another copy.
	copyInterval = 200 * time.Millisecond
	// minCopyLoad is how many requests in flight a copy carries before another
	// is made, even if replicas are nearly idle.
	minCopyLoad = 8
	// copyLoadShare is the part of a replica's mean load that one copy may carry.
	copyLoadShare = 0.7
)

// useRate is a decaying count of uses.
type useRate struct {
	value float64
	at    time.Time
}

func (r *useRate) now(now time.Time) float64 {
	if r == nil {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(rateHalfLife))
}

func (r *useRate) add(now time.Time, n int) {
	r.value, r.at = r.now(now)+float64(n), now
}

func (p *Placer) useRate(w Weights) *useRate {
	r := p.useRates[w]
	if r == nil {
		r = &useRate{}
		p.useRates[w] = r
	}
	return r
}

// shortage is an adapter whose copies carry more than their share.
type shortage struct {
	service ident.Service
	// copies are there or under way; at least 1.
	copies int
	// running counts the requests in flight for it, share how many of them one
	// copy should carry.
	running, share float64
}

// excess is by how many requests the load of each copy would exceed its share
// with some more copies. It compares with the number of requests that wait for
// what is not loaded.
func (s *shortage) excess(more int) float64 { return s.running/float64(s.copies+more) - s.share }

// findShortages looks for adapters whose copies carry more than their share.
func (p *Placer) findShortages(now time.Time) {
	if now.Before(p.nextCopyAt) {
		return
	}
	p.nextCopyAt = now.Add(copyInterval)
	clear(p.shortages)
	total, seats := 0, 0
	for _, s := range p.replicas {
		if s.listed && !s.Leaving {
			total += s.running
			seats++
		}
	}
	if seats == 0 {
		return
	}
	share := max(minCopyLoad, copyLoadShare*float64(total)/float64(seats))
	running := make(map[Weights]int)
	for _, s := range p.replicas {
		for w, n := range s.runningByWeights {
			running[w] += n
		}
	}
	for w, n := range running {
		if w.IsModel() || float64(n) <= share {
			continue
		}
		s := &shortage{running: float64(n), share: share}
		s.service, s.copies = p.copiesOf(w)
		if s.copies > 0 && s.excess(0) > 0 {
			p.shortages[w] = s
		}
	}
}

// copiesOf counts the replicas that hold w or will.
func (p *Placer) copiesOf(w Weights) (ident.Service, int) {
	var service ident.Service
	n := 0
	for _, s := range p.replicas {
		if sl := s.residents[w]; sl != nil && sl.usable() && !s.Leaving && !p.isAvoided(s) || s.plansLoad(w) {
			n++
			service = s.Service
		}
	}
	return service, n
}
