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

// adapterSizes are numbers of adapters in the catalogue.
var adapterSizes = []int{1_000, 10_000, 86_000}

// routeSizes are numbers of replicas and adapters.
var routeSizes = []struct{ replicas, adapters int }{{33, 1_000}, {33, 86_000}, {430, 86_000}, {4_300, 86_000}}

// pure measures the parts that need no process.
func pure(out io.Writer, _ string) error {
	t := newTable("against adapters: the replicated state", "adapters", "heap", "snapshot", "encode", "decode", "one change")
	for _, n := range adapterSizes {
		if err := stateRow(t, n); err != nil {
			return err
		}
	}
	if err := t.print(out); err != nil {
		return err
	}
	r := newTable("one placement decision", "replicas", "adapters", "time", "heap of the directory")
	for _, s := range routeSizes {
		routeRow(r, s.replicas, s.adapters)
	}
	return r.print(out)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// grown returns by how much the heap grew; garbage of before may have gone
// meanwhile.
func grown(before uint64) uint64 {
	after := heap()
	return after - min(before, after)
}

func adapterName(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("municipality-%06d", i), Version: "2026-01-02"}
}

func put(s *state.State, id ident.Change, e state.Edit, expected uint64) {
	s.Apply(s.Index()+1, state.Change{ID: id, Author: "operator", ProposedAt: time.Unix(1, 0).UTC(), Expected: expected, Edit: e})
}

func filledState(n int) *state.State {
	s := state.New()
	put(s, "model", state.PutModel{Name: "base"}, 0)
	for i := range n {
		put(s, ident.Change(fmt.Sprint("change-", i)), state.PutAdapter{Adapter: adapterName(i), Model: "base"}, 0)
	}
	return s
}

func stateRow(t *table, n int) error {
	before := heap()
	s := filledState(n)
	kept := grown(before)
	saved, err := peer.EncodeSnapshot(s.View().Export())
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
			snapshot, _ := peer.DecodeSnapshot(saved)
			_, _ = state.Import(snapshot)
		}
	})
	changed := 0
	change := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			changed++
			name := adapterName(changed * 7919 % n)
			a, _ := s.View().Adapter(name)
			put(s, ident.Change(fmt.Sprint("again-", changed)), state.PutAdapter{Adapter: name, Model: "base"}, a.Version)
		}
	})
	t.add(fmt.Sprint(n), mega(kept), mega(uint64(len(saved))), each(encode), each(decode), each(change))
	return nil
}

// each returns the time of one operation.
func each(r testing.BenchmarkResult) string {
	d := time.Duration(r.NsPerOp())
	return strings.TrimSpace(d.Round(max(d/1000, 1)).String())
}

func routeRow(t *table, replicas, adapters int) {
	const model = "base"
	before := heap()
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
	kept := grown(before)
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
	t.add(fmt.Sprint(replicas), fmt.Sprint(adapters), each(route), mega(kept))
	runtime.KeepAlive(d)
}
