package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectAfter and convictAfter are the scores (see weight) from which on a key
	// is suspected and convicted.
	suspectAfter = 2
	convictAfter = 3
	// accuseUntriedAfter is the score from which on a key that was never answered is
	// accused without a trial: there may be no replica left for one.
	accuseUntriedAfter = 6
	// probeAfter is how long after the last end the prober makes a trial of a key whose
	// accusation is not confirmed, and probeWait how long requests at other daemons
	// wait for its result. Later ones are told to come back after
	// probeRetryInterval.
	probeAfter         = time.Second
	probeWait          = 5 * time.Second
	probeRetryInterval = time.Second
	// lateTrialAfter is how long a key must have been suspected for a late trial.
	lateTrialAfter = time.Second
	// minRequests is how many different requests must have ended replicas before a
	// part that they share is suspected by itself.
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
	// maxKeys bounds the tracked keys, maxEnds the ends remembered for each, and
	// maxRequests the requests remembered for each end.
	maxKeys     = 4096
	maxEnds     = 16
	maxRequests = 8
)

// endRecord is one end of a replica under a key.
type endRecord struct {
	end Key
	// at is when it was first noticed.
	at time.Time
	// requests are the requests with the key that were in flight, at most
	// maxRequests of them.
	requests []Key
	// core holds the keys that all of these requests have, sorted.
	core []Key
	// trial is the latest trial among them.
	trial Trial
}

// record is the evidence against one key.
type record struct {
	// ends holds at most maxEnds ends, each of another replica, in the order of
	// their times.
	ends []endRecord
	// answered is true if a daemon had seen the key answered before one of the ends.
	answered bool
	// trialUntil is when the daemon's last trial no longer blocks another one.
	trialUntil time.Time
}

// Tracker holds the evidence known to one daemon. It is not safe for concurrent
// use.
type Tracker struct {
	// prober is true at the one daemon that makes trials of keys that were accused
	// without one.
	prober  bool
	history history
	// long holds at most maxLongPrompts prompts, in the order of their ends.
	long []longPrompt
	// records holds at most maxKeys records, each with an end.
	records map[Key]*record
	// repeated holds the keys with more than one end.
	repeated map[Key]bool
	// convictions holds at most maxKeys convictions, by the hash of their keys.
	convictions map[Key]conviction
	// findings and explained result from the records: see assess. They are out of
	// date while stale is true, and rest on what was known at changedAt. explained
	// holds the accused key that explains an end, by the end.
	stale     bool
	changedAt time.Time
	findings  []finding
	explained map[Key]Key
	// expiresAt is when the first end that the findings rest on expires; zero if
	// there is none.
	expiresAt time.Time
	// accusedAt and suspectedAt hold when the evidence became enough for a
	// conviction, by the hash of the keys, and for a suspicion, by the key.
	accusedAt, suspectedAt map[Key]time.Time
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{
		records: make(map[Key]*record), repeated: make(map[Key]bool), convictions: make(map[Key]conviction),
		explained: make(map[Key]Key), accusedAt: make(map[Key]time.Time), suspectedAt: make(map[Key]time.Time),
	}
}

// SetProber makes this daemon the prober, or ends that. At most one daemon should
// be it; with two, a key that crashes replicas is tried once more.
func (t *Tracker) SetProber(on bool) { t.prober = on }

// Empty reports whether there is no evidence against any key.
func (t *Tracker) Empty() bool { return t.Len() == 0 }

// Len returns the number of keys with evidence and of convictions.
func (t *Tracker) Len() int { return len(t.records) + len(t.convictions) }

// Apply applies an entry of this or another daemon. It returns false if the entry
// was known already or has expired.
func (t *Tracker) Apply(now time.Time, e Entry) bool {
	if !now.Before(Expires(e)) {
		return false
	}
	news := false
	switch e := e.(type) {
	case Ended:
		news = t.addEnd(e)
	case Answered:
		news = t.clear(e.Key)
	case Convicted:
		news = t.convict(e)
	}
	t.changed(now, news)
	return news
}

// changed notes that the findings are out of date since now.
func (t *Tracker) changed(now time.Time, news bool) {
	if news {
		t.stale, t.changedAt = true, now
	}
}

// Restore applies the entries of a snapshot, which has no order of its own.
func (t *Tracker) Restore(now time.Time, es []Entry) {
	slices.SortStableFunc(es, func(a, b Entry) int { return madeAt(a).Compare(madeAt(b)) })
	for _, e := range es {
		t.Apply(now, e)
	}
}

// Ended records that a replica ended while a request was in flight, and returns
// what other daemons should know.
func (t *Tracker) Ended(now time.Time, end Key, s Suspect, trial Trial) Ended {
	s.Parts = t.likeliest(now, end, s.Parts)
	e := Ended{End: end, Suspect: s, Answered: t.history.known(s.Parts), Trial: trial, At: now.Round(0)}
	t.Apply(now, e)
	return e
}

// addEnd adds evidence against all keys of a request, and reports whether any of
// it is new.
func (t *Tracker) addEnd(e Ended) bool {
	news := false
	keys := e.keys()
	core := slices.Sorted(slices.Values(keys))
	for i, k := range keys {
		r := t.record(k)
		news = r.add(e, core) || news
		r.answered = r.answered || i > 0 && e.Answered&(1<<(i-1)) != 0
		if len(t.records[k].ends) >= suspectAfter {
			t.repeated[k] = true
		}
	}
	return news
}

