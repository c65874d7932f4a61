// Package ledger drives non-idempotent requests so that each runs at most
// once, whichever daemons its caller sends it to.
//
// A [Request] is one attempt at one key by one run of a daemon. It proposes a
// Begin, and proposes it again under the same attempt id when the answer is
// lost; the replicated ledger grants the key to one attempt. Only a granted
// attempt writes to an upstream, and only once: after the first byte it is
// never repeated. If provably nothing was sent it may go to another upstream,
// or give up with an Abandon, after which the key may run anew.
//
// What the caller is told:
//
//   - the answer, as soon as the upstream gives it; it is stored afterwards;
//   - not run, with the reason, once the Abandon is committed, or if the ledger
//     refused the Begin;
//   - what the ledger knows of another attempt: its stored answer, still
//     running, or unknown;
//   - unknown, if bytes may have been sent and no answer came;
//   - unconfirmed, if this attempt sent nothing but the ledger could not be
//     asked whether another did. The caller should ask again with the same key.
//
// A caller that hears nothing may have sent a second copy through another
// daemon. Once one copy's Abandon is committed, no copy that had arrived
// anywhere before runs any more: each Begin names the log index that its
// daemon had seen when the copy arrived, and the ledger refuses those from
// before the Abandon as superseded, which is not run either. The daemon
// therefore gives the index of its view to the Begin at arrival, before
// anything else. There are two exceptions, where nothing can be written: a
// ledger that is full, and a leader that cannot be reached. There, not run
// speaks of this copy and of what the ledger held.
//
// A key is remembered until its deadline and [Retention] have passed. A copy
// with the same deadline that arrives later is refused as expired. Callers must
// not send a key again with a new deadline after that time.
//
// The [Sweeper] runs at the leader. It makes the attempts of dead runs of
// daemons unknown, and lets expired entries go.
package ledger
