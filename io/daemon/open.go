package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// tickOpen tells the voter of an open cluster which daemons have a disk, and
// whether it founds the cluster.
func (c *control) tickOpen(now time.Time) {
	if c.voter == nil || !c.open {
		return
	}
	var names []ident.Daemon
	for _, d := range c.members.Daemons() {
		if d.Disk != "" {
			names = append(names, d.Name)
		}
	}
	founder := c.founder && c.founds(now)
	if slices.Equal(names, c.disks) && founder == c.founding {
		return
	}
	c.disks, c.founding = names, founder
	c.log.Info("daemons with a disk", "names", names, "founder", founder)
	c.stepVoter(now, consensus.Candidates(names, founder))
}

// founds reports whether this daemon founds the cluster: it is the first of
// the seeds that has a disk. It waits a while for the others to show themselves,
// so that they are taken in before anything is promised.
func (c *control) founds(now time.Time) bool {
	byPeer := make(map[string]membership.Daemon)
	for _, d := range c.members.Daemons() {
		byPeer[d.Peer] = d
	}
	for _, seed := range c.seeds {
		if _, ok := byPeer[seed]; !ok && now.Sub(c.startedAt) < foundWithin {
			return false
		}
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

const (
	// foundWithin is how long the founder waits for the other seeds. All VMs
	// start within a fraction of that.
	foundWithin = 3 * time.Second
	// minVoters is how many disks hold what an open cluster promises, if there
	// are as many: one of them may then be lost.
	minVoters = 3
)

// seated reports whether enough disks take part for the cluster to promise
// anything. A cluster that was just founded has one voter until the others have
// joined.
func seated(voters []consensus.Voter, disks []membership.Daemon, reachable func(ident.Daemon) bool) bool {
	if len(voters) >= minVoters {
		return true
	}
	return !slices.ContainsFunc(disks, func(d membership.Daemon) bool {
		joins := !slices.ContainsFunc(voters, func(v consensus.Voter) bool { return v.Daemon == d.Name })
		return d.Disk != "" && joins && reachable(d.Name)
	})
}

// promises reports whether this leader may commit a command that an operator is
// told of.
func (c *control) promises(cmd state.Command) bool {
	switch cmd.(type) {
	case state.PutRouting, state.NameVersion:
		return !c.open || seated(c.voter.node.Members().Voters(), c.members.Daemons(),
			func(name ident.Daemon) bool { return !c.members.Unreachable(name) })
	}
	return true
}
