package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// finding is what the evidence says of a key, or of some keys that it can't tell
// apart.
type finding struct {
	// key is the key that the evidence is about; a request is concerned if it has
	// all of keys, which are sorted.
	key  Key
	keys []Key
	weight
	accused bool
	// lastAt is when the last end was noticed.
	lastAt time.Time
}

// weight is the evidence against a key that nothing else explains.
type weight struct {
	// score is the number of ends, half of it for a part that was answered lately:
	// most of the requests with it were not at fault.
	score    int
	answered bool
	ends     int
	// requests is the number of different requests, counted up to minRequests.
	requests int
	// trial is the latest trial among the ends.
	trial Trial
	since time.Time
	// request is one of the requests.
	request Key
}

// accuses reports whether the evidence is enough for a conviction.
func (w weight) accuses() bool {
	if w.score < convictAfter {
		return false
	}
	return w.confirmed() || !w.answered && w.score >= accuseUntriedAfter
}

// confirmed reports whether a trial has shown that the ends are no coincidence.
// Replicas that end one after the other for another reason end under the same
// requests, which are sent again, and under the parts that most requests share,
// until no replica is left to answer any; early trials end with them.
func (w weight) confirmed() bool {
	early := w.trial == EarlyTrial && !w.answered && w.score < accuseUntriedAfter
	return early || w.trial == LateTrial
}

// weigh returns the evidence against a key that has not expired. Ends of the same
// moment count once.
func (t *Tracker) weigh(now time.Time, k Key) weight {
	var w weight
	var last time.Time
	for _, e := range t.records[k].ends {
		if !t.counts(now, k, e) {
			continue
		}
		expiresAt := e.at.Add(evidenceTTL)
		if t.expiresAt.IsZero() || expiresAt.Before(t.expiresAt) {
			t.expiresAt = expiresAt
		}
		for _, q := range e.requests {
			if w.request != q && (w.requests == 0 || w.requests == 1) {
				w.requests++
			}
			w.request = q
		}
		if w.ends == 0 {
			w.since = e.at
		}
		if w.ends == 0 || e.at.Sub(last) > sameMoment {
			w.ends++
		}
		last, w.trial = e.at, max(w.trial, e.trial)
	}
	w.score, w.answered = w.ends, t.records[k].answered
	if w.answered {
		w.score /= 2
	}
	return w
}

// sharedKeys returns at most MaxConvicted of the keys that all requests of the
// ends under k have and that nothing has cleared, sorted; k is among them. For a
// single request, which has them all, it returns the key of that request.
func (t *Tracker) sharedKeys(now time.Time, k Key, w weight) []Key {
	if w.requests == 1 {
		return []Key{w.request}
	}
	var out []Key
	for _, e := range t.records[k].ends {
		if !t.counts(now, k, e) {
			continue
		}
		if keys := t.uncleared(e); out == nil {
			out = keys
		} else {
			out = intersect(out, keys)
		}
	}
	if over := len(out) - MaxConvicted; over > 0 {
		i, _ := slices.BinarySearch(out, k)
		from := min(over, i)
		out = out[from : from+MaxConvicted]
	}
	return out
}

// counts reports whether an end counts against a key: it has not expired, and no
// other key explains it.
func (t *Tracker) counts(now time.Time, k Key, e endRecord) bool {
	by, ok := t.explained[e.end]
	return (!ok || by == k) && now.Before(e.at.Add(evidenceTTL))
}

// uncleared returns the keys that all requests of an end have, without those that
// were cleared since.
func (t *Tracker) uncleared(e endRecord) []Key {
	return slices.DeleteFunc(slices.Clone(e.core), func(k Key) bool {
		r := t.records[k]
		return r == nil || !slices.ContainsFunc(r.ends, func(o endRecord) bool { return o.end == e.end })
	})
}

