// Package state is the replicated state machine. It holds the request classes
// and their latency targets, the catalogue of models and adapters, the
// witnesses, the drained daemons, the owner of each upstream, the placer, the
// routing document, the ledger of non-idempotent requests and the quarantine.
//
// [State.Apply] is deterministic: it reads no clock, and no result depends on
// the iteration order of a Go map. Two states that applied the same commands
// at the same log indexes are equal, even if one of them was exported and
// imported in between. Commands carry the wall times that they need.
//
// All tables are persistent ordered maps (package ordered). An update copies
// one path of a tree, and [State.View] copies only the roots, so a view costs
// the same with 10 adapters as with 86,000. Goroutines that serve requests read
// a View without a lock while further commands are applied.
//
// # Changes
//
// An operator's [Change] is conditional: it names the expected version of the
// object, 0 for an object that must not exist. Versions come from one counter
// that only increases, so an object that is removed and created again never
// gets an earlier version. The outcome of the first command with a change id
// is kept, also if it was a refusal, and every resend returns it.
//
// # Ownership
//
// An upstream has at most one owner. [Assign] names the log index of the
// preceding revocation, which its proposer has seen become visible and has
// waited out. A duplicate of an Assign that appears in the log after a later
// [Revoke] is refused, because nobody has waited out that later revocation.
//
// # Ledger
//
// A non-idempotent request may be sent only by the attempt whose [Begin] was
// granted. [Entry] describes the phases of a request.
package state
