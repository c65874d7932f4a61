package consensus

import (
	"math"
	"slices"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// TickInterval is the interval at which the node expects a [Tick].
	TickInterval = 25 * time.Millisecond
	// HeartbeatInterval is the interval at which a leader sends heartbeats and
	// a candidate resends its requests.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the minimum time without a leader before a voter
	// starts an election. A voter that has received a message from a leader
	// within this time grants no vote.
	ElectionTimeout = 600 * time.Millisecond
	// ElectionJitter is the upper bound of the random time added to
	// ElectionTimeout.
	ElectionJitter = 400 * time.Millisecond
	// startElectionDelay, plus half of the random jitter, is when a voter that
	// has just started runs for election. Such a short delay is safe because
	// the pre-vote leaves a working leader undisturbed.
	startElectionDelay = 50 * time.Millisecond
	// candidateRetryDelay, plus a random jitter, is when a candidate tries
	// again. It is shorter than ElectionTimeout because no leader is known that
	// could be disturbed.
	candidateRetryDelay = 300 * time.Millisecond
)

// Settings configure a node; see [New].
type Settings struct {
	// Self is the identity of this node, disk included.
	Self Voter
	// Eligible names the daemons that are configured as voters, this one
	// included.
	Eligible []ident.Daemon
	// Open makes the cluster open: it has no configured list of voters, any
	// daemon with a disk may become one, and events report these daemons.
	Open bool
	// Random returns a random number in [0, n).
	Random func(n int64) int64
	// NewClusterID returns a random id for a new cluster.
	NewClusterID func() string
}

// Node is a voter or a learner. It is not safe for concurrent use.
type Node struct {
	self Voter
	// eligible is the sorted list of daemons that may become voters: the
	// configured ones or, in an open cluster, those last reported to have a
	// disk.
	eligible []ident.Daemon
	open     bool
	// leaving names daemons that are about to stop.
	leaving    []ident.Daemon
	random     func(n int64) int64
	newCluster func() string

	// hardState is the content of the last write batch, or of the next one.
	hardState HardState
	log       memlog
	snapshot  Snapshot
	// configs are the configurations in the log. It is never empty, and the
	// index of the first one is at most log.base, or 0.
	configs []config
	// commit is at least snapshot.Index and at most log.last().
	commit uint64
	// applied is the last index returned as committed; it is at most commit.
	applied uint64
	// bytesSinceSnapshot counts the bytes of data returned as committed since
	// the last snapshot.
	bytesSinceSnapshot int
	// snapshotRequested is true from NeedSnapshot until Compact.
	snapshotRequested bool

	role   Role
	leader Voter
	// electionAt is when to start an election unless a leader is heard from.
	electionAt time.Time
	// leaseUntil is when the lease of the known leader ends; until then no
	// other candidate is granted a vote.
	leaseUntil time.Time
	// broadcastAt is when to send the next heartbeats or vote requests.
	broadcastAt time.Time
	// leaderlessAt is when a node without messages from a leader starts to
	// probe, and probeAt is when it probes next.
	leaderlessAt, probeAt time.Time
	// votes holds the replies of voters in the current election.
	votes map[Voter]bool

	// The following fields are used by a leader only. progress has an entry for
	// every member except the node itself.
	progress map[Voter]*progress
	// syncedIndex is the last index of the leader's own log that is synced to
	// disk.
	syncedIndex uint64
	// termStart is the index of the first entry of the leader's term.
	termStart uint64
	round     uint64
	reads     []pendingRead
	// transferee is the target of a leadership transfer that lasts until
	// transferUntil at most.
	transferee    Voter
	transferUntil time.Time
	// joinRequests maps each identity that has probed this leader to the time
	// when its request expires.
	joinRequests map[Voter]time.Time

	// pending is ordered by index.
	pending []pending
	// probeReplies holds the latest probe reply of each eligible daemon.
	probeReplies map[ident.Daemon]probeResult

	// batchNumber is the number of the last write batch, syncedBatch that of
	// the last one synced to disk.
	batchNumber, syncedBatch uint64
	// deferred holds messages until their write batch is synced, ordered by
	// batch.
	deferred []deferredMessage
	step     step
}

// config is a configuration and the index of the entry that holds it.
type config struct {
	index   uint64
	members Members
}

type deferredMessage struct {
	batch   uint64
	message Message
}

// step collects the effects of one call of [Node.Step].
type step struct {
	effects Effects
	// hardChanged, firstChanged and snapshotChanged select what has to be
	// persisted. firstChanged is the lowest index of the changed entries, 0 if
	// there are none.
	hardChanged     bool
	firstChanged    uint64
	snapshotChanged bool
	// afterSync holds messages to send once this step's write batch is synced.
	afterSync []Message
	// broadcast is true if a new heartbeat round must be sent.
	broadcast bool
}

