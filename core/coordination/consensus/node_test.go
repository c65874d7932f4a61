package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFirstLeaderCommits(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	c.elect()
	c.commit()
	c.run(time.Second)
	for _, m := range c.machines {
		assert.Equal(t, m.applied, c.newest)
		assert.Equal(t, len(m.node.Members().Voters()), 3)
	}
}
