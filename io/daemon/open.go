package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// updateVoterCandidates tells the voter of an open cluster which daemons have a disk, and
// whether it founds the cluster.
func (c *control) updateVoterCandidates(now time.Time) {
	if c.voter == nil || !c.openCluster {
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
	c.logVoterChanges()
	founder := c.founder && c.isFounder(now)
	if slices.Equal(names, c.diskDaemons) && slices.Equal(leaving, c.leavingDaemons) && founder == c.founding {
		return
	}
	c.diskDaemons, c.leavingDaemons, c.founding = names, leaving, founder
	c.log.Info("daemons with a disk", "names", names, "leaving", leaving, "founder", founder)
	c.stepVoter(now, consensus.Candidates(names, leaving, founder))
}

// logVoterChanges tells of changes of the voters as this daemon knows them.
func (c *control) logVoterChanges() {
	m := c.voter.node.Members()
	if slices.Equal(m.Voters(), c.lastVoters) && slices.Equal(m.Learners(), c.lastLearners) {
		return
	}
	c.lastVoters, c.lastLearners = m.Voters(), m.Learners()
	c.log.Info("voters changed", "voters", c.lastVoters, "learners", c.lastLearners)
}

// isFounder reports whether this daemon founds the cluster: it is the first of
// the seeds that has a disk. It waits a while for the others to show themselves,
// so that they are taken in before anything is promised.
func (c *control) isFounder(now time.Time) bool {
	byPeer := make(map[string]membership.Daemon)
	for _, d := range c.members.Daemons() {
		byPeer[d.Peer] = d
	}
	for _, seed := range c.seeds {
		if _, ok := byPeer[seed]; !ok && now.Sub(c.startedAt) < seedTimeout {
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
	// seedTimeout is how long the founder waits for the other seeds. All VMs
	// start within a fraction of that.
	seedTimeout = 3 * time.Second
	// minVoters is how many disks hold what a cluster promises that has been
	// complete before, if there are as many: one of them may then be lost.
	minVoters = 3
)

// enoughVoters reports whether enough disks take part for the cluster to promise
// anything. A cluster that was just founded has one voter until the others have
// joined, and is complete once as many vote as ever will.
func enoughVoters(complete bool, voters []consensus.Voter, disks []membership.Daemon, reachable func(ident.Daemon) bool) bool {
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
	return len(voters) >= consensus.Seats(count)
}

// mayCommit reports whether this leader may commit a command that an operator is
// told of.
func (c *control) mayCommit(cmd state.Command) bool {
	switch cmd.(type) {
	case state.PutRouting, state.NameVersion:
		complete := c.view.Routing().Version > 0
		return !c.openCluster || enoughVoters(complete, c.voter.node.Members().Voters(), c.members.Daemons(),
			func(name ident.Daemon) bool { return !c.members.Unreachable(name) })
	}
	return true
}
