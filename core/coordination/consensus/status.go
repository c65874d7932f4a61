package consensus

import "time"

// Voter returns the identity of this node.
func (n *Node) Voter() Voter { return n.self }

// Cluster returns the id of the cluster, empty if there is none yet.
func (n *Node) Cluster() string { return n.hard.Cluster }

// Role returns the node's role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the leader of the current term, zero if it isn't known.
func (n *Node) Leader() Voter { return n.leader }

// Established reports whether the node leads and has committed an entry of its
// own term: only then does it know everything committed before.
func (n *Node) Established() bool { return n.role == Leader && n.commit >= n.termStart }

// Commit returns the last committed index that the node knows of.
func (n *Node) Commit() uint64 { return n.commit }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// SnapshotIndex returns the index of the last snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.snapshot.Index }

// Members returns the configuration in force.
func (n *Node) Members() Members { return n.members() }

// Reached returns up to which index the leader knows a member to be synced,
// and whether it answers. Other nodes know neither.
func (n *Node) Reached(now time.Time, v Voter) (index uint64, alive bool) {
	if n.role != Leader {
		return 0, false
	}
	if v == n.self {
		return n.acked, true
	}
	if p := n.progress[v]; p != nil {
		return p.match, now.Before(p.aliveUntil)
	}
	return 0, false
}
