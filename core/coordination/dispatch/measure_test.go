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
	policy = rules{"policy", dispatch.Default(), routing.Default()}
	naive  = rules{"naive", dispatch.Naive(), routing.Naive()}
	causes = flag.Bool("causes", false, "print why requests were refused with the tables")
	tables = flag.Bool("tables", false, "print the tables of TestMeasure")
)

var seed = flag.Uint64("seed", 1, "seed of the workloads")

type cell struct{ size, workload, rules string }

// measure runs every workload at both sizes with both policies, once for all
// tests of this package.
var measure = sync.OnceValue(func() map[cell]*world {
	out := make(map[cell]*world)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range sizes {
		for _, name := range workloadNames() {
			for _, r := range []rules{policy, naive} {
				wg.Go(func() {
					w := run(s, name, r, *seed)
					mu.Lock()
					defer mu.Unlock()
					out[cell{s.name, name, r.name}] = w
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

// TestMeasure prints the figures of policy and naive side by side and checks
// that no run broke an invariant.
func TestMeasure(t *testing.T) {
	var b strings.Builder
	for _, s := range sizes {
		fmt.Fprintf(&b, header, s.name, s.replicas, s.slots, s.batch, s.limits.PerSecond)
		for _, name := range workloadNames() {
			for _, r := range []rules{policy, naive} {
				w := measure()[cell{s.name, name, r.name}]
				w.stats.row(&b, name, r.name)
				if *causes && r.name == "policy" {
					fmt.Fprintf(&b, "   %v popular %.4f\n", w.stats.causes, w.stats.popularHits())
				}
				assert.Check(t, len(w.faults) == 0, "%s %s %s: %d faults, the first %q", s.name, name, r.name, len(w.faults), append(w.faults, "")[0])
			}
		}
	}
	if *tables {
		fmt.Println(b.String())
	}
}

func (s *stats) row(b *strings.Builder, name, rules string) {
	fmt.Fprintf(b, "%-18s | %-6s | %7.2f | %6.2f | %8.2f | %5.2f | %5.2f | %5.2f | %5.1f | %5d | %6d | %7d | %5d | %7d | %6d | %4d | %7d\n",
		name, rules, 100*s.within("urgent"), 100*s.within("notes"), 100*s.within("letters"),
		seconds(s.stall(0.5)), seconds(s.stall(0.95)), seconds(s.stall(0.99)), 100*s.fill(),
		s.loads, s.wasted, s.transit, s.perSecond, s.refused, s.failed, s.lost, s.crashes)
}

func seconds(d time.Duration) float64 { return d.Seconds() }
