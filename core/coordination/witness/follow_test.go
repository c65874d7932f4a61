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

// Guards against daemons that go by a replaced document while the core is in
// trouble: 94 daemons, of which five have a disk, and each of the others has what
// was committed within the 2.5 s that operators allow.
func TestFollowersLearnBesideACut(t *testing.T) {
	const daemons, disks, within = 94, 5, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	core := func(d ident.Daemon) int { return slices.Index(names(disks), d) }
	dark := func(p packet) bool { return core(p.to) >= 3 || core(p.from.name) >= 3 }
	cases := map[string]func(p packet) bool{
		"nothing wrong": nil,
		"core cut in two": func(p packet) bool {
			a, b := core(p.from.name), core(p.to)
			return a >= 0 && b >= 0 && (a < 3) != (b < 3)
		},
		"two of the core dark":  dark,
		"two dark, lossy links": func(p packet) bool { return dark(p) || random.IntN(5) == 0 },
		"a core that only follows hear": func(p packet) bool {
			return core(p.from.name) >= 0 && core(p.to) >= 0
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClusterOf(t, daemons, func(d ident.Daemon) bool { return core(d) < 0 })
			witnesses := c.names[:disks]
			c.commit(witnesses, c.names[0])
			c.step(c.nodes[c.names[0]], witness.Leading{On: true})
			c.run(600 * time.Millisecond)
			for _, d := range witnesses {
				c.read(d)
			}
			c.run(3 * time.Second)
			c.lose = lose
			// A majority of the disks commits, and hands on what it has.
			c.commit(witnesses, witnesses[:3]...)
			c.run(within)
			for _, d := range c.names[disks:] {
				assert.Equal(t, c.nodes[d].applied, uint64(len(c.log)), "%s", d)
			}
		})
	}
}

// names returns the names of the first daemons of a cluster.
func names(n int) []ident.Daemon {
	var out []ident.Daemon
	for i := range n {
		out = append(out, daemonName(i))
	}
	return out
}
