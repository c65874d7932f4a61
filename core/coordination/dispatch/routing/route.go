package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
)

// queueDivisor limits the queue at the holders of an adapter: up to
// 1/queueDivisor of a batch may wait before a further copy is loaded. A short
// queue at a full batch empties faster than a load completes, and needs no
// load.
const queueDivisor = 4

// homeChoices is the number of homes that are compared for a load or a suspect.
const homeChoices = 3

// Query describes the request for which a replica is chosen.
type Query struct {
	// Model and Adapter are the ones that the request must run on.
	Model   ident.Model
	Adapter ident.Adapter
	// DataCentre is the data centre of the querying daemon.
	DataCentre ident.DataCentre
	// Suspect is true for a request that must run isolated.
	Suspect bool
	// Digest is the digest of the body. It determines the homes of suspects
	// and of requests without an adapter.
	Digest quarantine.Digest
	// Prefix identifies the beginning of the prompt; zero if it is unknown.
	// Among equal replicas, requests with the same prefix go to the same one,
	// whose cache may hold the prefix.
	Prefix uint64
	// Exclude lists replicas that have refused the request.
	Exclude []ident.Upstream
}

// Choice is the replica that a request is sent to.
type Choice struct {
	// Upstream is the name of the replica and Owner that of its owner.
	Upstream ident.Upstream
	Owner    ident.Daemon
	// Resident is true if the replica holds the adapter or is loading it.
	Resident bool
}

// Policy holds the routing decision that can be varied.
type Policy struct {
	// Pick returns the replica for a query, or nil if no replica is suitable.
	Pick func(d *Directory, q Query) *entry
}

// Default returns the policy used in production.
func Default() Policy { return Policy{Pick: pick} }

// Naive returns the baseline that the default policy is compared with: it
// chooses the replica with the fewest outstanding requests, regardless of the
// adapter.
func Naive() Policy { return Policy{Pick: pickLeastOutstanding} }

// Route returns the replica for a request, or false if no replica accepts it.
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

func (q Query) accepts(e *entry) bool {
	return e.available() && !slices.Contains(q.Exclude, e.Upstream)
}

// pick returns, among the available replicas that hold the adapter, the one
// with the fullest batch that still has free capacity. If there is none and the
// queue is long, it returns a home with free capacity, which loads a further
// copy; a copy that is no longer needed gets no requests and is eventually
// evicted.
func pick(d *Directory, q Query) *entry {
	if q.Suspect {
		return pickSuspect(d, q)
	}
	holder := q.bestHolder(d.holdersOf(q))
	if holder != nil && holder.backlog() < holder.MaxBatch/queueDivisor {
		return holder
	}
	home := bestHome(d, q, holder == nil)
	if holder == nil {
		return home
	}
	if home != nil && home.freeCapacity() > 0 {
		return home
	}
	return holder
}

// holdersOf returns the replicas that hold the adapter. A request without an
// adapter could run on any replica; to bound the search, only the homes of its
// prompt are returned.
func (d *Directory) holdersOf(q Query) []*entry {
	if !q.Adapter.IsZero() {
		return d.holders[q.Adapter]
	}
	if p := d.pools[q.Model]; p != nil {
		return p.bucketHomes(q.bucket())
	}
	return nil
}

// bucket returns the bucket of the prompt prefix, or of the body if the prefix
// is unknown.
func (q Query) bucket() uint32 {
	if q.Prefix != 0 {
		return uint32(q.Prefix % buckets)
	}
	return binary.BigEndian.Uint32(q.Digest[:]) % buckets
}

func (q Query) bestHolder(es []*entry) *entry {
	var best *entry
	for _, e := range es {
		if e.Model == q.Model && q.accepts(e) && (best == nil || q.compareHolders(e, best) < 0) {
			best = e
		}
	}
	return best
}

// compareHolders orders replicas with free capacity first, the fullest of them
// before the others. Replicas without free capacity follow, ordered by the
// length of their queues.
func (q Query) compareHolders(a, b *entry) int {
	keyA, keyB := a.freeCapacity(), b.freeCapacity()
	if keyA <= 0 || keyB <= 0 {
		keyA, keyB = keyB, keyA
	}
	return cmp.Or(cmp.Compare(keyA, keyB), q.compareDataCentres(a, b), q.comparePrefix(a, b), cmp.Compare(a.Upstream, b.Upstream))
}

