// Package gateway forwards client requests to replicas according to the
// operator's routing table and streams the responses back.
//
// The daemon that accepted the client connection chooses the replica and sends
// to it directly; no other daemon is on the request path. The placer reports
// which weights each replica holds. A request for weights that no replica holds
// waits here, and the demand for them is reported to the placer at once.
//
// # Retries
//
// A request is sent to a second replica only if the first provably did not run
// it (the connection could not be made, or the replica said so), or if its
// route allows it to run more than once. Requests that must not run twice
// always use a new connection: on a pooled connection it is impossible to tell
// whether an unresponsive peer received the request. Once a request may have
// run, no response says that it did not.
//
// # Streams
//
// Only whole events are forwarded, so that a stream can be resumed at another
// replica after the last event that the client has: the new replica receives
// the id of that event and must continue with the next one. A stream that can't
// be resumed is cut, so that it never looks complete. An idle stream is left
// alone unless its replica fails a probe, or sends only bytes that complete no
// event, and another replica is ready: replicas may preempt requests for
// seconds.
//
// The package knows no header names; see [Dialect].
package gateway
