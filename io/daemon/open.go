package daemon

import (
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// updateEligibleDaemons passes the daemons that have a disk to the voter of an
// open cluster.
func (c *control) updateEligibleDaemons(now time.Time) {
	if c.voter == nil || !c.openCluster {
		return
	}
	var names, leavingDaemons []ident.Daemon
	for _, d := range c.members.Daemons() {
		if d.Disk == "" {
			continue
		}
		names = append(names, d.Name)
		if d.Draining {
			leavingDaemons = append(leavingDaemons, d.Name)
		}
	}
	c.logVoterChanges()
	if slices.Equal(names, c.diskDaemons) && slices.Equal(leavingDaemons, c.leavingDaemons) {
		return
	}
	c.diskDaemons, c.leavingDaemons = names, leavingDaemons
	c.log.Info("daemons with a disk", "names", names, "leaving", leavingDaemons)
	c.stepVoter(now, consensus.EligibleDaemons(names, leavingDaemons))
}

// logVoterChanges logs changes of the voters and learners that this daemon
// knows of.
func (c *control) logVoterChanges() {
	m := c.voter.node.Members()
	if slices.Equal(m.Voters(), c.lastVoters) && slices.Equal(m.Learners(), c.lastLearners) {
		return
	}
	c.lastVoters, c.lastLearners = m.Voters(), m.Learners()
	c.log.Info("voters changed", "voters", c.lastVoters, "learners", c.lastLearners)
}

// minVoters is how many voters are enough once the cluster has been complete:
// with three disks, one may be lost.
const minVoters = 3

// enoughVoters reports whether enough disks vote for the cluster to acknowledge
// changes. A cluster that was just founded may have few voters until others have
// joined; it is complete once as many vote as [consensus.TargetVoters] allows
// for the known disks. complete is true if the cluster has been complete before.
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
	return len(voters) >= consensus.TargetVoters(count)
}

// mayCommit reports whether this leader may commit a command. In an open
// cluster, commands that are acknowledged to an operator or a replica wait until
// enough disks vote. Departures also wait until all daemons can read them.
func (c *control) mayCommit(now time.Time, cmd state.Command) bool {
	switch cmd.(type) {
	case state.Depart, state.Readmit:
		if now.Before(c.startedAt.Add(discoveryTime)) || !c.departuresReadable() {
			return false
		}
	}
	switch cmd.(type) {
	case state.PutRouting, state.NameVersion, state.Depart:
		complete := c.view.Routing().Version > 0
		return !c.openCluster || enoughVoters(complete, c.voter.node.Members().Voters(), c.members.Daemons(),
			func(name ident.Daemon) bool { return !c.members.Unreachable(name) })
	}
	return true
}
