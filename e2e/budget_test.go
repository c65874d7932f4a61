package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/io/standin/cluster"
)

// A daemon without a disk finds the leader, which holds the load budget, and
// finds the next one after a kill; it does not stay on its fixed share.
func TestDaemonWithoutDiskFindsTheBudget(t *testing.T) {
	const diskless = "athens"
	w := startCluster(t, append([]cluster.DaemonSpec{{Name: diskless, DataCentre: "piraeus"}}, cluster.ThreeDaemons...)...)
	follows := func(leader string) func() bool {
		return func() bool {
			d, err := w.Dump(w.ctx, diskless)
			return err == nil && d.Leader == leader && !d.Fallback
		}
	}
	voters := otherDaemons(w, diskless)
	leader := w.waitForLeader(voters...)
	w.eventually("the daemon without a disk follows the leader", follows(leader))
	w.Daemon(leader).Kill()
	var rest []string
	for _, name := range voters {
		if name != leader {
			rest = append(rest, name)
		}
	}
	next := w.waitForLeader(rest...)
	assert.Assert(t, next != leader)
	w.eventually("it follows the next leader", follows(next))
}
