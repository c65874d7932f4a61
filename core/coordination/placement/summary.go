package placement

import "time"

// Summary holds counts of the placer's state for logs and metrics.
type Summary struct {
	// Replicas counts all replicas, Listed those whose listing has arrived, Stale
	// those whose state has to be listed again, Leaving those that take no more
	// work, and Avoided those that daemons avoid.
	Replicas, Listed, Stale, Leaving, Avoided int
	// Transit counts adapters in transit or about to be ordered, Planned orders
	// not given yet, and Ordered orders without an answer.
	Transit, Planned, Ordered int
	// StoreLimit is the estimated number of adapters that the store can serve
	// at a time.
	StoreLimit int
	// Wanted counts the weights that requests wait for, Uncertain the slots that
	// an unanswered order may have taken.
	Wanted, Uncertain int
}

// Summary returns the current counts.
func (p *Placer) Summary(now time.Time) Summary {
	out := Summary{Replicas: len(p.replicas), Avoided: len(p.avoided), Transit: p.transitCount(now), StoreLimit: p.store.limit(), Wanted: len(p.wants)}
	for _, s := range p.replicas {
		out.Listed += boolToInt(s.listed)
		out.Stale += boolToInt(s.stale)
		out.Leaving += boolToInt(s.Leaving)
		out.Ordered += boolToInt(s.orderInFlight)
		out.Planned += len(s.pending)
		for _, res := range s.residents {
			out.Uncertain += boolToInt(!res.uncertainUntil.IsZero())
		}
	}
	return out
}

func boolToInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
