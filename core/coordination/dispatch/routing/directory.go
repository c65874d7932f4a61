package routing

import (
	"cmp"
	"slices"

	"papayaspoke/core/ident"
)

// Replica is the routing record that an owner publishes for an engine replica.
type Replica struct {
	// Upstream is the name of the replica and Owner that of its owner.
	Upstream ident.Upstream
	Owner    ident.Daemon
	// DataCentre is the data centre of the replica.
	DataCentre ident.DataCentre
	// Model is the base model that it runs.
	Model ident.Model
	// Slots is the number of adapters that the replica holds and MaxBatch the
	// number of requests that run concurrently; both are positive.
	Slots    int
	MaxBatch int
	// Residents are the adapters that it holds or is loading, sorted.
	Residents []ident.Adapter
	// Outstanding is the number of requests that run or wait at the replica.
	Outstanding int
	// ColdAdapters is the number of adapters that requests wait for and that
	// are neither resident nor being loaded.
	ColdAdapters int
	// EvictionCost is the demand of the adapter that the next load would evict:
	// zero if a slot is free, infinity if all adapters are pinned.
	EvictionCost float64
	// Closed is true if the replica accepts no new requests.
	Closed bool
	// Isolating is true while the replica is reserved for a suspect request.
	Isolating bool
	// CanLoad is true if the owner may order loads.
	CanLoad bool
}

// entry is a replica in the directory.
type entry struct {
	Replica
	// nameHash is the hash of the upstream name.
	nameHash uint64
	// sentSinceRecord is the number of requests that this daemon sent to the
	// replica since its newest record.
	sentSinceRecord int
	// coldSinceRecord is the number of those requests whose adapter was not
	// resident.
	coldSinceRecord int
}

func (e *entry) outstanding() int { return e.Outstanding + e.sentSinceRecord }

func (e *entry) freeCapacity() int { return e.MaxBatch - e.outstanding() }

// backlog returns how many requests wait for capacity in the batch.
func (e *entry) backlog() int { return -e.freeCapacity() }

// loadCost returns the demand that a further load would evict. Each load that
// is already waiting there adds as much as one request for an adapter.
func (e *entry) loadCost() float64 { return e.EvictionCost + float64(e.ColdAdapters+e.coldSinceRecord) }

func (e *entry) available() bool { return !e.Closed && !e.Isolating }

// Directory holds the newest records of all engine replicas. It is not safe for
// concurrent use.
type Directory struct {
	policy   Policy
	replicas map[ident.Upstream]*entry
	// holders lists the replicas that hold or load an adapter, sorted by name.
	holders map[ident.Adapter][]*entry
	pools   map[ident.Model]*modelPool
}

// NewDirectory returns an empty directory.
func NewDirectory(policy Policy) *Directory {
	return &Directory{
		policy:   policy,
		replicas: make(map[ident.Upstream]*entry),
		holders:  make(map[ident.Adapter][]*entry),
		pools:    make(map[ident.Model]*modelPool),
	}
}

// Len returns the number of replicas.
func (d *Directory) Len() int { return len(d.replicas) }

// Put adds a replica or replaces its record.
func (d *Directory) Put(r Replica) {
	e := d.replicas[r.Upstream]
	if e != nil && e.Model != r.Model {
		d.Remove(r.Upstream)
		e = nil
	}
	if e == nil {
		e = &entry{Replica: r, nameHash: hashName(r.Upstream)}
		e.Residents = nil
		d.replicas[r.Upstream] = e
		d.pool(r.Model).add(e)
	}
	d.updateHolders(e, r.Residents)
	e.Replica = r
	e.sentSinceRecord, e.coldSinceRecord = 0, 0
}

// Remove removes a replica.
func (d *Directory) Remove(name ident.Upstream) {
	e := d.replicas[name]
	if e == nil {
		return
	}
	d.updateHolders(e, nil)
	delete(d.replicas, name)
	p := d.pools[e.Model]
	p.remove(e)
	if len(p.members) == 0 {
		delete(d.pools, e.Model)
	}
}

// Get returns the record of a replica.
func (d *Directory) Get(name ident.Upstream) (Replica, bool) {
	e := d.replicas[name]
	if e == nil {
		return Replica{}, false
	}
	return e.Replica, true
}

// RecordSent records that this daemon has sent a request to a replica.
func (d *Directory) RecordSent(name ident.Upstream, a ident.Adapter) {
	e := d.replicas[name]
	if e == nil {
		return
	}
	e.sentSinceRecord++
	if !a.IsZero() && !slices.Contains(d.holders[a], e) {
		e.coldSinceRecord++
	}
}

// Holders returns the names of the replicas that hold an adapter.
func (d *Directory) Holders(a ident.Adapter) []ident.Upstream {
	out := make([]ident.Upstream, 0, len(d.holders[a]))
	for _, e := range d.holders[a] {
		out = append(out, e.Upstream)
	}
	return out
}

func (d *Directory) pool(m ident.Model) *modelPool {
	p := d.pools[m]
	if p == nil {
		p = newModelPool()
		d.pools[m] = p
	}
	return p
}

// updateHolders updates the holders to the new residents of e. Both lists of
// residents are sorted, so one pass finds the differences.
func (d *Directory) updateHolders(e *entry, residents []ident.Adapter) {
	old := e.Residents
	for len(old) > 0 || len(residents) > 0 {
		switch c := compareFirst(old, residents); {
		case c == 0:
			old, residents = old[1:], residents[1:]
		case c < 0:
			d.removeHolder(e, old[0])
			old = old[1:]
		default:
			d.addHolder(e, residents[0])
			residents = residents[1:]
		}
	}
}

// compareFirst compares the first elements; an empty list comes last.
func compareFirst(a, b []ident.Adapter) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return a[0].Compare(b[0])
}

func (d *Directory) addHolder(e *entry, a ident.Adapter) {
	es := d.holders[a]
	i, ok := slices.BinarySearchFunc(es, e.Upstream, compareEntry)
	if !ok {
		d.holders[a] = slices.Insert(es, i, e)
	}
}

func (d *Directory) removeHolder(e *entry, a ident.Adapter) {
	es := slices.DeleteFunc(d.holders[a], func(x *entry) bool { return x == e })
	if len(es) == 0 {
		delete(d.holders, a)
		return
	}
	d.holders[a] = es
}

func compareEntry(e *entry, name ident.Upstream) int { return cmp.Compare(e.Upstream, name) }
