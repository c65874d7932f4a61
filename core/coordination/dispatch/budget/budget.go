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
	// Lifetime is how long a permit counts as in transit if it is not
	// returned. An owner gives up a load before that.
	Lifetime = 6 * time.Second
	// HeardWithin is how long an owner counts as heard after its last PermitRequest.
	HeardWithin = 2 * time.Second
	// pollWithin is how long the wants of an owner that polls keep their place.
	pollWithin = 250 * time.Millisecond
	// FallbackAfter is how long an owner waits without an answer before it
	// uses its share. It exceeds HeardWithin by more than a second, so that
	// no second holds grants made before the holder kept the share back
	// together with loads of that share.
	FallbackAfter = 3500 * time.Millisecond
	// window is the span in which no more than Limits.PerSecond permits are
	// granted. Permits granted in one window start in less than a second plus
	// StartWithin, hence the addition.
	window = time.Second + StartWithin
)

// Limits is what the weight store carries.
type Limits struct {
	// PerSecond is the number of loads that may start in a second; positive.
	PerSecond int
	// InTransit is the number of loads at the same time that the store
	// carries at full speed; positive.
	InTransit int
}

// PermitID names a permit; it is unique for one holder.
type PermitID uint64

// DesiredLoad is a load that an owner would like to make.
type DesiredLoad struct {
	// Upstream is the replica to load to.
	Upstream ident.Upstream
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// Benefit is how much the load is worth: the waiting requests that can still
	// meet their targets, less what the evicted adapter is worth.
	Benefit float64
	// Deadline is the earliest deadline among the requests that wait.
	Deadline time.Time
}

// Permit allows one load.
type Permit struct {
	// ID is unique for one holder.
	ID PermitID
	// Owner is the daemon that may use it.
	Owner ident.Daemon
	// Upstream is the replica that the load is for.
	Upstream ident.Upstream
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// StartBy is when the permit may no longer be used. A daemon that receives
	// a permit counts StartWithin from when it sent the PermitRequest that was answered.
	StartBy time.Time
}

// PermitRequest replaces the wants of an owner.
type PermitRequest struct {
	// Owner is the daemon that asks.
	Owner ident.Daemon
	// DesiredLoads need not be sorted.
	DesiredLoads []DesiredLoad
	// Fallback is true while the owner uses its fixed share.
	Fallback bool
	// Misses is the number of times, since the owner started, that a request
	// arrived for an adapter that no other was waiting for and that had to be
	// loaded, whether the request was taken or not.
	Misses uint64
	// InTransit is the number of loads that the owner has in transit. A new
	// holder learns from it of loads that an earlier one permitted.
	InTransit int
}

type grant struct {
	owner   ident.Daemon
	expires time.Time
}

type owner struct {
	// wants are those of the newest PermitRequest that have not been granted since.
	wants []DesiredLoad
	// heard is when the newest PermitRequest arrived; zero if there was none.
	heard time.Time
	// fallback is as the newest PermitRequest said.
	fallback bool
	// misses is as the newest PermitRequest said.
	misses uint64
	// foreign is the number of loads in transit, as of the newest PermitRequest, that
	// this holder gave no permit for; never negative.
	foreign int
}

// Holder is the state of the load budget at the leader.
type Holder struct {
	limits Limits
	// since is when this holder began.
	since time.Time
	// next is larger than every permit id that was granted.
	next PermitID
	// granted holds the permits that count as in transit.
	granted map[PermitID]grant
	// starts are the times of recent grants in ascending order.
	starts []time.Time
	// misses is the number of misses of all owners, decayed over missSpan.
	misses misses
	// owners holds every daemon of names.
	owners map[ident.Daemon]*owner
	// names is sorted; its order fixes who holds a share.
	names []ident.Daemon
}

// NewHolder returns the budget of a daemon that has become leader at now. The
// first permit's id is larger than first, which must differ between holders:
// a term of the log shifted left will do.
func NewHolder(now time.Time, limits Limits, owners []ident.Daemon, first PermitID) *Holder {
	h := &Holder{
		limits:  limits,
		since:   now,
		next:    first + 1,
		granted: make(map[PermitID]grant),
		owners:  make(map[ident.Daemon]*owner),
	}
	h.SetOwners(owners)
	return h
}

// SetOwners replaces the set of daemons that share the budget.
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

// InTransit returns the number of permits that have not been returned.
func (h *Holder) InTransit() int { return len(h.granted) }

// Ask notes what an owner wants and returns the permits that can be granted
// now, to whichever owner. It is for a holder that can send permits to owners
// at any time; see [Holder.Poll] for one that can only answer.
func (h *Holder) Ask(now time.Time, a PermitRequest) []Permit {
	h.note(now, a)
	return h.Tick(now)
}

