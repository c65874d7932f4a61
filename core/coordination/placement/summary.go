package placement

import "time"

// Summary counts what the placer knows and waits for, for logs and metrics.
type Summary struct {
	// Replicas are all replicas; Known those whose listing has arrived, Stale
	// those that are asked for a new one, Leaving those that take no more
	// work, Avoided those that daemons avoid.
	Replicas, Listed, Stale, Leaving, Avoided int
	// Transit counts adapters that are under way or planned, Planned the
	// orders that were not given yet, HandleVerdict those without an answer so far.
	Transit, Planned, Ordered int
	// StoreLimit is how many adapters the store is thought to hand out at a time.
	StoreLimit int
	// Wanted counts what requests wait for, Uncertain the places that an
	// unanswered order may have taken.
	Wanted, Uncertain int
}

// Summary returns the counts of now.
func (p *Placer) Summary(now time.Time) Summary {
	out := Summary{Replicas: len(p.seats), Avoided: len(p.away), Transit: p.transit(now), StoreLimit: p.store.room(), Wanted: len(p.wants)}
	for _, s := range p.seats {
		out.Listed += count(s.known)
		out.Stale += count(s.stale)
		out.Leaving += count(s.Leaving)
		out.Ordered += count(s.ordered)
		out.Planned += len(s.plan)
		for _, sl := range s.slots {
			out.Uncertain += count(!sl.doubtUntil.IsZero())
		}
	}
	return out
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}
