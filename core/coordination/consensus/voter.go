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

// Voter is the identity of a voter or learner: a daemon and its disk.
type Voter struct {
	// Daemon is the daemon's configured name; it is not empty.
	Daemon ident.Daemon
	// Disk is the random id written to the disk when it was first used. It is
	// empty only as the receiver of a probe, whose disk is not known yet.
	Disk string
}

// Compare orders voters by name, then disk.
func (v Voter) Compare(o Voter) int {
	if c := cmp.Compare(v.Daemon, o.Daemon); c != 0 {
		return c
	}
	return strings.Compare(v.Disk, o.Disk)
}

// IsZero reports whether v is the zero value.
func (v Voter) IsZero() bool { return v == Voter{} }

// String returns "daemon/disk".
func (v Voter) String() string { return string(v.Daemon) + "/" + v.Disk }

// Members is a membership configuration of the cluster. It is immutable.
type Members struct {
	// voters is sorted and disjoint from learners.
	voters []Voter
	// learners is sorted.
	learners []Voter
}

// NewMembers returns a configuration with the given voters and learners.
func NewMembers(voters, learners []Voter) Members {
	m := Members{voters: slices.Clone(voters), learners: slices.Clone(learners)}
	slices.SortFunc(m.voters, Voter.Compare)
	slices.SortFunc(m.learners, Voter.Compare)
	return m
}

// Voters returns the voters, sorted.
func (m Members) Voters() []Voter { return slices.Clone(m.voters) }

// Learners returns the learners, sorted.
func (m Members) Learners() []Voter { return slices.Clone(m.learners) }

// IsVoter reports whether v is a voter.
func (m Members) IsVoter(v Voter) bool { return slices.Contains(m.voters, v) }

// IsLearner reports whether v is a learner.
func (m Members) IsLearner(v Voter) bool { return slices.Contains(m.learners, v) }

// Majority returns the number of voters that form a majority.
func (m Members) Majority() int { return len(m.voters)/2 + 1 }

// all returns voters and learners.
func (m Members) all() []Voter { return append(m.Voters(), m.learners...) }

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

const (
	// AddLearner adds a member as a learner.
	AddLearner ChangeKind = iota + 1
	// Promote turns a learner into a voter.
	Promote
	// Remove removes a voter or learner.
	Remove
)

// Change is a single-member configuration change.
type Change struct {
	Kind  ChangeKind
	Voter Voter
}

// With returns the configuration after the change, or an error with code
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
	return m, result.New(result.ChangeRefused, "change %d does not apply to member %s", c.Kind, c.Voter)
}

// EncodeMembers returns m as the data of an entry of kind [entry.Voters].
func EncodeMembers(m Members) []byte {
	b := appendVoters(nil, m.voters)
	return appendVoters(b, m.learners)
}

// DecodeMembers decodes the output of [EncodeMembers].
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

var errMembers = errors.New("malformed member list")

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
