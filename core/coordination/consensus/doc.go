// Package consensus replicates a log among the voters, which are daemons that
// have a disk. It is a pure state machine: [Node.Step] takes one event and
// returns effects for the caller to carry out. It implements the Raft algorithm
// with pre-vote, check-quorum, learners, single-member configuration changes,
// snapshots, leadership transfer and linearizable reads (ReadIndex).
//
// # Identity
//
// A [Voter] is a daemon's name together with a random id that is written to its
// disk when the disk is first used. A daemon that lost its disk returns with
// another identity, so it can neither vote twice in a term nor count as holding
// entries that it has lost. Messages are addressed to the full identity and
// carry the cluster's id.
//
// # Persistence
//
// A step that changes persistent state returns a numbered write batch. Messages
// that depend on this state being durable (votes, acknowledgements and vote
// requests) are deferred until a [Synced] event reports the batch's number. The
// node's own vote and acknowledgement are handled the same way, as messages to
// itself. Batches are written outside the goroutine that calls Step, so that
// several steps share one sync.
//
// # Forming a cluster
//
// The voters are listed in the settings, except in an open cluster. A node
// without a cluster probes the listed daemons. The one with the lowest name
// forms a cluster once all others have replied that they never belonged to one
// and that they have the same list. A node without a cluster adopts the cluster
// of the first message that is addressed to its exact identity. This is safe,
// because a new identity has neither voted nor acknowledged anything, so an
// empty log is its correct state.
//
// An open cluster has no configured list. Its first voters are decided on by
// package founding and passed to all of them. The caller reports the daemons that
// have a disk, and the leader makes an odd number of these daemons voters. It
// also probes those that are not members, so that two clusters among the same
// daemons are noticed.
//
// # Membership repair
//
// The leader adds an eligible daemon that probes with an unknown identity as a
// learner. If a voter has the same daemon name, it must have been silent for a few
// heartbeats: the other identity shows that the process of the old disk has ended,
// unless two processes have the name. Once the learner has synced everything that is
// committed, the leader removes that voter and then promotes the learner. These are
// separate entries, each committed before the next is proposed, so a majority of any
// configuration intersects a majority of the next one. Between removal and promotion
// an entry needs a majority of the remaining voters: the failure of another VM can
// stop commits in this phase but cannot lose committed entries.
package consensus
