// Package peer speaks with the other daemons of the cluster: connect calls
// over HTTP on a listener of their own, every call with the cluster's token.
//
// The generated wire types of package peerpb stay inside: each file here maps
// the messages of one coordination package by hand. Compression is off, as the
// messages are small and the links are near. A call that is lost is the
// business of whoever made it; nothing here retries.
package peer
