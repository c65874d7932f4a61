package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

// Guards against a placer that loses its lease to its own work, so that nothing is
// loaded and most requests are refused: 94 daemons that each wait for adapters, in
// front of 140 replicas, have it place by time, not by their number.
func TestPlacingDoesNotGrowWithDaemons(t *testing.T) {
	const replicas, wants = 140, 3
	rounds := func(daemons int) int {
		var engines []*engine
		for i := range replicas {
			engines = append(engines, newEngine(ident.Upstream(fmt.Sprintf("r%d", i)), 10))
		}
		b := newBench(engines...)
		n, last := 0, b.p.placeAt
		for i := range daemons {
			u := Usage{Daemon: ident.Daemon(fmt.Sprintf("d%d", i))}
			for j := range wants {
				u.Demands = append(u.Demands, b.demand(adapter(i*wants+j), b.now))
			}
			// All speak within a fifth of a second.
			b.now = b.now.Add(200 * time.Millisecond / time.Duration(daemons))
			_, e := b.p.ApplyUsage(b.now, u)
			b.carry(e)
			if b.p.placeAt != last {
				n, last = n+1, b.p.placeAt
			}
		}
		return n
	}
	few, many := rounds(10), rounds(94)
	t.Logf("rounds in 200 ms: %d of 10 daemons, %d of 94", few, many)
	assert.Assert(t, many <= 2*few, "%d rounds of 94 daemons, %d of 10", many, few)
}
