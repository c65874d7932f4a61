package measure

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// adapterCounts are the numbers of adapters in the catalogue that are measured.
var adapterCounts = []int{1_000, 10_000, 86_000}

// routeSizes are the numbers of replicas and adapters for which a routing
// decision is measured.
var routeSizes = []struct{ replicas, adapters int }{{33, 1_000}, {33, 86_000}, {430, 86_000}, {4_300, 86_000}}

// inProcessCosts measures the costs of the replicated state and of routing in
// this process, with benchmarks.
func inProcessCosts(out io.Writer, _ string) error {
	t := newTable("against adapters: the replicated state", "adapters", "heap", "snapshot", "encode", "decode", "one change")
	for _, n := range adapterCounts {
		if err := addStateRow(t, n); err != nil {
			return err
		}
	}
	if err := t.print(out); err != nil {
		return err
	}
	r := newTable("one placement decision", "replicas", "adapters", "time", "heap of the directory")
	for _, s := range routeSizes {
		addRouteRow(r, s.replicas, s.adapters)
	}
	return r.print(out)
}

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapGrowth returns by how many bytes the heap has grown since before, or zero if
// it has shrunk because older garbage was freed.
func heapGrowth(before uint64) uint64 {
	after := heapInUse()
	return after - min(before, after)
}

func adapterName(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("municipality-%06d", i), Version: "2026-01-02"}
}

// applyChange applies an operator's change to s.
func applyChange(s *state.State, id ident.Change, e state.Edit, expected uint64) {
	s.Apply(s.Index()+1, state.Change{ID: id, Author: "operator", ProposedAt: time.Unix(1, 0).UTC(), Expected: expected, Edit: e})
}

// stateWithAdapters returns a state with one model and n adapters.
func stateWithAdapters(n int) *state.State {
	s := state.New()
	applyChange(s, "model", state.PutModel{Name: "base"}, 0)
	for i := range n {
		applyChange(s, ident.Change(fmt.Sprint("change-", i)), state.PutAdapter{Adapter: adapterName(i), Model: "base"}, 0)
	}
	return s
}

// addStateRow measures a state with n adapters: its memory, the size of its
// snapshot, and the times to encode, decode and change it.
func addStateRow(t *table, n int) error {
	before := heapInUse()
	s := stateWithAdapters(n)
	heap := heapGrowth(before)
	encoded, err := peer.EncodeSnapshot(s.View().Export())
	if err != nil {
		return err
	}
	encode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			_, _ = peer.EncodeSnapshot(s.View().Export())
		}
	})
	decode := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			snapshot, _ := peer.DecodeSnapshot(encoded)
			_, _ = state.Import(snapshot)
		}
	})
	changes := 0
	change := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			changes++
			name := adapterName(changes * 7919 % n)
			a, _ := s.View().Adapter(name)
			applyChange(s, ident.Change(fmt.Sprint("again-", changes)), state.PutAdapter{Adapter: name, Model: "base"}, a.Version)
		}
	})
	t.add(fmt.Sprint(n), formatMegabytes(heap), formatMegabytes(uint64(len(encoded))), timePerOp(encode), timePerOp(decode), timePerOp(change))
	return nil
}

// timePerOp formats the time of one operation.
func timePerOp(r testing.BenchmarkResult) string {
	d := time.Duration(r.NsPerOp())
	return strings.TrimSpace(d.Round(max(d/1000, 1)).String())
}

// addRouteRow measures the time of a routing decision and the memory of the
// directory, for the given numbers of replicas and adapters.
func addRouteRow(t *table, replicas, adapters int) {
	const model = "base"
	before := heapInUse()
	d := routing.NewDirectory(routing.Default())
	for i := range replicas {
		d.Put(routing.Replica{
			Upstream: ident.Upstream(fmt.Sprintf("engine-%04d", i)), Owner: ident.Daemon(fmt.Sprintf("d%03d", i%520)),
			DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%10)), Model: model, Slots: 4, MaxBatch: 8,
			Residents: []ident.Adapter{adapterName(i % adapters)}, CanLoad: true,
		})
	}
	for i := range adapters {
		d.Route(routing.Query{Model: model, Adapter: adapterName(i)})
	}
	heap := heapGrowth(before)
	names := make([]ident.Adapter, 1024)
	for i := range names {
		names[i] = adapterName(i * 83 % adapters)
	}
	i := 0
	route := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			i++
			d.Route(routing.Query{Model: model, Adapter: names[i%len(names)]})
		}
	})
	t.add(fmt.Sprint(replicas), fmt.Sprint(adapters), timePerOp(route), formatMegabytes(heap))
	runtime.KeepAlive(d)
}
