// Package ownership decides which daemon owns which upstream, and guards the
// writes of an owner to its upstreams.
//
// The [Assigner] runs on the leader. It proposes to assign an upstream that has
// no owner. It proposes to revoke an ownership if the owner is dead, stale or
// drained, or if another daemon should own the upstream to balance the load.
// After a revocation it waits until a majority of witnesses has applied it, and
// then for [RevocationWait]. By then the former owner's last freshness
// confirmation has expired, since it was requested before the revocation became
// visible, and the former owner refuses to write. A leader counts the wait from
// the first time that it saw the revocation visible; a new leader starts the
// wait again. An owner that sees its own revocation blocks further writes and
// yields, which ends the wait at once, so a planned move costs a few commits.
//
// The [Holder] runs on each daemon. It keeps a write guard for each upstream
// that the daemon owns. Right before each write the guard checks that the daemon
// is fresh, that it still owns the upstream under the same fencing number, and
// that the deadline of the request has not passed. A daemon that was frozen
// fails the check when it resumes.
//
// One race remains for an engine that ignores the fencing number: a daemon may
// freeze in the few instructions between the check and the write and resume
// after the next owner has begun. Its bytes then reach the engine alongside
// those of the new owner. The answer still counts only at the daemon that sent
// the request. The [Takeover] keeps the new owner from evicting an adapter that
// such a request uses only if the freeze is shorter than [DeliveryBound].
//
// A new owner does not know which requests of the former owner are in flight.
// See [Takeover].
package ownership
