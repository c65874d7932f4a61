// Package appoint decides which daemon is the placer, the one that may give
// replicas orders. The office is a record in the replicated log, with a fencing
// number that grows.
//
// # The rule
//
// A placer gives orders only while its [Lease] holds: within the last
// [LeaseDuration] it has asked the leader for an index that covers all that was
// committed, has applied the log up to it, and was still in office. Whoever
// appoints the next placer first commits the retirement of the last one, and
// then waits, counted from the last read that the placer can have made, until
// the lease is over and no order is on its way. Reads go through the leader, so
// the leader knows of the last one. For a later leader none is younger than its
// own beginning, nor than when it applied the retirement: a read from then on
// shows the placer that it is retired. A placer that makes no reads is retired,
// too. One that stops resigns: its orders have ended, so nobody waits. So the
// orders of two placers never overtake each other.
//
// Replicas that do not check fencing numbers take two daemons for rivals that
// give orders in turn. A plain change of holder is no turn, but a daemon that
// was in office lately, with another one since, is not appointed until replicas
// have forgotten its orders; see [History]. A daemon that has started anew under
// its own name is appointed again without a wait, since nobody has given orders
// after it. One that was silent comes last: that its reads arrive again does not
// show that it hears the answers.
//
// # Clocks
//
// The steady clock stops while a VM is suspended, and the time of day can jump.
// A lease holds only while both say so: after a pause or a jump it has to be
// renewed first.
package appoint
