package consensus

import "time"

// Self returns the identity of this node.
func (n *Node) Self() Voter { return n.self }

// Cluster returns the id of the cluster, empty if the node belongs to none.
func (n *Node) Cluster() string { return n.hardState.Cluster }

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Leader returns the leader of the current term, zero if it is unknown.
func (n *Node) Leader() Voter { return n.leader }

// Established reports whether the node is the leader and has committed an entry
// of its own term. Only then is it known to have everything that was committed
// before.
func (n *Node) Established() bool { return n.role == Leader && n.commit >= n.termStart }

// Commit returns the highest index that the node knows to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// SnapshotIndex returns the index of the last snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.snapshot.Index }

// Members returns the configuration in force.
func (n *Node) Members() Members { return n.members() }

// Progress returns the highest index known to be synced on a member's disk and
// whether the member is reachable. Only the leader knows them.
func (n *Node) Progress(now time.Time, v Voter) (index uint64, alive bool) {
	if n.role != Leader {
		return 0, false
	}
	if v == n.self {
		return n.syncedIndex, true
	}
	if p := n.progress[v]; p != nil {
		return p.match, now.Before(p.reachableUntil)
	}
	return 0, false
}
