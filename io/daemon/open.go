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
	var names, leaving []ident.Daemon
	for _, d := range c.members.Daemons() {
		if d.Disk == "" {
			continue
		}
		names = append(names, d.Name)
		if d.Draining {
			leaving = append(leaving, d.Name)
		}
	}
	c.logVoters()
	founder := c.founder && c.founds(now)
	if slices.Equal(names, c.disks) && slices.Equal(leaving, c.leaving) && founder == c.founding {
		return
	}
	c.disks, c.leaving, c.founding = names, leaving, founder
	c.log.Info("daemons with a disk", "names", names, "leaving", leaving, "founder", founder)
	c.stepVoter(now, consensus.EligibleDaemons(names, leaving, founder))
}

// logVoters tells of changes of the voters as this daemon knows them.
func (c *control) logVoters() {
	m := c.voter.node.Members()
	if slices.Equal(m.Voters(), c.voters) && slices.Equal(m.Learners(), c.learners) {
		return
	}
	c.voters, c.learners = m.Voters(), m.Learners()
	c.log.Info("voters changed", "voters", c.voters, "learners", c.learners)
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
	// minVoters is how many disks hold what a cluster promises that has been
	// complete before, if there are as many: one of them may then be lost.
	minVoters = 3
)

// seated reports whether enough disks take part for the cluster to promise
// anything. A cluster that was just founded has one voter until the others have
// joined, and is complete once as many vote as ever will.
func seated(complete bool, voters []consensus.Voter, disks []membership.Daemon, reachable func(ident.Daemon) bool) bool {
	if complete && len(voters) >= minVoters {
		return true
	}
	votes := func(d membership.Daemon) bool {
		return slices.ContainsFunc(voters, func(v consensus.Voter) bool { return v.Daemon == d.Name })
	}
	count := 0
	for _, d := range disks {
		if d.Disk != "" && (votes(d) || reachable(d.Name)) {
			count++
		}
	}
	return len(voters) >= consensus.TargetVoters(count)
}

// promises reports whether this leader may commit a command that an operator is
// told of.
func (c *control) promises(cmd state.Command) bool {
	switch cmd.(type) {
	case state.PutRouting, state.NameVersion:
		complete := c.view.Routing().Version > 0
		return !c.open || seated(complete, c.voter.node.Members().Voters(), c.members.Daemons(),
			func(name ident.Daemon) bool { return !c.members.Unreachable(name) })
	}
	return true
}
