package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

// openCluster makes nodes that nobody lists. The first name founds.
func openCluster(t *testing.T, names ...ident.Daemon) *cluster {
	t.Helper()
	c := openMachines(t, names...)
	c.introduce(names[0])
	return c
}

// openMachines starts nodes that know of no one yet.
func openMachines(t *testing.T, names ...ident.Daemon) *cluster {
	t.Helper()
	c := newCluster(t, 1)
	c.open = true
	for _, name := range names {
		m := &machine{name: name}
		c.machines = append(c.machines, m)
		c.start(m)
	}
	return c
}

// introduce tells all nodes which daemons have a disk.
func (c *cluster) introduce(founder ident.Daemon) {
	var names []ident.Daemon
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	for _, m := range c.machines {
		c.step(m, Candidates(names, m.name == founder))
	}
}

// voters returns the names of the voters in the newest configuration.
func (c *cluster) voters() map[ident.Daemon]bool {
	out := make(map[ident.Daemon]bool)
	for _, v := range c.members.members.Voters() {
		out[v.Daemon] = true
	}
	return out
}

func TestOpenClusterTakesInAllDisks(t *testing.T) {
	cases := map[string][]ident.Daemon{
		"one":   {"a"},
		"three": {"a", "b", "c"},
		"four":  {"a", "b", "c", "d"},
		"six":   {"a", "b", "c", "d", "e", "f"},
	}
	for name, ds := range cases {
		t.Run(name, func(t *testing.T) {
			c := openCluster(t, ds...)
			c.run(10 * time.Second)
			assert.Assert(t, c.leader() != nil)
			assert.Equal(t, c.clusters, 1)
			if len(ds) > 1 {
				assert.Equal(t, len(c.voters()), len(ds))
			}
			c.commit()
		})
	}
}

func TestOpenClusterNeedsItsFounder(t *testing.T) {
	c := openMachines(t, "a", "b", "c")
	c.introduce("")
	c.run(10 * time.Second)
	assert.Assert(t, c.leader() == nil)
	assert.Equal(t, c.clusters, 0)
}

// TestOpenClusterReplacesAVoter loses a voter for good; another daemon with an
// empty disk takes its seat, and the cluster then bears the next loss.
func TestOpenClusterReplacesAVoter(t *testing.T) {
	names := map[string][]ident.Daemon{"three": {"a", "b", "c"}, "four": {"a", "b", "c", "d"}}
	for name, ds := range names {
		t.Run(name, func(t *testing.T) {
			c := openCluster(t, ds...)
			c.run(10 * time.Second)
			for _, next := range []ident.Daemon{"x", "y"} {
				c.commit()
				lost := c.leader()
				c.crash(lost, 0)
				m := &machine{name: next}
				c.machines = append(c.machines, m)
				c.start(m)
				c.introduce("")
				c.run(15 * time.Second)
				assert.Assert(t, c.voters()[next], "%s has no seat", next)
				assert.Assert(t, !c.voters()[lost.name], "%s has a seat", lost.name)
				assert.Equal(t, len(c.voters()), len(ds))
			}
			c.commit()
		})
	}
}

// TestOpenClusterTakesAWipedVoterBack wipes one disk after the other.
func TestOpenClusterTakesAWipedVoterBack(t *testing.T) {
	c := openCluster(t, "a", "b", "c")
	c.run(10 * time.Second)
	for _, m := range c.machines {
		c.commit()
		c.wipe(m)
		c.introduce("")
		c.run(10 * time.Second)
		assert.Equal(t, len(c.voters()), 3)
	}
	c.commit()
}

// TestOpenClusterVacatesASeat removes a fourth voter that stays away, and takes
// it back when it returns with its disk.
func TestOpenClusterVacatesASeat(t *testing.T) {
	c := openCluster(t, "a", "b", "c", "d")
	c.run(10 * time.Second)
	d := c.get("d")
	c.crash(d, 0)
	c.run(4 * time.Second)
	assert.Assert(t, c.voters()["d"], "a short absence costs no seat")
	c.run(10 * time.Second)
	assert.Assert(t, !c.voters()["d"])
	c.start(d)
	c.introduce("")
	c.run(10 * time.Second)
	assert.Assert(t, c.voters()["d"])
	// Three seats are kept even if one of them is empty.
	c.crash(c.get("c"), 0)
	c.crash(d, 0)
	c.run(time.Minute)
	assert.Assert(t, len(c.voters()) >= 3)
}
