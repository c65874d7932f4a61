package dispatch_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/routing"
)

var (
	defaultPolicies = policies{"policy", dispatch.Default(), routing.Default()}
	naivePolicies   = policies{"naive", dispatch.Naive(), routing.Naive()}
	causes          = flag.Bool("causes", false, "print why requests were refused with the tables")
	tables          = flag.Bool("tables", false, "print the tables of TestMeasure")
)

var seed = flag.Uint64("seed", 1, "seed of the workloads")

type runKey struct{ size, workload, policies string }

// simulateAll runs every workload on both cluster sizes with both policies. The
// results are shared by all tests of this package.
var simulateAll = sync.OnceValue(func() map[runKey]*simulation {
	out := make(map[runKey]*simulation)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range clusterSizes {
		for _, name := range workloadNames() {
			for _, r := range []policies{defaultPolicies, naivePolicies} {
				wg.Go(func() {
					sim := simulate(s, name, r, *seed)
					mu.Lock()
					defer mu.Unlock()
					out[runKey{s.name, name, r.name}] = sim
				})
			}
		}
	}
	wg.Wait()
	return out
})

const header = `%s: %d replicas, %d slots, batch %d, %d loads a second
workload           |        | urgent%% | notes%% | letters%% | p50 s | p95 s | p99 s | fill%% | loads | wasted | transit | per s | refused | failed | lost | crashes
---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:
`

// TestMeasure prints the figures of the default and naive policies side by side
// and checks that no run violated an invariant.
func TestMeasure(t *testing.T) {
	var b strings.Builder
	for _, s := range clusterSizes {
		fmt.Fprintf(&b, header, s.name, s.replicas, s.slots, s.maxBatch, s.limits.PerSecond)
		for _, name := range workloadNames() {
			for _, r := range []policies{defaultPolicies, naivePolicies} {
				sim := simulateAll()[runKey{s.name, name, r.name}]
				sim.stats.row(&b, name, r.name)
				if *causes && r.name == "policy" {
					fmt.Fprintf(&b, "   %v popular %.4f\n", sim.stats.causes, sim.stats.popularHits())
				}
				assert.Check(t, len(sim.violations) == 0, "%s %s %s: %d invariants violated, the first %q", s.name, name, r.name, len(sim.violations), append(sim.violations, "")[0])
			}
		}
	}
	if *tables {
		fmt.Println(b.String())
	}
}

func (s *stats) row(b *strings.Builder, name, rules string) {
	fmt.Fprintf(b, "%-18s | %-6s | %7.2f | %6.2f | %8.2f | %5.2f | %5.2f | %5.2f | %5.1f | %5d | %6d | %7d | %5d | %7d | %6d | %4d | %7d\n",
		name, rules, 100*s.withinTarget("urgent"), 100*s.withinTarget("notes"), 100*s.withinTarget("letters"),
		seconds(s.stallQuantile(0.5)), seconds(s.stallQuantile(0.95)), seconds(s.stallQuantile(0.99)), 100*s.batchFill(),
		s.loads, s.wasted, s.maxInTransit, s.maxPerSecond, s.refused, s.failed, s.lost, s.crashes)
}

func seconds(d time.Duration) float64 { return d.Seconds() }
