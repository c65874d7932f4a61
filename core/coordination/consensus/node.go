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
	// TickInterval is how often the node wants a [Tick].
	TickInterval = 25 * time.Millisecond
	// HeartbeatInterval is how often the leader sends heartbeats and a
	// candidate repeats its requests.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the least time without a leader before a voter
	// campaigns. While it has heard from a leader within it, a voter grants
	// no vote.
	ElectionTimeout = 600 * time.Millisecond
	// ElectionSpread is the random addition to ElectionTimeout.
	ElectionSpread = 400 * time.Millisecond
	// startAfter, and half of the random addition, is when a voter campaigns that
	// has just started: it asks first whether there is a leader, so none is
	// disturbed.
	startAfter = 50 * time.Millisecond
	// retryAfter, and a random addition, is when a candidate tries again: no
	// leader is known then that could be disturbed.
	retryAfter = 300 * time.Millisecond
)

// Settings are given to [New].
type Settings struct {
	// Self is the identity of this node's disk.
	Self Voter
	// Eligible names the daemons that are to be voters, this one included.
	Eligible []ident.Daemon
	// Open makes every daemon with a disk a voter: nobody lists them, and
	// [EligibleDaemons] tells which there are.
	Open bool
	// Random returns a number from 0 to n-1.
	Random func(n int64) int64
	// NewClusterID returns a random id for a new cluster.
	NewClusterID func() string
}

// Node is one voter or learner. It is not safe for concurrent use.
type Node struct {
	self Voter
	// listed is sorted.
	listed []ident.Daemon
	open   bool
	// leaving names daemons that are about to stop.
	leaving []ident.Daemon
	// founder is true, with open, if this node may form a cluster alone. At
	// most one node is ever told so.
	founder    bool
	random     func(n int64) int64
	newCluster func() string

	// hard is what the last WriteBatch of the run holds, or the next will.
	hard     HardState
	log      memlog
	snapshot Snapshot
	// configs is not empty; its first index is at most log.base, or 0.
	configs []config
	// commit is at most log.last() and at least snapshot.Index.
	commit uint64
	// applied is the last index given out, at most commit.
	applied uint64
	// size counts bytes given out as committed since the last snapshot.
	size int
	// asked is true from NeedSnapshot to Compact.
	asked bool

	role   Role
	leader Voter
	// electionAt is when to campaign if nothing is heard from a leader.
	electionAt time.Time
	// leaseUntil is until when no other candidate gets a vote.
	leaseUntil time.Time
	// repeatAt is when to send the next heartbeats or requests.
	repeatAt time.Time
	// orphanAt is when a node that hears from no leader starts to probe, and
	// probeAt when it probes next.
	orphanAt, probeAt time.Time
	// ballots holds the answers of voters to the running campaign.
	ballots map[Voter]bool

	// The fields of a leader are nil or zero in other roles.
	// progress has every member but the node itself.
	progress map[Voter]*progress
	// acked is the last index of the leader's own log that is synced.
	acked uint64
	// termStart is the index of the leader's first entry of its term.
	termStart uint64
	round     uint64
	reads     []read
	// transferee is who leadership is being handed to, until transferUntil.
	transferee    Voter
	transferUntil time.Time
	// joiners are identities that probed, and until when that counts.
	joiners map[Voter]time.Time

	// pending has ascending indices.
	pending []pending
	// probes holds the latest answers of the listed daemons.
	probes map[ident.Daemon]probe

	// number is that of the last WriteBatch, synced that of the last one synced.
	number, synced uint64
	// held waits for its WriteBatch to be synced; ascending in after.
	held []heldMessage
	step step
}

// config is a configuration and the index of its entry.
type config struct {
	index   uint64
	members Members
}

type heldMessage struct {
	after   uint64
	message Message
}

// step collects the effects of one call of Step.
type step struct {
	effects Effects
	// hard, from and snapshot tell what has to be persisted; from is the
	// least index of changed entries, 0 if none.
	hard     bool
	from     uint64
	snapshot bool
	// synced messages are sent once this step's WriteBatch is synced.
	synced []Message
	// announce is true if a new round of heartbeats begins.
	announce bool
}

