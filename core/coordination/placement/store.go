package placement

import "time"

const (
	// initialTransit, or initialShare of all replicas if that is more, is the
	// limit of concurrent fetches before there is an estimate; minTransit is
	// its minimum. A limit above the store's capacity makes loads slower but
	// does not reduce total throughput.
	initialTransit = 8
	initialShare   = 0.25
	minTransit     = 2
	// initialModelTransit and initialModelShare are the same for base models,
	// which take the store far longer: a few more at a time delay all of them.
	initialModelTransit = 1
	initialModelShare   = 1.0 / 32
	// evaluateAfter is how long after the expected end of a load a replica
	// would have refused a request for the adapter and the daemon would have
	// reported that.
	evaluateAfter = 200 * time.Millisecond
	// maxLateShare is the share of late loads above which the store counts as
	// overloaded.
	maxLateShare = 0.2
	// minUsedShare is the part of the limit that must be in transit on average
	// for loads in time to show that a higher limit would work. Loads that
	// begin together see one after the other in transit: half of the limit on
	// average.
	minUsedShare = 0.45
	// initialGrowth is the growth factor of the limit until the store is first
	// overloaded, growth the factor from then on. On overload, the limit is
	// multiplied by a factor between minCutFactor and maxCutFactor.
	initialGrowth, growth      = 1.5, 1.12
	maxCutFactor, minCutFactor = 0.8, 0.5
	// maxCuts is the number of consecutive cuts after which the store counts as
	// slow rather than overloaded.
	maxCuts = 3
)

// StoreEstimate is the estimate of the weight store's limits. It is passed from
// placer to placer. The zero value contains no estimate.
type StoreEstimate struct {
	// Transit is the number of adapters that may be fetched at a time.
	Transit float64
	// Probed is true once a higher limit has overloaded the store.
	Probed bool
}

// store estimates how many adapters the weight store can serve at full speed.
// It works like congestion control, because the capacity is not configured and
// loads beyond it only get slower. A load is late if a replica refuses a
// request for the adapter after the time at which it should have been loaded.
type store struct {
	StoreEstimate
	// initial, or share of all replicas if that is more, is the limit before
	// there is an estimate.
	initial, share float64
	// fetchTime is how long a load takes while the store is not overloaded.
	fetchTime time.Duration
	// limitNumber is incremented with each change of the limit.
	limitNumber int
	// evaluated and late count loads since the limit was last changed.
	// inTransit is the sum of the adapters in transit when each of them began,
	// lateTime the total duration of the late ones.
	evaluated, late, inTransit int
	lateTime                   time.Duration
	// cuts counts consecutive cuts of the limit, limitBeforeCuts is the limit
	// before the first of them.
	cuts            int
	limitBeforeCuts float64
}

func newStore(e StoreEstimate) *store {
	return &store{StoreEstimate: e, initial: initialTransit, share: initialShare, fetchTime: defaultFetchTime}
}

// newModelStore returns the estimate for base models, which have a limit of
// their own.
func newModelStore() *store { return &store{initial: initialModelTransit, share: initialModelShare} }

// setReplicaCount raises the initial limit to the share of the number of
// replicas.
func (s *store) setReplicaCount(replicas int) {
	if !s.Probed {
		s.Transit = max(s.Transit, s.initial, s.share*float64(replicas))
	}
}

// adopt takes over the estimate that a daemon got from an earlier placer.
func (s *store) adopt(e StoreEstimate) {
	if e.Probed && !s.Probed {
		s.StoreEstimate = e
		s.limitNumber++
	}
}

// limit returns how many adapters may be in transit.
func (s *store) limit() int { return int(s.Transit) }

// loadTime returns how long a load takes that begins with that many in transit.
func (s *store) loadTime(transit int) time.Duration {
	return time.Duration(float64(s.fetchTime) * max(1, float64(transit)/s.Transit))
}

// evaluate records the duration of a load, and adjusts the limit after enough
// of them. Loads that began under an earlier limit are ignored.
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

// cut lowers the limit to the number that would have been in time, since loads
// take proportionally longer. If several cuts have not helped, loads take
// longer than estimated regardless of the limit.
func (s *store) cut() {
	meanLate := s.lateTime / time.Duration(s.late)
	if s.cuts == 0 {
		s.limitBeforeCuts = s.Transit
	}
	if s.cuts++; s.cuts > maxCuts {
		s.fetchTime = max(s.fetchTime, meanLate)
		s.Transit, s.cuts = s.limitBeforeCuts, 0
		return
	}
	factor := max(minCutFactor, min(maxCutFactor, float64(s.fetchTime)/float64(max(meanLate, s.fetchTime))))
	s.Transit, s.Probed = max(min(s.initial, minTransit), factor*min(s.Transit, s.meanTransit()/minUsedShare)), true
}

// meanTransit returns the mean number of adapters in transit when a load began.
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
