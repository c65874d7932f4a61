package routing

import (
	"cmp"
	"slices"

	"papayaspoke/core/ident"
)

// Query asks for a replica for one request.
type Query struct {
	// Model and Adapter are those that the request must run on.
	Model   ident.Model
	Adapter ident.Adapter
	// DataCentre is where the daemon that asks is.
	DataCentre ident.DataCentre
	// Suspect is true for a request that must run alone.
	Suspect bool
	// Exclude are replicas that have turned the request away.
	Exclude []ident.Upstream
}

// Choice is where a request goes.
type Choice struct {
	// Upstream is the replica and Owner the daemon that owns it.
	Upstream ident.Upstream
	Owner    ident.Daemon
	// Resident is true if the replica holds the adapter or is loading it.
	Resident bool
}

// Policy is what varies between ways to route.
type Policy struct {
	// Pick chooses among the open replicas that hold the adapter and, if
	// there are none or all of them are full, among its homes. It returns nil
	// if no replica will do.
	Pick func(d *Directory, q Query) *entry
}

// Default returns the policy that the system uses.
func Default() Policy { return Policy{Pick: pick} }

// Naive returns the policy that the default is compared with: the fewest
// outstanding requests, whatever the adapter.
func Naive() Policy { return Policy{Pick: pickLeast} }

// Route returns where a request should go, or false if no replica takes it.
func (d *Directory) Route(q Query) (Choice, bool) {
	e := d.policy.Pick(d, q)
	if e == nil {
		return Choice{}, false
	}
	return Choice{Upstream: e.Upstream, Owner: e.Owner, Resident: d.holds(e, q.Adapter)}, true
}

func (d *Directory) holds(e *entry, a ident.Adapter) bool {
	_, ok := slices.BinarySearchFunc(d.holders[a], e.Upstream, compareEntry)
	return ok || a.IsZero()
}

func (q Query) takes(e *entry) bool { return e.open() && !slices.Contains(q.Exclude, e.Upstream) }

// pick sends a request to the fullest batch that still has room among the
// replicas that hold its adapter. If none has room, the adapter earns a
// further copy at a home that is less busy; a copy that is no longer needed
// gets no requests and is evicted in its time.
func pick(d *Directory, q Query) *entry {
	if q.Suspect || q.Adapter.IsZero() {
		return pickLeast(d, q)
	}
	holder := bestHolder(d, q)
	if holder != nil && holder.room() > 0 {
		return holder
	}
	home := bestHome(d, q, holder == nil)
	if holder == nil {
		return home
	}
	if home != nil && home.room() > 0 {
		return home
	}
	return holder
}

func bestHolder(d *Directory, q Query) *entry {
	var best *entry
	for _, e := range d.holders[q.Adapter] {
		if e.Model == q.Model && q.takes(e) && (best == nil || q.compareHolders(e, best) < 0) {
			best = e
		}
	}
	return best
}

// compareHolders puts replicas with room first, the fullest of them before
// the others, and those without room by how much they lack.
func (q Query) compareHolders(a, b *entry) int {
	ra, rb := a.room(), b.room()
	switch {
	case ra > 0 && rb > 0:
		return cmp.Or(cmp.Compare(ra, rb), q.compareCentres(a, b), cmp.Compare(a.Upstream, b.Upstream))
	default:
		return cmp.Or(cmp.Compare(rb, ra), q.compareCentres(a, b), cmp.Compare(a.Upstream, b.Upstream))
	}
}

// compareCentres puts the data centre of the query first.
func (q Query) compareCentres(a, b *entry) int {
	la, lb := a.DataCentre == q.DataCentre, b.DataCentre == q.DataCentre
	switch {
	case la == lb:
		return 0
	case la:
		return -1
	}
	return 1
}

// bestHome returns the first home that may load and does not hold the adapter
// yet. If all homes are closed and must is true, any open replica will do.
func bestHome(d *Directory, q Query, must bool) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var second *entry
	for _, e := range p.of(q.Adapter) {
		if !q.takes(e) || d.holds(e, q.Adapter) {
			continue
		}
		if e.Loads && e.room() > 0 {
			return e
		}
		if second == nil {
			second = e
		}
	}
	if second == nil && must {
		return pickLeast(d, q)
	}
	return second
}

// pickLeast returns the open replica with the fewest outstanding requests.
func pickLeast(d *Directory, q Query) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best *entry
	for _, e := range p.members {
		if q.takes(e) && (best == nil || q.compareLeast(e, best) < 0) {
			best = e
		}
	}
	return best
}

func (q Query) compareLeast(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.outstanding(), b.outstanding()),
		q.compareCentres(a, b),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

// Addresses returns up to n owners that a caller should connect to for an
// adapter: owners of replicas that hold it, then owners of its homes, then
// others, each once and never one whose replicas are all closed.
func (d *Directory) Addresses(q Query, n int) []ident.Daemon {
	var out []ident.Daemon
	add := func(es []*entry) {
		for _, e := range es {
			if len(out) < n && e.Model == q.Model && q.takes(e) && !slices.Contains(out, e.Owner) {
				out = append(out, e.Owner)
			}
		}
	}
	near := slices.Clone(d.holders[q.Adapter])
	slices.SortStableFunc(near, q.compareCentres)
	add(near)
	p := d.pools[q.Model]
	if p == nil {
		return out
	}
	add(p.of(q.Adapter))
	if len(out) < n {
		start := int(bucketOf(q.Adapter)) % len(p.members)
		add(p.members[start:])
		add(p.members[:start])
	}
	return out
}
