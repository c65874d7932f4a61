package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

// Guards against a placer that loses its lease because of its own load, so that
// nothing is loaded and most requests are refused: with 94 daemons that each
// wait for adapters, and 140 replicas, rounds of placement must be limited by
// time, not by the number of daemons.
func TestPlacingDoesNotGrowWithDaemons(t *testing.T) {
	const replicas, wants = 140, 3
	rounds := func(daemons int) int {
		var engines []*engine
		for i := range replicas {
			engines = append(engines, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 10))
		}
		sim := newSimulation(engines...)
		n, last := 0, sim.p.nextPlaceAt
		for i := range daemons {
			u := Usage{Daemon: ident.Daemon(fmt.Sprintf("d%d", i))}
			for j := range wants {
				u.Demands = append(u.Demands, sim.demand(adapter(i*wants+j), sim.now))
			}
			// All report within a fifth of a second.
			sim.now = sim.now.Add(200 * time.Millisecond / time.Duration(daemons))
			_, e := sim.p.ApplyUsage(sim.now, u)
			sim.apply(e)
			if sim.p.nextPlaceAt != last {
				n, last = n+1, sim.p.nextPlaceAt
			}
		}
		return n
	}
	few, many := rounds(10), rounds(94)
	t.Logf("rounds in 200 ms: %d with 10 daemons, %d with 94", few, many)
	assert.Assert(t, many <= 2*few, "%d rounds with 94 daemons, %d with 10", many, few)
}
