package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectAfter and convictAfter are the numbers of ends after which a key is
	// suspected and convicted.
	suspectAfter = 2
	convictAfter = 3
	// settleTime is how long daemons have to object to a conviction: about two
	// exchanges through the log.
	settleTime = 500 * time.Millisecond
	// trialTime is how long a trial blocks further ones at the same daemon.
	trialTime = time.Second
	// evidenceTTL is how long an end counts, convictionTTL how long a convicted
	// key is refused.
	evidenceTTL   = 5 * time.Minute
	convictionTTL = 10 * time.Minute
	// sameMoment is the longest time between ends that count as one.
	sameMoment = 25 * time.Millisecond
	// maxKeys bounds the tracked keys, maxEnds the ends remembered for each.
	maxKeys = 4096
	maxEnds = 16
)

// Verdict is how a request with a key is to be treated.
type Verdict uint8

const (
	// Clear requests may be sent.
	Clear Verdict = iota
	// Suspected requests may be sent one at a time, as trials.
	Suspected
	// Settling requests wait for a verdict that is due soon.
	Settling
	// Refused requests may not be sent.
	Refused
)

var verdictNames = [...]string{"clear", "suspected", "settling", "refused"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Decision is a verdict on a request and what it rests on.
type Decision struct {
	Verdict Verdict
	// Key is the key that decided.
	Key Key
	// Ends is how many ends count against the key, Since when the first of them
	// was noticed.
	Ends  int
	Since time.Time
	// Until is when the verdict changes by itself: a wall time for Refused, zero
	// for Suspected.
	Until time.Time
}

// record is what is known of one key.
type record struct {
	// ends holds at most maxEnds ends, each of another replica, in the order of
	// their times.
	ends []Ended
	// reachedAt is when convictAfter was reached here; zero if it was not.
	reachedAt time.Time
	// convictedUntil is a wall time, zero without a conviction.
	convictedUntil time.Time
	// trialUntil is when the daemon's last trial no longer blocks another one.
	trialUntil time.Time
}

// Tracker holds the evidence known to one daemon. It is not safe for concurrent
// use.
type Tracker struct {
	// records holds at most maxKeys records, each with an end or a conviction.
	records map[Key]*record
}

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{records: make(map[Key]*record)} }

// Empty reports whether there is no evidence against any key.
func (t *Tracker) Empty() bool { return len(t.records) == 0 }

// Len returns the number of keys with evidence.
func (t *Tracker) Len() int { return len(t.records) }

// Apply applies an entry of this or another daemon. It returns false if the entry
// was known already or has expired.
func (t *Tracker) Apply(now time.Time, e Entry) bool {
	if !now.Before(Expires(e)) {
		return false
	}
	switch e := e.(type) {
	case Ended:
		return t.addEnd(now, e)
	case Answered:
		_, known := t.records[e.Key]
		delete(t.records, e.Key)
		return known
	case Convicted:
		r := t.record(now, e.Key)
		known := r.convictedUntil.Equal(e.Until)
		r.convictedUntil = e.Until
		return !known
	}
	return false
}

// Restore applies the entries of a snapshot, which has no order of its own.
func (t *Tracker) Restore(now time.Time, es []Entry) {
	slices.SortStableFunc(es, func(a, b Entry) int { return madeAt(a).Compare(madeAt(b)) })
	for _, e := range es {
		t.Apply(now, e)
	}
}

// addEnd adds evidence against the key of a request.
func (t *Tracker) addEnd(now time.Time, e Ended) bool {
	r := t.record(now, e.Request)
	if slices.ContainsFunc(r.ends, func(known Ended) bool { return known.End == e.End }) {
		return false
	}
	r.ends = append(r.ends, e)
	slices.SortStableFunc(r.ends, func(a, b Ended) int { return a.At.Compare(b.At) })
	if len(r.ends) > maxEnds {
		r.ends = r.ends[1:]
	}
	if r.reachedAt.IsZero() && r.count() >= convictAfter {
		r.reachedAt = now
	}
	return true
}

// count returns the number of ends, not counting those of the same moment twice.
func (r *record) count() int {
	n := 0
	var last time.Time
	for _, e := range r.ends {
		if n == 0 || e.At.Sub(last) > sameMoment {
			n++
		}
		last = e.At
	}
	return n
}

// record returns the record of a key, and makes one if there is none.
func (t *Tracker) record(now time.Time, k Key) *record {
	r := t.records[k]
	if r != nil {
		return r
	}
	if len(t.records) >= maxKeys {
		t.dropOldest()
	}
	r = &record{}
	t.records[k] = r
	return r
}

// dropOldest drops the record that is worth least: one without a conviction
// before one with, and among equals the one that expires first.
func (t *Tracker) dropOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.records)), func(a, b Key) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(ra.convictedUntil.Compare(rb.convictedUntil), ra.lastAt().Compare(rb.lastAt()), cmp.Compare(a, b))
	})
	delete(t.records, oldest)
}

func (r *record) lastAt() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].At
}

// Answered records that a replica has begun to answer a request. It clears the
// request's key and returns what other daemons should know.
func (t *Tracker) Answered(now time.Time, k Key) []Entry {
	r := t.records[k]
	if r == nil {
		return nil
	}
	delete(t.records, k)
	if r.count() < suspectAfter && r.convictedUntil.IsZero() {
		return nil
	}
	return []Entry{Answered{Key: k, At: now.Round(0)}}
}

// Decide returns the verdict on a request.
func (t *Tracker) Decide(now time.Time, k Key) Decision {
	r := t.records[k]
	if r == nil {
		return Decision{}
	}
	d := Decision{Key: k, Ends: r.count()}
	if len(r.ends) > 0 {
		d.Since = r.ends[0].At
	}
	switch settled := r.reachedAt.Add(settleTime); {
	case now.Before(r.convictedUntil):
		d.Verdict, d.Until = Refused, r.convictedUntil
	case d.Ends >= convictAfter && now.Before(settled):
		d.Verdict, d.Until = Settling, settled
	case d.Ends >= convictAfter:
		d.Verdict, d.Until = Refused, r.lastAt().Add(convictionTTL)
	case d.Ends >= suspectAfter:
		d.Verdict = Suspected
	}
	return d
}

// BeginTrial reports whether a request with a suspected key may be sent now.
// Further ones wait until the trial shows something or trialTime has passed.
func (t *Tracker) BeginTrial(now time.Time, k Key) bool {
	r := t.records[k]
	if r == nil {
		return true
	}
	if now.Before(r.trialUntil) {
		return false
	}
	r.trialUntil = now.Add(trialTime)
	return true
}

// Due returns the convictions that are to be committed and forgets expired
// evidence.
func (t *Tracker) Due(now time.Time) []Entry {
	var out []Entry
	for _, k := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[k]
		r.ends = slices.DeleteFunc(r.ends, func(e Ended) bool { return !now.Before(Expires(e)) })
		if r.count() < convictAfter {
			r.reachedAt = time.Time{}
		}
		if len(r.ends) == 0 && !now.Before(r.convictedUntil) {
			delete(t.records, k)
			continue
		}
		if r.convictedUntil.IsZero() && t.Decide(now, k).Verdict == Refused {
			out = append(out, Convicted{Key: k, Until: now.Add(convictionTTL).Round(0)})
		}
	}
	return out
}
