package dispatch

import (
	"cmp"
	"time"

	"papayaspoke/core/ident"
)

// Candidate is a replica of this owner that a request could wait for.
type Candidate struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Resident is true if the adapter is there or on its way.
	Resident bool
	// InFlight is the number of requests that run.
	InFlight int
	// Waiting is the number of requests that wait.
	Waiting int
	// MaxBatch is the number of requests that can run; positive.
	MaxBatch int
	// Routed is true for the replica that routing chose.
	Routed bool
	// Prefix is true if the head of the prompt was lately run there.
	Prefix bool
}

// Idle is an adapter that could be evicted.
type Idle struct {
	// Adapter is resident and not in use or waited for.
	Adapter ident.Adapter
	// Used is when a request for it was last sent or finished.
	Used time.Time
	// Demand is the decayed number of requests for it on this replica, each
	// weighed by the urgency of its class.
	Demand float64
}

// Estimate is what a request still has before it.
type Estimate struct {
	// Start is when the request can be sent.
	Start time.Time
	// End is when the answer will be whole; not before Start.
	End time.Time
}

// Policy is what varies between ways to dispatch. The functions are pure.
type Policy struct {
	// Compare orders the requests that wait for a replica; negative if a goes
	// first.
	Compare func(a, b Request) int
	// Choose returns the index of the replica that r waits for.
	Choose func(r Request, cs []Candidate) int
	// Victim returns the index of the adapter to evict. The slice is not
	// empty and sorted by adapter.
	Victim func(now time.Time, idle []Idle) int
	// Hopeless reports whether r is to be refused because it would miss its
	// deadline.
	Hopeless func(now time.Time, r Request, e Estimate) bool
	// Saves returns the worth of a load that n requests wait for, if victim
	// must be evicted for it; victim is the zero value if there is room.
	Saves func(n int, victim Idle) float64
	// Budgeted is true if a load needs a permit.
	Budgeted bool
	// Isolates is true if suspects run alone and convicted ones are refused.
	Isolates bool
}

// Default returns the policy that the system uses.
func Default() Policy {
	return Policy{
		Compare:  byDeadline,
		Choose:   fullest,
		Victim:   leastDemand,
		Hopeless: hopeless,
		Saves:    saves,
		Budgeted: true,
		Isolates: true,
	}
}

// Naive returns the policy that the default is compared with: least
// outstanding requests, least recently used, first come first served for
// batches and loads, loads without a budget, and no quarantine.
func Naive() Policy {
	return Policy{
		Compare:  byArrival,
		Choose:   leastOutstanding,
		Victim:   leastRecentlyUsed,
		Hopeless: expired,
		Saves:    func(int, Idle) float64 { return 0 },
	}
}

func byDeadline(a, b Request) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), byArrival(a, b))
}

func byArrival(a, b Request) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// fullest prefers the fullest batch that still has room among the replicas
// that hold the adapter, because a fuller batch costs less for each token.
func fullest(_ Request, cs []Candidate) int {
	best := 0
	for i := range cs {
		if compareCandidates(cs[i], cs[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareCandidates puts replicas that can run the request at once first, the
// fullest of them before the others. Without any, it follows routing, which
// has weighed a further copy against the wait.
func compareCandidates(a, b Candidate) int {
	now := func(c Candidate) bool { return c.Resident && c.room() > 0 }
	if c := compareTrue(now(a), now(b)); c != 0 {
		return c
	}
	if now(a) {
		return cmp.Or(
			cmp.Compare(a.room(), b.room()),
			compareTrue(a.Prefix, b.Prefix),
			compareTrue(a.Routed, b.Routed),
		)
	}
	return cmp.Or(
		compareTrue(a.Routed, b.Routed),
		compareTrue(a.Resident, b.Resident),
		cmp.Compare(b.room(), a.room()),
	)
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (c Candidate) room() int { return c.MaxBatch - c.InFlight - c.Waiting }

func leastOutstanding(_ Request, cs []Candidate) int {
	best := 0
	for i, c := range cs {
		if c.InFlight+c.Waiting < cs[best].InFlight+cs[best].Waiting {
			best = i
		}
	}
	return best
}

func leastDemand(_ time.Time, idle []Idle) int {
	best := 0
	for i, v := range idle {
		b := idle[best]
		if cmp.Or(cmp.Compare(v.Demand, b.Demand), v.Used.Compare(b.Used)) < 0 {
			best = i
		}
	}
	return best
}

func leastRecentlyUsed(_ time.Time, idle []Idle) int {
	best := 0
	for i, v := range idle {
		if v.Used.Before(idle[best].Used) {
			best = i
		}
	}
	return best
}

// hopeless tells that the answer will not be whole by the deadline.
func hopeless(_ time.Time, r Request, e Estimate) bool { return e.End.After(r.Deadline) }

// expired tells that the deadline has passed.
func expired(now time.Time, r Request, _ Estimate) bool { return now.After(r.Deadline) }

func saves(n int, _ Idle) float64 { return float64(n) }
