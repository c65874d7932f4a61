package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/founding"
	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// tickInterval is the interval of the control loop's ticks, which drive all
	// timeouts of the coordination packages.
	tickInterval = 25 * time.Millisecond
	// inboxSize is how many posted functions may wait for the control loop, in each
	// of its two inboxes.
	inboxSize = 4096
	// drainTime is how long the loop runs posted functions before it looks at the
	// ticker and publishes.
	drainTime = 10 * time.Millisecond
)

// control is the control loop. Only its own goroutine may access its fields,
// unless noted otherwise.
type control struct {
	self       ident.Daemon
	inc        ident.Incarnation
	dataCentre ident.DataCentre
	log        logr.Logger
	clock      func() time.Time

	// logInbox holds what concerns the replicated log and the leases that rest on
	// it. It goes before the inbox, so that no amount of other work makes this daemon
	// act on an old state. Both, and done, may be used by any goroutine.
	logInbox, inbox chan posted
	done            chan struct{}
	delay           loopDelay

	state *state.State
	// view is the state at the last tick or publication.
	view *state.View
	// term is the term of the last applied entry.
	term uint64
	// voter is nil on a daemon without a data folder.
	voter   *voter
	witness *witness.Witness
	// snapshotSize is the size in bytes of the last snapshot that was encoded or
	// installed; 0 before the first one.
	snapshotSize uint64
	// proposals are the open proposals of this daemon as the leader.
	proposals proposals
	// leader is the last known leader, empty if none is known.
	leader ident.Daemon

	members *membership.Membership
	// daemons holds the names of all known daemons, sorted.
	daemons []ident.Daemon
	// membersDirty is true if membership has changed since the tables below
	// were built. The tables are shared with views and never modified.
	membersDirty  bool
	daemonTable   map[ident.Daemon]daemonInfo
	upstreamTable map[ident.Upstream]upstreamInfo
	// knownUpstreams are the upstreams in the routing tables.
	knownUpstreams map[ident.Upstream]bool
	directory      *routing.Directory
	services       *routing.Services

	holder *ownership.Holder
	// ownerAssigner and ledgerKeeper are nil unless this daemon leads.
	ownerAssigner *ownership.Assigner
	ledgerKeeper  *ledger.Sweeper
	// owned holds the replicas whose write guard is open on this daemon.
	owned        map[ident.Upstream]*owned
	clockAnchors map[ident.Upstream]anchor

	dispatcher *dispatch.Dispatcher
	// waiters holds, by request, the channel to the goroutine that serves it.
	waiters map[ident.Request]chan<- decision
	permits permits

	// witnessReplies and gossipReplies hold the channels of pending calls by
	// other daemons, by token. lastToken is the last token used.
	witnessReplies map[uint64]chan<- witness.Response
	gossipReplies  map[uint64]chan<- membership.Response
	lastToken      uint64

	// startedAt is when this process started.
	startedAt time.Time
	// doubtedRuns are the runs of deregistered replicas that may yet be used.
	doubtedRuns map[ident.Upstream]doubtedRun

	// nextWitnessAt is when the next witness may be proposed, and
	// directoryRefreshedAt when the records of owned replicas were last copied
	// to the directory.
	nextWitnessAt, directoryRefreshedAt time.Time
	draining                            bool
	// viewDirty is true if a new view has to be published.
	viewDirty bool
	// afterPublish holds functions to run once the next view is published.
	afterPublish []func()

	// platform is nil unless the daemon serves a platform's routes.
	platform       *Platform
	placementState placementState
	// openCluster is true if every daemon with a disk may become a voter.
	openCluster bool
	seeds       []string
	founding    foundingState
	// diskDaemons and leavingDaemons were last passed to the voter by
	// updateEligibleDaemons.
	diskDaemons    []ident.Daemon
	leavingDaemons []ident.Daemon
	// lastVoters and lastLearners are the sets that were last logged.
	lastVoters, lastLearners []consensus.Voter
	// pendingListings are the listings that replicas have announced since the
	// last usage report to the placer.
	pendingListings []placement.Listing
	// pendingBlame holds evidence that is to be committed. nextBlameAt is when
	// expired evidence and due convictions are next looked for.
	pendingBlame []blame.Entry
	nextBlameAt  time.Time
	// pendingReads holds the linearizable reads that this daemon serves as the
	// leader, by number.
	pendingReads map[uint64]chan<- consensus.ReadOutcome

	send  sender
	async async
	// publish replaces the view that request goroutines read.
	publish func(c *control)
	// updateGauges updates the gauges that alarms are based on, next at
	// nextGaugeAt.
	updateGauges func(c *control, now time.Time)
	nextGaugeAt  time.Time
	// stop ends the process.
	stop func()
}

