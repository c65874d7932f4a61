package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkNodeSecond measures the CPU time that one daemon needs for one
// second in the steady state, without encoding and network.
func BenchmarkNodeSecond(b *testing.B) {
	for _, n := range []int{11, 100, 520} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestCluster(n)
			c.shareAllRecords()
			c.run(2 * time.Second)
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/node-second")
		})
	}
}
