// Package gateway carries requests of clients to replicas by the operator's
// routing table, and answers back as they are made.
//
// The daemon that a client connected to chooses the replica itself and sends
// to it directly: no other daemon stands in the way of a request. What a
// replica holds comes from the placer; a request for weights that no replica
// holds waits here, and what it waits for is told to the placer at once.
//
// # What may be sent again
//
// A request is sent to a second replica only if the first provably did not run
// it (the connection could not be made, or the replica said so), or if its
// route allows it to run more than once. Whatever may not run twice travels
// over a new connection: on a pooled one nobody can tell whether a silent other
// end got it. Once a request may have run, no answer says that it did not.
//
// # Streams
//
// Events are passed on whole, so that a stream can go on at another replica
// after the last event that the client has: the new replica is told its number,
// and must continue with the next one. A stream that can't go on is cut, never
// ended. A silent stream is left alone unless its replica shows no sign of life
// and another one is ready: replicas put requests back for seconds.
//
// The dialect of headers is not known here; see [Dialect].
package gateway
