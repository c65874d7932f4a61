package founding

import (
	"cmp"

	"papayaspoke/core/coordination/consensus"
)

// Cluster is the first configuration of a cluster. It is immutable.
type Cluster struct {
	// ID is empty only in the zero value.
	ID string
	// Voters is sorted and not empty unless ID is.
	Voters []consensus.Voter
}

// IsZero reports whether c is the zero value.
func (c Cluster) IsZero() bool { return c.ID == "" }

// Ballot orders the attempts of all proposers. The zero value precedes all.
type Ballot struct {
	Round    uint64
	Proposer consensus.Voter
	// Run is a random number of the proposing process. Another process with the
	// same disk may use the same round for another value.
	Run uint64
}

// Compare orders ballots by round, then proposer, then run.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), b.Proposer.Compare(o.Proposer), cmp.Compare(b.Run, o.Run))
}

// Kind is the kind of a request.
type Kind uint8

const (
	// Query asks for what an acceptor knows and changes no promise.
	Query Kind = iota + 1
	// Prepare asks for the promise to accept nothing below a ballot.
	Prepare
	// Accept asks to accept a value at a ballot.
	Accept
)

// Request is a message of a proposer to a seed.
type Request struct {
	Kind Kind
	From consensus.Voter
	// FirstStart is true if From may become a voter of the new cluster.
	FirstStart bool
	// Seeds are the addresses of all acceptors, sorted.
	Seeds []string
	// Ballot is zero in a Query. Cluster is set in an Accept only.
	Ballot  Ballot
	Cluster Cluster
}

// Response answers a request.
type Response struct {
	// TakesPart is false if the seed is no acceptor of this decision. The other
	// fields are then zero.
	TakesPart bool
	// Granted reports whether a Prepare or an Accept was granted.
	Granted bool
	// Promised is the highest ballot that the acceptor has promised.
	Promised Ballot
	// AcceptedAt and Accepted are the last accepted ballot and value.
	AcceptedAt Ballot
	Accepted   Cluster
	// Candidates are the disks that have asked lately, sorted.
	Candidates []consensus.Voter
}
