package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
)

// TestBusyReplicas tells a balancer what came of requests to a plain replica: what
// the door had let in and was refused or kept waiting is told once, and the replica
// counts as busy for a while after a refusal or a wait.
func TestBusyReplicas(t *testing.T) {
	const most = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	cases := map[string]struct {
		happens func(b *Balancer)
		pressed int
		busy    bool
	}{
		"nothing":              {func(*Balancer) {}, 0, false},
		"refused at the start": {func(b *Balancer) { b.RecordRefusal(now, "r", false) }, 0, true},
		"refused though let in": {func(b *Balancer) {
			b.RecordRefusal(now, "r", false)
			b.RecordRefusal(now, "r", true)
		}, 1, true},
		"has to wait": {func(b *Balancer) { b.RecordWait(now, "r") }, 0, true},
		"kept waiting": {func(b *Balancer) {
			b.RecordWait(now, "r")
			b.RecordLatency("r", "a", 20*time.Millisecond, most, false)
			b.RecordLatency("r", "a", 200*time.Millisecond, most, true)
		}, 1, true},
		"another route is slower": {func(b *Balancer) {
			b.RecordWait(now, "r")
			b.RecordLatency("r", "a", 20*time.Millisecond, most, false)
			b.RecordLatency("r", "b", 200*time.Millisecond, most, true)
		}, 0, true},
		"slow, but not let in": {func(b *Balancer) {
			b.RecordWait(now, "r")
			b.RecordLatency("r", "a", 20*time.Millisecond, most, false)
			b.RecordLatency("r", "a", 200*time.Millisecond, most, false)
		}, 0, true},
		"long ago": {func(b *Balancer) { b.RecordRefusal(now.Add(-busyFor), "r", true) }, 0, false},
		"unknown":  {func(b *Balancer) { b.RecordRefusal(now, "x", true) }, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := New("c")
			b.SetReplicas([]Replica{{Name: "r", Incarnation: 1, Service: "s", DataCentre: "c", Slots: 6}})
			tc.happens(b)
			pressed, busy := b.Busy(now, "r")
			assert.Equal(t, pressed, tc.pressed)
			assert.Equal(t, busy, tc.busy)
			again, _ := b.Busy(now, "r")
			assert.Equal(t, again, 0)
		})
	}
}

// TestReady asks whether another replica could go on with a request: only one that
// holds what is needed, is not left out and has a free place.
func TestReady(t *testing.T) {
	now := time.Unix(1000, 0)
	w := placement.Weights{Model: "m", Adapter: "a"}
	cases := map[string]struct {
		replica  Replica
		holdings []placement.Holding
		running  int
		exclude  []ident.Upstream
		ready    bool
	}{
		"holds it":     {Replica{Slots: 2}, []placement.Holding{{Weights: w}}, 0, nil, true},
		"does not":     {Replica{Slots: 2}, nil, 0, nil, false},
		"will soon":    {Replica{Slots: 2}, []placement.Holding{{Weights: w, ReadyAt: now.Add(time.Second)}}, 0, nil, false},
		"leaves":       {Replica{Slots: 2, Leaving: true}, []placement.Holding{{Weights: w}}, 0, nil, false},
		"full":         {Replica{Slots: 2}, []placement.Holding{{Weights: w}}, 2, nil, false},
		"tried before": {Replica{Slots: 2}, []placement.Holding{{Weights: w}}, 0, []ident.Upstream{"r"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := New("c")
			r := tc.replica
			r.Name, r.Incarnation, r.Service, r.DataCentre = "r", 1, "s", "c"
			b.SetReplicas([]Replica{r})
			b.ApplyAnswer(now, placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "r", Incarnation: 1, Complete: true, Holdings: tc.holdings}}})
			for range tc.running {
				_, m, _ := b.Pick(now, Query{Service: "s", Weights: w})
				assert.Equal(t, m, Found)
			}
			assert.Equal(t, b.HasFreeReplica(now, Query{Service: "s", Weights: w, Exclude: tc.exclude}), tc.ready)
		})
	}
}
