package witness_test

import (
	"testing"
	"time"

	"papayaspoke/core/coordination/witness"
)

// BenchmarkNodeSecond measures the processing time of one daemon for one second
// of steady state, without codecs and network.
func BenchmarkNodeSecond(b *testing.B) {
	for name, size := range map[string]struct{ daemons, witnesses int }{
		"11": {daemons: 11, witnesses: 11}, "520": {daemons: 520, witnesses: 11},
	} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, size.daemons)
			c.commit(c.names[:size.witnesses], "d00")
			c.step(c.nodes["d00"], witness.Leading{On: true})
			c.run(600 * time.Millisecond)
			for _, d := range c.names {
				c.answerRead(d)
			}
			c.run(1400 * time.Millisecond)
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size.daemons), "ns/node-second")
		})
	}
}
