package consensus

import (
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// MessageKind is the kind of a [Message].
type MessageKind uint8

// A kind ending in Reply answers the kind before it.
const (
	// Probe asks a daemon which cluster it belongs to. A node sends it while it
	// has no cluster or receives nothing from a leader.
	Probe MessageKind = iota + 1
	ProbeReply
	// PreVote asks whether the receiver would grant a vote in Term.
	PreVote
	PreVoteReply
	// Vote requests a vote in Term.
	Vote
	VoteReply
	// Append replicates the entries that follow the entry at Index with term
	// LogTerm.
	Append
	AppendReply
	// Heartbeat carries the commit index and the number of a heartbeat round.
	Heartbeat
	HeartbeatReply
	// InstallSnapshot carries a snapshot; AppendReply answers it.
	InstallSnapshot
	// TimeoutNow tells a voter to start an election at once.
	TimeoutNow
)

// LastKind is the highest message kind.
const LastKind = TimeoutNow

// Message is a message between nodes. Fields that are not documented for a kind
// are zero.
type Message struct {
	Kind MessageKind
	// Cluster is the sender's cluster id, empty if it belongs to none.
	Cluster string
	// From is the identity of the sender, disk included.
	From Voter
	// To is the identity of the receiver, disk included except in a Probe.
	To Voter
	// Term is the sender's term. In a PreVote and in a PreVoteReply that grants
	// it, it is the term of the proposed election.
	Term uint64
	// Index is the last index of the candidate's log (PreVote, Vote), the index
	// before Entries (Append), or the index that is acknowledged or rejected
	// (AppendReply).
	Index uint64
	// LogTerm is the term of the entry at Index (PreVote, Vote, Append).
	LogTerm uint64
	// Commit is the sender's commit index; in a Heartbeat it never exceeds the
	// index that the receiver is known to hold.
	Commit uint64
	// Round is the number of the leader's heartbeat round; the reply repeats
	// it.
	Round uint64
	// Hint is the highest index at which the logs may match, in an AppendReply
	// that rejects.
	Hint uint64
	// Refused is true if the request was rejected.
	Refused bool
	// Transfer is true in a Vote that results from a leadership transfer.
	Transfer bool
	// Entries have consecutive indices from Index+1.
	Entries []entry.Entry
	// Snapshot is set in a message that carries a snapshot.
	Snapshot Snapshot
	// Eligible is the sorted list of daemons that may become voters, as the
	// sender of a Probe or ProbeReply knows it.
	Eligible []ident.Daemon
}

// Snapshot is the state of the replicated state machine after a log entry.
type Snapshot struct {
	// Index is the index of the last entry covered, 0 if there is no snapshot.
	Index uint64
	// Term is the term of the entry at Index.
	Term uint64
	// Members is the configuration in force at Index.
	Members Members
	// Data is the encoded state; it is empty for the state before any command.
	Data []byte
}
