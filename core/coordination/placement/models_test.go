package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

// modelStore hands out base models: so many at a time at full speed, more of
// them in proportion slower.
type modelStore struct {
	now  time.Time
	p    *Placer
	full int
	load time.Duration
	// left is the work on each load under way, begun counts the orders accepted,
	// starts are the times of all loads.
	left   map[ident.Upstream]float64
	begun  map[ident.Upstream]uint64
	holds  map[ident.Upstream]bool
	starts []time.Time
	most   int
	// own is true if all replicas have a copy of the model on their disks.
	own bool
}

func newStoreOfModels(replicas, full int, perSecond float64) *modelStore {
	m := &modelStore{
		now: start, p: New(1, StoreEstimate{}), full: full, load: 2500 * time.Millisecond,
		left: make(map[ident.Upstream]float64), begun: make(map[ident.Upstream]uint64), holds: make(map[ident.Upstream]bool),
	}
	var rs []Replica
	for i := range replicas {
		rs = append(rs, Replica{
			Name: ident.Upstream(fmt.Sprintf("r%02d", i)), Incarnation: 1, Service: "s", Batch: 12, AdapterSlots: 9,
			Models: []ident.Model{model}, LoadTime: m.load, LoadsPerSecond: perSecond, DiskTime: time.Second,
		})
	}
	m.carry(m.p.SetReplicas(m.now, rs))
	return m
}

func (m *modelStore) carry(e Effects) {
	for _, o := range e.Orders {
		v := Refused
		if n, ok := o.Sequence.Get(); (!ok || n == m.begun[o.Replica]) && m.left[o.Replica] == 0 && o.Load {
			v = Begun
			m.begun[o.Replica]++
			m.left[o.Replica] = 1
			m.starts = append(m.starts, m.now)
		}
		m.carry(m.p.HandleVerdict(m.now, o, v))
	}
	for _, name := range e.RequestListings {
		l := Listing{Replica: name, Incarnation: 1, MadeAt: m.now.Add(-800 * time.Millisecond), Sequence: option.Some(m.begun[name])}
		if m.own {
			l.OnDisk = []ident.Model{model}
		}
		if m.holds[name] {
			l.Holdings = []Holding{{Weights: Weights{Model: model}, Version: 1}}
		}
		m.carry(m.p.ApplyListing(m.now, l))
	}
}

// run runs until all replicas hold the model, and returns how long that took.
func (m *modelStore) run() time.Duration {
	for m.now.Sub(start) < 5*time.Minute {
		m.now = m.now.Add(25 * time.Millisecond)
		m.most = max(m.most, len(m.left))
		for name := range m.left {
			if m.own {
				m.left[name] -= 25.0 / 1000
			} else {
				m.left[name] -= 25 / (float64(m.load.Milliseconds()) * max(1, float64(len(m.left))/float64(m.full)))
			}
			if m.left[name] <= 0 {
				delete(m.left, name)
				m.holds[name] = true
			}
		}
		m.carry(m.p.Tick(m.now))
		if len(m.holds) == len(m.p.seats) {
			break
		}
	}
	return m.now.Sub(start)
}

// TestManyEmptyReplicasComeBack answers a crash of many replicas at once: they
// come back empty. With one load of the base model at a time 50 of them took two
// minutes, although the store hands out several.
func TestManyEmptyReplicasComeBack(t *testing.T) {
	cases := map[string]struct{ replicas, full int }{
		"large store": {50, 6}, "small store": {50, 3}, "few replicas": {8, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newStoreOfModels(tc.replicas, tc.full, 40)
			took := m.run()
			ideal := time.Duration(tc.replicas) * m.load / time.Duration(tc.full)
			assert.Assert(t, took < 2*ideal, "%s, possible in %s", took, ideal)
			assert.Assert(t, m.most <= 3*tc.full, "%d at a time", m.most)
		})
	}
}

// TestOwnCopiesNeedNoStore: replicas that crashed have the model on their disks
// still; they come back all at once, whatever the store allows.
func TestOwnCopiesNeedNoStore(t *testing.T) {
	m := newStoreOfModels(50, 1, 0.1)
	m.own = true
	took := m.run()
	assert.Assert(t, took < 4*time.Second, "%s", took)
}

// TestLoadsOfModelsKeepTheCeiling: no more begin in any five seconds than the
// store allows.
func TestLoadsOfModelsKeepTheCeiling(t *testing.T) {
	m := newStoreOfModels(30, 30, 1)
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
