// Package membership maintains, on every daemon, the records of all daemons and
// upstreams of the cluster. Records spread by gossip.
//
// # Dissemination
//
// A record is written only by the member it describes and carries a version:
// incarnation, then sequence; the greater version wins. Incarnations grow from
// run to run (start time in milliseconds shifted left by 16, plus 16 random
// bits), so a replaced VM wins over its predecessor of the same name. An
// upstream may announce itself to any daemon.
//
// Every 200 ms a daemon sends a request to two random peers. The request holds
// new records and the digest of the sender's whole table; the response holds
// the peer's new records. Every daemon forwards an urgent record log2(n)+2
// times and any other record 3 times. Anti-entropy repairs what gossip misses:
// once in 2 s a daemon asks for the digests of 128 buckets, lists its versions
// in the buckets that differ, and then receives or sends the newer records.
// Comparing in each exchange would cost more than the records themselves,
// because a few records are always in flight. Each daemon thus sends 10 requests
// a second, 5 in larger clusters, and a message holds at most 8 KiB of records.
//
// # Refresh and expiry
//
// A record expires at its deadline unless a later version arrives. Within the
// process, deadlines follow the local clock; the wire carries the remaining
// time, so clocks need not agree, and a forwarded copy outlives the original by
// at most its time in flight. The record of a leaving upstream serves as its
// own tombstone until it expires; what must be known for longer is in the
// replicated log.
//
// Urgent changes (a new incarnation, an address, residents, leaving, draining)
// are spread at once. Changes of request counts only go out when the record is
// due for a refresh. The refresh interval grows with the number of records, so
// that all records together produce at most 5 versions a second. A daemon knows
// the counts of the replicas that it owns without gossip.
//
// # Failure detection
//
// A failed exchange alone does not make a daemon unreachable: its connection may
// have stalled. A new connection is tried, and only if that fails too is the
// daemon considered unreachable. The suspicion is gossiped, but other daemons do
// not adopt it; they probe for themselves. A message from the daemon itself, a
// successful probe, or a later run of the daemon ends the suspicion. A later
// version of its record does not, since other daemons may have forwarded it. A
// draining daemon is excluded from the addresses for callers, but stays a member
// until its record expires.
package membership