// Poll notes what an owner wants and returns the permits that can be granted
// to it now. Wants of other owners that rank higher keep their place, as long
// as these owners have polled within pollWithin. A holder that is polled is
// told of returned permits by [Holder.Release] and needs no ticks.
func (h *Holder) Poll(now time.Time, a PermitRequest) []Permit {
	h.note(now, a)
	h.expire(now)
	if h.quiet(now) {
		return nil
	}
	room, kept := h.room(now), 0
	var out []Permit
	for _, c := range h.ranked(now) {
		if len(out)+kept >= room {
			break
		}
		if c.owner != a.Owner {
			if now.Sub(h.owners[c.owner].heard) < pollWithin {
				kept++
			}
			continue
		}
		out = append(out, h.grant(now, c.owner, c.want))
	}
	return out
}

// note replaces what is known of an owner.
func (h *Holder) note(now time.Time, a PermitRequest) {
	o := h.owners[a.Owner]
	if o == nil {
		return
	}
	h.countMisses(now, o, a.Misses)
	o.heard, o.fallback = now, a.Fallback
	o.foreign = max(0, a.InTransit-h.grantedTo(a.Owner))
	o.wants = slices.DeleteFunc(slices.Clone(a.DesiredLoads), func(w DesiredLoad) bool { return !now.Before(w.Deadline) })
}

// Release takes back a permit, used or not.
func (h *Holder) Release(id PermitID) { delete(h.granted, id) }

// Done takes back a permit, used or not, and returns the permits that can be
// granted now.
func (h *Holder) Done(now time.Time, id PermitID) []Permit {
	h.Release(id)
	return h.Tick(now)
}

// Lost forgets the wants of an owner that is gone. Its permits expire in
// their time, because what it had ordered may still be in transit.
func (h *Holder) Lost(name ident.Daemon) {
	if o := h.owners[name]; o != nil {
		o.wants = nil
		o.heard, o.foreign = time.Time{}, 0
	}
}

// Tick drops expired permits and returns those that can be granted now.
func (h *Holder) Tick(now time.Time) []Permit {
	h.expire(now)
	if h.quiet(now) {
		return nil
	}
	room := h.room(now)
	var out []Permit
	for _, c := range h.ranked(now) {
		if len(out) >= room {
			break
		}
		out = append(out, h.grant(now, c.owner, c.want))
	}
	return out
}

func (h *Holder) expire(now time.Time) {
	for id, g := range h.granted {
		if !now.Before(g.expires) {
			delete(h.granted, id)
		}
	}
	h.starts = slices.DeleteFunc(h.starts, func(t time.Time) bool { return now.Sub(t) >= window })
}

// quiet reports whether loads that an earlier holder permitted may be unknown
// yet. Its newest permits belong to the current second until a window has
// passed; the loads in transit are known once every owner has been heard.
func (h *Holder) quiet(now time.Time) bool {
	age := now.Sub(h.since)
	return age < window || age < Lifetime && !h.heardAll()
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

func (h *Holder) heardAll() bool {
	for _, name := range h.names {
		if h.owners[name].heard.IsZero() {
			return false
		}
	}
	return true
}

func (h *Holder) heard(now time.Time, name ident.Daemon) bool {
	o := h.owners[name]
	return !o.heard.IsZero() && now.Sub(o.heard) < HeardWithin && !o.fallback
}

// room returns how many permits may be granted now, after the shares of
// owners that may have fallen back are kept back.
func (h *Holder) room(now time.Time) int {
	rate := h.limits.PerSecond - len(h.starts)
	transit := h.limits.InTransit - len(h.granted)
	for i, name := range h.names {
		transit -= h.owners[name].foreign
		if h.heard(now, name) {
			continue
		}
		s := share(i, h.limits)
		rate -= s.PerSecond
		transit -= s.InTransit
	}
	return min(rate, transit)
}

// claim is a want of an owner that may be granted.
type claim struct {
	owner ident.Daemon
	want  DesiredLoad
}

// ranked returns the wants of all owners that are heard, those that save most
// first, and among equals the one with the earliest deadline.
func (h *Holder) ranked(now time.Time) []claim {
	var out []claim
	for _, n := range h.names {
		if !h.heard(now, n) {
			continue
		}
		for _, w := range h.owners[n].wants {
			if now.Before(w.Deadline) {
				out = append(out, claim{owner: n, want: w})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b claim) int { return compareWants(a.want, b.want) })
	return out
}

func compareWants(a, b DesiredLoad) int {
	return cmp.Or(
		cmp.Compare(b.Benefit, a.Benefit),
		a.Deadline.Compare(b.Deadline),
		a.Adapter.Compare(b.Adapter),
		cmp.Compare(a.Upstream, b.Upstream),
	)
}

func (h *Holder) grant(now time.Time, name ident.Daemon, w DesiredLoad) Permit {
	o := h.owners[name]
	if i := slices.Index(o.wants, w); i >= 0 {
		o.wants = slices.Delete(o.wants, i, i+1)
	}
	p := Permit{ID: h.next, Owner: name, Upstream: w.Upstream, Adapter: w.Adapter, StartBy: now.Add(StartWithin)}
	h.next++
	h.granted[p.ID] = grant{owner: name, expires: now.Add(Lifetime)}
	h.starts = append(h.starts, now)
	return p
}