// New returns a node that continues from the state, which is empty on a new
// disk. The caller has restored its state machine from the state's snapshot.
func New(now time.Time, s Settings, st PersistentState) *Node {
	n := &Node{
		self:       s.Self,
		listed:     slices.Sorted(slices.Values(s.Eligible)),
		open:       s.Open,
		random:     s.Random,
		newCluster: s.NewClusterID,
		hard:       st.Hard,
		snapshot:   st.Snapshot,
		probes:     make(map[ident.Daemon]probe),
		commit:     st.Snapshot.Index,
		applied:    st.Snapshot.Index,
	}
	n.log = memlog{base: st.Snapshot.Index, baseTerm: st.Snapshot.Term, entries: slices.Clone(st.Entries)}
	n.configs = []config{{index: st.Snapshot.Index, members: st.Snapshot.Members}}
	for _, e := range st.Entries {
		n.noteConfig(e)
	}
	n.electionAt = now.Add(startAfter + n.spread()/2)
	n.orphanAt = now.Add(goneAfter)
	if n.alone() {
		n.electionAt = now
	}
	return n
}

// Step takes one event. Time never goes backwards.
func (n *Node) Step(now time.Time, ev Event) Effects {
	n.step = step{}
	before := RoleChange{n.role, n.hard.Term, n.leader}
	handlers[ev.kind](n, now, ev)
	n.flush(now)
	if after := (RoleChange{n.role, n.hard.Term, n.leader}); after != before {
		n.step.effects.Role = option.Some(after)
	}
	return n.step.effects
}

var handlers = [...]func(*Node, time.Time, Event){
	eventTick:       func(n *Node, now time.Time, _ Event) { n.tick(now) },
	eventReceive:    func(n *Node, now time.Time, ev Event) { n.receive(now, ev.message) },
	eventSynced:     (*Node).onSynced,
	eventPropose:    (*Node).onPropose,
	eventRead:       (*Node).onRead,
	eventChange:     (*Node).onChange,
	eventCompact:    (*Node).onCompact,
	eventTransfer:   (*Node).onTransfer,
	eventRecover:    (*Node).onRecover,
	eventCandidates: (*Node).onCandidates,
}

func (n *Node) tick(now time.Time) {
	if n.hard.Cluster == "" {
		n.tickBlank(now)
		return
	}
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	n.tickFollower(now)
}

// flush turns the step's changes into effects.
func (n *Node) flush(now time.Time) {
	if n.step.announce && n.role == Leader {
		n.broadcastHeartbeat(now)
	}
	if p, ok := n.batch(); ok {
		n.step.effects.Persist = option.Some(p)
	}
	for _, m := range n.step.synced {
		n.held = append(n.held, heldMessage{n.number, m})
	}
	n.release(now)
}

// batch returns what the step has to persist, if anything.
func (n *Node) batch() (WriteBatch, bool) {
	s := &n.step
	if !s.hard && s.from == 0 && !s.snapshot {
		return WriteBatch{}, false
	}
	n.number++
	p := WriteBatch{Number: n.number, Hard: n.hard}
	if s.snapshot {
		p.Snapshot = option.Some(n.snapshot)
		s.from = n.snapshot.Index + 1
	}
	if s.from > 0 {
		p.Entries = n.log.from(s.from, math.MaxInt, math.MaxInt)
	}
	return p, true
}

func (n *Node) onSynced(now time.Time, ev Event) {
	n.synced = max(n.synced, min(ev.number, n.number))
	n.release(now)
}

// release sends the held messages whose WriteBatch is synced. A message of the
// node to itself always comes with a WriteBatch, so that it is only released by a
// Synced event, before the step's batch is made.
func (n *Node) release(now time.Time) {
	for len(n.held) > 0 && n.held[0].after <= n.synced {
		m := n.held[0].message
		n.held = n.held[1:]
		if m.To == n.self {
			n.receive(now, m)
			continue
		}
		n.step.effects.Send = append(n.step.effects.Send, m)
	}
}

// send sends a message that promises nothing.
func (n *Node) send(m Message) {
	n.step.effects.Send = append(n.step.effects.Send, n.stamp(m))
}

// sendSynced sends a message once everything up to this step is synced.
func (n *Node) sendSynced(m Message) {
	n.step.synced = append(n.step.synced, n.stamp(m))
}

func (n *Node) stamp(m Message) Message {
	m.Cluster = n.hard.Cluster
	m.From = n.self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	return m
}

// members returns the configuration in force, the latest in the log.
func (n *Node) members() Members { return n.configs[len(n.configs)-1].members }

// others returns the members but the node itself.
func (n *Node) others() []Voter {
	return slices.DeleteFunc(n.members().all(), func(v Voter) bool { return v == n.self })
}

func (n *Node) alone() bool {
	m := n.members()
	return len(m.voters) == 1 && m.voters[0] == n.self
}

// noteConfig keeps the configuration of a new entry of the log.
func (n *Node) noteConfig(e entry.Entry) {
	if e.Kind != entry.Voters {
		return
	}
	m, err := DecodeMembers(e.Data)
	if err != nil {
		panic("consensus: " + err.Error())
	}
	n.configs = append(n.configs, config{e.Index, m})
}
