package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
)

// spread is the part of a batch that may wait at the holders of an adapter
// before it earns a further copy. A short queue at a full batch moves on
// sooner than a load is done, and costs no load.
const spread = 4

// choices is the number of homes that are compared for a load.
const choices = 3

// Query asks for a replica for one request.
type Query struct {
	// Model and Adapter are those that the request must run on.
	Model   ident.Model
	Adapter ident.Adapter
	// DataCentre is where the daemon that asks is.
	DataCentre ident.DataCentre
	// Suspect is true for a request that must run alone.
	Suspect bool
	// Digest is that of the body; it decides where suspects and requests
	// without an adapter go.
	Digest quarantine.Digest
	// Prefix identifies the head of the prompt; zero if it is not known.
	// Among equals, requests with one prefix go to the same replica, whose
	// cache may hold it.
	Prefix uint64
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
	if q.Suspect {
		return pickSuspect(d, q)
	}
	holder := q.best(d.holdersOf(q))
	if holder != nil && holder.lack() < holder.MaxBatch/spread {
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

// holdersOf returns the replicas that hold the adapter. Without an adapter
// any replica will do, and the homes of the prompt stand for all.
func (d *Directory) holdersOf(q Query) []*entry {
	if !q.Adapter.IsZero() {
		return d.holders[q.Adapter]
	}
	if p := d.pools[q.Model]; p != nil {
		return p.ofBucket(q.bucket())
	}
	return nil
}

// bucket returns the bucket of the prompt's head, or else of the body.
func (q Query) bucket() uint32 {
	if q.Prefix != 0 {
		return uint32(q.Prefix % buckets)
	}
	return binary.BigEndian.Uint32(q.Digest[:]) % buckets
}

func (q Query) best(es []*entry) *entry {
	var best *entry
	for _, e := range es {
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
	if ra <= 0 || rb <= 0 {
		ra, rb = rb, ra
	}
	return cmp.Or(cmp.Compare(ra, rb), q.compareCentres(a, b), q.comparePrefix(a, b), cmp.Compare(a.Upstream, b.Upstream))
}

// comparePrefix ranks replicas by rendezvous hashing of the prompt's head.
func (q Query) comparePrefix(a, b *entry) int {
	if q.Prefix == 0 {
		return 0
	}
	return compareScores(uint32(q.Prefix%buckets))(a, b)
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

// bestHome returns the home, among the first that may load and have room,
// where the load evicts what is least in demand. If all homes are closed and
// must is true, any open replica will do.
func bestHome(d *Directory, q Query, must bool) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best, full *entry
	var seen int
	for _, e := range p.of(q.Adapter) {
		if !q.takes(e) || d.holds(e, q.Adapter) {
			continue
		}
		if !e.CanLoad || e.room() <= 0 {
			full = cmp.Or(full, e)
			continue
		}
		if best == nil || e.costToLoad() < best.costToLoad() {
			best = e
		}
		if seen++; seen == choices {
			break
		}
	}
	if best == nil && full == nil && must {
		return pickLeast(d, q)
	}
	return cmp.Or(best, full)
}

// pickSuspect returns a replica for a request that must run alone. The homes
// of its digest are the same for all daemons, and one that is isolating
// already goes before the others: so a body that is sent twice does not run at
// two owners at the same time, and few replicas are kept from other work.
func pickSuspect(d *Directory, q Query) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best *entry
	var seen int
	for _, e := range p.ofBucket(Query{Digest: q.Digest}.bucket()) {
		if e.Closed || slices.Contains(q.Exclude, e.Upstream) {
			continue
		}
		if best == nil || compareSuspect(e, best) < 0 {
			best = e
		}
		if seen++; seen == choices {
			break
		}
	}
	if best == nil {
		return pickLeast(d, q)
	}
	return best
}

func compareSuspect(a, b *entry) int {
	switch {
	case a.Isolating && !b.Isolating:
		return -1
	case b.Isolating && !a.Isolating:
		return 1
	}
	return cmp.Compare(a.outstanding(), b.outstanding())
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
