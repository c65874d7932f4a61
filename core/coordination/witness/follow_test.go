package witness_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

// TestFollowersLearnBesideACut guards against followers that keep using an
// outdated routing document during a partition: with 94 daemons, five of them
// with a disk, each of the others must have what was committed within 2.5 s,
// the time that operators accept.
func TestFollowersLearnBesideACut(t *testing.T) {
	const daemons, disks, within = 94, 5, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	core := func(d ident.Daemon) int { return slices.Index(daemonNames(disks), d) }
	isolated := func(p packet) bool { return core(p.to) >= 3 || core(p.from.name) >= 3 }
	cases := map[string]func(p packet) bool{
		"nothing wrong": nil,
		"core cut in two": func(p packet) bool {
			a, b := core(p.from.name), core(p.to)
			return a >= 0 && b >= 0 && (a < 3) != (b < 3)
		},
		"two of the core dark":  isolated,
		"two dark, lossy links": func(p packet) bool { return isolated(p) || random.IntN(5) == 0 },
		"a core that only follows hear": func(p packet) bool {
			return core(p.from.name) >= 0 && core(p.to) >= 0
		},
	}
	for name, drop := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClusterOf(t, daemons, func(d ident.Daemon) bool { return core(d) < 0 })
			witnesses := c.names[:disks]
			c.commit(witnesses, c.names[0])
			c.step(c.nodes[c.names[0]], witness.Leading{On: true})
			c.run(600 * time.Millisecond)
			for _, d := range witnesses {
				c.answerRead(d)
			}
			c.run(3 * time.Second)
			c.drop = drop
			// A majority of the core commits an entry.
			c.commit(witnesses, witnesses[:3]...)
			c.run(within)
			for _, d := range c.names[disks:] {
				assert.Equal(t, c.nodes[d].applied, uint64(len(c.log)), "%s", d)
			}
		})
	}
}

// daemonNames returns the names of the first n daemons of a cluster.
func daemonNames(n int) []ident.Daemon {
	var out []ident.Daemon
	for i := range n {
		out = append(out, daemonName(i))
	}
	return out
}
