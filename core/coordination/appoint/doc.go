// Package appoint decides which daemon is the placer, the one that may give
// orders to replicas. The placer role is a record in the replicated log, with
// an increasing fencing number.
//
// # The rule
//
// A placer gives orders only while its [Lease] holds: within the last
// [LeaseDuration] it has asked the leader for an index that covers everything
// committed, has applied the log up to that index, and still held the role. The
// leader commits the retirement of a placer before it appoints the next one. It
// then waits, counted from the last read that the placer can have made, until
// the lease has expired and no order is in transit. Reads go through the
// leader, so the leader knows the last one. For a later leader, the last read
// is not later than the start of its own leadership, nor than the time when it
// applied the retirement: a read from then on shows the placer that it is
// retired. A placer that makes no reads is retired as well. A placer that stops
// resigns: its orders have ended, so no wait is needed. The orders of two
// placers therefore never overtake each other.
//
// Replicas that do not check fencing numbers treat two daemons that give orders
// in turn as competing placers. A single change of the placer does not count as
// that, but a daemon that held the role recently, with another one since, is
// not appointed until replicas have forgotten its orders; see [History]. A
// daemon that has restarted under its own name is appointed again without a
// wait, since no other daemon has given orders after it. A placer that was
// unresponsive is appointed only if there is no other candidate: that its reads
// arrive again does not show that it receives the answers.
//
// The role goes to the daemon with the largest processor share of those that the
// leader can reach at that moment. If that is a weak one, it moves once a much
// stronger one has been available for a while: the placer's work grows with the
// number of daemons and replicas, and a placer that can't do it stops all loads.
//
// # Clocks
//
// The monotonic clock stops while a VM is suspended, and the wall clock can
// jump. A lease holds only while neither clock shows it as expired: after a
// pause or a jump it must be renewed first.
package appoint
