// Package client makes the outgoing HTTP exchanges.
//
// It is built on net/http, the nearest kin to nbhttp: nbhttp's own client
// delivers whole bodies only, and answers stream.
//
// An open connection can go silent for good while new ones work. So an
// exchange that may be repeated waits on a pooled connection for part of its
// time only; then the connection is closed and the exchange goes once over a
// fresh connection. An exchange that may not be repeated always goes over a
// fresh connection and is never sent twice, neither here nor by net/http,
// which on its own repeats requests that carry an Idempotency-Key.
package client
