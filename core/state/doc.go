// Package state is the replicated state machine: classes of work and their
// targets, the catalogue of models and adapters, witnesses, drained daemons,
// the owner of each upstream, the ledger of non-idempotent requests and the
// quarantine.
//
// [State.Apply] is deterministic: it reads no clock, and no result depends on
// the order of a Go map. Two states that applied the same commands at the same
// log indexes are equal, also if one of them was exported and imported on the
// way. Wall times are carried by the commands.
//
// All tables are persistent ordered maps (package ordered). A change copies
// one path of a tree, so [State.View] copies a few roots and costs the same
// with ten adapters as with 86,000; traffic goroutines read a View without a
// lock while the state moves on.
//
// # Changes
//
// An operator's [ChangeRecord] names the version of the object that it was decided
// on, 0 for an object that does not exist. Versions come from one counter that
// never falls, so an object that was removed and made again never gets an
// earlier version back. The first answer to a change id is kept, refusals
// included; a resend gets it again.
//
// # Ownership
//
// An upstream has at most one owner. [Assign] names the index of the
// revocation that its proposer saw visible and waited out; a second copy of
// an Assign that turns up in the log after a later [Revoke] is refused, as the
// new revocation has not been waited out.
//
// # Ledger
//
// A non-idempotent request may be sent only by the attempt that [Begin] was
// granted to. See the comment at [Entry].
package state
