// Package routing decides which owner a request goes to, from what the owners
// announce of their replicas.
//
// Every daemon keeps a [Directory]. It is indexed by adapter, so a decision
// looks at the replicas that hold the adapter and, if there are none, at the
// adapter's homes, and never at all replicas. The homes of an adapter are
// found by rendezvous hashing: all daemons come to the same homes without
// talking, so a burst for a cold adapter is loaded once, and a replica that
// comes or goes moves only the adapters whose home it is. Homes are kept for
// a fixed number of buckets that adapters hash to, which bounds the memory.
//
// What the directory says is late. A daemon adds the requests that it has sent
// to a replica since the replica's newest record, so that it does not send a
// whole burst to what was the best choice some time ago.
package routing