// comparePrefix ranks replicas by rendezvous hashing of the prompt prefix.
func (q Query) comparePrefix(a, b *entry) int {
	if q.Prefix == 0 {
		return 0
	}
	return compareScores(uint32(q.Prefix%buckets))(a, b)
}

// compareDataCentres orders replicas in the data centre of the query first.
func (q Query) compareDataCentres(a, b *entry) int {
	aLocal, bLocal := a.DataCentre == q.DataCentre, b.DataCentre == q.DataCentre
	switch {
	case aLocal == bLocal:
		return 0
	case aLocal:
		return -1
	}
	return 1
}

// bestHome returns, among the first homeChoices homes that may load and have
// free capacity, the one where the load evicts the least demand. Without such a
// home it returns the first available one. If no home is available and
// anyReplica is true, it returns any available replica.
func bestHome(d *Directory, q Query, anyReplica bool) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best, fallback *entry
	var compared int
	for _, e := range p.homesOf(q.Adapter) {
		if !q.accepts(e) || d.holds(e, q.Adapter) {
			continue
		}
		if !e.CanLoad || e.freeCapacity() <= 0 {
			fallback = cmp.Or(fallback, e)
			continue
		}
		if best == nil || e.loadCost() < best.loadCost() {
			best = e
		}
		if compared++; compared == homeChoices {
			break
		}
	}
	if best == nil && fallback == nil && anyReplica {
		return pickLeastOutstanding(d, q)
	}
	return cmp.Or(best, fallback)
}

// pickSuspect returns a replica for a request that must run isolated. The homes
// of its digest are the same for all daemons, and a replica that already
// isolates a suspect is preferred. Thus a body that is sent twice does not run
// at two owners at the same time, and few replicas are withheld from other
// requests.
func pickSuspect(d *Directory, q Query) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best *entry
	var compared int
	for _, e := range p.bucketHomes(Query{Digest: q.Digest}.bucket()) {
		if e.Closed || slices.Contains(q.Exclude, e.Upstream) {
			continue
		}
		if best == nil || compareForSuspect(e, best) < 0 {
			best = e
		}
		if compared++; compared == homeChoices {
			break
		}
	}
	if best == nil {
		return pickLeastOutstanding(d, q)
	}
	return best
}

func compareForSuspect(a, b *entry) int {
	switch {
	case a.Isolating && !b.Isolating:
		return -1
	case b.Isolating && !a.Isolating:
		return 1
	}
	return cmp.Compare(a.outstanding(), b.outstanding())
}

// pickLeastOutstanding returns the available replica with the fewest
// outstanding requests.
func pickLeastOutstanding(d *Directory, q Query) *entry {
	p := d.pools[q.Model]
	if p == nil {
		return nil
	}
	var best *entry
	for _, e := range p.members {
		if q.accepts(e) && (best == nil || q.compareOutstanding(e, best) < 0) {
			best = e
		}
	}
	return best
}

func (q Query) compareOutstanding(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(a.outstanding(), b.outstanding()),
		q.compareDataCentres(a, b),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

// Addresses returns up to n owners that a caller should connect to for an
// adapter, without duplicates: owners of replicas that hold it, then owners of
// its homes, then others. It omits owners whose replicas are all closed.
func (d *Directory) Addresses(q Query, n int) []ident.Daemon {
	var out []ident.Daemon
	add := func(es []*entry) {
		for _, e := range es {
			if len(out) < n && e.Model == q.Model && q.accepts(e) && !slices.Contains(out, e.Owner) {
				out = append(out, e.Owner)
			}
		}
	}
	holders := slices.Clone(d.holders[q.Adapter])
	slices.SortStableFunc(holders, q.compareDataCentres)
	add(holders)
	p := d.pools[q.Model]
	if p == nil {
		return out
	}
	add(p.homesOf(q.Adapter))
	if len(out) < n {
		start := int(bucketOf(q.Adapter)) % len(p.members)
		add(p.members[start:])
		add(p.members[:start])
	}
	return out
}