// add adds the end of a replica under a request with the given keys.
func (r *record) add(e Ended, keys []Key) bool {
	i := slices.IndexFunc(r.ends, func(known endRecord) bool { return known.end == e.End })
	if i < 0 {
		r.ends = append(r.ends, endRecord{e.End, e.At, []Key{e.Request}, keys, e.Trial})
		slices.SortStableFunc(r.ends, func(a, b endRecord) int { return a.at.Compare(b.at) })
		if len(r.ends) > maxEnds {
			r.ends = r.ends[1:]
		}
		return true
	}
	known := &r.ends[i]
	if slices.Contains(known.requests, e.Request) {
		return false
	}
	if len(known.requests) < maxRequests {
		known.requests = append(known.requests, e.Request)
	}
	known.core, known.trial = intersect(known.core, keys), max(known.trial, e.Trial)
	return true
}

// intersect returns the elements that two sorted lists share.
func intersect(a, b []Key) []Key {
	return slices.DeleteFunc(slices.Clone(a), func(k Key) bool {
		_, found := slices.BinarySearch(b, k)
		return !found
	})
}

// record returns the record of a key, and makes one if there is none.
func (t *Tracker) record(k Key) *record {
	r := t.records[k]
	if r == nil {
		if len(t.records) >= maxKeys {
			t.dropOldest()
		}
		r = &record{}
		t.records[k] = r
	}
	return r
}

// dropOldest drops a quarter of the records: those with one end before others,
// and among equals those whose evidence is oldest.
func (t *Tracker) dropOldest() {
	ks := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		ra, rb := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(min(len(ra.ends), suspectAfter), min(len(rb.ends), suspectAfter)), ra.lastAt().Compare(rb.lastAt()), cmp.Compare(a, b))
	})
	for _, k := range ks[:len(ks)/4+1] {
		t.forget(k)
	}
}

func (t *Tracker) forget(k Key) {
	delete(t.records, k)
	delete(t.repeated, k)
}

func (r *record) lastAt() time.Time {
	if len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].at
}

// convict adds a conviction.
func (t *Tracker) convict(c Convicted) bool {
	keys := slices.Compact(slices.Sorted(slices.Values(c.Keys)))
	if len(keys) == 0 {
		return false
	}
	id := hashOf(keys)
	if _, known := t.convictions[id]; !known && len(t.convictions) >= maxKeys {
		return false
	}
	known := t.convictions[id].until.Equal(c.Until)
	t.convictions[id] = conviction{keys, c.Until}
	return !known
}

// clear removes the evidence against a key and the convictions that name it. The
// evidence against other keys of such a conviction remains.
func (t *Tracker) clear(k Key) bool {
	_, known := t.records[k]
	t.forget(k)
	for id, c := range t.convictions {
		if slices.Contains(c.keys, k) {
			delete(t.convictions, id)
			known = true
		}
	}
	return known
}

// NoteAnswered records that the parts of a prompt were answered, while there is no
// evidence against anything.
func (t *Tracker) NoteAnswered(now time.Time, parts []Key) { t.history.add(now, parts) }

// Answered records that a replica has answered a request in full. It clears all
// keys of the request and returns what other daemons should know.
func (t *Tracker) Answered(now time.Time, s Suspect) []Entry {
	t.history.add(now, s.Parts)
	convicted := t.convictedKeys()
	var out []Entry
	for _, k := range s.keys() {
		if t.records[k] == nil && !convicted[k] {
			continue
		}
		if t.repeated[k] || convicted[k] {
			out = append(out, Answered{Key: k, At: now.Round(0)})
		}
		t.changed(now, t.clear(k))
	}
	return out
}

// convictedKeys returns the keys that convictions name.
func (t *Tracker) convictedKeys() map[Key]bool {
	keys := make(map[Key]bool)
	for _, c := range t.convictions {
		for _, k := range c.keys {
			keys[k] = true
		}
	}
	return keys
}

// Due forgets expired evidence and returns what the leader is to commit: the
// convictions that are due, and the end of those that better evidence has
// overtaken.
func (t *Tracker) Due(now time.Time) []Entry {
	for k, r := range t.records {
		r.ends = slices.DeleteFunc(r.ends, func(e endRecord) bool { return !now.Before(e.at.Add(evidenceTTL)) })
		switch {
		case len(r.ends) == 0:
			t.forget(k)
		case len(r.ends) < suspectAfter:
			delete(t.repeated, k)
		}
	}
	maps.DeleteFunc(t.convictions, func(_ Key, c conviction) bool { return !now.Before(c.until) })
	t.assessIfStale(now)
	var out []Entry
	for _, f := range t.findings {
		if f.accused && f.confirmed() && t.convicted(f.keys) == 0 && !now.Before(t.accusedAt[hashOf(f.keys)].Add(settleTime)) {
			out = append(out, Convicted{Keys: f.keys, Until: now.Add(convictionTTL).Round(0)})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.convictions)) {
		if c := t.convictions[id]; len(c.keys) == 1 && t.overtaken(c.keys[0]) {
			out = append(out, Answered{Key: c.keys[0], At: now.Round(0)})
		}
	}
	return out
}

// overtaken reports whether other keys explain all evidence against a key.
func (t *Tracker) overtaken(k Key) bool {
	r := t.records[k]
	return r != nil && !slices.ContainsFunc(r.ends, func(e endRecord) bool {
		by, ok := t.explained[e.end]
		return !ok || by == k
	})
}
