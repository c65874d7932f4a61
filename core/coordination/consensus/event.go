package consensus

import (
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

type eventKind uint8

const (
	eventTick eventKind = iota
	eventReceive
	eventSynced
	eventPropose
	eventRead
	eventChange
	eventCompact
	eventTransfer
	eventRecover
	eventCandidates
)

// Event is an input of [Node.Step]. Make one with the functions below.
type Event struct {
	kind    eventKind
	message Message
	number  uint64
	data    []byte
	change  Change
	// hard and snapshot are what to recover to.
	hard     HardState
	snapshot Snapshot
	// names, leaving and founder are those of EligibleDaemons.
	names   []ident.Daemon
	leaving []ident.Daemon
	founder bool
}

// Tick tells that time has passed. Send one every [TickInterval].
func Tick() Event { return Event{kind: eventTick} }

// Receive delivers a message from another node.
func Receive(m Message) Event { return Event{kind: eventReceive, message: m} }

// Synced tells that all [WriteBatch] up to the number are synced to disk.
func Synced(number uint64) Event { return Event{kind: eventSynced, number: number} }

// Propose asks to commit a command. The number, chosen by the caller and
// unique for the life of the node, comes back in an [Outcome].
func Propose(number uint64, data []byte) Event {
	return Event{kind: eventPropose, number: number, data: data}
}

// ReadIndex asks for an index; a state machine that has applied it reflects
// everything committed before the call. The number comes back in a
// [ReadOutcome].
func ReadIndex(number uint64) Event { return Event{kind: eventRead, number: number} }

// ChangeMembers asks to commit a change of one member. The number comes back
// in an [Outcome].
func ChangeMembers(number uint64, c Change) Event {
	return Event{kind: eventChange, number: number, change: c}
}

// Compact hands over the state after the entry at index. The log up to it may
// be dropped. It has no effect if the node has not given out that entry yet.
func Compact(index uint64, data []byte) Event {
	return Event{kind: eventCompact, number: index, data: data}
}

// TransferLeadership asks the leader to hand over leadership before a planned stop. It
// has no effect at other nodes.
func TransferLeadership() Event { return Event{kind: eventTransfer} }

// EligibleDaemons names the daemons that have a disk, in the place of a list in the
// settings, and those of them that are about to stop. A founder may form a cluster alone; at most one daemon is ever
// told so, and none that has lost its disk. It has no effect at a node that is
// not open.
func EligibleDaemons(names, leaving []ident.Daemon, founder bool) Event {
	return Event{kind: eventCandidates, names: names, leaving: leaving, founder: founder}
}

// Recover asks to start a new cluster of this node alone, see
// [RecoveredState]. The number comes back in an [Outcome]: Committed once the
// new cluster works, Refused if the node knows of a commit beyond the index.
func Recover(number uint64, cluster string, index, term uint64, data []byte) Event {
	st := RecoveredState(cluster, nil, index, term, data)
	return Event{kind: eventRecover, number: number, hard: st.Hard, snapshot: st.Snapshot}
}

// Effects is what the caller of [Node.Step] carries out, in the order of the
// fields.
type Effects struct {
	// Persist is to be written after all earlier ones, and synced.
	Persist option.Option[WriteBatch]
	// Send may be lost, repeated and reordered.
	Send []Message
	// Restore replaces the state machine's state.
	Restore option.Option[Snapshot]
	// Committed entries are applied in order; each index is given once per
	// run of the process.
	Committed []entry.Entry
	// Outcomes answer Propose and ChangeMembers events.
	Outcomes []Outcome
	// Reads answer ReadIndex events.
	Reads []ReadOutcome
	// Role is set if the role, term or known leader changed.
	Role option.Option[RoleChange]
	// NeedSnapshot asks for a Compact event.
	NeedSnapshot bool
}

// WriteBatch is a batch of persistent state.
type WriteBatch struct {
	// Number grows by one with each batch of a run.
	Number uint64
	// Hard replaces the former one.
	Hard HardState
	// Snapshot, if set, replaces the former one and every stored entry.
	Snapshot option.Option[Snapshot]
	// Entries have consecutive indices. Stored entries from the first's index
	// on are discarded before they are stored.
	Entries []entry.Entry
}

// HardState is the part of the state that a node promises by.
type HardState struct {
	// Cluster never changes once it is set.
	Cluster string
	// Term never falls.
	Term uint64
	// Vote is whom the node voted for in Term, zero if none.
	Vote Voter
}

// PersistentState is what a node starts from.
type PersistentState struct {
	Hard HardState
	// Snapshot has index 0 if there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []entry.Entry
}

// Status tells what became of a proposal.
type Status uint8

const (
	// Committed means that the entry is committed at Index.
	Committed Status = iota + 1
	// Refused means that the proposal never entered the log.
	Refused
	// Overwritten means that another entry was committed at its index: it
	// never takes effect.
	Overwritten
	// Undetermined means that a snapshot covers its index: it may have taken
	// effect or not.
	Undetermined
)

// Outcome answers a proposal. A proposal of a leader that steps down stays
// open until the entry at its index is known.
type Outcome struct {
	Number uint64
	Status Status
	// Index is where it was committed.
	Index uint64
	// Leader is the known leader, zero if none.
	Leader Voter
	// Err tells why it was refused; it has a result code.
	Err error
}

// ReadOutcome answers a read.
type ReadOutcome struct {
	Number uint64
	// OK is true if Index is valid.
	OK bool
	// Index is what the state machine has to reach before the read.
	Index uint64
	// Leader is the known leader, zero if none.
	Leader Voter
}

// Role is what a node is in its term.
type Role uint8

const (
	// Follower follows a leader or waits for one.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader replicates its log.
	Leader
)

var roleNames = [...]string{"follower", "precandidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// RoleChange tells of a new role, term or leader.
type RoleChange struct {
	Role Role
	Term uint64
	// Leader is zero if it is not known.
	Leader Voter
}
