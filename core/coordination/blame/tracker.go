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
	// minRequests is how many different requests must have ended replicas before a
	// part that they share is convicted.
	minRequests = 2
	// settleTime is how long daemons have to object to a conviction: several
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
	// position is the place of a part in its prompt, counted from 1; 0 for the key
	// of a whole request.
	position int
	// accusedAt is when the evidence became enough for a conviction; zero while it
	// isn't.
	accusedAt time.Time
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
	// explained holds the part that explains an end, by the end.
	explained map[Key]Key
}

// New returns a tracker without evidence.
func New() *Tracker { return &Tracker{records: make(map[Key]*record), explained: make(map[Key]Key)} }

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
		news := t.addEnd(e)
		t.assess(now)
		return news
	case Answered:
		_, known := t.records[e.Key]
		delete(t.records, e.Key)
		t.assess(now)
		return known
	case Convicted:
		r := t.record(e.Key, 0)
		known := r.convictedUntil.Equal(e.Until)
		r.convictedUntil = e.Until
		t.assess(now)
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

// addEnd adds evidence against all keys of a request, and reports whether any of
// it is new.
func (t *Tracker) addEnd(e Ended) bool {
	news := false
	for i, k := range e.keys() {
		if i > 0 {
			i += e.PartsBefore
		}
		r := t.record(k, i)
		if slices.ContainsFunc(r.ends, func(known Ended) bool { return known.End == e.End && known.Request == e.Request }) {
			continue
		}
		news = true
		r.ends = append(r.ends, e)
		slices.SortStableFunc(r.ends, func(a, b Ended) int { return a.At.Compare(b.At) })
		if len(r.ends) > maxEnds {
			r.ends = r.ends[1:]
		}
	}
	return news
}

// record returns the record of a key, and makes one if there is none.
func (t *Tracker) record(k Key, position int) *record {
	r := t.records[k]
	if r == nil {
		if len(t.records) >= maxKeys {
			t.dropOldest()
		}
		r = &record{}
		t.records[k] = r
	}
	r.position = max(r.position, position)
	return r
}

// dropOldest drops the record that is worth least: one without a conviction
// before one with, and among equals the one that expires first.
func (t *Tracker) dropOldest() {
	var oldest Key
	var worst *record
	for k, r := range t.records {
		if worst == nil || cmp.Or(r.convictedUntil.Compare(worst.convictedUntil), r.lastAt().Compare(worst.lastAt()), cmp.Compare(k, oldest)) < 0 {
			oldest, worst = k, r
		}
	}
	delete(t.records, oldest)
}

func (r *record) lastAt() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].At
}

// assess decides which keys the evidence is enough against. An end that one part
// explains counts against no other key, so that requests that were in flight
// beside the cause are not blamed with it.
func (t *Tracker) assess(now time.Time) {
	clear(t.explained)
	for _, k := range t.candidates() {
		r := t.records[k]
		if r.convictedUntil.IsZero() && !t.weigh(now, k).enough(convictAfter) {
			r.accusedAt = time.Time{}
			continue
		}
		if r.accusedAt.IsZero() {
			r.accusedAt = now
		}
		if r.position > 0 {
			t.explain(k, r)
		}
	}
}

// explain records that the ends under a part are explained by it.
func (t *Tracker) explain(k Key, r *record) {
	for _, e := range r.ends {
		if _, known := t.explained[e.End]; !known {
			t.explained[e.End] = k
		}
	}
}

// candidates returns the keys that may have enough evidence against them, in the
// order in which they explain ends: convicted ones, then the last parts of
// prompts, since those before them are shared by more requests, and whole
// requests at the end.
func (t *Tracker) candidates() []Key {
	var ks []Key
	for k, r := range t.records {
		if len(r.ends) >= convictAfter || !r.accusedAt.IsZero() || !r.convictedUntil.IsZero() {
			ks = append(ks, k)
		}
	}
	slices.SortFunc(ks, func(a, b Key) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(rb.convictedUntil.Compare(ra.convictedUntil), cmp.Compare(rb.position, ra.position),
			cmp.Compare(len(rb.ends), len(ra.ends)), cmp.Compare(a, b))
	})
	return ks
}