// sender holds the control loop's calls to other daemons. All of them are
// asynchronous.
type sender struct {
	consensus func(m consensus.Message)
	witness   func(to ident.Daemon, r witness.Request)
	gossip    func(addr string, r membership.Request, done func(now time.Time, resp membership.Response, err error))
	permits   func(to ident.Daemon, a budget.PermitRequest, released []budget.PermitID)
	// read requests a linearizable read through the voters.
	read func()
	// catchUp performs a linearizable read and runs f on the control loop once
	// the index that it returned is applied, or with false if that fails.
	catchUp func(f func(ok bool))
	// found sends a request of the founding to a seed.
	found func(s founding.Send)
	// probe tests whether a daemon answers over a new connection.
	probe func(name ident.Daemon, addr string)
}

// post queues f for the control loop. It returns false if the loop has ended.
// It may be called by any goroutine but the loop's own, which would
// deadlock on a full inbox.
func (c *control) post(f func(now time.Time)) bool { return c.postTo(c.inbox, f) }

// postLog is post for what concerns the replicated log.
func (c *control) postLog(f func(now time.Time)) bool { return c.postTo(c.logInbox, f) }

func (c *control) postTo(inbox chan<- posted, f func(now time.Time)) bool {
	select {
	case inbox <- posted{run: f, at: c.clock()}:
		return true
	case <-c.done:
		return false
	}
}

// call runs f on the control loop and waits until it has run, the context is
// done or the loop has ended. If the context is done before its turn comes, f
// is not run: nobody waits for it any more.
func (c *control) call(ctx context.Context, f func(now time.Time)) error {
	return c.callBy(ctx, c.post, f)
}

// callLog is call for what concerns the replicated log.
func (c *control) callLog(ctx context.Context, f func(now time.Time)) error {
	return c.callBy(ctx, c.postLog, f)
}

func (c *control) callBy(ctx context.Context, post func(f func(now time.Time)) bool, f func(now time.Time)) error {
	ran := make(chan struct{})
	if !post(func(now time.Time) {
		if ctx.Err() == nil {
			f(now)
			close(ran)
		}
	}) {
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

// run runs the control loop until the context is done.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-c.logInbox:
			c.runPosted(p)
			c.drain()
		case p := <-c.inbox:
			c.drainLog()
			c.runPosted(p)
			c.drain()
		case <-ticker.C:
			c.drainLog()
			c.tick(c.clock())
		}
		if c.viewDirty {
			c.viewDirty = false
			c.publish(c)
		}
	}
}

// drain runs the other posted functions for up to drainTime, so that one view is
// published for all of them.
func (c *control) drain() {
	end := c.clock().Add(drainTime)
	for c.clock().Before(end) {
		c.drainLog()
		select {
		case p := <-c.inbox:
			c.runPosted(p)
		default:
			return
		}
	}
}

// drainLog runs the functions in the log inbox.
func (c *control) drainLog() {
	for range len(c.logInbox) {
		c.runPosted(<-c.logInbox)
	}
}
