package daemon

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/founding"
	"papayaspoke/io/settings"
)

// foundingState is this daemon's part in the start of a new open cluster.
type foundingState struct {
	// acceptor and proposer are nil unless the cluster is open; proposer is nil on a
	// daemon without a disk, too.
	acceptor *founding.Acceptor
	proposer *founding.Proposer
	// foreign are the daemons of another cluster that were last logged, at
	// foreignAt.
	foreign   []consensus.Voter
	foreignAt time.Time
}

// foreignLogInterval is how often the daemons of another cluster are logged.
const foreignLogInterval = 10 * time.Second

// newFoundingState returns the state of a daemon with the given voter, or of one
// without a disk if node is nil. A disk that belongs to a cluster already shows
// that this is not the first start, whatever the settings say.
func newFoundingState(now time.Time, s settings.Settings, node *consensus.Node) foundingState {
	if !s.Open() {
		return foundingState{}
	}
	seeds := make([]string, 0, len(s.Peers()))
	for _, p := range s.Peers() {
		seeds = append(seeds, p.String())
	}
	if len(seeds) == 0 {
		seeds = append(seeds, s.AdvertisedPeer().String())
	}
	first := s.Founder() && (node == nil || node.Cluster() == "")
	out := foundingState{acceptor: founding.NewAcceptor(seeds, first)}
	if node != nil {
		out.proposer = founding.NewProposer(now, founding.Config{
			Self: node.Self(), Seeds: seeds, FirstStart: first, Random: cryptoRandom, NewClusterID: rand.Text,
		})
	}
	return out
}

// stepFounding asks the seeds for the first voters of a new cluster while this
// daemon has the state of none.
func (c *control) stepFounding(now time.Time) {
	if c.founding.proposer == nil {
		return
	}
	c.logForeign(now)
	if len(c.voter.node.Members().Voters()) > 0 {
		return
	}
	c.sendFounding(c.founding.proposer.Tick(now))
}

func (c *control) sendFounding(sends []founding.Send) {
	for _, s := range sends {
		c.send.found(s)
	}
}

// foundAnswered handles the response of a seed.
func (c *control) foundAnswered(now time.Time, s founding.Send, r founding.Response) {
	p := c.founding.proposer
	_, known := p.Chosen()
	c.sendFounding(p.Receive(now, s, r))
	first, chosen := p.Chosen()
	if known || !chosen {
		return
	}
	c.log.Info("first voters decided", "cluster", first.ID, "voters", first.Voters, "proposed", p.Proposed())
	if slices.Contains(first.Voters, c.voter.node.Self()) {
		c.stepVoter(now, consensus.Bootstrap(first.ID, first.Voters, p.Proposed()))
	}
}

// handleFound answers a proposer of the first voters.
func (d *Daemon) handleFound(ctx context.Context, r founding.Request) (founding.Response, error) {
	ch := make(chan founding.Response, 1)
	d.ctl.post(func(now time.Time) {
		if d.ctl.founding.acceptor == nil {
			ch <- founding.Response{}
			return
		}
		ch <- d.ctl.founding.acceptor.Handle(now, r)
	})
	return awaitReply(ctx, ch)
}

// logForeign logs the daemons of another cluster. Two clusters among the same
// daemons need an operator, since each may have acknowledged changes.
func (c *control) logForeign(now time.Time) {
	foreign := c.voter.node.Foreign(now)
	if len(foreign) == 0 || slices.Equal(foreign, c.founding.foreign) && now.Sub(c.founding.foreignAt) < foreignLogInterval {
		c.founding.foreign = foreign
		return
	}
	c.founding.foreign, c.founding.foreignAt = foreign, now
	c.log.Error(nil, "another cluster runs beside this one", "cluster", c.voter.node.Cluster(), "foreign", foreign)
}
