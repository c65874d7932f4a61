package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/founding"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

const (
	// exchangeTimeout limits the small exchanges between daemons.
	exchangeTimeout = time.Second
	// consensusTimeout limits a delivery of consensus messages. It is shorter
	// than an election timeout, so that one unresponsive connection does not
	// cause an election: lost messages are sent again over another connection
	// in time.
	consensusTimeout = 300 * time.Millisecond
	// snapshotTimeout limits exchanges that may contain a snapshot.
	snapshotTimeout = 10 * time.Second
	// consensusQueue is how many messages may be queued for one voter. Further
	// messages are dropped, which consensus tolerates like any network loss.
	consensusQueue = 512
)

// peers performs the control loop's exchanges with other daemons.
type peers struct {
	ctx    context.Context
	client *peer.Client
	// address returns the peer address of a daemon.
	address func(name ident.Daemon) (string, bool)
	// post and postLog post to the inboxes of the control loop.
	post, postLog func(f func(now time.Time)) bool
	ctl           *control
	log           logr.Logger
	// queues holds the messages for each voter; it belongs to the control
	// goroutine.
	queues map[ident.Daemon]chan consensus.Message
}

// consensus queues a message for the daemon that it is addressed to. Messages
// to one daemon keep their order, and queued messages are sent in one call.
func (p *peers) consensus(m consensus.Message) {
	q := p.queues[m.To.Daemon]
	if q == nil {
		q = make(chan consensus.Message, consensusQueue)
		p.queues[m.To.Daemon] = q
		go p.deliver(m.To.Daemon, q)
	}
	select {
	case q <- m:
	default:
	}
}

// deliver sends the messages queued for one voter until the daemon stops.
func (p *peers) deliver(to ident.Daemon, q <-chan consensus.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-q:
			p.deliverBatch(to, collectBatch(m, q))
		}
	}
}

// collectBatch returns first and the messages that are queued already.
func collectBatch(first consensus.Message, q <-chan consensus.Message) []consensus.Message {
	batch := []consensus.Message{first}
	for range len(q) {
		batch = append(batch, <-q)
	}
	return batch
}

func (p *peers) deliverBatch(to ident.Daemon, batch []consensus.Message) {
	addr, ok := p.address(to)
	if !ok {
		return
	}
	timeout := consensusTimeout
	for _, m := range batch {
		if m.Kind == consensus.InstallSnapshot {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	// Consensus itself recovers from a lost batch.
	_ = p.client.Consensus(ctx, addr, batch)
}

// found sends a request of the founding to a seed.
func (p *peers) found(s founding.Send) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		resp, err := p.client.Found(ctx, s.Seed, s.Request)
		if err == nil {
			p.post(func(now time.Time) { p.ctl.foundAnswered(now, s, resp) })
		}
	}()
}

// witness performs one witness exchange.
func (p *peers) witness(to ident.Daemon, r witness.Request) {
	addr, ok := p.address(to)
	if !ok {
		return
	}
	go func() {
		timeout := exchangeTimeout
		if r.WantEntries {
			timeout = snapshotTimeout
		}
		ctx, cancel := context.WithTimeout(p.ctx, timeout)
		defer cancel()
		resp, err := p.client.Witness(ctx, addr, r)
		if err != nil {
			p.log.V(1).Info("witness did not answer", "witness", to, "entries", r.WantEntries, "error", err.Error())
			p.postLog(func(now time.Time) { p.ctl.stepWitness(now, witness.SendFailed{To: to, WantEntries: r.WantEntries}) })
			return
		}
		p.postLog(func(now time.Time) { p.ctl.stepWitness(now, witness.ResponseReceived{Response: resp}) })
	}()
}

// gossip performs one membership exchange with the daemon at an address.
func (p *peers) gossip(to string, r membership.Request, done func(now time.Time, resp membership.Response, err error)) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		resp, err := p.client.Gossip(ctx, to, r)
		p.post(func(now time.Time) { done(now, resp, err) })
	}()
}

// permits asks the holder of the load budget for permits and returns the
// released ones to it.
func (p *peers) permits(to ident.Daemon, a budget.PermitRequest, released []budget.PermitID) {
	addr, ok := p.address(to)
	if !ok {
		p.ctl.permits.requestInFlight = false
		return
	}
	sent := p.ctl.clock()
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		g, err := p.client.Permits(ctx, addr, a, released)
		p.post(func(now time.Time) {
			p.ctl.permits.requestInFlight = false
			p.ctl.updateLeader(to, err == nil && g.Holder)
			if err != nil {
				p.ctl.permits.released = append(p.ctl.permits.released, released...)
				return
			}
			if g.Holder {
				p.ctl.applyGrant(now, sent, g)
			}
		})
	}()
}

// propose asks another daemon to commit a command.
func (p *peers) propose(ctx context.Context, to ident.Daemon, data []byte) proposalResult {
	addr, ok := p.address(to)
	if !ok {
		return proposalResult{code: result.NoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout+exchangeTimeout)
	defer cancel()
	r, err := p.client.Propose(ctx, addr, data)
	if err != nil {
		return proposalResult{code: proposeErrorCode(err)}
	}
	a := proposalResult{index: r.Index, code: r.Code, leader: r.Leader}
	if r.Code == result.OK || r.Code == result.Pending {
		if a.outcome, err = peer.DecodeOutcome(r.Outcome); err != nil {
			return proposalResult{code: result.Unknown}
		}
	}
	return a
}

// proposeErrorCode returns NoLeader if a proposal was not sent, and Unknown if
// only its answer may be lost.
func proposeErrorCode(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.NoLeader
	}
	return result.Unknown
}

// handlePropose serves a proposal of another daemon.
func (d *Daemon) handlePropose(ctx context.Context, data []byte) peer.ProposeResult {
	cmd, err := peer.DecodeCommand(data)
	if err != nil {
		return peer.ProposeResult{Code: result.NoLeader}
	}
	a := d.proposeLocally(ctx, cmd, data)
	out := peer.ProposeResult{Index: a.index, Code: a.code, Leader: a.leader}
	if a.code == result.OK || a.code == result.Pending {
		if out.Outcome, err = peer.EncodeOutcome(a.outcome); err != nil {
			out.Code = result.Unknown
		}
	}
	return out
}

// proposeLocally proposes a command on this daemon's own control loop.
func (d *Daemon) proposeLocally(ctx context.Context, cmd state.Command, data []byte) proposalResult {
	replies := make(chan (<-chan proposalResult), 1)
	if !d.ctl.postLog(func(now time.Time) { replies <- d.ctl.propose(now, cmd, data) }) {
		return proposalResult{code: result.NoLeader}
	}
	select {
	case reply := <-replies:
		return awaitResult(ctx, reply)
	case <-ctx.Done():
		return proposalResult{code: result.Unknown}
	}
}
