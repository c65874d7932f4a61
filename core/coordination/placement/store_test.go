package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

// weightStore hands out adapters: so many at a time at full speed, more of them
// in proportion slower.
type weightStore struct {
	*bench
	full  int
	fetch time.Duration
	// left is the work on each load that is under way.
	left map[Order]float64
	// wanted is what the test asks for, had what was seen ready.
	wanted []Weights
	next   int
	most   int
	done   int
}

// run asks for rare adapters without end, and tells the placer of those that are
// not there when it says that they are.
func (s *weightStore) run(d time.Duration, waiting int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(25 * time.Millisecond)
		for o := range s.left {
			s.left[o] -= 25 / (float64(s.fetch.Milliseconds()) * max(1, float64(len(s.left))/float64(s.full)))
			if s.left[o] <= 0 {
				delete(s.left, o)
				s.done++
			}
		}
		u := s.usage(waiting)
		u.Daemon = "d"
		_, asked := s.p.ApplyUsage(s.now, u)
		for _, e := range []Effects{asked, s.p.Tick(s.now)} {
			for len(e.Orders) > 0 || len(e.RequestListings) > 0 {
				e = s.obey(e)
			}
		}
		s.most = max(s.most, len(s.left))
	}
}

func (s *weightStore) usage(waiting int) Usage {
	var u Usage
	var still []Weights
	for _, w := range s.wanted {
		home, sl := s.home(w)
		switch {
		case home == nil || sl.readyAt.After(s.now):
			u.Demands = append(u.Demands, s.demand(w, s.now))
		case s.coming(home.Name, w):
			u.Demands = append(u.Demands, Demand{Service: "s", Weights: w, Waiting: 1, MissingAt: home.Name})
		default:
			u.Runs = append(u.Runs, Run{Replica: home.Name, Weights: w, Started: 1})
			continue
		}
		still = append(still, w)
	}
	for s.wanted = still; len(s.wanted) < waiting; s.next++ {
		s.wanted = append(s.wanted, adapter(s.next))
	}
	return u
}

func (s *weightStore) home(w Weights) (*seat, *slot) {
	for _, x := range s.p.seats {
		if sl := x.slots[w]; sl != nil && sl.usable() {
			return x, sl
		}
	}
	return nil, nil
}

func (s *weightStore) coming(name ident.Upstream, w Weights) bool {
	for o := range s.left {
		if o.Replica == name && o.Weights == w {
			return true
		}
	}
	return false
}

func (s *weightStore) obey(e Effects) Effects {
	var out Effects
	for _, o := range e.Orders {
		v := s.engines[o.Replica].carryOut(s.now, o)
		if o.Load && v == Begun {
			key := o
			key.Sequence = s.p.seats[o.Replica].sequence
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

func newWeightStore(full int, fetch time.Duration) *weightStore {
	var es []*engine
	for i := range 60 {
		es = append(es, newEngine(ident.Upstream(fmt.Sprintf("r%02d", i)), 30))
	}
	return &weightStore{bench: newBench(es...), full: full, fetch: fetch, left: make(map[Order]float64)}
}

// TestStoreIsLearned answers stores that hand out different numbers of adapters
// at full speed, which nothing states: the store is used, and no more are in
// transit than slow each other down a little.
func TestStoreIsLearned(t *testing.T) {
	cases := map[string]int{"small": 8, "half": 4, "middle": 24, "large": 48}
	for name, full := range cases {
		t.Run(name, func(t *testing.T) {
			s := newWeightStore(full, fetchTime)
			s.run(8*time.Second, 200)
			s.most, s.done = 0, 0
			s.run(8*time.Second, 200)
			assert.Assert(t, float64(s.most) <= 1.5*float64(full)+2, "%d of %d in transit", s.most, full)
			possible := 8 * float64(full) / fetchTime.Seconds()
			assert.Assert(t, float64(s.done) >= 0.6*possible, "%d loads of %.0f", s.done, possible)
		})
	}
}

// TestStoreIsHandedOn: a placer goes on with what the last one has learned.
func TestStoreIsHandedOn(t *testing.T) {
	s := newWeightStore(48, fetchTime)
	s.run(8*time.Second, 200)
	a := s.use(Usage{})
	assert.Assert(t, a.Store.Transit > 2*firstTransit, "%.1f", a.Store.Transit)
	next := New(8, a.Store)
	assert.Equal(t, next.store.StoreEstimate, a.Store)
	first := New(9, StoreEstimate{})
	first.SetReplicas(s.now, []Replica{s.engines["r00"].Replica})
	assert.Equal(t, first.store.room(), firstTransit)
}

// TestSlowLoadsAreLearned answers an installation where an adapter takes twice
// as long as on others: the store is not taken for crowded.
func TestSlowLoadsAreLearned(t *testing.T) {
	s := newWeightStore(16, 2*fetchTime)
	s.run(20*time.Second, 200)
	assert.Assert(t, s.p.store.fetch > fetchTime*3/2, "%s", s.p.store.fetch)
	assert.Assert(t, s.p.store.room() >= 8, "%d", s.p.store.room())
}

// TestRestartedPlacerAsksDaemons answers a placer whose process was killed: the
// daemons still know what it had learned.
func TestRestartedPlacerAsksDaemons(t *testing.T) {
	s := newWeightStore(48, fetchTime)
	s.run(8*time.Second, 200)
	known := s.use(Usage{}).Store
	s.succeed()
	s.use(Usage{})
	assert.Assert(t, s.p.store.room() < int(known.Transit))
	s.use(Usage{Store: known})
	assert.Equal(t, s.p.store.room(), int(known.Transit))
}
