package routing

import (
	"cmp"
	"slices"

	"papayaspoke/core/ident"
)

// Replica is what an owner announces of an engine replica.
type Replica struct {
	// Upstream names the replica and Owner the daemon that owns it.
	Upstream ident.Upstream
	Owner    ident.Daemon
	// DataCentre is where the replica is.
	DataCentre ident.DataCentre
	// Model is the base model that it runs.
	Model ident.Model
	// Slots and MaxBatch are positive.
	Slots    int
	MaxBatch int
	// Residents are the adapters that it holds or is loading, sorted.
	Residents []ident.Adapter
	// Outstanding is the number of requests that run or wait there.
	Outstanding int
	// Cold is the number of adapters that requests wait for and that are not
	// resident or being loaded.
	Cold int
	// Evict is the demand of the adapter that the next load would evict: zero
	// if a slot is free, infinite if all are pinned.
	Evict float64
	// Closed is true if the replica takes no new work.
	Closed bool
	// Isolating is true while the replica is kept for a suspect request.
	Isolating bool
	// CanLoad is true if the owner may order loads.
	CanLoad bool
}

// entry is a replica in the directory.
type entry struct {
	Replica
	// seed is the hash of the name.
	seed uint64
	// sent is the number of requests that this daemon sent there since the
	// newest record.
	sent int
	// cold is the number of those whose adapter was not resident.
	cold int
}

func (e *entry) outstanding() int { return e.Outstanding + e.sent }

func (e *entry) room() int { return e.MaxBatch - e.outstanding() }

// lack returns how many requests wait for room in the batch.
func (e *entry) lack() int { return -e.room() }

// costToLoad returns the demand that a further load evicts; loads that wait
// there already count as much as an adapter asked for once.
func (e *entry) costToLoad() float64 { return e.Evict + float64(e.Cold+e.cold) }

func (e *entry) open() bool { return !e.Closed && !e.Isolating }

// Directory holds what is known of all engine replicas. It is not safe for
// use by several goroutines.
type Directory struct {
	policy   Policy
	replicas map[ident.Upstream]*entry
	// holders lists the replicas that hold an adapter or load it, by name.
	holders map[ident.Adapter][]*entry
	pools   map[ident.Model]*pool
}

// NewDirectory returns an empty directory.
func NewDirectory(policy Policy) *Directory {
	return &Directory{
		policy:   policy,
		replicas: make(map[ident.Upstream]*entry),
		holders:  make(map[ident.Adapter][]*entry),
		pools:    make(map[ident.Model]*pool),
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
		e = &entry{Replica: r, seed: hashName(r.Upstream)}
		e.Residents = nil
		d.replicas[r.Upstream] = e
		d.pool(r.Model).add(e)
	}
	d.index(e, r.Residents)
	e.Replica = r
	e.sent, e.cold = 0, 0
}

// Remove forgets a replica.
func (d *Directory) Remove(name ident.Upstream) {
	e := d.replicas[name]
	if e == nil {
		return
	}
	d.index(e, nil)
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

// RecordSent notes that this daemon has sent a request to a replica.
func (d *Directory) RecordSent(name ident.Upstream, a ident.Adapter) {
	e := d.replicas[name]
	if e == nil {
		return
	}
	e.sent++
	if !a.IsZero() && !slices.Contains(d.holders[a], e) {
		e.cold++
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

func (d *Directory) pool(m ident.Model) *pool {
	p := d.pools[m]
	if p == nil {
		p = newPool()
		d.pools[m] = p
	}
	return p
}

// index makes the holders agree with the new residents of e. Both lists are
// sorted, so one pass finds what differs.
func (d *Directory) index(e *entry, residents []ident.Adapter) {
	old := e.Residents
	for len(old) > 0 || len(residents) > 0 {
		switch c := compareHeads(old, residents); {
		case c == 0:
			old, residents = old[1:], residents[1:]
		case c < 0:
			d.unhold(e, old[0])
			old = old[1:]
		default:
			d.hold(e, residents[0])
			residents = residents[1:]
		}
	}
}

// compareHeads compares the first elements; an empty list comes last.
func compareHeads(a, b []ident.Adapter) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return a[0].Compare(b[0])
}

func (d *Directory) hold(e *entry, a ident.Adapter) {
	es := d.holders[a]
	i, ok := slices.BinarySearchFunc(es, e.Upstream, compareEntry)
	if !ok {
		d.holders[a] = slices.Insert(es, i, e)
	}
}

func (d *Directory) unhold(e *entry, a ident.Adapter) {
	es := slices.DeleteFunc(d.holders[a], func(x *entry) bool { return x == e })
	if len(es) == 0 {
		delete(d.holders, a)
		return
	}
	d.holders[a] = es
}

func compareEntry(e *entry, name ident.Upstream) int { return cmp.Compare(e.Upstream, name) }
