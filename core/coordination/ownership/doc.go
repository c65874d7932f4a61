// Package ownership decides which daemon owns which upstream, and guards what
// an owner writes to it.
//
// The [Assigner] runs at the leader. It proposes to assign an upstream that
// nobody owns, and to revoke one whose owner is dead, stale or drained, or
// that another daemon should own to keep the load even. After a revocation it
// waits until a majority of witnesses has applied it, and then [Wait] longer:
// by then the former owner's last confirmation of freshness, whose request was
// sent before, has run out, so the former owner refuses to write by itself.
// A leader counts the wait from the first time that it saw the revocation
// visible; a new leader starts anew. An owner that sees its own revocation
// closes its [WriteGuard] and yields, which ends the wait at once, so that a planned
// move costs a few commits.
//
// The [Holder] runs at each daemon. It keeps one WriteGuard for each upstream that
// the daemon owns. Every write passes the WriteGuard, which checks right before the
// write that the daemon is fresh, that it still owns the upstream under the
// same fencing number, and that the request's deadline has not passed. A
// daemon that was frozen fails the check when it wakes.
//
// What remains for an engine that ignores the fencing number: a daemon that is
// frozen between the check and the write, a few instructions, and wakes after
// the next owner has begun. The bytes then reach the engine beside those of
// the new owner. An answer still counts only at the daemon that asked, and
// the [Takeover] keeps the new owner from evicting what such a request uses
// only if the freeze is shorter than [DeliveryBound].
//
// A new owner knows nothing of what the former one has in flight. See
// [Takeover].
package ownership
