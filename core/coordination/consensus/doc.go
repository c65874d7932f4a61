// Package consensus keeps a replicated log among the voters, the daemons that
// have a disk. It is a pure state machine: [Node.Step] takes one event and
// returns effects for the caller to carry out. It follows the Raft algorithm
// with pre-vote, check-quorum, learners, single-member changes, snapshots and
// linearizable reads by heartbeat rounds.
//
// # Identity
//
// A [Voter] is a daemon's name together with a random id that was written to
// its disk at the first start. A daemon that lost its disk returns as another
// voter: it can neither vote twice nor count for what it has forgotten.
// Messages are addressed to the full identity and carry the cluster's id.
//
// # Disk
//
// A step that changes persistent state returns a numbered [WriteBatch]. Messages
// that promise something (votes, acknowledgements, the candidate's requests)
// are held back until a [Synced] event reports that number. The node's own vote
// and acknowledgement take the same way, as messages to itself. Writes happen
// off the control goroutine, so that many steps share one sync.
//
// # Birth of a cluster
//
// A node without a cluster probes the listed voters. The listed voter with the
// least name forms a cluster once all of them have answered that they never
// belonged to one and list the same names. A node without a cluster adopts the
// cluster of the first message that is addressed to its exact identity: it has
// promised nothing yet, so an empty log is the truth about it.
//
// # Repair
//
// The leader adds a listed daemon that probes with an unknown identity as
// learner. Once the learner has everything that is committed synced on its
// disk, the leader removes the silent voter of the same name, if there is one,
// and then promotes the learner. These are separate entries, each committed
// before the next is proposed, so a majority of any configuration intersects a
// majority of the next. Between removal and promotion an entry needs a majority
// of the remaining voters: the failure of one more VM can stop commits but not
// lose any.
package consensus
