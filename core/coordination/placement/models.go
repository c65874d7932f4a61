package placement

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// placeModels gives replicas that hold no base model one: that of which most
// requests wait or which fewest replicas hold. After many replicas were lost at
// once, it is this that brings them back.
func (p *Placer) placeModels(now time.Time) {
	coming := p.modelsLoading(now)
	for _, name := range p.names {
		s := p.replicas[name]
		if !s.listed || s.stale || s.Leaving || len(s.pending) > 0 || len(s.Models) == 0 || now.Before(s.noOrdersUntil) || s.hasModel() {
			continue
		}
		best := slices.MinFunc(s.Models, func(a, b ident.Model) int {
			return cmp.Compare(p.modelHolders(s.Service, a), p.modelHolders(s.Service, b))
		})
		if s.localCopyTime(best) == 0 {
			if coming >= p.modelStore.limit() || !p.belowCeiling(now, s) {
				continue
			}
			p.modelLoadStarts = append(p.modelLoadStarts, now)
			coming++
		}
		s.pending = append(s.pending, Order{Replica: s.Name, Incarnation: s.Incarnation, Weights: Weights{Model: best}, Load: true})
	}
}

// localCopyTime returns how long a base model takes from a copy that the replica has
// itself, 0 if it has none.
func (s *replicaState) localCopyTime(m ident.Model) time.Duration {
	switch {
	case slices.Contains(s.inMemory, m) && s.MemoryTime > 0:
		return s.MemoryTime
	case slices.Contains(s.onDisk, m) && s.DiskTime > 0:
		return s.DiskTime
	}
	return 0
}

// ceilingWindow is the span within which loads of base models are counted against
// what the store allows.
const ceilingWindow = 5 * time.Second

// belowCeiling reports whether the store allows another load of a base model.
func (p *Placer) belowCeiling(now time.Time, s *replicaState) bool {
	p.modelLoadStarts = slices.DeleteFunc(p.modelLoadStarts, func(t time.Time) bool { return now.Sub(t) > ceilingWindow })
	if s.LoadsPerSecond <= 0 {
		return true
	}
	return float64(len(p.modelLoadStarts)) < max(1, s.LoadsPerSecond*ceilingWindow.Seconds())
}

// localCopyLoad stands for the number of a limit where a load came from a copy of the
// replica's own.
const localCopyLoad = -1

// checkModelArrival judges a base model that a listing shows, and one that is due and that
// a listing lacks. It reports whether the latter is waited for.
func (p *Placer) checkModelArrival(now time.Time, s *replicaState, sl *resident, shown bool) bool {
	if sl.evaluated {
		return false
	}
	if shown {
		sl.evaluated = true
		if sl.limitNumber != localCopyLoad {
			p.modelStore.fetchTime = s.LoadTime
			p.modelStore.evaluate(sl.loadRecord, now.Sub(sl.changedAt))
		}
		return false
	}
	if now.Sub(sl.changedAt) > modelTimeoutFactor*s.LoadTime {
		return false
	}
	if sl.dueAt.Before(now) {
		sl.late = true
		sl.readyAt = now.Add(listingInterval)
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
		for w, sl := range s.residents {
			if w.IsModel() && sl.limitNumber != localCopyLoad && (sl.readyAt.After(now) || !sl.evaluated) {
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
