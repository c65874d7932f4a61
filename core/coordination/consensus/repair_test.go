package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

const (
	// catchUpTime is how long after a machine's return another one may be lost.
	catchUpTime = 4 * time.Second
	// joinTime is how long a daemon that has just started knows no others.
	joinTime = 300 * time.Millisecond
	// readInterval is the time between two linearizable reads, less than
	// HeartbeatInterval. Each message takes as long.
	readInterval = 20 * time.Millisecond
)

// runReading runs the cluster while the leader gets one read after another.
func (c *cluster) runReading(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(readInterval)
		if l := c.leader(); l != nil {
			c.startRead(l)
		}
		c.deliverPending()
	}
}

// hasVoters reports whether the disks of exactly these machines are the voters.
func (c *cluster) hasVoters(machines []*machine) bool {
	for _, m := range machines {
		if !c.latestConfig.members.IsVoter(m.voter()) {
			return false
		}
	}
	return len(c.latestConfig.members.voters) == len(machines)
}

// TestDisksLostInTurn guards against a cluster that is not whole again when the
// next machine may be lost: it then loses a majority of its disks for good.
func TestDisksLostInTurn(t *testing.T) {
	victims := map[string]func(c *cluster, turn int) *machine{
		"leader": func(c *cluster, _ int) *machine { return c.elect() },
		"follower": func(c *cluster, turn int) *machine {
			l := c.elect()
			m := c.machines[turn%len(c.machines)]
			if m == l {
				m = c.machines[(turn+1)%len(c.machines)]
			}
			return m
		},
		"any": func(c *cluster, turn int) *machine { return c.machines[turn%len(c.machines)] },
	}
	sizes := map[string][]ident.Daemon{"three": {"a", "b", "c"}, "five": {"a", "b", "c", "d", "e"}}
	for victim, choose := range victims {
		for size, names := range sizes {
			for _, down := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s of %s, down for %s", victim, size, down), func(t *testing.T) {
					c := newOpenCluster(t, names...)
					c.run(10 * time.Second)
					for turn := range 20 {
						c.commit()
						m := choose(c, turn)
						c.crash(m, 0)
						c.runReading(down)
						c.wipe(m)
						c.runReading(joinTime)
						c.setEligible()
						c.runReading(catchUpTime - joinTime)
						assert.Assert(t, c.hasVoters(c.machines), "not whole after loss %d: %v", turn+1, c.latestConfig.members)
					}
					c.commit()
				})
			}
		}
	}
}

// TestDiskLostWhileAnotherIsDown guards against a new disk that stays a learner
// because another of five voters is down.
func TestDiskLostWhileAnotherIsDown(t *testing.T) {
	c := newOpenCluster(t, "a", "b", "c", "d", "e")
	c.run(10 * time.Second)
	down, lost := c.nodeNamed("b"), c.nodeNamed("d")
	c.crash(down, 0)
	c.crash(lost, 0)
	c.runReading(100 * time.Millisecond)
	c.wipe(lost)
	c.setEligible()
	c.runReading(catchUpTime)
	c.crash(c.nodeNamed("c"), 0)
	c.runReading(2 * time.Second)
	assert.Assert(t, c.leader() != nil)
	c.commit()
}

// TestDisksLostWhileOthersAreDark guards against an acknowledged entry that can't be
// read any more although a majority of the disks is still there: some voters are down
// for longer than a repair takes, and keep their disks, and as many disks as may be
// lost are lost meanwhile.
func TestDisksLostWhileOthersAreDark(t *testing.T) {
	for dark := 1; dark <= 2; dark++ {
		for _, downFor := range []time.Duration{5 * time.Second, 11 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%d dark for %s", dark, downFor), func(t *testing.T) {
				c := newOpenCluster(t, "a", "b", "c", "d", "e")
				c.run(10 * time.Second)
				for _, m := range c.machines[:dark] {
					c.crash(m, 0)
				}
				c.run(downFor)
				c.commit()
				lost := c.machines[3:]
				for _, m := range lost {
					c.crash(m, 0)
				}
				c.run(time.Second)
				for _, m := range c.machines[:dark] {
					c.start(m)
				}
				for _, m := range lost {
					c.wipe(m)
				}
				c.setEligible()
				c.run(15 * time.Second)
				assert.Assert(t, c.leader() != nil)
				c.commit()
				assert.Assert(t, c.hasVoters(c.machines))
			})
		}
	}
}

// TestLeaderTasksDuringReads guards against tasks of the leader that frequent
// reads put off for as long as they come.
func TestLeaderTasksDuringReads(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	l := c.elect()
	m := c.nodeNamed("b")
	if m == l {
		m = c.nodeNamed("c")
	}
	c.propose(l)
	c.network = slices.DeleteFunc(c.network, func(msg Message) bool { return msg.Kind == Append && msg.To == m.voter() })
	c.runReading(time.Second)
	assert.Equal(t, m.applied, c.lastCommitted, "a lost message was not sent again")
	c.wipe(m)
	c.runReading(catchUpTime)
	assert.Assert(t, c.latestConfig.members.IsVoter(m.voter()), "the new disk is not a voter")
}

// TestSecondProcessDisplacesNobody checks that another process of a voter's name
// doesn't take the place of a voter that still replies, however often it asks.
func TestSecondProcessDisplacesNobody(t *testing.T) {
	c := newOpenCluster(t, "a", "b", "c")
	c.run(10 * time.Second)
	l := c.elect()
	before := c.latestConfig.members
	for _, m := range c.machines {
		if m == l {
			continue
		}
		second := Voter{m.name, "second"}
		for range 100 {
			c.run(HeartbeatInterval)
			c.step(l, Receive(Message{Kind: Probe, From: second, To: l.voter()}))
		}
	}
	assert.DeepEqual(t, c.latestConfig.members.Voters(), before.Voters())
	assert.Equal(t, len(c.latestConfig.members.Learners()), 0)
}

// TestLateWordOfALostDisk checks that a disk that is lost itself displaces nobody
// by a message that arrives late, even while its successor is silent.
func TestLateWordOfALostDisk(t *testing.T) {
	c := newOpenCluster(t, "a", "b", "c")
	c.run(10 * time.Second)
	l := c.elect()
	m := c.machines[0]
	if m == l {
		m = c.machines[1]
	}
	lost := m.voter()
	c.wipe(m)
	c.setEligible()
	c.run(catchUpTime)
	assert.Assert(t, c.hasVoters(c.machines))
	m.cut = true
	for range 10 {
		c.run(HeartbeatInterval)
		c.step(l, Receive(Message{Kind: Probe, Cluster: "cluster", From: lost, To: l.voter()}))
	}
	c.run(catchUpTime)
	m.cut = false
	c.run(catchUpTime)
	assert.Assert(t, c.hasVoters(c.machines))
	c.commit()
}
