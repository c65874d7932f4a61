package placement

import (
	"math"
	"time"

	"papayaspoke/core/ident"
)

const (
	// rateHalfLife is the half-life of usage rates.
	rateHalfLife = 5 * time.Second
	// copyInterval is the time between searches for adapters that need another
	// copy.
	copyInterval = 200 * time.Millisecond
	// minCopyLoad is the number of requests in flight that one copy carries
	// before another is made, even if replicas are nearly idle.
	minCopyLoad = 8
	// copyLoadShare is the part of a replica's mean load that one copy may
	// carry.
	copyLoadShare = 0.7
)

// useRate is an exponentially decaying count of uses.
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

// shortage is an adapter whose copies carry more than their share of load.
type shortage struct {
	service ident.Service
	// copies counts those loaded or being loaded; at least 1.
	copies int
	// running counts the requests in flight for it; share is the number of them
	// that one copy should carry.
	running, share float64
}

// excess returns by how many requests the load of each copy would exceed its
// share with that many more copies. It is comparable to the number of requests
// that wait for an adapter that is not loaded.
func (s *shortage) excess(more int) float64 { return s.running/float64(s.copies+more) - s.share }

// findShortages finds adapters whose copies carry more than their share.
func (p *Placer) findShortages(now time.Time) {
	if now.Before(p.nextCopyAt) {
		return
	}
	p.nextCopyAt = now.Add(copyInterval)
	clear(p.shortages)
	total, replicas := 0, 0
	for _, s := range p.replicas {
		if s.listed && !s.Leaving {
			total += s.running
			replicas++
		}
	}
	if replicas == 0 {
		return
	}
	share := max(minCopyLoad, copyLoadShare*float64(total)/float64(replicas))
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

// copiesOf returns the number of replicas that hold w or will.
func (p *Placer) copiesOf(w Weights) (ident.Service, int) {
	var service ident.Service
	n := 0
	for _, s := range p.replicas {
		if res := s.residents[w]; res != nil && res.usable() && !s.Leaving && !p.isAvoided(s) || s.plansLoad(w) {
			n++
			service = s.Service
		}
	}
	return service, n
}
