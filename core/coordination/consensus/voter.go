package consensus

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"strings"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Voter is the identity of a voter or learner.
type Voter struct {
	// Daemon is the configured name, not empty.
	Daemon ident.Daemon
	// Disk is the random id written to the disk at its first start. It is
	// empty only in a probe, whose receiver's disk is not known yet.
	Disk string
}

// Compare orders voters by name, then disk.
func (v Voter) Compare(o Voter) int {
	if c := cmp.Compare(v.Daemon, o.Daemon); c != 0 {
		return c
	}
	return strings.Compare(v.Disk, o.Disk)
}

// IsZero reports whether v names no voter.
func (v Voter) IsZero() bool { return v == Voter{} }

// String returns "daemon/disk".
func (v Voter) String() string { return string(v.Daemon) + "/" + v.Disk }

// Members is a configuration of the cluster. It is never modified.
type Members struct {
	// voters is sorted and holds no learner.
	voters []Voter
	// learners is sorted and holds no voter.
	learners []Voter
}

// NewMembers returns a configuration of the given voters and learners.
func NewMembers(voters, learners []Voter) Members {
	m := Members{voters: slices.Clone(voters), learners: slices.Clone(learners)}
	slices.SortFunc(m.voters, Voter.Compare)
	slices.SortFunc(m.learners, Voter.Compare)
	return m
}

// Voters returns the voters in order.
func (m Members) Voters() []Voter { return slices.Clone(m.voters) }

// Learners returns the learners in order.
func (m Members) Learners() []Voter { return slices.Clone(m.learners) }

// IsVoter reports whether v votes.
func (m Members) IsVoter(v Voter) bool { return slices.Contains(m.voters, v) }

// IsLearner reports whether v is a learner.
func (m Members) IsLearner(v Voter) bool { return slices.Contains(m.learners, v) }

// Majority returns how many voters make a majority.
func (m Members) Majority() int { return len(m.voters)/2 + 1 }

// all returns voters and learners.
func (m Members) all() []Voter { return append(m.Voters(), m.learners...) }

// ChangeKind is a way to change the members.
type ChangeKind uint8

const (
	// AddLearner adds a learner.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

// Change is a change of a single member.
type Change struct {
	Kind  ChangeKind
	Voter Voter
}

// With returns the members after the change, or an error with code
// [result.ChangeRefused].
func (m Members) With(c Change) (Members, error) {
	if c.Voter.Daemon == "" || c.Voter.Disk == "" {
		return m, result.New(result.ChangeRefused, "incomplete identity %q", c.Voter)
	}
	voter, learner := m.IsVoter(c.Voter), m.IsLearner(c.Voter)
	changed := func(v Voter) bool { return v == c.Voter }
	switch {
	case c.Kind == AddLearner && !voter && !learner:
		return NewMembers(m.voters, append(m.Learners(), c.Voter)), nil
	case c.Kind == Promote && learner:
		return NewMembers(append(m.Voters(), c.Voter), slices.DeleteFunc(m.Learners(), changed)), nil
	case c.Kind == Remove && learner:
		return NewMembers(m.voters, slices.DeleteFunc(m.Learners(), changed)), nil
	case c.Kind == Remove && voter && len(m.voters) > 1:
		return NewMembers(slices.DeleteFunc(m.Voters(), changed), m.learners), nil
	}
	return m, result.New(result.ChangeRefused, "change %d does not fit member %s", c.Kind, c.Voter)
}

// EncodeMembers returns m as the data of an entry of kind [entry.Voters].
func EncodeMembers(m Members) []byte {
	b := appendVoters(nil, m.voters)
	return appendVoters(b, m.learners)
}

// DecodeMembers reads what [EncodeMembers] wrote.
func DecodeMembers(b []byte) (Members, error) {
	voters, b, ok := cutVoters(b)
	if !ok {
		return Members{}, errMembers
	}
	learners, b, ok := cutVoters(b)
	if !ok || len(b) > 0 {
		return Members{}, errMembers
	}
	return NewMembers(voters, learners), nil
}

var errMembers = errors.New("malformed members")

func appendVoters(b []byte, vs []Voter) []byte {
	b = binary.AppendUvarint(b, uint64(len(vs)))
	for _, v := range vs {
		b = appendString(b, string(v.Daemon))
		b = appendString(b, v.Disk)
	}
	return b
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func cutVoters(b []byte) (vs []Voter, rest []byte, ok bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)) {
		return nil, nil, false
	}
	b = b[size:]
	for range n {
		var daemon, disk string
		if daemon, b, ok = cutString(b); !ok {
			return nil, nil, false
		}
		if disk, b, ok = cutString(b); !ok {
			return nil, nil, false
		}
		vs = append(vs, Voter{ident.Daemon(daemon), disk})
	}
	return vs, b, true
}

func cutString(b []byte) (s string, rest []byte, ok bool) {
	n, size := binary.Uvarint(b)
	if size <= 0 || n > uint64(len(b)-size) {
		return "", nil, false
	}
	return string(b[size : size+int(n)]), b[size+int(n):], true
}