// assess derives the findings from the evidence. The key under which most
// replicas ended explains their ends, which then count against no other key, so
// that requests that were in flight beside the cause are not blamed with it.
func (t *Tracker) assess(now time.Time) {
	t.stale = false
	clear(t.explained)
	t.findings, t.expiresAt = t.findings[:0], time.Time{}
	rest := slices.Sorted(maps.Keys(t.repeated))
	for {
		best, ok := t.mostLikely(now, rest)
		if !ok {
			break
		}
		t.findings = append(t.findings, best)
		for _, e := range t.records[best.key].ends {
			if _, known := t.explained[e.end]; !known {
				t.explained[e.end] = best.key
			}
		}
	}
	for _, k := range rest {
		_, accused := t.accusation(k)
		w := t.weigh(now, k)
		switch {
		case accused || w.score < suspectAfter:
		case w.requests >= minRequests:
			t.findings = append(t.findings, finding{key: k, keys: []Key{k}, weight: w})
		default:
			t.findings = append(t.findings, finding{key: k, keys: t.sharedKeys(now, k, w), weight: w})
		}
	}
	t.keepTimes(t.changedAt)
}

// mostLikely returns the finding on the key that explains most ends, if they are
// enough for a conviction. Among equals it prefers one that is convicted already,
// and then the one that concerns fewest requests.
func (t *Tracker) mostLikely(now time.Time, ks []Key) (finding, bool) {
	var most []finding
	for _, k := range ks {
		if len(t.records[k].ends) < convictAfter {
			continue
		}
		w := t.weigh(now, k)
		if _, done := t.accusation(k); done || !w.accuses() {
			continue
		}
		f := finding{key: k, weight: w, accused: true, lastAt: t.records[k].lastAt()}
		if len(most) > 0 {
			switch c := cmp.Or(cmp.Compare(w.score, most[0].score), cmp.Compare(w.ends, most[0].ends)); {
			case c < 0:
				continue
			case c > 0:
				most = most[:0]
			}
		}
		most = append(most, f)
	}
	for i := range most {
		most[i].keys = t.sharedKeys(now, most[i].key, most[i].weight)
	}
	if len(most) == 0 {
		return finding{}, false
	}
	return slices.MaxFunc(most, t.compare), true
}

// compare compares two findings on the same number of ends.
func (t *Tracker) compare(f, g finding) int {
	return cmp.Or(cmp.Compare(t.convicted(f.keys), t.convicted(g.keys)), cmp.Compare(len(f.keys), len(g.keys)), cmp.Compare(f.key, g.key))
}

// convicted returns 1 if there is a conviction of just these keys.
func (t *Tracker) convicted(keys []Key) int {
	if _, ok := t.convictions[hashOf(keys)]; ok {
		return 1
	}
	return 0
}

// accusation returns the finding that accuses a key.
func (t *Tracker) accusation(k Key) (finding, bool) {
	i := slices.IndexFunc(t.findings, func(f finding) bool { return f.accused && f.key == k })
	if i < 0 {
		return finding{}, false
	}
	return t.findings[i], true
}

// keepTimes updates since when keys are suspected and accused; new findings are of
// the given time.
func (t *Tracker) keepTimes(now time.Time) {
	accusedAt, suspectedAt := t.accusedAt, t.suspectedAt
	t.accusedAt, t.suspectedAt = make(map[Key]time.Time), make(map[Key]time.Time)
	for _, f := range t.findings {
		t.suspectedAt[f.key] = timeOr(suspectedAt, f.key, now)
		if id := hashOf(f.keys); f.accused {
			t.accusedAt[id] = timeOr(accusedAt, id, now)
		}
	}
}

// timeOr returns the time of a key, or another time if there is none.
func timeOr(times map[Key]time.Time, k Key, other time.Time) time.Time {
	if at, ok := times[k]; ok {
		return at
	}
	return other
}

// assessIfStale updates the findings if there is other evidence since, or some of
// that which they rest on has expired.
func (t *Tracker) assessIfStale(now time.Time) {
	if t.stale || !t.expiresAt.IsZero() && !now.Before(t.expiresAt) {
		t.assess(now)
	}
}
