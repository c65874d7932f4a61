package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// Version orders the records that a daemon or upstream publishes about itself.
// A greater incarnation wins over any sequence of an earlier one.
type Version struct {
	Incarnation ident.Incarnation
	Sequence    uint64
}

// Compare orders versions by incarnation, then sequence.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Incarnation, o.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, o.Sequence)
}

// Daemon is the record that a daemon publishes about itself. It is immutable
// once published.
type Daemon struct {
	// Name is not empty.
	Name    ident.Daemon
	Version Version
	// Caller, Peer and Operator are addresses, an IP number and a port each.
	// Peer is not empty; the others may be.
	Caller, Peer, Operator string
	// Front is the address for clients of a platform's routes, or empty.
	Front      string
	DataCentre ident.DataCentre
	// Power is the CPU allowance in thousandths of a core; 0 if it is not
	// configured.
	Power uint32
	// ReadsDepartures is false if the daemon runs an earlier version, which can't
	// read departures in the replicated log.
	ReadsDepartures bool
	// Draining is set permanently once the daemon is about to end.
	Draining bool
	// ReachableUntil is when the last answer that advertised the address of a
	// draining daemon will have expired.
	ReachableUntil time.Time
	// Disk identifies the data folder; it is empty for a daemon without one.
	Disk string
	// Waiting and Running count requests.
	Waiting, Running uint32
	// Deadline is when the record expires unless a later version comes.
	Deadline time.Time
}

// Kind is the kind of an upstream.
type Kind uint8

const (
	// Engine runs a base model with adapters.
	Engine Kind = iota + 1
	// PlainService is any other upstream that serves callers of the product's
	// own interface.
	PlainService
	// Routed upstreams serve the routes of the routing document, with or
	// without models.
	Routed
)

// Upstream is the record that a replica of an engine or a plain service
// publishes about itself. It is immutable once published.
type Upstream struct {
	// Name is not empty.
	Name    ident.Upstream
	Version Version
	Kind    Kind
	// Model is set for engines only and Service for plain services only.
	Model   ident.Model
	Service ident.Service
	// Address is an IP number and a port.
	Address    string
	DataCentre ident.DataCentre
	// Slots and MaxBatch are limits of an engine: on resident adapters and on
	// concurrently running requests.
	Slots, MaxBatch uint32
	// HonoursFence is true if the upstream rejects orders with an old fencing
	// number.
	HonoursFence bool
	// Resumes is true if an interrupted stream can be resumed.
	Resumes bool
	// IdempotentPaths are the path prefixes of a service whose calls may be
	// retried.
	IdempotentPaths []string
	// Residents are the loaded adapters, sorted.
	Residents []ident.Adapter
	// InFlight and Queue count requests; they may be out of date.
	InFlight, Queue uint32
	// Prefixes are digests of cached prompt prefixes; they are hints.
	Prefixes []uint64
	// Leaving is set permanently once the upstream accepts no new work.
	Leaving bool
	// Deadline is when the record expires unless a later version comes.
	Deadline time.Time
}

// urgent reports whether r differs from old in something that other daemons
// must learn at once.
func urgent(old, r Record) bool {
	if r.Daemon != nil {
		return !r.Daemon.equalExceptLoad(*old.Daemon)
	}
	return !r.Upstream.equalExceptLoad(*old.Upstream)
}

// equalExceptLoad reports whether d and o differ at most in counts, sequence
// and deadline.
func (d Daemon) equalExceptLoad(o Daemon) bool {
	d.Version.Sequence, d.Waiting, d.Running, d.Deadline = o.Version.Sequence, o.Waiting, o.Running, o.Deadline
	return d == o
}

// equalExceptLoad reports whether u and o differ at most in counts, hints,
// sequence and deadline.
func (u Upstream) equalExceptLoad(o Upstream) bool {
	return u.Kind == o.Kind && u.Model == o.Model && u.Service == o.Service &&
		u.Address == o.Address && u.DataCentre == o.DataCentre &&
		u.Slots == o.Slots && u.MaxBatch == o.MaxBatch &&
		u.HonoursFence == o.HonoursFence && u.Resumes == o.Resumes &&
		slices.Equal(u.IdempotentPaths, o.IdempotentPaths) && u.Leaving == o.Leaving &&
		u.Version.Incarnation == o.Version.Incarnation &&
		slices.Equal(u.Residents, o.Residents)
}

// Key identifies a record.
type Key struct {
	// Upstream is true for an upstream's record, false for a daemon's.
	Upstream bool
	// Name is not empty.
	Name string
}

func (k Key) compare(o Key) int {
	if k.Upstream != o.Upstream {
		if k.Upstream {
			return 1
		}
		return -1
	}
	return cmp.Compare(k.Name, o.Name)
}

// Record is the record of a daemon or of an upstream: exactly one of the fields
// is not nil.
type Record struct {
	Daemon   *Daemon
	Upstream *Upstream
}

// Key returns the key of the record.
func (r Record) Key() Key {
	if r.Daemon != nil {
		return Key{Name: string(r.Daemon.Name)}
	}
	return Key{Upstream: true, Name: string(r.Upstream.Name)}
}

// Version returns the version of the record.
func (r Record) Version() Version {
	if r.Daemon != nil {
		return r.Daemon.Version
	}
	return r.Upstream.Version
}

// Deadline returns when the record expires.
func (r Record) Deadline() time.Time {
	if r.Daemon != nil {
		return r.Daemon.Deadline
	}
	return r.Upstream.Deadline
}

// Sizes of the fixed parts of messages, in bytes and rounded up.
const (
	daemonBytes   = 64
	upstreamBytes = 80
	versionBytes  = 28
	messageBytes  = 40
)

// size estimates the encoded size of the record in bytes, rounded up.
func (r Record) size() int {
	if d := r.Daemon; d != nil {
		return daemonBytes + len(d.Name) + len(d.Caller) + len(d.Peer) + len(d.Operator) +
			len(d.DataCentre) + len(d.Disk) + len(d.Front)
	}
	u := r.Upstream
	n := upstreamBytes + len(u.Name) + len(u.Model) + len(u.Service) + len(u.Address) +
		len(u.DataCentre) + 10*len(u.Prefixes)
	for _, a := range u.Residents {
		n += 6 + len(a.Name) + len(a.Version)
	}
	return n
}

// digest hashes a key and its version.
func digest(k Key, v Version) uint64 {
	h := fnv.New64a()
	var num [17]byte
	if k.Upstream {
		num[0] = 1
	}
	binary.BigEndian.PutUint64(num[1:], uint64(v.Incarnation))
	binary.BigEndian.PutUint64(num[9:], v.Sequence)
	_, _ = h.Write(num[:])
	_, _ = h.Write([]byte(k.Name))
	return h.Sum64()
}

// bucketOf returns the index of the digest bucket that k belongs to.
func bucketOf(k Key) int { return int(digest(k, Version{}) % buckets) }
