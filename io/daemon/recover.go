package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/operator"
)

// recoverTimeout limits a forced recovery.
const recoverTimeout = 10 * time.Second

// recover forms a new cluster from this daemon's state, for use when a majority
// of the voters' disks is lost. Voters of the old cluster are rejected from
// then on and can rejoin with empty data folders. Commands that only the lost
// disks held are lost, so operators should recover from the most advanced
// daemon.
func (d *Daemon) recover(ctx context.Context) (operator.Answer, error) {
	if d.ctl.voter == nil {
		return operator.Answer{}, result.New(result.ChangeRefused, "this daemon has no data folder")
	}
	ctx, cancel := context.WithTimeout(ctx, recoverTimeout)
	defer cancel()
	reply := make(chan proposalResult, 1)
	refusal := make(chan error, 1)
	if err := d.ctl.call(ctx, func(now time.Time) { refusal <- d.ctl.recover(now, reply) }); err != nil {
		return operator.Answer{}, result.New(result.Pending, "%w", err)
	}
	if err := <-refusal; err != nil {
		return operator.Answer{}, err
	}
	a := awaitResult(ctx, reply)
	if a.code != result.OK {
		return operator.Answer{}, result.New(result.ChangeRefused, "the new cluster was not formed, code %d", int(a.code))
	}
	set := state.FormWitnesses{Forced: true, Names: d.reachableDaemons()}
	b, err := d.proposer.propose(ctx, set)
	if err != nil {
		return operator.Answer{}, err
	}
	d.log.Info("forced recovery", "index", a.index, "witnesses", set.Names)
	return operatorAnswer(b), nil
}

// recover has the consensus node form a new cluster. It refuses while there is
// a leader, since the old cluster then still has a majority.
func (c *control) recover(now time.Time, reply chan proposalResult) error {
	if c.leader != "" {
		return result.New(result.ChangeRefused, "daemon %s leads, so no recovery is needed", c.leader)
	}
	data, err := encodeState(c.state)
	if err != nil {
		return err
	}
	number := c.proposals.add(&proposal{reply: reply, deadline: now.Add(proposalTimeout)})
	c.stepVoter(now, consensus.Recover(number, rand.Text(), c.witness.Applied(), c.term, data))
	return nil
}

// reachableDaemons returns the daemons that are neither suspected nor draining,
// at most as many as there may be witnesses.
func (d *Daemon) reachableDaemons() []ident.Daemon {
	v := d.view.Load()
	var out []ident.Daemon
	for _, name := range sortedKeys(v.daemons) {
		if i := v.daemons[name]; !i.suspected && !i.draining && len(out) < state.MaxWitnesses {
			out = append(out, name)
		}
	}
	return out
}
