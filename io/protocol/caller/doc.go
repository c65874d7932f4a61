// Package caller implements the HTTP interface for callers, and its use
// between daemons that forward requests of callers.
//
// Inference follows the widely used completions and chat dialect; plain
// services are called below /v1/services/; /v1/addresses returns the addresses
// that a caller should use and how long it may cache them. docs/INTERFACES.md
// describes each with examples.
//
// A daemon that does not own the replica forwards a request to the owner in
// the same dialect over the peer listener. Such a request carries [HopHeader]
// and is never forwarded again. Callers cannot set the headers that daemons
// trust: a handler for callers ignores them.
//
// An answer that fails after its first byte ends with an error event and a
// closed connection, without the final chunk and without [DONE]. Where
// possible the error is sent as a status instead: the handler waits for the
// first chunk of text before it sends the response header.
package caller
