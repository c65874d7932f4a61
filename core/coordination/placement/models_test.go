package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

// simulatedModelStore serves a number of base models at full speed, and more of
// them proportionally slower.
type simulatedModelStore struct {
	now      time.Time
	p        *Placer
	capacity int
	load     time.Duration
	// left is the remaining work of each load in progress, accepted counts the
	// orders accepted, starts are the times of all loads.
	left         map[ident.Upstream]float64
	accepted     map[ident.Upstream]uint64
	holds        map[ident.Upstream]bool
	starts       []time.Time
	maxInTransit int
	// onDisk is true if all replicas have a copy of the model on their disks.
	onDisk bool
}

func newSimulatedModelStore(replicas, capacity int, perSecond float64) *simulatedModelStore {
	m := &simulatedModelStore{
		now: start, p: New(1, StoreEstimate{}), capacity: capacity, load: 2500 * time.Millisecond,
		left: make(map[ident.Upstream]float64), accepted: make(map[ident.Upstream]uint64), holds: make(map[ident.Upstream]bool),
	}
	var rs []Replica
	for i := range replicas {
		rs = append(rs, Replica{
			Name: ident.Upstream(fmt.Sprintf("r%02d", i)), Incarnation: 1, Service: "s", Batch: 12, AdapterSlots: 9,
			Models: []ident.Model{model}, LoadTime: m.load, LoadsPerSecond: perSecond, DiskTime: time.Second,
		})
	}
	m.apply(m.p.SetReplicas(m.now, rs))
	return m
}

func (m *simulatedModelStore) apply(e Effects) {
	for _, o := range e.Orders {
		v := Refused
		if n, ok := o.Sequence.Get(); (!ok || n == m.accepted[o.Replica]) && m.left[o.Replica] == 0 && o.Load {
			v = Begun
			m.accepted[o.Replica]++
			m.left[o.Replica] = 1
			m.starts = append(m.starts, m.now)
		}
		m.apply(m.p.HandleVerdict(m.now, o, v))
	}
	for _, name := range e.RequestListings {
		l := Listing{Replica: name, Incarnation: 1, MadeAt: m.now.Add(-800 * time.Millisecond), Sequence: option.Some(m.accepted[name])}
		if m.onDisk {
			l.OnDisk = []ident.Model{model}
		}
		if m.holds[name] {
			l.Holdings = []Holding{{Weights: Weights{Model: model}, Version: 1}}
		}
		m.apply(m.p.ApplyListing(m.now, l))
	}
}

// run advances the time until all replicas hold the model, and returns how long
// that took.
func (m *simulatedModelStore) run() time.Duration {
	for m.now.Sub(start) < 5*time.Minute {
		m.now = m.now.Add(25 * time.Millisecond)
		m.maxInTransit = max(m.maxInTransit, len(m.left))
		for name := range m.left {
			if m.onDisk {
				m.left[name] -= 25.0 / 1000
			} else {
				m.left[name] -= 25 / (float64(m.load.Milliseconds()) * max(1, float64(len(m.left))/float64(m.capacity)))
			}
			if m.left[name] <= 0 {
				delete(m.left, name)
				m.holds[name] = true
			}
		}
		m.apply(m.p.Tick(m.now))
		if len(m.holds) == len(m.p.replicas) {
			break
		}
	}
	return m.now.Sub(start)
}

// TestManyEmptyReplicasComeBack covers a crash of many replicas at once, which
// are empty afterwards. With one load of the base model at a time 50 of them
// took two minutes, although the store can serve several.
func TestManyEmptyReplicasComeBack(t *testing.T) {
	cases := map[string]struct{ replicas, capacity int }{
		"large store": {50, 6}, "small store": {50, 3}, "few replicas": {8, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newSimulatedModelStore(tc.replicas, tc.capacity, 40)
			took := m.run()
			ideal := time.Duration(tc.replicas) * m.load / time.Duration(tc.capacity)
			assert.Assert(t, took < 2*ideal, "took %s, possible in %s", took, ideal)
			assert.Assert(t, m.maxInTransit <= 3*tc.capacity, "%d at a time", m.maxInTransit)
		})
	}
}

// TestOwnCopiesNeedNoStore covers replicas that still have the model on their
// disks after a crash: they all load it at once, regardless of the store's
// limits.
func TestOwnCopiesNeedNoStore(t *testing.T) {
	m := newSimulatedModelStore(50, 1, 0.1)
	m.onDisk = true
	took := m.run()
	assert.Assert(t, took < 4*time.Second, "%s", took)
}

// TestModelLoadsStayBelowTheRateLimit checks that in any five seconds no more
// loads begin than the store allows.
func TestModelLoadsStayBelowTheRateLimit(t *testing.T) {
	m := newSimulatedModelStore(30, 30, 1)
	m.run()
	for i := range m.starts {
		n := 0
		for _, at := range m.starts[i:] {
			if at.Sub(m.starts[i]) < 5*time.Second {
				n++
			}
		}
		assert.Assert(t, n <= 5, "%d loads in 5 s", n)
	}
}
