package peer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// sizes are numbers of adapters: a small, a typical and a large installation.
var sizes = []int{1_000, 10_000, 86_000}

func adapterName(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("municipality-%06d", i), Version: "2026-01-02"}
}

// stateWithAdapters returns a state that holds one model and n adapters.
func stateWithAdapters(tb testing.TB, n int) *state.State {
	s := state.New()
	apply := func(e state.Edit) {
		id := ident.Change(fmt.Sprint("change-", s.Index()))
		out := s.Apply(s.Index()+1, state.Change{ID: id, Author: "operator", ProposedAt: time.Unix(1, 0).UTC(), Edit: e})
		assert.Equal(tb, out.Code, result.OK)
	}
	apply(state.PutModel{Name: "base"})
	for i := range n {
		apply(state.PutAdapter{Adapter: adapterName(i), Model: "base"})
	}
	return s
}

func benchmarkSizes(b *testing.B, f func(b *testing.B, s *state.State, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := stateWithAdapters(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, s, n)
		})
	}
}

// BenchmarkPutAdapter replaces existing adapters, one per iteration.
func BenchmarkPutAdapter(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *state.State, n int) {
		for i := range b.N {
			name := adapterName(i * 7919 % n)
			a, _ := s.View().Adapter(name)
			out := s.Apply(s.Index()+1, state.Change{
				ID: ident.Change(fmt.Sprint("again-", i)), Expected: a.Version, Edit: state.PutAdapter{Adapter: name, Model: "base"},
			})
			assert.Equal(b, out.Code, result.OK)
		}
	})
}

// viewSink makes a View escape to the heap, as it does in a daemon.
var viewSink = make(chan *state.View, 1<<10)

func BenchmarkView(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *state.State, _ int) {
		var v *state.View
		for b.Loop() {
			v = s.View()
		}
		viewSink <- v
	})
}

func BenchmarkLookup(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *state.State, n int) {
		v := s.View()
		name := adapterName(n / 3)
		for b.Loop() {
			if _, ok := v.Adapter(name); !ok {
				b.Fatal("adapter is missing")
			}
		}
	})
}

// BenchmarkSnapshot exports and encodes a state; it reports the encoded size.
func BenchmarkSnapshot(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *state.State, _ int) {
		var size int
		for b.Loop() {
			size = len(encodeState(b, s))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkRestore decodes and imports a state; it reports the heap that the
// restored state retains.
func BenchmarkRestore(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *state.State, _ int) {
		saved := encodeState(b, s)
		var retained uint64
		for b.Loop() {
			before := heapBytes()
			restored := decodeState(b, saved)
			retained = heapBytes() - before
			runtime.KeepAlive(restored)
		}
		b.ReportMetric(float64(retained), "heapbytes")
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLedger encodes, decodes and applies the Begin and Finish commands
// of one request.
func BenchmarkLedger(b *testing.B) {
	s := state.New()
	noon := time.Unix(1_700_000_000, 0).UTC()
	b.ReportAllocs()
	for i := range b.N {
		key := ident.Key(fmt.Sprint("key-", i))
		out := s.Apply(s.Index()+1, roundTripCommand(b, state.Begin{
			Scope: "booking", Key: key, Digest: "0123456789abcdef", Owner: "d", OwnerIncarnation: 1,
			Attempt: "attempt", ProposedAt: noon, Deadline: noon.Add(time.Duration(i%1000+1) * time.Second),
		}))
		assert.Assert(b, out.Granted)
		s.Apply(s.Index()+1, roundTripCommand(b, state.Finish{
			Scope: "booking", Key: key, Attempt: "attempt", Answer: state.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 64)},
		}))
		if s.View().CountEntries() > state.MaxEntries/2 {
			s.Apply(s.Index()+1, state.Expire{Until: noon.Add(time.Hour)})
			noon = noon.Add(time.Hour)
		}
	}
}
