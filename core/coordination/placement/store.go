package placement

import "time"

const (
	// initialTransit and firstShare of all replicas, whichever is more, is how many
	// adapters are fetched at a time before the store has shown what it can do;
	// minTransit is the least ever. A limit above what the store hands out costs
	// time, but nothing of what it hands out in all.
	initialTransit = 8
	initialShare   = 0.25
	minTransit     = 2
	// initialModelTransit and modelShare are the same for base models, which take the
	// store far longer: some more at a time put all of them off.
	initialModelTransit = 1
	initialModelShare   = 1.0 / 32
	// evaluateAfter is how long after an adapter should be ready a request for it
	// would have been refused and its daemon have said so.
	evaluateAfter = 200 * time.Millisecond
	// maxLateShare is the part of loads that may be late before the store counts
	// as crowded.
	maxLateShare = 0.2
	// minUsedShare is the part of the limit that has to be in transit in the mean
	// for loads in time to show that more would do. Loads that begin together
	// see one after the other in transit: half of the limit in the mean.
	minUsedShare = 0.45
	// initialGrowth multiplies the limit until the store is crowded for the first
	// time, growth does later; when it is, the limit is multiplied by something
	// between backOff and leastBackOff.
	initialGrowth, growth      = 1.5, 1.12
	maxCutFactor, minCutFactor = 0.8, 0.5
	// maxCuts is how often in a row the limit is cut before the store counts as
	// slow and not as crowded.
	maxCuts = 3
)

// Pace is what a placer has learned of the weight store. It is handed on from
// placer to placer. The zero value is a store that nothing is known of.
type Pace struct {
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
	Pace
	// initial and share of all replicas, whichever is more, is the limit before
	// anything was learned.
	initial, share float64
	// fetchTime is how long an adapter takes while the store is not crowded.
	fetchTime time.Duration
	// limitNumber counts the limits there have been.
	limitNumber int
	// evaluated and late count loads since the limit was last set, began adds up how
	// many were in transit when each of them began, lateFor how long the late
	// ones took in all.
	evaluated, late, inTransit int
	lateTime                   time.Duration
	// cuts is how often in a row the limit was cut, uncut what it was before.
	cuts            int
	limitBeforeCuts float64
}

func newStore(p Pace) *store {
	return &store{Pace: p, initial: initialTransit, share: initialShare, fetchTime: defaultFetchTime}
}

// newModelStore returns what is known of the store as it hands out base models,
// which has a limit of its own.
func newModelStore() *store { return &store{initial: initialModelTransit, share: initialModelShare} }

// setReplicaCount tells for how many replicas the store is there.
func (s *store) setReplicaCount(replicas int) {
	if !s.Probed {
		s.Transit = max(s.Transit, s.initial, s.share*float64(replicas))
	}
}

// adopt takes over what a daemon was told by an earlier placer.
func (s *store) adopt(p Pace) {
	if p.Probed && !s.Probed {
		s.Pace = p
		s.limitNumber++
	}
}

// limit returns how many adapters may be in transit.
func (s *store) limit() int { return int(s.Transit) }

// loadTime returns how long a load takes that begins with some in transit.
func (s *store) loadTime(transit int) time.Duration {
	return time.Duration(float64(s.fetchTime) * max(1, float64(transit)/s.Transit))
}

// evaluate takes in a load that took that long. Those that began under an earlier
// limit say nothing of this one.
func (s *store) evaluate(l loadRecord, took time.Duration) {
	if l.limitNumber != s.limitNumber {
		return
	}
	s.evaluated++
	s.inTransit += l.inTransit
	if l.late {
		s.late++
		s.lateTime += took
	}
	if s.evaluated < max(int(s.initial), s.limit()) {
		return
	}
	if float64(s.late) > maxLateShare*float64(s.evaluated) {
		s.cut()
	} else {
		s.grow()
	}
	s.evaluated, s.late, s.inTransit, s.lateTime = 0, 0, 0, 0
	s.limitNumber++
}

// cut lowers the limit to what would have been in time, since loads take longer
// in proportion. If that has not helped before, they take longer than thought,
// crowded or not.
func (s *store) cut() {
	took := s.lateTime / time.Duration(s.late)
	if s.cuts == 0 {
		s.limitBeforeCuts = s.Transit
	}
	if s.cuts++; s.cuts > maxCuts {
		s.fetchTime = max(s.fetchTime, took)
		s.Transit, s.cuts = s.limitBeforeCuts, 0
		return
	}
	part := max(minCutFactor, min(maxCutFactor, float64(s.fetchTime)/float64(max(took, s.fetchTime))))
	s.Transit, s.Probed = max(min(s.initial, minTransit), part*min(s.Transit, s.meanTransit()/minUsedShare)), true
}

// meanTransit is how many adapters were in transit when a load began.
func (s *store) meanTransit() float64 { return float64(s.inTransit) / float64(s.evaluated) }

func (s *store) grow() {
	s.cuts = 0
	switch {
	case s.meanTransit() < minUsedShare*s.Transit:
	case s.Probed:
		s.Transit = max(s.Transit+1, growth*s.Transit)
	default:
		s.Transit *= initialGrowth
	}
}
