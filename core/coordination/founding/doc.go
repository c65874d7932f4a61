// Package founding decides once which voters start a new open cluster.
//
// Daemons with a disk that start for the first time learn of one another at
// different moments, so none of them may decide alone. They all have the same
// seeds. The seeds are the acceptors of a single-decree Paxos; its value is the
// id of the cluster and its first voters. Every daemon with a disk may propose.
// Two majorities of the seeds intersect, so at most one value is ever chosen,
// however late messages are and whoever fails. Each of the first voters may
// learn the value from the seeds and start the cluster, so none of them is
// needed in particular.
//
// An [Acceptor] keeps its promises in memory. A process that is not of the first
// start takes no part, since an earlier run may have promised something. Without
// a majority of the seeds that were started first nothing can be decided.
//
// A daemon that was restarted proposes nothing of its own, but helps to decide a
// value that a seed has accepted and that names its disk.
//
// spec/founding.pml is a model of the decision.
package founding
