package consensus

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// catchUpTime is how long after a machine's return another one may be lost.
	catchUpTime = 4 * time.Second
	// readInterval is the time between two linearizable reads, less than
	// HeartbeatInterval.
	readInterval = 20 * time.Millisecond
)

// runReading runs the cluster while the leader gets one read after another.
func (c *cluster) runReading(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(readInterval)
		if l := c.leader(); l != nil {
			c.startRead(l)
		}
		c.settle()
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
