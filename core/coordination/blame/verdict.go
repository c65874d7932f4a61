package blame

import (
	"cmp"
	"slices"
	"time"
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
	// Key is the key that decided, Keys are all keys that a request must have for
	// the verdict, in order.
	Key  Key
	Keys []Key
	// Ends is how many ends count against the key, Since when the first of them
	// was noticed.
	Ends  int
	Since time.Time
	// Until is when the verdict changes by itself: a wall time for Refused, zero
	// for Suspected.
	Until time.Time
}

// conviction refuses the requests that have all of some keys.
type conviction struct {
	// keys is sorted and not empty.
	keys []Key
	// until is a wall time.
	until time.Time
}

// Decide returns the strictest verdict on a request.
func (t *Tracker) Decide(now time.Time, s Suspect) Decision {
	t.assessIfStale(now)
	ks := slices.Sorted(slices.Values(s.keys()))
	var worst Decision
	for _, f := range t.findings {
		if !containsAny(ks, f.keys) {
			continue
		}
		for _, d := range t.decide(now, f) {
			if d.Verdict > worst.Verdict && containsAll(ks, d.Keys) {
				worst = d
			}
		}
	}
	for _, c := range t.convictions {
		if now.Before(c.until) && worst.Verdict < Refused && containsAll(ks, c.keys) {
			worst = c.decision()
		}
	}
	return worst
}

func (c conviction) decision() Decision {
	return Decision{Verdict: Refused, Key: c.keys[0], Keys: c.keys, Until: c.until}
}

// containsAny reports whether a sorted list contains any element of another one.
func containsAny(ks, of []Key) bool {
	return slices.ContainsFunc(of, func(k Key) bool {
		_, found := slices.BinarySearch(ks, k)
		return found
	})
}

// containsAll reports whether a sorted list contains all elements of another one.
func containsAll(ks, of []Key) bool {
	return !slices.ContainsFunc(of, func(k Key) bool {
		_, found := slices.BinarySearch(ks, k)
		return !found
	})
}

// Decisions returns the decisions that concern any request, sorted by key.
func (t *Tracker) Decisions(now time.Time) []Decision {
	t.assessIfStale(now)
	var out []Decision
	for _, f := range t.findings {
		out = append(out, t.decide(now, f)...)
	}
	for _, c := range t.convictions {
		if now.Before(c.until) {
			out = append(out, c.decision())
		}
	}
	slices.SortFunc(out, func(a, b Decision) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Verdict, a.Verdict), slices.Compare(a.Keys, b.Keys))
	})
	return out
}

// decide returns the decisions that follow from a finding. Requests with an
// accused key but without all keys that it can't be told apart from are suspected
// only.
func (t *Tracker) decide(now time.Time, f finding) []Decision {
	suspected := Decision{Verdict: Suspected, Key: f.key, Keys: f.keys, Ends: f.ends, Since: f.since}
	if !f.accused {
		return []Decision{suspected}
	}
	if !f.confirmed() {
		return []Decision{t.decideUnconfirmed(now, suspected, f.lastAt)}
	}
	d := suspected
	switch settled := t.accusedAt[hashOf(f.keys)].Add(settleTime); {
	case now.Before(settled):
		d.Verdict, d.Until = Settling, settled
	default:
		d.Verdict, d.Until = Refused, f.lastAt.Add(evidenceTTL)
	}
	if f.requests < minRequests || len(f.keys) == 1 {
		return []Decision{d}
	}
	out := []Decision{d}
	for _, k := range f.keys {
		suspected.Key, suspected.Keys = k, []Key{k}
		out = append(out, suspected)
	}
	return out
}

// decideUnconfirmed returns the decision that follows from ends that no trial has
// shown to be more than a coincidence. One daemon, the prober, makes the first trial;
// the others wait for its result for a while and then refuse.
func (t *Tracker) decideUnconfirmed(now time.Time, d Decision, lastAt time.Time) Decision {
	switch heldUntil := lastAt.Add(probeWait); {
	case t.prober && !now.Before(lastAt.Add(probeAfter)):
		d.Verdict = Suspected
	case now.Before(heldUntil):
		d.Verdict, d.Until = Settling, heldUntil
	default:
		d.Verdict, d.Until = Refused, now.Add(probeRetryInterval)
	}
	return d
}

// BeginTrial reports whether a request with a suspected key may be sent now, and as
// which trial. Further ones wait until the trial shows something or trialTime has
// passed.
func (t *Tracker) BeginTrial(now time.Time, k Key) (Trial, bool) {
	r := t.records[k]
	if r == nil {
		return NoTrial, true
	}
	t.assessIfStale(now)
	if now.Before(r.trialUntil) {
		return NoTrial, false
	}
	r.trialUntil = now.Add(trialTime)
	if at, ok := t.suspectedAt[k]; ok && now.Sub(at) >= lateTrialAfter {
		return LateTrial, true
	}
	return EarlyTrial, true
}
