// Package server serves HTTP on nbhttp for callers, upstreams, operators and
// peers.
//
// The library is kept within its public hooks, but four of its habits do not
// fit this project, and the package changes them:
//
//   - Its close event waits behind the running handler. Handlers run on a
//     queue of the connection's own instead, so that a vanished caller cancels
//     the request's context at once.
//   - Its keepalive is a read deadline that also ends an answer in flight. The
//     deadline is cleared while a request runs or while its answer is being
//     written.
//   - It drops bad requests without a status. Oversized bodies, conflicting
//     length headers, malformed and half-sent requests are answered with
//     their result code before the connection ends.
//   - It reuses requests and responses once a handler has returned, unknown
//     status codes become 200, and large buffered writes go through a buffer
//     that is already free. Handlers get a copy of the body and a writer that
//     refuses late use and never hands the library more than it can buffer.
//
// An answer that fails midway is ended by [Abort], never by a normal return,
// which would end the chunks as if the answer were whole.
package server
