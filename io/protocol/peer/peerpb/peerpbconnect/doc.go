// Package peerpbconnect holds the generated client and handler of the Peer
// service.
package peerpbconnect
