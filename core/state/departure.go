package state

import (
	"cmp"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// MaxDepartures is the maximum number of departures that are kept. Beyond it the
// oldest one is dropped.
const MaxDepartures = 1 << 14

// Departure records which runs of an upstream have left for good. Reports of these
// runs may still arrive.
type Departure struct {
	Upstream ident.Upstream
	// Incarnation is the latest run that is known to have left, 0 if none is. Earlier
	// ones have left as well.
	Incarnation ident.Incarnation
	// Presumed is the latest run that was known when the upstream was deregistered by
	// its name, and Unseen the latest one that may have started by then although no
	// report had arrived. Both are 0 if there was no such deregistration. A [Readmit]
	// may lower them.
	Presumed, Unseen ident.Incarnation
	// At is the wall time of the departure. An [Expire] deletes the record.
	At time.Time
}

// Depart records a departure. It never takes back an earlier one.
type Depart Departure

// Readmit records that a run was only presumed to have left. It does nothing if the
// run is known to have left.
type Readmit struct {
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
}

// departureKey orders departures by age.
type departureKey struct {
	at       int64
	upstream ident.Upstream
}

func (k departureKey) compare(o departureKey) int {
	return cmp.Or(cmp.Compare(k.at, o.at), cmp.Compare(k.upstream, o.upstream))
}

func (d Departure) key() departureKey {
	return departureKey{at: d.At.UnixNano(), upstream: d.Upstream}
}

// Departure returns the departure of an upstream, the zero value if none is known.
func (v *View) Departure(name ident.Upstream) Departure {
	d, _ := v.departures.Get(name)
	return d
}

// HasLeft reports whether a run of an upstream has left.
func (v *View) HasLeft(name ident.Upstream, i ident.Incarnation) bool {
	d, ok := v.departures.Get(name)
	return ok && i <= d.Last()
}

// Last returns the latest run that has left or is presumed to have left.
func (d Departure) Last() ident.Incarnation { return max(d.Incarnation, d.Presumed, d.Unseen) }

// CountDepartures returns the number of departures that are kept.
func (v *View) CountDepartures() int { return v.departures.Len() }

func (c Depart) apply(s *State) Outcome {
	v := &s.view
	if err := checkSize(result.Malformed, "upstream", string(c.Upstream), MaxName); err != nil {
		return errorOutcome(err)
	}
	if Departure(c).Last() == 0 {
		return errorOutcome(result.New(result.Malformed, "departure of %q without an incarnation", c.Upstream))
	}
	if !c.At.After(v.expiredUntil) {
		return errorOutcome(result.New(result.ChangeRefused, "departure of %q at %s has expired", c.Upstream, c.At))
	}
	d := Departure(c)
	if old, ok := v.departures.Get(c.Upstream); ok {
		d.Incarnation = max(d.Incarnation, old.Incarnation)
		d.Presumed, d.Unseen = max(d.Presumed, old.Presumed), max(d.Unseen, old.Unseen)
		if old.At.After(d.At) {
			d.At = old.At
		}
	}
	v.putDeparture(d)
	if v.departures.Len() > MaxDepartures {
		oldest, _, _ := v.departuresByAge.Min()
		v.deleteDeparture(oldest.upstream)
		if oldest.upstream == c.Upstream {
			return errorOutcome(result.New(result.ChangeRefused, "departure of %q is older than %d others", c.Upstream, MaxDepartures))
		}
	}
	return Outcome{}
}

func (c Readmit) apply(s *State) Outcome {
	v := &s.view
	d, ok := v.departures.Get(c.Upstream)
	if !ok || c.Incarnation <= d.Incarnation {
		return Outcome{}
	}
	d.Presumed, d.Unseen = min(d.Presumed, c.Incarnation-1), min(d.Unseen, c.Incarnation-1)
	if d.Last() == 0 {
		v.deleteDeparture(c.Upstream)
		return Outcome{}
	}
	v.putDeparture(d)
	return Outcome{}
}

// putDeparture stores d and updates the index by age.
func (v *View) putDeparture(d Departure) {
	v.deleteDeparture(d.Upstream)
	v.departures = v.departures.Put(d.Upstream, d)
	v.departuresByAge = v.departuresByAge.Put(d.key(), struct{}{})
}

// deleteDeparture removes the departure of an upstream, if any.
func (v *View) deleteDeparture(name ident.Upstream) {
	d, ok := v.departures.Get(name)
	if !ok {
		return
	}
	v.departures = v.departures.Delete(name)
	v.departuresByAge = v.departuresByAge.Delete(d.key())
}

// expireDepartures deletes the departures up to expiredUntil.
func (v *View) expireDepartures() {
	for {
		k, _, ok := v.departuresByAge.Min()
		if !ok || k.at > v.expiredUntil.UnixNano() {
			return
		}
		v.deleteDeparture(k.upstream)
	}
}

// checkDepartures checks all departures and that the index by age matches them.
func (v *View) checkDepartures() *result.Error {
	if v.departures.Len() > MaxDepartures || v.departures.Len() != v.departuresByAge.Len() {
		return damaged("%d departures, %d in the index by age", v.departures.Len(), v.departuresByAge.Len())
	}
	for name, d := range v.departures.All() {
		if d.Upstream != name || d.Last() == 0 || !d.At.After(v.expiredUntil) || !v.departuresByAge.Has(d.key()) {
			return damaged("departure of %q is invalid", name)
		}
	}
	return nil
}
