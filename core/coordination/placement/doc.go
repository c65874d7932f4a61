// Package placement decides which replica holds which adapter. One daemon at a
// time, the placer, gives orders to all replicas; the replicated log determines
// which (package appoint). Every daemon reports to the placer which requests
// run where and which weights requests wait for, and the placer answers with
// the inventories of the replicas.
//
// # One home for each adapter
//
// The bottleneck is the weight store: an adapter that a replica has never held
// is fetched from it, and concurrent loads beyond its throughput, which the
// placer estimates, slow each other down. A replica that recently held an
// adapter reloads it ten times faster from its own disk. A cold adapter
// therefore returns to the replica that held it. A new one goes to the replica
// that ranks first by rendezvous hashing, unless that replica is busier than
// others or would have to evict an adapter that is in demand.
//
// # Copies
//
// An adapter whose requests exceed their share of a replica's batch is copied.
// When its demand drops, the copies become the least recently used adapters
// and are evicted. Adapters in use are never evicted.
//
// # State of a replica
//
// Replicas answer orders before they carry them out, and listings of what a
// replica holds are some hundred milliseconds old. A slot counts as taken from
// the order to load until a listing made later shows that it is free. An order
// without an answer counts both as carried out and as not carried out.
package placement
