package dispatch

import (
	"cmp"
	"time"

	"papayaspoke/core/ident"
)

// Candidate is a replica of this owner at which a request could be queued.
type Candidate struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Resident is true if the adapter is resident or being loaded.
	Resident bool
	// InFlight is the number of running requests.
	InFlight int
	// Waiting is the number of queued requests.
	Waiting int
	// MaxBatch is the number of requests that can run concurrently; positive.
	MaxBatch int
	// Routed is true for the replica that routing chose.
	Routed bool
	// Prefix is true if the replica recently ran a request with the same prompt
	// prefix.
	Prefix bool
}

// EvictionCandidate is an idle adapter that could be evicted.
type EvictionCandidate struct {
	// Adapter is resident, not in use, and no request waits for it.
	Adapter ident.Adapter
	// LastUsed is when a request for it was last sent or finished.
	LastUsed time.Time
	// Demand is the decayed number of requests for the adapter on this replica.
	Demand float64
}

// Estimate is the expected course of a request.
type Estimate struct {
	// Start is when the request can be sent.
	Start time.Time
	// End is when the answer will be complete; not before Start.
	End time.Time
}

// Policy holds the scheduling decisions that can be varied. The functions are
// pure.
type Policy struct {
	// Compare orders the requests that wait for a replica; it is negative if a
	// goes first.
	Compare func(a, b Request) int
	// ChooseReplica returns the index of the replica at which r is queued.
	ChooseReplica func(r Request, cs []Candidate) int
	// ChooseVictim returns the index of the adapter to evict. The slice is
	// non-empty and sorted by adapter.
	ChooseVictim func(now time.Time, victims []EvictionCandidate) int
	// MissesDeadline reports whether r must be refused because it would miss
	// its deadline.
	MissesDeadline func(now time.Time, r Request, e Estimate) bool
	// LoadBenefit returns the benefit of a load that n requests wait for and
	// that evicts victim; victim is the zero value if a slot is free.
	LoadBenefit func(n int, victim EvictionCandidate) float64
	// NeedsPermits is true if a load needs a permit.
	NeedsPermits bool
	// IsolateSuspects is true if suspects run isolated and convicted bodies are
	// refused.
	IsolateSuspects bool
}

// Default returns the policy used in production.
func Default() Policy {
	return Policy{
		Compare:         byDeadline,
		ChooseReplica:   fullestBatch,
		ChooseVictim:    leastDemand,
		MissesDeadline:  endsLate,
		LoadBenefit:     waitingCount,
		NeedsPermits:    true,
		IsolateSuspects: true,
	}
}

// Naive returns the baseline that the default policy is compared with: it
// chooses the replica with the fewest outstanding requests, evicts the least
// recently used adapter, serves requests and loads in order of arrival, loads
// without a budget and has no quarantine.
func Naive() Policy {
	return Policy{
		Compare:        byArrival,
		ChooseReplica:  leastOutstanding,
		ChooseVictim:   leastRecentlyUsed,
		MissesDeadline: deadlinePassed,
		LoadBenefit:    func(int, EvictionCandidate) float64 { return 0 },
	}
}

func byDeadline(a, b Request) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), byArrival(a, b))
}

func byArrival(a, b Request) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// fullestBatch prefers, among the replicas that hold the adapter, the fullest
// batch with free capacity, because a fuller batch costs less for each token.
func fullestBatch(_ Request, cs []Candidate) int {
	best := 0
	for i := range cs {
		if compareCandidates(cs[i], cs[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareCandidates orders replicas that can run the request immediately first,
// the fullest of them before the others. If there are none, it follows the
// choice of routing, which has compared the cost of a further copy of the
// adapter with that of waiting.
func compareCandidates(a, b Candidate) int {
	ready := func(c Candidate) bool { return c.Resident && c.freeCapacity() > 0 }
	if c := trueFirst(ready(a), ready(b)); c != 0 {
		return c
	}
	if ready(a) {
		return cmp.Or(
			cmp.Compare(a.freeCapacity(), b.freeCapacity()),
			trueFirst(a.Prefix, b.Prefix),
			trueFirst(a.Routed, b.Routed),
		)
	}
	return cmp.Or(
		trueFirst(a.Routed, b.Routed),
		trueFirst(a.Resident, b.Resident),
		cmp.Compare(b.freeCapacity(), a.freeCapacity()),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (c Candidate) freeCapacity() int { return c.MaxBatch - c.InFlight - c.Waiting }

func leastOutstanding(_ Request, cs []Candidate) int {
	best := 0
	for i, c := range cs {
		if c.InFlight+c.Waiting < cs[best].InFlight+cs[best].Waiting {
			best = i
		}
	}
	return best
}

func leastDemand(_ time.Time, victims []EvictionCandidate) int {
	best := 0
	for i, v := range victims {
		b := victims[best]
		if cmp.Or(cmp.Compare(v.Demand, b.Demand), v.LastUsed.Compare(b.LastUsed)) < 0 {
			best = i
		}
	}
	return best
}

func leastRecentlyUsed(_ time.Time, victims []EvictionCandidate) int {
	best := 0
	for i, v := range victims {
		if v.LastUsed.Before(victims[best].LastUsed) {
			best = i
		}
	}
	return best
}

// endsLate reports whether the answer will not be complete by the deadline.
func endsLate(_ time.Time, r Request, e Estimate) bool { return e.End.After(r.Deadline) }

// deadlinePassed reports whether the deadline has passed.
func deadlinePassed(now time.Time, r Request, _ Estimate) bool { return now.After(r.Deadline) }

func waitingCount(n int, _ EvictionCandidate) float64 { return float64(n) }
