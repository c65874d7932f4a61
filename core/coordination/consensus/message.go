package consensus

import (
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// A kind ending in Reply answers the kind before it.
const (
	// Probe asks a daemon whether it belongs to a cluster. A node sends it
	// while it has no cluster or hears from no leader.
	Probe MessageKind = iota + 1
	ProbeReply
	// PreVote asks whether a vote would be granted in Term.
	PreVote
	PreVoteReply
	// Vote asks for a vote in Term.
	Vote
	VoteReply
	// Append carries the entries that follow Index and LogTerm.
	Append
	AppendReply
	// Heartbeat carries the commit index and a round.
	Heartbeat
	HeartbeatReply
	// InstallSnapshot carries a snapshot; it is answered by AppendReply.
	InstallSnapshot
	// TimeoutNow tells a voter to campaign at once.
	TimeoutNow
)

// LastKind is the greatest message kind.
const LastKind = TimeoutNow

// Message is what nodes send each other. Fields that a kind does not name are
// zero.
type Message struct {
	Kind MessageKind
	// Cluster is the sender's cluster, empty if it has none.
	Cluster string
	// From is the full identity of the sender.
	From Voter
	// To is the full identity of the receiver; only a Probe lacks the disk.
	To Voter
	// Term is the sender's term; in PreVote and a granted PreVoteReply the
	// term that is campaigned for.
	Term uint64
	// Index is the last index of the candidate's log (PreVote, Vote), the
	// index before Entries (Append), the index that is acknowledged or
	// refused (AppendReply).
	Index uint64
	// LogTerm is the term of the entry at Index (PreVote, Vote, Append).
	LogTerm uint64
	// Commit is the sender's commit index, at most what the receiver holds in
	// a Heartbeat.
	Commit uint64
	// Round counts the leader's heartbeat rounds; the reply repeats it.
	Round uint64
	// Hint is where the logs may match, in an AppendReply that refuses.
	Hint uint64
	// Refused is true if the request was not granted.
	Refused bool
	// Transfer is true in a Vote that the former leader asked for.
	Transfer bool
	// Entries have consecutive indices from Index+1.
	Entries []entry.Entry
	// Snapshot is set in InstallSnapshot.
	Snapshot Snapshot
	// Eligible is the sorted list of voters in the settings of the sender of a
	// Probe or ProbeReply.
	Eligible []ident.Daemon
}

// Snapshot is the state of the replicated state machine after an entry.
type Snapshot struct {
	// Index is that of the last entry it covers, 0 if there is no snapshot.
	Index uint64
	// Term is the term of the entry at Index.
	Term uint64
	// Members is the configuration in force at Index.
	Members Members
	// Data is the encoded state; empty for the state before any command.
	Data []byte
}
