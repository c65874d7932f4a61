// Package client sends HTTP requests and reads streamed responses.
//
// It is built on net/http rather than on the client of nbhttp, which delivers
// complete bodies only, while responses here are streamed. net/http accepts
// responses that are not valid HTTP/1.1, and some of them then mean something else;
// here they are errors.
//
// An open connection can become unresponsive for good while new connections to the
// same address work. An idempotent exchange therefore waits on a pooled connection
// for part of its time only; then the connection is closed and the exchange is
// retried once over a new connection. An exchange that is not idempotent always
// uses a new connection and is never sent twice, neither by this package nor by
// net/http, which by itself retries requests that carry an Idempotency-Key.
package client
