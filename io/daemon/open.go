package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
)

// tickOpen tells the voter of an open cluster which daemons have a disk, and
// whether it founds the cluster.
func (c *control) tickOpen(time time.Time) {
	if c.voter == nil || !c.open {
		return
	}
	var names []ident.Daemon
	for _, d := range c.members.Daemons() {
		if d.Disk != "" {
			names = append(names, d.Name)
		}
	}
	founder := c.founder && c.founds()
	if slices.Equal(names, c.disks) && founder == c.founding {
		return
	}
	c.disks, c.founding = names, founder
	c.log.Info("daemons with a disk", "names", names, "founder", founder)
	c.stepVoter(time, consensus.Candidates(names, founder))
}

// founds reports whether this daemon founds the cluster: it is the first of
// the seeds that has a disk. A seed that has not shown itself yet might be.
func (c *control) founds() bool {
	byPeer := make(map[string]membership.Daemon)
	for _, d := range c.members.Daemons() {
		byPeer[d.Peer] = d
	}
	for _, seed := range c.seeds {
		d, ok := byPeer[seed]
		if !ok {
			return false
		}
		if d.Disk != "" {
			return d.Name == c.self
		}
	}
	// No seed has a disk: the least name that has one founds.
	for _, d := range c.members.Daemons() {
		if d.Disk != "" {
			return d.Name == c.self
		}
	}
	return false
}
