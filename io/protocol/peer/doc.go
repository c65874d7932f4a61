// Package peer implements the protocol between the daemons of a cluster:
// Connect RPCs over HTTP on a dedicated listener. Every call carries the
// cluster's token.
//
// The generated wire types of package peerpb are not exposed: each file maps
// the messages of one coordination package by hand. Compression is off because
// the messages are small and network latency is low. Nothing here retries a
// failed call; that is left to whoever made it.
package peer
