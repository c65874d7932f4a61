// Package dispatch schedules requests to the engine replicas that one daemon
// owns: which request runs where and when, and which adapters are loaded and
// evicted for it.
//
// All requests to a replica pass through its owner, so the owner knows what is
// in flight there. Anything that it cannot rule out, such as requests of a
// former owner, is treated as in use. These rules hold under every policy:
//
//   - a request is sent only to a replica that has itself reported exactly the
//     request's adapter and version as resident;
//   - an adapter that a request uses or waits for is pinned: it is never
//     evicted;
//   - an adapter counts as evicted only once the engine's answer to that order
//     confirms it;
//   - a request is refused as "not run" only if no attempt can have reached an
//     upstream;
//   - each request ends once: it finishes, is refused, fails or is cancelled.
//
// [Policy] holds the decisions that can be varied. By default requests wait in
// order of their deadlines, which follow from the targets of their classes;
// docs/DECISIONS.md describes the alternatives and their measurements.
//
// [Dispatcher.Step] must be called from a single goroutine with the events of
// the daemon. It returns effects, which the daemon carries out in order.
package dispatch
