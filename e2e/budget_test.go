package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/io/standin/cluster"
)

// A daemon without a disk is no voter, but must find the leader, which holds the
// load budget, and the next leader after a kill. Otherwise it would keep using
// its fixed share of the budget.
func TestDaemonWithoutDiskFindsTheBudget(t *testing.T) {
	const diskless = "athens"
	c := startCluster(t, append([]cluster.DaemonSpec{{Name: diskless, DataCentre: "piraeus"}}, cluster.ThreeDaemons...)...)
	followsLeader := func(leader string) func() bool {
		return func() bool {
			d, err := c.Dump(c.ctx, diskless)
			return err == nil && d.Leader == leader && !d.Fallback
		}
	}
	voters := otherDaemons(c, diskless)
	leader := c.waitForLeader(voters...)
	c.eventually("the daemon without a disk follows the leader", followsLeader(leader))
	c.Daemon(leader).Kill()
	var remaining []string
	for _, name := range voters {
		if name != leader {
			remaining = append(remaining, name)
		}
	}
	next := c.waitForLeader(remaining...)
	assert.Assert(t, next != leader)
	c.eventually("the daemon without a disk follows the next leader", followsLeader(next))
}
