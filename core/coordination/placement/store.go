package placement

import "time"

const (
	// firstTransit and firstShare of all replicas, whichever is more, is how many
	// adapters are fetched at a time before the store has shown what it can do;
	// minTransit is the least ever. A limit above what the store hands out costs
	// time, but nothing of what it hands out in all.
	firstTransit = 8
	firstShare   = 0.25
	minTransit   = 2
	// firstModels and modelShare are the same for base models, which take the
	// store far longer: some more at a time put all of them off.
	firstModels = 1
	modelShare  = 1.0 / 32
	// judgeAfter is how long after an adapter should be ready a request for it
	// would have been refused and its daemon have said so.
	judgeAfter = 200 * time.Millisecond
	// lateShare is the part of loads that may be late before the store counts
	// as crowded.
	lateShare = 0.2
	// busyShare is the part of the limit that has to be in transit in the mean
	// for loads in time to show that more would do. Loads that begin together
	// see one after the other in transit: half of the limit in the mean.
	busyShare = 0.45
	// firstGrowth multiplies the limit until the store is crowded for the first
	// time, growth does later; when it is, the limit is multiplied by something
	// between backOff and leastBackOff.
	firstGrowth, growth   = 1.5, 1.12
	backOff, leastBackOff = 0.8, 0.5
	// maxCuts is how often in a row the limit is cut before the store counts as
	// slow and not as crowded.
	maxCuts = 3
)

// StoreEstimate is what a placer has learned of the weight store. It is handed on from
// placer to placer. The zero value is a store that nothing is known of.
type StoreEstimate struct {
	// Transit is how many adapters may be fetched at a time.
	Transit float64
	// Probed is true once more than that were tried.
	Probed bool
}

// store learns how many adapters the weight store hands out at full speed, as
// congestion control does: nothing states it, and beyond it loads only get
// slower. A load is late if a replica refuses a request for the adapter after it
// should have been there.
type store struct {
	StoreEstimate
	// first and share of all replicas, whichever is more, is the limit before
	// anything was learned.
	first, share float64
	// fetch is how long an adapter takes while the store is not crowded.
	fetch time.Duration
	// limits counts the limits there have been.
	limits int
	// judged and late count loads since the limit was last set, began adds up how
	// many were in transit when each of them began, lateFor how long the late
	// ones took in all.
	judged, late, began int
	lateFor             time.Duration
	// cuts is how often in a row the limit was cut, uncut what it was before.
	cuts  int
	uncut float64
}

func newStore(p StoreEstimate) *store {
	return &store{StoreEstimate: p, first: firstTransit, share: firstShare, fetch: fetchTime}
}

// newModelStore returns what is known of the store as it hands out base models,
// which has a limit of its own.
func newModelStore() *store { return &store{first: firstModels, share: modelShare} }

// serves tells for how many replicas the store is there.
func (s *store) serves(replicas int) {
	if !s.Probed {
		s.Transit = max(s.Transit, s.first, s.share*float64(replicas))
	}
}

// adopt takes over what a daemon was told by an earlier placer.
func (s *store) adopt(p StoreEstimate) {
	if p.Probed && !s.Probed {
		s.StoreEstimate = p
		s.limits++
	}
}

// room returns how many adapters may be in transit.
func (s *store) room() int { return int(s.Transit) }

// takes returns how long a load takes that begins with some in transit.
func (s *store) takes(transit int) time.Duration {
	return time.Duration(float64(s.fetch) * max(1, float64(transit)/s.Transit))
}

// judge takes in a load that took that long. Those that began under an earlier
// limit say nothing of this one.
func (s *store) judge(l load, took time.Duration) {
	if l.limit != s.limits {
		return
	}
	s.judged++
	s.began += l.began
	if l.late {
		s.late++
		s.lateFor += took
	}
	if s.judged < max(int(s.first), s.room()) {
		return
	}
	if float64(s.late) > lateShare*float64(s.judged) {
		s.cut()
	} else {
		s.grow()
	}
	s.judged, s.late, s.began, s.lateFor = 0, 0, 0, 0
	s.limits++
}

// cut lowers the limit to what would have been in time, since loads take longer
// in proportion. If that has not helped before, they take longer than thought,
// crowded or not.
func (s *store) cut() {
	took := s.lateFor / time.Duration(s.late)
	if s.cuts == 0 {
		s.uncut = s.Transit
	}
	if s.cuts++; s.cuts > maxCuts {
		s.fetch = max(s.fetch, took)
		s.Transit, s.cuts = s.uncut, 0
		return
	}
	part := max(leastBackOff, min(backOff, float64(s.fetch)/float64(max(took, s.fetch))))
	s.Transit, s.Probed = max(min(s.first, minTransit), part*min(s.Transit, s.mean()/busyShare)), true
}

// mean is how many adapters were in transit when a load began.
func (s *store) mean() float64 { return float64(s.began) / float64(s.judged) }

func (s *store) grow() {
	s.cuts = 0
	switch {
	case s.mean() < busyShare*s.Transit:
	case s.Probed:
		s.Transit = max(s.Transit+1, growth*s.Transit)
	default:
		s.Transit *= firstGrowth
	}
}
