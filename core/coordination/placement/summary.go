package placement

import "time"

// Summary holds counts of the placer's state for logs and metrics.
type Summary struct {
	// Seats counts all replicas, Known those whose listing has arrived, Stale
	// those whose state has to be listed again, Leaving those that take no more
	// work, and Away those that daemons avoid.
	Seats, Known, Stale, Leaving, Away int
	// Transit counts adapters in transit or about to be ordered, Planned orders
	// not given yet, and Ordered orders without an answer.
	Transit, Planned, Ordered int
	// Room is the estimated number of adapters that the store can serve at a
	// time.
	Room int
	// Wanted counts the weights that requests wait for, Doubtful the slots that
	// an unanswered order may have taken.
	Wanted, Doubtful int
}

// Summary returns the current counts.
func (p *Placer) Summary(now time.Time) Summary {
	out := Summary{Seats: len(p.replicas), Away: len(p.avoided), Transit: p.transitCount(now), Room: p.store.limit(), Wanted: len(p.wants)}
	for _, s := range p.replicas {
		out.Known += boolToInt(s.listed)
		out.Stale += boolToInt(s.stale)
		out.Leaving += boolToInt(s.Leaving)
		out.Ordered += boolToInt(s.orderInFlight)
		out.Planned += len(s.pending)
		for _, res := range s.residents {
			out.Doubtful += boolToInt(!res.uncertainUntil.IsZero())
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
