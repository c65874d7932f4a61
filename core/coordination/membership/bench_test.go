package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkNodeSecond measures one second of one daemon in the steady state,
// without codecs and network.
func BenchmarkNodeSecond(b *testing.B) {
	for _, n := range []int{11, 100, 520} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			f.acquaint()
			f.run(2 * time.Second)
			for b.Loop() {
				f.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/node-second")
		})
	}
}