// weight is the evidence against a key that nothing else explains.
type weight struct {
	ends, requests int
	part           bool
	since          time.Time
}

// enough reports whether the evidence amounts to n ends. A part must have ended
// replicas in different requests.
func (w weight) enough(n int) bool { return w.ends >= n && (!w.part || w.requests >= minRequests) }

// weigh returns the evidence against a key that has not expired. Ends of the same
// moment count once.
func (t *Tracker) weigh(now time.Time, k Key) weight {
	r := t.records[k]
	w := weight{part: r.position > 0}
	var last time.Time
	seen := make(map[Key]bool)
	for _, e := range r.ends {
		if by, ok := t.explained[e.End]; ok && by != k || !now.Before(Expires(e)) {
			continue
		}
		if !seen[e.Request] {
			seen[e.Request] = true
			w.requests++
		}
		if w.ends == 0 {
			w.since = e.At
		}
		if !seen[e.End] && (w.ends == 0 || e.At.Sub(last) > sameMoment) {
			w.ends++
		}
		seen[e.End], last = true, e.At
	}
	return w
}

// Answered records that a replica has begun to answer a request. It clears all
// keys of the request and returns what other daemons should know.
func (t *Tracker) Answered(now time.Time, s Suspect) []Entry {
	var out []Entry
	cleared := false
	for _, k := range s.keys() {
		r := t.records[k]
		if r == nil {
			continue
		}
		if len(r.ends) >= suspectAfter || !r.convictedUntil.IsZero() {
			out = append(out, Answered{Key: k, At: now.Round(0)})
		}
		delete(t.records, k)
		cleared = true
	}
	if cleared {
		t.assess(now)
	}
	return out
}

// Decide returns the strictest verdict on the keys of a request.
func (t *Tracker) Decide(now time.Time, s Suspect) Decision {
	var worst Decision
	for _, k := range s.keys() {
		if d := t.decide(now, k); d.Verdict > worst.Verdict {
			worst = d
		}
	}
	return worst
}

// Decisions returns the decisions on all keys that are not clear, sorted by key.
func (t *Tracker) Decisions(now time.Time) []Decision {
	var out []Decision
	for _, k := range slices.Sorted(maps.Keys(t.records)) {
		if d := t.decide(now, k); d.Verdict != Clear {
			out = append(out, d)
		}
	}
	return out
}

func (t *Tracker) decide(now time.Time, k Key) Decision {
	r := t.records[k]
	if r == nil {
		return Decision{}
	}
	w := t.weigh(now, k)
	d := Decision{Key: k, Ends: w.ends, Since: w.since}
	switch settled := r.accusedAt.Add(settleTime); {
	case now.Before(r.convictedUntil):
		d.Verdict, d.Until = Refused, r.convictedUntil
	case !w.enough(suspectAfter):
	case !w.enough(convictAfter):
		d.Verdict = Suspected
	case now.Before(settled):
		d.Verdict, d.Until = Settling, settled
	default:
		d.Verdict, d.Until = Refused, r.lastAt().Add(evidenceTTL)
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

// Due forgets expired evidence and returns the convictions that the leader is to
// commit.
func (t *Tracker) Due(now time.Time) []Entry {
	var out []Entry
	for _, k := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[k]
		r.ends = slices.DeleteFunc(r.ends, func(e Ended) bool { return !now.Before(Expires(e)) })
		if !now.Before(r.convictedUntil) {
			r.convictedUntil = time.Time{}
		}
		if len(r.ends) == 0 && r.convictedUntil.IsZero() {
			delete(t.records, k)
			continue
		}
		if r.convictedUntil.IsZero() && t.decide(now, k).Verdict == Refused {
			out = append(out, Convicted{Key: k, Until: now.Add(convictionTTL).Round(0)})
		}
	}
	t.assess(now)
	return out
}
