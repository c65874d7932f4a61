// Package routing decides which owner a request is sent to, based on the
// routing records that the owners publish for their replicas.
//
// Every daemon keeps a [Directory]. It is indexed by adapter, so a decision
// examines the replicas that hold the adapter and, if there are none, the homes
// of the adapter, but never all replicas. Homes are found by rendezvous
// hashing. All daemons compute the same homes without communication, so a burst
// of requests for an adapter that is not resident causes one load, and a
// replica that joins or leaves moves only the adapters whose home it is. Homes
// are kept for a fixed number of buckets to which adapters hash, which bounds
// the memory.
//
// The records in the directory are delayed. A daemon adds the requests that it
// has sent to a replica since the replica's newest record, so that it does not
// send a whole burst to a replica that is no longer the best choice.
package routing
