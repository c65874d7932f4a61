package budget

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// StartWithin is how long after its grant a permit may be used.
	StartWithin = 50 * time.Millisecond
	// PermitLifetime is how long a permit counts as in transit if it is not
	// returned. An owner abandons its load earlier.
	PermitLifetime = 6 * time.Second
	// OwnerTimeout is how long an owner counts as reachable after its last
	// request.
	OwnerTimeout = 2 * time.Second
	// pollTimeout is how long the wanted loads of a polling owner keep their
	// rank after its last poll.
	pollTimeout = 250 * time.Millisecond
	// FallbackAfter is how long an owner waits without an answer before it
	// uses its share. It exceeds OwnerTimeout by more than a second, so that
	// loads of the share never start within a second of grants that were made
	// before the holder reserved that share.
	FallbackAfter = 3500 * time.Millisecond
	// grantWindow is the span in which no more than Limits.PerSecond permits
	// are granted. It is longer than a second by StartWithin because the use of
	// a permit may be delayed by that much.
	grantWindow = time.Second + StartWithin
)

// Limits describes the capacity of the weight store.
type Limits struct {
	// PerSecond is the number of loads that may start in any second; positive.
	PerSecond int
	// InTransit is the number of concurrent loads that the store can serve at
	// full speed; positive.
	InTransit int
}

// PermitID identifies a permit; it is unique within one holder.
type PermitID uint64

// DesiredLoad is a load that an owner wants to make.
type DesiredLoad struct {
	// Upstream is the replica that loads the adapter.
	Upstream ident.Upstream
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// Benefit is the benefit of the load: the number of waiting requests that can
	// still meet their targets. A policy may subtract the value of the evicted
	// adapter.
	Benefit float64
	// Deadline is when the load must start so that the first waiting request
	// can meet its deadline.
	Deadline time.Time
}

// Permit allows one load.
type Permit struct {
	// ID is unique within one holder.
	ID PermitID
	// Owner is the daemon that may use it.
	Owner ident.Daemon
	// Upstream is the replica that the load is for.
	Upstream ident.Upstream
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// StartBy is the time from which the permit must no longer be used. A
	// daemon that receives a permit counts StartWithin from when it sent the
	// request that was answered.
	StartBy time.Time
}

// PermitRequest is a request for permits. It replaces all earlier requests of
// its owner.
type PermitRequest struct {
	// Owner is the daemon that requests the permits.
	Owner ident.Daemon
	// DesiredLoads lists the loads that the owner wants to make, in any order.
	DesiredLoads []DesiredLoad
	// Fallback is true while the owner uses its fixed share.
	Fallback bool
	// Misses counts, since the owner started, the requests that arrived for an
	// adapter that had to be loaded and that no other request was waiting for,
	// whether they were admitted or not.
	Misses uint64
	// InTransit is the number of loads that the owner has in transit. It tells a
	// new holder of loads that the previous holder permitted.
	InTransit int
}

// grant is a permit that has not been returned.
type grant struct {
	owner   ident.Daemon
	expires time.Time
}

// owner is the state of one owner.
type owner struct {
	// desired are the loads of the newest request that have not been granted.
	desired []DesiredLoad
	// lastSeen is when the newest request arrived; zero if there was none.
	lastSeen time.Time
	// fallback is true if the newest request reported the use of the share.
	fallback bool
	// misses is the count of the newest request.
	misses uint64
	// inheritedLoads is the number of loads in transit, as of the newest
	// request, that this holder did not permit; never negative.
	inheritedLoads int
}

// Holder allocates the load budget at the leader.
type Holder struct {
	limits Limits
	// startedAt is when this holder was created.
	startedAt time.Time
	// nextID is larger than the ID of every granted permit.
	nextID PermitID
	// granted holds the permits that count as in transit.
	granted map[PermitID]grant
	// grantTimes are the times of recent grants in ascending order.
	grantTimes []time.Time
	// misses is the number of misses of all owners, decayed over missWindow.
	misses missCounter
	// owners has an entry for every daemon in names.
	owners map[ident.Daemon]*owner
	// names is sorted; its order determines which owners have a share.
	names []ident.Daemon
}

// NewHolder returns the holder for a daemon that became leader at now. The IDs
// of its permits are larger than first, which must differ between holders, for
// example the term of the log shifted left.
func NewHolder(now time.Time, limits Limits, owners []ident.Daemon, first PermitID) *Holder {
	h := &Holder{
		limits:    limits,
		startedAt: now,
		nextID:    first + 1,
		granted:   make(map[PermitID]grant),
		owners:    make(map[ident.Daemon]*owner),
	}
	h.SetOwners(owners)
	return h
}

// SetOwners replaces the set of daemons that share the budget, keeping the
// state of those that remain.
func (h *Holder) SetOwners(owners []ident.Daemon) {
	kept := make(map[ident.Daemon]*owner, len(owners))
	for _, name := range owners {
		kept[name] = h.owners[name]
		if kept[name] == nil {
			kept[name] = &owner{}
		}
	}
	h.owners = kept
	h.names = slices.Compact(slices.Sorted(slices.Values(owners)))
}

// InTransit returns the number of permits that have not been returned or
// expired.
func (h *Holder) InTransit() int { return len(h.granted) }

// Submit records the loads that an owner wants and returns the permits that
// can be granted now, to any owner. It is for a holder that can send permits to
// owners at any time; a holder that can only answer uses [Holder.Poll].
func (h *Holder) Submit(now time.Time, a PermitRequest) []Permit {
	h.updateOwner(now, a)
	return h.Tick(now)
}

