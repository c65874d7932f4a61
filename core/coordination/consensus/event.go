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
	eventEligibleDaemons
	eventBootstrap
)

// Event is an input of [Node.Step]. The functions below create events.
type Event struct {
	kind    eventKind
	message Message
	number  uint64
	data    []byte
	change  Change
	// hard and snapshot are the state that Recover and Bootstrap switch to.
	hard     HardState
	snapshot Snapshot
	// names and leaving belong to the event that reports the daemons with a disk.
	names   []ident.Daemon
	leaving []ident.Daemon
	// campaign belongs to Bootstrap.
	campaign bool
}

// Tick reports that time has passed. Send one every [TickInterval].
func Tick() Event { return Event{kind: eventTick} }

// Receive delivers a message from another node.
func Receive(m Message) Event { return Event{kind: eventReceive, message: m} }

// Synced reports that all write batches up to and including number are synced
// to disk.
func Synced(number uint64) Event { return Event{kind: eventSynced, number: number} }

// Propose requests that a command be committed. The caller chooses number,
// which must be unique for the lifetime of the node; it is returned in an
// [Outcome].
func Propose(number uint64, data []byte) Event {
	return Event{kind: eventPropose, number: number, data: data}
}

// ReadIndex requests a read index: a state machine that has applied the log up to
// this index reflects everything that was committed before the request. The
// number is returned in a [ReadOutcome].
func ReadIndex(number uint64) Event { return Event{kind: eventRead, number: number} }

// ChangeMembers requests a single-member configuration change. The number is
// returned in an [Outcome].
func ChangeMembers(number uint64, c Change) Event {
	return Event{kind: eventChange, number: number, change: c}
}

// Compact supplies the encoded state machine as of the entry at index, so that
// the log up to it may be dropped. It has no effect if the node has not yet
// returned that entry as committed.
func Compact(index uint64, data []byte) Event {
	return Event{kind: eventCompact, number: index, data: data}
}

// TransferLeadership requests a leadership transfer before a planned shutdown.
// It has no effect on nodes other than the leader.
func TransferLeadership() Event { return Event{kind: eventTransfer} }

// EligibleDaemons reports the daemons that have a disk, which takes the place
// of a configured list, and those among them that are about to stop. The event
// has no effect unless the cluster is open.
func EligibleDaemons(names, leaving []ident.Daemon) Event {
	return Event{kind: eventEligibleDaemons, names: names, leaving: leaving}
}

// Bootstrap starts a new open cluster with the given voters, this node among
// them. All voters must receive the same cluster id and list, and no other ones
// may ever be in use for this cluster or another one; see package founding. With
// campaign the node runs for election at once. The event has no effect on a node
// that has received the state of a cluster or belongs to another one.
func Bootstrap(cluster string, voters []Voter, campaign bool) Event {
	st := BootstrapState(cluster, voters)
	return Event{kind: eventBootstrap, hard: st.Hard, snapshot: st.Snapshot, campaign: campaign}
}

// Recover requests that this node start a new cluster with itself as the only
// voter; see [RecoveredState]. The number is returned in an [Outcome]:
// Committed once the new cluster has committed its first entry, Refused if the
// node knows that an entry beyond index is committed.
func Recover(number uint64, cluster string, index, term uint64, data []byte) Event {
	st := RecoveredState(cluster, nil, index, term, data)
	return Event{kind: eventRecover, number: number, hard: st.Hard, snapshot: st.Snapshot}
}

// Effects lists what the caller of [Node.Step] must carry out, in the order of
// the fields.
type Effects struct {
	// Persist must be written after all earlier batches, and synced.
	Persist option.Option[WriteBatch]
	// Send holds messages that may be lost, duplicated or reordered.
	Send []Message
	// Restore replaces the state of the state machine.
	Restore option.Option[Snapshot]
	// Committed entries must be applied in order. Each index is returned once
	// per process run.
	Committed []entry.Entry
	// Outcomes answer proposals, membership changes and recovery requests.
	Outcomes []Outcome
	// Reads answer read index requests.
	Reads []ReadOutcome
	// Role is set if the role, term or known leader changed.
	Role option.Option[RoleChange]
	// NeedSnapshot requests a Compact event.
	NeedSnapshot bool
}

// WriteBatch is a batch of persistent state to write.
type WriteBatch struct {
	// Number increases by one with each batch of a process run.
	Number uint64
	// Hard replaces the stored hard state.
	Hard HardState
	// Snapshot, if set, replaces the stored snapshot and all stored entries.
	Snapshot option.Option[Snapshot]
	// Entries have consecutive indices. Stored entries from the index of the
	// first one on are discarded before these are stored.
	Entries []entry.Entry
}

// HardState is the hard state of Raft, which must be on disk before a message
// that depends on it is sent.
type HardState struct {
	// Cluster is the cluster's id. It is set once and only a forced recovery
	// replaces it.
	Cluster string
	// Term never decreases.
	Term uint64
	// Vote is the candidate that the node voted for in Term, zero if none.
	Vote Voter
}

// PersistentState is the persistent state that a node starts from.
type PersistentState struct {
	Hard HardState
	// Snapshot has index 0 if there is none.
	Snapshot Snapshot
	// Entries follow the snapshot without gaps.
	Entries []entry.Entry
}

// Status is the result of a proposal.
type Status uint8

const (
	// Committed means that the entry is committed at Index.
	Committed Status = iota + 1
	// Refused means that the proposal never entered the log.
	Refused
	// Overwritten means that another entry was committed at the proposal's
	// index, so the proposal never takes effect.
	Overwritten
	// Undetermined means that a snapshot covers the proposal's index, so it is
	// unknown whether the proposal took effect.
	Undetermined
)

// Outcome answers a proposal. A proposal of a leader that stepped down stays
// pending until the committed entry at its index is known.
type Outcome struct {
	Number uint64
	Status Status
	// Index is the index at which the proposal was committed.
	Index uint64
	// Leader is the known leader, zero if none.
	Leader Voter
	// Err is the reason of a refusal; it has a result code.
	Err error
}

// ReadOutcome answers a read index request.
type ReadOutcome struct {
	Number uint64
	// OK is true if Index is valid.
	OK bool
	// Index must be applied by the state machine before the read is served.
	Index uint64
	// Leader is the known leader, zero if none.
	Leader Voter
}

// Role is a node's role in the current term.
type Role uint8

const (
	// Follower follows the leader of its term or waits for one.
	Follower Role = iota
	// PreCandidate runs a pre-vote to find out whether it could win an
	// election.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader replicates its log to the other members.
	Leader
)

var roleNames = [...]string{"follower", "precandidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// RoleChange reports a new role, term or leader.
type RoleChange struct {
	Role Role
	Term uint64
	// Leader is zero if it is not known.
	Leader Voter
}
