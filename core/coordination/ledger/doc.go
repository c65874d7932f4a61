// Package ledger executes non-idempotent requests at most once, whichever
// daemons the caller sends them to.
//
// A [Request] is one attempt at one idempotency key by one run of a daemon. It
// proposes a Begin and, if the outcome is lost, proposes it again under the same
// attempt id. The replicated ledger grants the key to one attempt. Only a
// granted attempt writes to an upstream, and only once: after the first byte it
// is never retried. If provably nothing was sent, it may go to another upstream,
// or give up with an Abandon, after which the key may run again.
//
// The reply to the caller is one of:
//
//   - the answer, as soon as the upstream returns it; it is stored afterwards;
//   - not run, with the reason, once the Abandon is committed, or if the ledger
//     refused the Begin;
//   - the ledger's record of another attempt: its stored answer, still running,
//     or unknown;
//   - unknown, if bytes may have been sent and no answer arrived;
//   - unconfirmed, if this attempt sent nothing but the ledger could not be
//     asked whether another attempt did. The caller should retry with the same
//     key.
//
// A caller that gets no reply may send a second copy through another daemon.
// Once the Abandon of one copy is committed, no copy that had already arrived at
// any daemon runs: each Begin carries the log index that its daemon had applied
// when the copy arrived, and the ledger refuses a Begin with an index before the
// Abandon as superseded, which also counts as not run. A daemon therefore sets
// the index of the Begin from its view when the request arrives, before anything
// else. There are two exceptions, in which nothing can be written: the ledger is
// full, or the leader cannot be reached. In these cases not run only refers to
// this copy and to what the ledger contained.
//
// A key is remembered until [Retention] after its deadline. A copy with the same
// deadline that arrives later is refused as expired. Callers must not send a key
// again with a new deadline after that time.
//
// The leader also runs a cleanup that marks the attempts of dead daemon runs as
// unknown and removes expired entries.
package ledger
