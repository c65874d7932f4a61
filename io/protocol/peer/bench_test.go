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

// sizes are numbers of adapters: a small user, today's users, and a large one.
var sizes = []int{1_000, 10_000, 86_000}

func adapterNumber(i int) ident.Adapter {
	return ident.Adapter{Name: fmt.Sprintf("municipality-%06d", i), Version: "2026-01-02"}
}

// filled returns a state with n adapters.
func filled(tb testing.TB, n int) *state.State {
	s := state.New()
	apply := func(e state.Edit) {
		id := ident.Change(fmt.Sprint("change-", s.Index()))
		out := s.Apply(s.Index()+1, state.Change{ID: id, Author: "operator", ProposedAt: time.Unix(1, 0).UTC(), Edit: e})
		assert.Equal(tb, out.Code, result.OK)
	}
	apply(state.PutModel{Name: "base"})
	for i := range n {
		apply(state.PutAdapter{Adapter: adapterNumber(i), Model: "base"})
	}
	return s
}

func bySize(b *testing.B, f func(b *testing.B, s *state.State, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := filled(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, s, n)
		})
	}
}

// BenchmarkPutAdapter changes one adapter after the other.
func BenchmarkPutAdapter(b *testing.B) {
	bySize(b, func(b *testing.B, s *state.State, n int) {
		for i := range b.N {
			name := adapterNumber(i * 7919 % n)
			a, _ := s.View().Adapter(name)
			out := s.Apply(s.Index()+1, state.Change{
				ID: ident.Change(fmt.Sprint("again-", i)), Expected: a.Version, Edit: state.PutAdapter{Adapter: name, Model: "base"},
			})
			assert.Equal(b, out.Code, result.OK)
		}
	})
}

// views lets a View escape to the heap, as it does in a daemon.
var views = make(chan *state.View, 1<<10)

func BenchmarkView(b *testing.B) {
	bySize(b, func(b *testing.B, s *state.State, _ int) {
		var v *state.View
		for b.Loop() {
			v = s.View()
		}
		views <- v
	})
}

func BenchmarkLookup(b *testing.B) {
	bySize(b, func(b *testing.B, s *state.State, n int) {
		v := s.View()
		name := adapterNumber(n / 3)
		for b.Loop() {
			if _, ok := v.Adapter(name); !ok {
				b.Fatal("adapter is missing")
			}
		}
	})
}

// BenchmarkSnapshot exports and encodes; it reports the size in bytes.
func BenchmarkSnapshot(b *testing.B) {
	bySize(b, func(b *testing.B, s *state.State, _ int) {
		var size int
		for b.Loop() {
			size = len(save(b, s))
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

// BenchmarkRestore decodes and imports; it reports the heap that is kept.
func BenchmarkRestore(b *testing.B) {
	bySize(b, func(b *testing.B, s *state.State, _ int) {
		saved := save(b, s)
		var kept uint64
		for b.Loop() {
			before := heap()
			restored := restore(b, saved)
			kept = heap() - before
			runtime.KeepAlive(restored)
		}
		b.ReportMetric(float64(kept), "heapbytes")
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLedger applies the Begin and Finish of one request, with the codec.
func BenchmarkLedger(b *testing.B) {
	s := state.New()
	noon := time.Unix(1_700_000_000, 0).UTC()
	b.ReportAllocs()
	for i := range b.N {
		key := ident.Key(fmt.Sprint("key-", i))
		out := s.Apply(s.Index()+1, throughBytes(b, state.Begin{
			Scope: "booking", Key: key, Digest: "0123456789abcdef", Owner: "d", OwnerIncarnation: 1,
			Attempt: "attempt", ProposedAt: noon, Deadline: noon.Add(time.Duration(i%1000+1) * time.Second),
		}))
		assert.Assert(b, out.Granted)
		s.Apply(s.Index()+1, throughBytes(b, state.Finish{
			Scope: "booking", Key: key, Attempt: "attempt", Answer: state.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 64)},
		}))
		if s.View().CountEntries() > state.MaxEntries/2 {
			s.Apply(s.Index()+1, state.Expire{Until: noon.Add(time.Hour)})
			noon = noon.Add(time.Hour)
		}
	}
}
