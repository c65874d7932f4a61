package consensus

import (
	"fmt"
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
	for _, m := range c.machines {
		c.step(m, EligibleDaemons(c.names(), nil, m.name == founder))
	}
}

func (c *cluster) names() []ident.Daemon {
	var names []ident.Daemon
	for _, m := range c.machines {
		names = append(names, m.name)
	}
	return names
}

// join starts a daemon with an empty disk.
func (c *cluster) join(name ident.Daemon) {
	m := &machine{name: name}
	c.machines = append(c.machines, m)
	c.start(m)
	c.introduce("")
}

// voters returns the names of the voters in the newest configuration.
func (c *cluster) voters() map[ident.Daemon]bool {
	out := make(map[ident.Daemon]bool)
	for _, v := range c.members.members.Voters() {
		out[v.Daemon] = true
	}
	return out
}

// TestOpenClusterTakesInAllDisks gives an odd number of disks a vote; the
// others hold the same.
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
				assert.Equal(t, len(c.voters()), TargetVoters(len(ds)))
			}
			c.commit()
			c.run(time.Second)
			for _, m := range c.machines {
				assert.Equal(t, m.applied, c.leader().applied, "%s does not hold all", m.name)
			}
		})
	}
}

// TestOpenClusterBearsTheNextLoss replaces a voter by an empty disk that comes
// a second later, and wipes another voter once the new one has had its time to
// catch up. An even number of voters, one of them dead, would have no majority
// left. It repeats what a hunted day broke (deploy/days/core.toml, seed
// 74967770070).
func TestOpenClusterBearsTheNextLoss(t *testing.T) {
	for _, lost := range []ident.Daemon{"a", "b", "c"} {
		for _, wiped := range []ident.Daemon{"a", "b", "c"} {
			if lost == wiped {
				continue
			}
			t.Run(string(lost+" then "+wiped), func(t *testing.T) {
				c := openCluster(t, "a", "b", "c")
				c.run(10 * time.Second)
				c.commit()
				c.crash(c.get(lost), 0)
				c.run(time.Second)
				c.join("x")
				c.run(4 * time.Second)
				c.commit()
				c.crash(c.get(wiped), 0)
				c.run(time.Second)
				c.wipe(c.get(wiped))
				c.introduce("")
				c.run(4 * time.Second)
				assert.Assert(t, c.leader() != nil)
				c.commit()
			})
		}
	}
}

// TestLeavingVoterHandsItsSeatOver announces that a voter will stop while
// another disk stands by: the seat has changed hands before the voter is gone,
// so another may fail right after.
func TestLeavingVoterHandsItsSeatOver(t *testing.T) {
	for _, leaving := range []ident.Daemon{"a", "b", "c"} {
		t.Run(string(leaving), func(t *testing.T) {
			c := openCluster(t, "a", "b", "c")
			c.run(10 * time.Second)
			c.join("x")
			c.run(4 * time.Second)
			assert.Equal(t, len(c.voters()), 3, "the new disk stands by")
			for _, m := range c.machines {
				c.step(m, EligibleDaemons(c.names(), nil, false))
				c.step(m, EligibleDaemons(c.names(), []ident.Daemon{leaving}, false))
			}
			c.step(c.get(leaving), TransferLeadership())
			c.run(time.Second)
			assert.Assert(t, !c.voters()[leaving])
			assert.Assert(t, c.voters()["x"])
			c.crash(c.get(leaving), 0)
			c.crash(c.leader(), 0)
			c.run(2 * time.Second)
			assert.Assert(t, c.leader() != nil)
			c.commit()
		})
	}
}

// TestGoneLearnersMakeRoom replaces the disk that stands by again and again.
func TestGoneLearnersMakeRoom(t *testing.T) {
	c := openCluster(t, "a", "b", "c", "d")
	c.run(10 * time.Second)
	for i := range 2 * maxLearners {
		for _, m := range c.machines {
			if !c.voters()[m.name] && !m.down {
				c.crash(m, 0)
			}
		}
		c.run(10 * time.Second)
		c.join(ident.Daemon(fmt.Sprintf("x%d", i)))
		c.run(4 * time.Second)
	}
	lost := c.leader()
	c.crash(lost, 0)
	c.run(8 * time.Second)
	assert.Assert(t, !c.voters()[lost.name])
	assert.Equal(t, len(c.voters()), 3)
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
				c.join(next)
				c.run(15 * time.Second)
				assert.Assert(t, c.voters()[next] || len(ds) > 3, "%s has no seat", next)
				assert.Assert(t, !c.voters()[lost.name], "%s has a seat", lost.name)
				assert.Equal(t, len(c.voters()), 3)
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

// TestOpenClusterVacatesASeat removes a fifth voter that stays away, and takes
// it back when it returns with its disk.
func TestOpenClusterVacatesASeat(t *testing.T) {
	c := openCluster(t, "a", "b", "c", "d", "e")
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
	c.run(20 * time.Second)
	c.crash(c.get("b"), 0)
	c.run(20 * time.Second)
	c.crash(d, 0)
	c.run(time.Minute)
	assert.Assert(t, len(c.voters()) >= 3)
}
