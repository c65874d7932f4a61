package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

// weightStore simulates a store that serves a number of adapters at full speed,
// and more of them proportionally slower.
type weightStore struct {
	*simulation
	capacity  int
	fetchTime time.Duration
	// left is the remaining work of each load in progress.
	left map[Order]float64
	// wanted are the adapters that the test requests, next is the next one to
	// request.
	wanted       []Weights
	next         int
	maxInTransit int
	done         int
}

// run requests rare adapters without end, and reports those that are missing
// although the placer says that they are loaded.
func (s *weightStore) run(d time.Duration, waiting int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		for o := range s.left {
			s.left[o] -= 25 / (float64(s.fetchTime.Milliseconds()) * max(1, float64(len(s.left))/float64(s.capacity)))
			if s.left[o] <= 0 {
				delete(s.left, o)
				s.done++
			}
		}
		u := s.usage(waiting)
		u.Daemon = "d"
		_, used := s.p.ApplyUsage(s.now, u)
		for _, e := range []Effects{used, s.p.Tick(s.now)} {
			for len(e.Orders) > 0 || len(e.RequestListings) > 0 {
				e = s.carryOutAll(e)
			}
		}
		s.maxInTransit = max(s.maxInTransit, len(s.left))
	}
}

func (s *weightStore) usage(waiting int) Usage {
	var u Usage
	var stillWanted []Weights
	for _, w := range s.wanted {
		home, res := s.home(w)
		switch {
		case home == nil || res.readyAt.After(s.now):
			u.Demands = append(u.Demands, s.demand(w, s.now))
		case s.loading(home.Name, w):
			u.Demands = append(u.Demands, Demand{Service: "s", Weights: w, Waiting: 1, MissingAt: home.Name})
		default:
			u.Runs = append(u.Runs, Run{Replica: home.Name, Weights: w, Started: 1})
			continue
		}
		stillWanted = append(stillWanted, w)
	}
	for s.wanted = stillWanted; len(s.wanted) < waiting; s.next++ {
		s.wanted = append(s.wanted, adapter(s.next))
	}
	return u
}

func (s *weightStore) home(w Weights) (*replicaState, *resident) {
	for _, x := range s.p.replicas {
		if res := x.residents[w]; res != nil && res.usable() {
			return x, res
		}
	}
	return nil, nil
}

func (s *weightStore) loading(name ident.Upstream, w Weights) bool {
	for o := range s.left {
		if o.Replica == name && o.Weights == w {
			return true
		}
	}
	return false
}

func (s *weightStore) carryOutAll(e Effects) Effects {
	var out Effects
	for _, o := range e.Orders {
		v := s.engines[o.Replica].carryOut(s.now, o)
		if o.Load && v == Begun {
			key := o
			key.Sequence = s.p.replicas[o.Replica].sequence
			s.left[key] = 1
		}
		next := s.p.HandleVerdict(s.now, o, v)
		out.Orders = append(out.Orders, next.Orders...)
		out.RequestListings = append(out.RequestListings, next.RequestListings...)
	}
	for _, name := range e.RequestListings {
		next := s.p.ApplyListing(s.now, s.engines[name].listing(s.now, 300*time.Millisecond))
		out.Orders = append(out.Orders, next.Orders...)
	}
	return out
}

func newWeightStore(capacity int, fetchTime time.Duration) *weightStore {
	var es []*engine
	for i := range 60 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%02d", i)), 30))
	}
	return &weightStore{simulation: newSimulation(es...), capacity: capacity, fetchTime: fetchTime, left: make(map[Order]float64)}
}

// TestStoreIsLearned covers stores with different capacities, which are not
// configured: the store is used, and only slightly more loads than its capacity
// are in transit.
func TestStoreIsLearned(t *testing.T) {
	cases := map[string]int{"small": 8, "half": 4, "middle": 24, "large": 48}
	for name, capacity := range cases {
		t.Run(name, func(t *testing.T) {
			s := newWeightStore(capacity, defaultFetchTime)
			s.run(8*time.Second, 200)
			s.maxInTransit, s.done = 0, 0
			s.run(8*time.Second, 200)
			assert.Assert(t, float64(s.maxInTransit) <= 1.5*float64(capacity)+2, "%d in transit of %d", s.maxInTransit, capacity)
			possible := 8 * float64(capacity) / defaultFetchTime.Seconds()
			assert.Assert(t, float64(s.done) >= 0.6*possible, "%d loads of %.0f possible", s.done, possible)
		})
	}
}

// TestStoreEstimateIsHandedOn checks that a placer starts from the previous
// one's estimate.
func TestStoreEstimateIsHandedOn(t *testing.T) {
	s := newWeightStore(48, defaultFetchTime)
	s.run(8*time.Second, 200)
	a := s.use(Usage{})
	assert.Assert(t, a.Store.Transit > 2*initialTransit, "%.1f", a.Store.Transit)
	next := New(8, a.Store)
	assert.Equal(t, next.store.StoreEstimate, a.Store)
	first := New(9, StoreEstimate{})
	first.SetReplicas(s.now, []Replica{s.engines["r00"].Replica})
	assert.Equal(t, first.store.limit(), initialTransit)
}

// TestSlowLoadsAreLearned covers an installation where an adapter takes twice
// as long to load as assumed: that must not count as overload of the store.
func TestSlowLoadsAreLearned(t *testing.T) {
	s := newWeightStore(16, 2*defaultFetchTime)
	s.run(20*time.Second, 200)
	assert.Assert(t, s.p.store.fetchTime > defaultFetchTime*3/2, "%s", s.p.store.fetchTime)
	assert.Assert(t, s.p.store.limit() >= 8, "%d", s.p.store.limit())
}

// TestRestartedPlacerUsesEstimateOfDaemons covers a placer whose process was
// killed: the daemons still have its estimate.
func TestRestartedPlacerUsesEstimateOfDaemons(t *testing.T) {
	s := newWeightStore(48, defaultFetchTime)
	s.run(8*time.Second, 200)
	known := s.use(Usage{}).Store
	s.replacePlacer()
	s.use(Usage{})
	assert.Assert(t, s.p.store.limit() < int(known.Transit))
	s.use(Usage{Store: known})
	assert.Equal(t, s.p.store.limit(), int(known.Transit))
}
