// Package server is an HTTP server built on nbhttp. It serves callers, upstreams,
// operators and peers.
//
// The package uses only the public hooks of the library, and works around five of
// its behaviours:
//
//   - The library's parser keeps each element of a request that is not complete, up to
//     the size of the largest body: a line of the head, a body, a chunk. Here it parses
//     only heads that are complete and not too large; bodies, chunks and trailers are
//     read by this package. Chunk extensions and trailers are discarded. What requests
//     hold until their handlers return is limited by a budget.
//   - The library delays the close event until the running handler returns. Here
//     handlers run on a queue per connection instead, so that the request's
//     context is cancelled as soon as the caller disconnects.
//   - The library's keepalive is a read deadline, which also ends a response in
//     flight. The deadline is cleared while a request runs or its response is
//     being written.
//   - The library closes the connection on an invalid request without sending a
//     status. Here oversized bodies, conflicting length headers, malformed
//     requests and requests that don't arrive completely are answered with their
//     result code before the connection is closed.
//   - The library reuses requests and responses after the handler has returned,
//     replaces unknown status codes by 200, and sends large buffered writes from
//     a buffer that it has already freed. Here handlers get a copy of the body,
//     and a writer that rejects use after the return and never passes the library
//     more than it can buffer. Unknown status codes are put into the head when it
//     is written to the connection.
//
// A handler that fails midway through a response must close the connection rather
// than return normally: a normal return ends the chunked body as if it were
// complete.
package server
