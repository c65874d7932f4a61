// Package caller speaks with callers, and with other daemons on their behalf.
//
// Inference follows the widely used completions and chat dialect; plain
// services are called below /v1/services/; /v1/addresses tells a caller which
// addresses to use and how long it may keep the answer. docs/INTERFACES.md
// describes each with examples.
//
// A daemon that does not own the replica passes a request on to the owner in
// the same dialect over the peers' listener. Such a request carries
// [HopHeader] and is never passed on again. Callers can not set the headers
// that daemons trust: a handler for callers ignores them.
//
// An answer that fails after its first byte ends with an error event and a
// cut connection, without the final chunk and without [DONE]. The error comes
// before the first byte whenever that is possible: the handler waits for the
// first piece of text before it sends the head.
package caller
