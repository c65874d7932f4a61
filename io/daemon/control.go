package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// tickInterval is how often the coordination packages learn the time.
	tickInterval = 25 * time.Millisecond
	// inboxSize is how many events may wait for the control loop.
	inboxSize = 4096
)

// control is the control loop. Its fields belong to its goroutine, but for
// those that say otherwise.
type control struct {
	self       ident.Daemon
	inc        ident.Incarnation
	dataCentre ident.DataCentre
	log        logr.Logger
	clock      func() time.Time

	// inbox and done may be used by any goroutine.
	inbox chan func(now time.Time)
	done  chan struct{}

	state *state.State
	// view is the state as of the last tick or publication.
	view *state.View
	// term is that of the last applied entry.
	term uint64
	// voter is nil on a daemon without a data folder.
	voter   *voter
	witness *witness.Witness
	// proposals are those that this daemon made as the leader.
	proposals proposals
	// leader is the last known leader, empty if none is known.
	leader ident.Daemon

	members *membership.Membership
	// daemons are the names that membership knows, sorted.
	daemons []ident.Daemon
	// membersDirty is true if membership has changed since the tables were
	// made. The tables are shared with views and never changed.
	membersDirty  bool
	daemonTable   map[ident.Daemon]daemonInfo
	upstreamTable map[ident.Upstream]upstreamInfo
	// known are the upstreams that the routing tables know.
	known     map[ident.Upstream]bool
	directory *routing.Directory
	services  *routing.Services

	holder *ownership.Holder
	// assigner and keeper are nil unless this daemon leads.
	assigner *ownership.Assigner
	keeper   *ledger.Sweeper
	// owned holds the replicas whose gate is open here.
	owned   map[ident.Upstream]*owned
	anchors map[ident.Upstream]anchor

	dispatcher *dispatch.Dispatcher
	// waiters are the goroutines of the requests that have not ended.
	waiters map[ident.Request]chan<- decision
	permits permits

	// replies and gossipReplies hold who waits for an answer, by token.
	replies       map[uint64]chan<- witness.Response
	gossipReplies map[uint64]chan<- membership.Response
	tokens        uint64

	// witnessAt is when the next witness may be proposed; announcedAt is when
	// the directory was last told of owned replicas.
	witnessAt, announcedAt time.Time
	draining               bool
	// dirty is true if the view has to be published anew.
	dirty bool
	// afterPublish runs once the next view is published.
	afterPublish []func()

	// platform is nil unless the daemon serves a platform's routes.
	platform *Platform
	placing  placing
	// open is true if every daemon with a disk is a voter; founder if such a
	// cluster starts for the first time, through the seeds in their order.
	open, founder bool
	startedAt     time.Time
	seeds         []string
	// disks, leaving and founding are what the voter was last told.
	disks    []ident.Daemon
	leaving  []ident.Daemon
	founding bool
	// voters and learners are those that the log last told of.
	voters, learners []consensus.Voter
	// listings are what replicas have announced since the placer was last told.
	listings []placement.Listing
	// reads holds who waits for a linearizable read of this leader.
	reads map[uint64]chan<- consensus.ReadOutcome

	send   sender
	orders orders
	// publish swaps the view that traffic goroutines read.
	publish func(c *control)
	// gauge shows the state that alarms look at, and gaugeAt is when next.
	gauge   func(c *control, now time.Time)
	gaugeAt time.Time
	// supersede ends the process.
	supersede func()
}

// sender is how the control loop reaches other daemons. The functions return
// at once.
type sender struct {
	consensus func(m consensus.Message)
	witness   func(to ident.Daemon, r witness.Request)
	gossip    func(addr string, r membership.Request, done func(now time.Time, resp membership.Response, err error))
	permits   func(to ident.Daemon, a budget.PermitRequest, released []budget.PermitID)
	// read asks for a linearizable read through the voters.
	read func()
	// catchUp makes a linearizable read and runs f on the control loop once
	// what it covers is applied.
	catchUp func(f func(ok bool))
	// probe tries a new connection to a daemon.
	probe func(name ident.Daemon, addr string)
}

// post hands f to the control loop. It returns false if the loop has ended.
func (c *control) post(f func(now time.Time)) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.done:
		return false
	}
}

// call runs f on the control loop and waits for it, or for the context.
func (c *control) call(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	if !c.post(func(now time.Time) { f(now); close(ran) }) {
		return context.Canceled
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return context.Canceled
	}
}

// run is the control loop. It ends with the context.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			f(c.clock())
			c.drain()
		case <-ticker.C:
			c.tick(c.clock())
		}
		if c.dirty {
			c.dirty = false
			c.publish(c)
		}
	}
}

// drain runs what else is in the inbox, so that one view is published for
// all of it.
func (c *control) drain() {
	for range len(c.inbox) {
		select {
		case f := <-c.inbox:
			f(c.clock())
		default:
			return
		}
	}
}
