package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/result"
)

// TestAdmittedShare checks who is turned away when half of the misses can be
// served.
func TestAdmittedShare(t *testing.T) {
	patient := func(r *dispatch.Request) { r.Deadline = r.Arrived.Add(time.Minute) }
	asIs := func(*dispatch.Request) {}
	cases := map[string]struct {
		share    float64
		adapter  func(i int) string
		change   func(*dispatch.Request)
		min, max int
	}{
		"no excess":              {1, distinct, asIs, 0, 0},
		"half":                   {0.5, distinct, asIs, 9, 11},
		"requests that can wait": {0.5, distinct, patient, 0, 0},
		"resident":               {0, func(int) string { return "a" }, asIs, 0, 0},
		"joins a line":           {0.5, func(i int) string { return distinct(i / 20) }, asIs, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench("a", "b")
			b.step(dispatch.AdmissionShare{Share: c.share})
			for i := range 20 {
				b.arrive(c.adapter(i), c.change)
			}
			var refused int
			for _, e := range b.effects {
				if r, ok := e.(dispatch.Refuse); ok {
					assert.Equal(t, r.Err.Code(), result.Overloaded)
					refused++
				}
			}
			assert.Assert(t, refused >= c.min && refused <= c.max, "%d refused", refused)
		})
	}
}

func distinct(i int) string { return string(rune('c' + i)) }

// TestCarriedSuspicion checks that a request that was in flight at a crash
// elsewhere runs alone, and is convicted by a further crash.
func TestCarriedSuspicion(t *testing.T) {
	b := newBench("a", "b")
	first := b.arrive("b")
	bad := b.arrive("a", func(r *dispatch.Request) { r.Suspect, r.Retried = true, true })
	assert.DeepEqual(t, b.finish(first, dispatch.Done), []string{"send " + string(bad) + " to gpu1"})
	assert.DeepEqual(t, b.finish(bad, dispatch.Crashed), []string{"verdict 2", "fail " + string(bad) + " 303 false"})
}