// New returns a node that continues from st, which is empty on a new disk. The
// caller must have restored its state machine from the snapshot in st.
func New(now time.Time, s Settings, st PersistentState) *Node {
	n := &Node{
		self:         s.Self,
		eligible:     slices.Sorted(slices.Values(s.Eligible)),
		open:         s.Open,
		random:       s.Random,
		newCluster:   s.NewClusterID,
		hardState:    st.Hard,
		snapshot:     st.Snapshot,
		probeReplies: make(map[ident.Daemon]probeResult),
		commit:       st.Snapshot.Index,
		applied:      st.Snapshot.Index,
	}
	n.log = memlog{base: st.Snapshot.Index, baseTerm: st.Snapshot.Term, entries: slices.Clone(st.Entries)}
	n.configs = []config{{index: st.Snapshot.Index, members: st.Snapshot.Members}}
	for _, e := range st.Entries {
		n.appendConfig(e)
	}
	n.electionAt = now.Add(startElectionDelay + n.electionJitter()/2)
	n.leaderlessAt = now.Add(unresponsiveAfter)
	if n.isSoleVoter() {
		n.electionAt = now
	}
	return n
}

// Step handles one event. The time passed must never go backwards.
func (n *Node) Step(now time.Time, ev Event) Effects {
	n.step = step{}
	before := RoleChange{n.role, n.hardState.Term, n.leader}
	eventHandlers[ev.kind](n, now, ev)
	n.flush(now)
	if after := (RoleChange{n.role, n.hardState.Term, n.leader}); after != before {
		n.step.effects.Role = option.Some(after)
	}
	return n.step.effects
}

var eventHandlers = [...]func(*Node, time.Time, Event){
	eventTick:            func(n *Node, now time.Time, _ Event) { n.tick(now) },
	eventReceive:         func(n *Node, now time.Time, ev Event) { n.receive(now, ev.message) },
	eventSynced:          (*Node).onSynced,
	eventPropose:         (*Node).onPropose,
	eventRead:            (*Node).onRead,
	eventChange:          (*Node).onChange,
	eventCompact:         (*Node).onCompact,
	eventTransfer:        (*Node).onTransfer,
	eventRecover:         (*Node).onRecover,
	eventEligibleDaemons: (*Node).onEligibleDaemons,
	eventBootstrap:       (*Node).onBootstrap,
}

func (n *Node) tick(now time.Time) {
	if n.hardState.Cluster == "" {
		n.tickUninitialized(now)
		return
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.tickFollower(now)
}

// flush converts the changes made by the step into effects.
func (n *Node) flush(now time.Time) {
	if n.step.broadcast && n.role == Leader {
		n.broadcastHeartbeat(now)
	}
	if p, ok := n.writeBatch(); ok {
		n.step.effects.Persist = option.Some(p)
	}
	for _, m := range n.step.afterSync {
		n.deferred = append(n.deferred, deferredMessage{n.batchNumber, m})
	}
	n.sendDeferred(now)
}

// writeBatch returns the batch that the step has to persist, if any.
func (n *Node) writeBatch() (WriteBatch, bool) {
	s := &n.step
	if !s.hardChanged && s.firstChanged == 0 && !s.snapshotChanged {
		return WriteBatch{}, false
	}
	n.batchNumber++
	p := WriteBatch{Number: n.batchNumber, Hard: n.hardState}
	if s.snapshotChanged {
		p.Snapshot = option.Some(n.snapshot)
		s.firstChanged = n.snapshot.Index + 1
	}
	if s.firstChanged > 0 {
		p.Entries = n.log.from(s.firstChanged, math.MaxInt, math.MaxInt)
	}
	return p, true
}

func (n *Node) onSynced(now time.Time, ev Event) {
	n.syncedBatch = max(n.syncedBatch, min(ev.number, n.batchNumber))
	n.sendDeferred(now)
}

// sendDeferred sends the deferred messages whose write batch is synced. A
// message of the node to itself always depends on a write batch, so it is
// released only by a Synced event, before the batch of that step is made.
func (n *Node) sendDeferred(now time.Time) {
	for len(n.deferred) > 0 && n.deferred[0].batch <= n.syncedBatch {
		m := n.deferred[0].message
		n.deferred = n.deferred[1:]
		if m.To == n.self {
			n.receive(now, m)
			continue
		}
		n.step.effects.Send = append(n.step.effects.Send, m)
	}
}

// sendNow sends a message that does not depend on unsynced state.
func (n *Node) sendNow(m Message) {
	n.step.effects.Send = append(n.step.effects.Send, n.withHeader(m))
}

// sendAfterSync sends a message once all changes up to and including this step
// are synced.
func (n *Node) sendAfterSync(m Message) {
	n.step.afterSync = append(n.step.afterSync, n.withHeader(m))
}

func (n *Node) withHeader(m Message) Message {
	m.Cluster = n.hardState.Cluster
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	return m
}

// members returns the configuration in force, which is the latest one in the
// log.
func (n *Node) members() Members { return n.configs[len(n.configs)-1].members }

// peers returns all members except the node itself.
func (n *Node) peers() []Voter {
	return slices.DeleteFunc(n.members().all(), func(v Voter) bool { return v == n.self })
}

func (n *Node) isSoleVoter() bool {
	m := n.members()
	return len(m.voters) == 1 && m.voters[0] == n.self
}

// appendConfig records the configuration held by a new log entry, if any.
func (n *Node) appendConfig(e entry.Entry) {
	if e.Kind != entry.Voters {
		return
	}
	m, err := DecodeMembers(e.Data)
	if err != nil {
		panic("consensus: " + err.Error())
	}
	n.configs = append(n.configs, config{e.Index, m})
}
