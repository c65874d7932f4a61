// Package witness decides which committed entries a daemon has to apply, which
// entries are visible, and until when the daemon may take new work.
//
// # The rule
//
// Every daemon is a witness or polls the witnesses. An entry is durable once
// the voters have committed it, and visible once a majority of the witnesses
// has applied it. A daemon is fresh, and takes new work, only while a majority
// of the witnesses has confirmed within the last [FreshFor] that it knows of
// nothing newer than the daemon has applied. Any such majority includes a
// witness of every entry that was visible when the poll was sent. So whatever
// was visible FreshFor ago is applied on every daemon that takes work. This
// requires neither voters, leader nor disks to be reachable.
//
// # The exchange
//
// There is a single kind of exchange, [Request] and [Response]. A poll carries
// only indices, an offer adds entries, and a fetch asks for them. Only
// committed entries are sent, so nothing that was applied is ever reverted, and
// entries may come from any daemon. The leader offers new entries to the
// witnesses at once. Each daemon polls a majority every 400 ms, and the others
// as well if some are slow. A daemon that learns that another one has more
// entries fetches them, and asks the next one if nothing arrives in the time that
// they may take: too early, and copies of the same entries fill a slow link; with
// the next poll only, and a single lost exchange costs a poll interval. Entries
// older than a bounded tail of the log are fetched as a snapshot, and so are
// entries that don't fit into one message if the state is smaller. Visibility
// follows from the responses alone, so any daemon can establish it; the leader
// usually does so first, because its offers are answered first.
//
// # Restarted witnesses
//
// A witness keeps its state in memory only, so a restarted one may have
// belonged to the majority that made an entry visible and have lost that entry.
// Three measures keep the rule true:
//
//   - A restarted witness is not active, that is, its responses do not count,
//     until it has received responses from n-m+1 other active witnesses in one
//     round (n witnesses, majority m) and has applied what they had. Any n-m+1
//     witnesses intersect every majority.
//   - Each daemon keeps a vector with the highest incarnation known of every
//     daemon. It records the incarnation of a requester before it responds, and
//     sends the vector along. A daemon that counts responses drops those of a
//     run older than its vector knows. Otherwise it could combine a response of
//     an earlier run with one that another witness gave after the later run had
//     recovered from that witness.
//   - The vector includes the sender's own incarnation, and a visible index is
//     accepted from a requester only together with its vector.
//
// The vector is omitted if the receiver is known by its digest to have the
// same one.
//
// A witness can also become active through a linearizable read by the voters:
// whatever an earlier run acknowledged was committed before the read began, so
// a daemon that has applied the read's index lacks nothing. This does not
// require any active witness. It is what makes the witnesses active when a
// cluster is first started and after all daemons have restarted at once, so
// neither case needs a rule of its own. A daemon that is not active requests
// such a read by [ReadWanted], but only after the witnesses have had time to
// respond.
//
// A read provides the entries but not the vector that was lost in the restart.
// Another witness may have recovered from the earlier run, and the vector of
// that run may have been the only one left that invalidates a response which
// the other witness gave before its own restart. A witness that became active
// by a read of index r therefore counts towards visibility only above r: a
// response that can be wrong about an entry above r was given after the read,
// and the vector that invalidates it was recorded after the read as well. This
// floor passes on to every daemon that recovers from such a witness. Entries up
// to the floor become visible together with a later entry; if there is none,
// the leader requests one by [NoopWanted].
//
// # Changing the witness set
//
// The witness set is part of the replicated state. Until the entry that changes
// it is known to be visible, majorities of both the old and the new set are
// required for freshness, recovery and visibility. The next change may be
// proposed once [Witness.Settled] reports true. A daemon that still uses the
// old set learns of the change from any majority of it, and has to apply it
// before the round counts.
//
// # Incarnations
//
// Incarnations must increase from run to run: the start time in milliseconds
// shifted left by 16, plus 16 random bits. If the clock moved backwards between
// two runs, other daemons know a higher incarnation, and the new run adopts the
// next one above it before it becomes active. A run that is already active and
// learns of a higher incarnation under its own name has been superseded and
// stops for good.
//
// # Clocks
//
// FreshFor is measured on the clock passed to Step, which must keep running
// while time passes. Go's monotonic clock runs on while a process is stopped,
// but possibly not while the VM itself is paused. A daemon that wakes from such
// a pause may consider itself fresh for at most FreshFor longer than it is.
//
// # Cost
//
// With n = 11 daemons, all of them witnesses, each daemon polls 5 others every
// 400 ms. In larger clusters there are still 11 witnesses and every other
// daemon polls 6 of them, so that a witness answers 6(n-11)/11 more exchanges
// in that time. At n = 520 this is the next thing to improve: one daemon per
// data centre could poll for the daemons near it and pass on the send time of
// the round, from which they measure FreshFor. Daemons that take work whether
// they are fresh or not, see [Config], poll two witnesses in that time,
// regardless of the number of witnesses.
//
// # Alternatives considered
//
// With a leader lease, taking work would depend on a leader and therefore on
// disks. Making every daemon a voter would require a disk on each. Determining
// visibility only at the leader would lose that information whenever the leader
// changes.
package witness
