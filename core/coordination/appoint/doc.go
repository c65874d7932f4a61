// Package appoint decides which daemon is the placer, the one that may give
// replicas orders. The office is a record in the replicated log, with a fencing
// number that grows.
//
// # The rule
//
// A placer gives orders only while its [Lease] holds: within the last
// [LeaseFor] it has asked the leader for an index that covers all that was
// committed, has applied the log up to it, and was still in office. Whoever
// appoints the next placer first commits the retirement of the last one, and
// then waits, counted from the last read that the placer can have made, for
// LeaseFor and for the time that replicas may still take two holders for
// rivals. Reads go through the leader, so the leader knows of the last one. For a
// later leader none is younger than its own beginning, nor than when it applied
// the retirement: a read from then on shows the placer that it is retired. A placer that makes no reads
// is retired, too. So the orders of two placers never mix, whether or not
// replicas check fencing numbers. A daemon that has started anew under
// its own name, or shows by a read that it is in touch again, is appointed again
// without a wait, since it is the same holder.
//
// # Clocks
//
// The steady clock stops while a VM is suspended, and the time of day can jump.
// A lease holds only while both say so: after a pause or a jump it has to be
// renewed first.
package appoint
