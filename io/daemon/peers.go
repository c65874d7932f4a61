package daemon

import (
	"context"
	"errors"
	"net"
	"time"

	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

const (
	// exchangeTimeout bounds the small exchanges between daemons.
	exchangeTimeout = time.Second
	// consensusTimeout bounds a delivery of consensus messages. It is less
	// than an election timeout, so that one silent connection does not cause
	// an election: what it swallowed goes again over another.
	consensusTimeout = 300 * time.Millisecond
	// snapshotTimeout bounds exchanges that may carry a snapshot.
	snapshotTimeout = 10 * time.Second
	// consensusQueue is how many messages may wait for one voter; more are
	// dropped, as the network may drop any.
	consensusQueue = 512
)

// peers carries out the control loop's exchanges with other daemons.
type peers struct {
	ctx    context.Context
	client *peer.Client
	// address returns the peer address of a daemon.
	address func(name ident.Daemon) (string, bool)
	post    func(f func(now time.Time)) bool
	ctl     *control
	// queues holds the messages for each voter; it belongs to the control
	// goroutine.
	queues map[ident.Daemon]chan consensus.Message
}

// consensus queues a message for the daemon that it is addressed to. Messages
// to one daemon keep their order, and those that wait share one call.
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

func (p *peers) deliver(to ident.Daemon, q <-chan consensus.Message) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-q:
			p.deliverBatch(to, takeWaiting(m, q))
		}
	}
}

func takeWaiting(first consensus.Message, q <-chan consensus.Message) []consensus.Message {
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
	// A batch that is lost is sent again by consensus itself.
	_ = p.client.Consensus(ctx, addr, batch)
}

// witness makes one witness exchange.
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
		if err == nil {
			p.post(func(now time.Time) { p.ctl.stepWitness(now, witness.ResponseReceived{Response: resp}) })
		}
	}()
}

// gossip makes one membership exchange with the daemon at an address.
func (p *peers) gossip(to string, r membership.Request, done func(now time.Time, resp membership.Response, err error)) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		resp, err := p.client.Gossip(ctx, to, r)
		p.post(func(now time.Time) { done(now, resp, err) })
	}()
}

// permits asks the holder of the load budget.
func (p *peers) permits(to ident.Daemon, a budget.PermitRequest, released []budget.PermitID) {
	addr, ok := p.address(to)
	if !ok {
		p.ctl.permits.asking = false
		return
	}
	sent := p.ctl.clock()
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, exchangeTimeout)
		defer cancel()
		g, err := p.client.Permits(ctx, addr, a, released)
		p.post(func(now time.Time) {
			p.ctl.permits.asking = false
			p.ctl.noteHolder(to, err == nil && g.Holder)
			if err != nil {
				p.ctl.permits.released = append(p.ctl.permits.released, released...)
				return
			}
			if g.Holder {
				p.ctl.permitted(now, sent, g)
			}
		})
	}()
}

// propose asks another daemon to commit a command.
func (p *peers) propose(ctx context.Context, to ident.Daemon, data []byte) answer {
	addr, ok := p.address(to)
	if !ok {
		return answer{code: result.NoLeader}
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout+exchangeTimeout)
	defer cancel()
	r, err := p.client.Propose(ctx, addr, data)
	if err != nil {
		return answer{code: lostOrNotSent(err)}
	}
	a := answer{index: r.Index, code: r.Code, leader: r.Leader}
	if r.Code == result.OK || r.Code == result.Pending {
		if a.outcome, err = peer.DecodeOutcome(r.Outcome); err != nil {
			return answer{code: result.Unknown}
		}
	}
	return a
}

// lostOrNotSent tells a proposal that reached nobody from one whose answer is
// lost.
func lostOrNotSent(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.NoLeader
	}
	return result.Unknown
}

// proposed serves a command that another daemon proposes here.
func (d *Daemon) proposed(ctx context.Context, data []byte) peer.ProposeResult {
	cmd, err := peer.DecodeCommand(data)
	if err != nil {
		return peer.ProposeResult{Code: result.NoLeader}
	}
	a := d.proposeHere(ctx, cmd, data)
	out := peer.ProposeResult{Index: a.index, Code: a.code, Leader: a.leader}
	if a.code == result.OK || a.code == result.Pending {
		if out.Outcome, err = peer.EncodeOutcome(a.outcome); err != nil {
			out.Code = result.Unknown
		}
	}
	return out
}

// proposeHere commits a command on this daemon's own control loop.
func (d *Daemon) proposeHere(ctx context.Context, cmd state.Command, data []byte) answer {
	replies := make(chan (<-chan answer), 1)
	if !d.ctl.post(func(now time.Time) { replies <- d.ctl.propose(now, cmd, data) }) {
		return answer{code: result.NoLeader}
	}
	select {
	case reply := <-replies:
		return await(ctx, reply)
	case <-ctx.Done():
		return answer{code: result.Unknown}
	}
}
