package placement

import "time"

// Summary counts what the placer knows and waits for, for logs and metrics.
type Summary struct {
	// Seats are all replicas; Known those whose listing has arrived, Stale
	// those that are asked for a new one, Leaving those that take no more
	// work, Away those that daemons avoid.
	Seats, Known, Stale, Leaving, Away int
	// Transit counts adapters that are under way or planned, Planned the
	// orders that were not given yet, Ordered those without an answer so far.
	Transit, Planned, Ordered int
	// Room is how many adapters the store is thought to hand out at a time.
	Room int
	// Wanted counts what requests wait for, Doubtful the places that an
	// unanswered order may have taken.
	Wanted, Doubtful int
}

// Summary returns the counts of now.
func (p *Placer) Summary(now time.Time) Summary {
	out := Summary{Seats: len(p.replicas), Away: len(p.avoided), Transit: p.transitCount(now), Room: p.store.limit(), Wanted: len(p.wants)}
	for _, s := range p.replicas {
		out.Known += boolToInt(s.listed)
		out.Stale += boolToInt(s.stale)
		out.Leaving += boolToInt(s.Leaving)
		out.Ordered += boolToInt(s.orderInFlight)
		out.Planned += len(s.pending)
		for _, sl := range s.residents {
			out.Doubtful += boolToInt(!sl.uncertainUntil.IsZero())
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
