package placement

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// placeModels loads a base model at replicas that hold none: the one held by
// the fewest replicas of the service. This restores service after many replicas
// were lost at once.
func (p *Placer) placeModels(now time.Time) {
	loading := p.modelsLoading(now)
	for _, name := range p.names {
		s := p.replicas[name]
		if !s.listed || s.stale || s.Leaving || len(s.pending) > 0 || len(s.Models) == 0 || now.Before(s.noOrdersUntil) || s.hasModel() {
			continue
		}
		best := slices.MinFunc(s.Models, func(a, b ident.Model) int {
			return cmp.Compare(p.modelHolders(s.Service, a), p.modelHolders(s.Service, b))
		})
		if s.localCopyTime(best) == 0 {
			if loading >= p.modelStore.limit() || !p.belowCeiling(now, s) {
				continue
			}
			p.modelLoadStarts = append(p.modelLoadStarts, now)
			loading++
		}
		s.pending = append(s.pending, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: Weights{Model: best}, Load: true})
	}
}

// localCopyTime returns how long a base model takes to load from the replica's
// own copy, 0 if it has none.
func (s *replicaState) localCopyTime(m ident.Model) time.Duration {
	switch {
	case slices.Contains(s.inMemory, m) && s.MemoryTime > 0:
		return s.MemoryTime
	case slices.Contains(s.onDisk, m) && s.DiskTime > 0:
		return s.DiskTime
	}
	return 0
}

// ceilingWindow is the window over which loads of base models are counted
// against the rate limit of the store.
const ceilingWindow = 5 * time.Second

// belowCeiling reports whether the rate limit of the store allows another load
// of a base model.
func (p *Placer) belowCeiling(now time.Time, s *replicaState) bool {
	p.modelLoadStarts = slices.DeleteFunc(p.modelLoadStarts, func(t time.Time) bool { return now.Sub(t) > ceilingWindow })
	if s.LoadsPerSecond <= 0 {
		return true
	}
	return float64(len(p.modelLoadStarts)) < max(1, s.LoadsPerSecond*ceilingWindow.Seconds())
}

// localCopyLoad is used as the limit number of loads from the replica's own
// copy, which say nothing about the store.
const localCopyLoad = -1

// checkModelArrival evaluates the load of a base model when a listing shows the
// model, and marks the load late if it is due and the listing lacks it. It
// reports whether to keep waiting for the model.
func (p *Placer) checkModelArrival(now time.Time, s *replicaState, res *resident, listed bool) bool {
	if res.evaluated {
		return false
	}
	if listed {
		res.evaluated = true
		if res.limitNumber != localCopyLoad {
			p.modelStore.fetchTime = s.LoadTime
			p.modelStore.evaluate(res.loadRecord, now.Sub(res.changedAt))
		}
		return false
	}
	if now.Sub(res.changedAt) > modelTimeoutFactor*s.LoadTime {
		return false
	}
	if res.dueAt.Before(now) {
		res.late = true
		res.readyAt = now.Add(listingInterval)
		s.needsListing = true
	}
	return true
}

func (s *replicaState) hasModel() bool {
	for w := range s.residents {
		if w.IsModel() {
			return true
		}
	}
	return false
}

func (p *Placer) modelsLoading(now time.Time) int {
	n := 0
	for _, s := range p.replicas {
		for w, res := range s.residents {
			if w.IsModel() && res.limitNumber != localCopyLoad && (res.readyAt.After(now) || !res.evaluated) {
				n++
			}
		}
		if len(s.pending) > 0 && s.pending[0].Load && s.pending[0].Weights.IsModel() && s.localCopyTime(s.pending[0].Weights.Model) == 0 {
			n++
		}
	}
	return n
}

func (p *Placer) modelHolders(service ident.Service, m ident.Model) int {
	n := 0
	for _, s := range p.replicas {
		if s.Service == service && s.residents[Weights{Model: m}] != nil {
			n++
		}
	}
	return n
}