// Poll records the loads that an owner wants and returns the permits that can
// be granted to it now. Loads of other owners that rank higher keep their rank
// as long as these owners have polled within pollTimeout. A polled holder
// receives returned permits by [Holder.Release] and needs no ticks.
func (h *Holder) Poll(now time.Time, a PermitRequest) []Permit {
	h.updateOwner(now, a)
	h.expire(now)
	if h.warmingUp(now) {
		return nil
	}
	free, reserved := h.grantable(now), 0
	var out []Permit
	for _, c := range h.rankedClaims(now) {
		if len(out)+reserved >= free {
			break
		}
		if c.owner != a.Owner {
			if now.Sub(h.owners[c.owner].lastSeen) < pollTimeout {
				reserved++
			}
			continue
		}
		out = append(out, h.grant(now, c.owner, c.load))
	}
	return out
}

// updateOwner replaces the state of an owner with its newest request.
func (h *Holder) updateOwner(now time.Time, a PermitRequest) {
	o := h.owners[a.Owner]
	if o == nil {
		return
	}
	h.countMisses(now, o, a.Misses)
	o.lastSeen, o.fallback = now, a.Fallback
	o.inheritedLoads = max(0, a.InTransit-h.grantedTo(a.Owner))
	o.desired = slices.DeleteFunc(slices.Clone(a.DesiredLoads), func(w DesiredLoad) bool { return !now.Before(w.Deadline) })
}

// Release returns a permit, used or not.
func (h *Holder) Release(id PermitID) { delete(h.granted, id) }

// ReleaseAndGrant returns a permit, used or not, and grants the permits that
// are possible now.
func (h *Holder) ReleaseAndGrant(now time.Time, id PermitID) []Permit {
	h.Release(id)
	return h.Tick(now)
}

// OwnerLost forgets the wanted loads of an owner that is gone. Its permits are
// kept until they expire, because loads that it ordered may still be in
// transit.
func (h *Holder) OwnerLost(name ident.Daemon) {
	if o := h.owners[name]; o != nil {
		o.desired = nil
		o.lastSeen, o.inheritedLoads = time.Time{}, 0
	}
}

// Tick drops expired permits and returns the permits that can be granted now.
func (h *Holder) Tick(now time.Time) []Permit {
	h.expire(now)
	if h.warmingUp(now) {
		return nil
	}
	free := h.grantable(now)
	var out []Permit
	for _, c := range h.rankedClaims(now) {
		if len(out) >= free {
			break
		}
		out = append(out, h.grant(now, c.owner, c.load))
	}
	return out
}

func (h *Holder) expire(now time.Time) {
	for id, g := range h.granted {
		if !now.Before(g.expires) {
			delete(h.granted, id)
		}
	}
	h.grantTimes = slices.DeleteFunc(h.grantTimes, func(t time.Time) bool { return now.Sub(t) >= grantWindow })
}

// warmingUp reports whether loads permitted by the previous holder may still be
// unknown. Until a window has passed, its newest permits count for the current
// second; the loads in transit are known once every owner has sent a request.
func (h *Holder) warmingUp(now time.Time) bool {
	age := now.Sub(h.startedAt)
	return age < grantWindow || age < PermitLifetime && !h.allOwnersSeen()
}

func (h *Holder) grantedTo(name ident.Daemon) int {
	var n int
	for _, g := range h.granted {
		if g.owner == name {
			n++
		}
	}
	return n
}

func (h *Holder) allOwnersSeen() bool {
	for _, name := range h.names {
		if h.owners[name].lastSeen.IsZero() {
			return false
		}
	}
	return true
}

func (h *Holder) reachable(now time.Time, name ident.Daemon) bool {
	o := h.owners[name]
	return !o.lastSeen.IsZero() && now.Sub(o.lastSeen) < OwnerTimeout && !o.fallback
}

// grantable returns how many permits may be granted now, less the shares
// reserved for owners that may be using them.
func (h *Holder) grantable(now time.Time) int {
	rate := h.limits.PerSecond - len(h.grantTimes)
	transit := h.limits.InTransit - len(h.granted)
	for i, name := range h.names {
		transit -= h.owners[name].inheritedLoads
		if h.reachable(now, name) {
			continue
		}
		s := shareOfRank(i, h.limits)
		rate -= s.PerSecond
		transit -= s.InTransit
	}
	return min(rate, transit)
}

// claim is a load that an owner wants and that may be granted.
type claim struct {
	owner ident.Daemon
	load  DesiredLoad
}

// rankedClaims returns the wanted loads of all reachable owners, those with the
// greatest benefit first and among equals those with the earliest deadline.
func (h *Holder) rankedClaims(now time.Time) []claim {
	var out []claim
	for _, n := range h.names {
		if !h.reachable(now, n) {
			continue
		}
		for _, w := range h.owners[n].desired {
			if now.Before(w.Deadline) {
				out = append(out, claim{owner: n, load: w})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b claim) int { return compareLoads(a.load, b.load) })
	return out
}

func compareLoads(a, b DesiredLoad) int {
	return cmp.Or(
		cmp.Compare(b.Benefit, a.Benefit),
		a.Deadline.Compare(b.Deadline),
		a.Adapter.Compare(b.Adapter),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

func (h *Holder) grant(now time.Time, name ident.Daemon, w DesiredLoad) Permit {
	o := h.owners[name]
	if i := slices.Index(o.desired, w); i >= 0 {
		o.desired = slices.Delete(o.desired, i, i+1)
	}
	p := Permit{ID: h.nextID, Owner: name, Upstream: w.Upstream, Adapter: w.Adapter, StartBy: now.Add(StartWithin)}
	h.nextID++
	h.granted[p.ID] = grant{owner: name, expires: now.Add(PermitLifetime)}
	h.grantTimes = append(h.grantTimes, now)
	return p
}
