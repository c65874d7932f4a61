// Package dispatch decides which request runs where and when, and which
// adapters are loaded and evicted for it, for the replicas that one daemon
// owns.
//
// All requests to a replica pass through its owner, so the owner knows what
// is in flight there, and what it does not know it treats as in use. The rules
// that hold whatever the policy:
//
//   - a request is sent only to a replica that said itself that exactly its
//     adapter and version are resident;
//   - an adapter that a request uses or waits for is pinned: it is never
//     ordered out;
//   - an eviction counts once the engine's answer to that order says so;
//   - a request is refused as "not run" only if no attempt can have reached an
//     upstream;
//   - each request ends once: it finishes, is refused, fails or is cancelled.
//
// What varies stands in [Policy]. Requests wait in order of their deadlines,
// which follow from the targets of their classes; see docs/DECISIONS.md for
// what was weighed and measured.
//
// [Dispatcher.Step] is to be called from one goroutine with the events of the
// daemon and returns effects, which the daemon carries out in order.
package dispatch
