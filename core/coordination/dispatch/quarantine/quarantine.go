// Package quarantine tracks request bodies that may crash upstreams.
//
// Every body in flight when an upstream crashes becomes suspect. From then on a
// suspect runs isolated, with no other request on the replica, so a second
// crash convicts exactly one body; the others are cleared as soon as they
// finish. A convicted body is refused until its entry expires. Suspects and
// convictions are published to the other daemons, because a caller that retries
// may reach any of them.
package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Digest is the SHA-256 digest of a request's body and adapter.
type Digest [32]byte

// Verdict is the state of a digest. A larger verdict overrides a smaller one.
type Verdict uint8

const (
	// Clear means that the digest is not suspected.
	Clear Verdict = iota
	// Suspect means that the digest was in flight when an upstream crashed.
	Suspect
	// Convicted means that an upstream crashed while running the digest
	// isolated, after an earlier crash.
	Convicted
)

const (
	// suspectTTL is how long a suspect that does not run again is remembered.
	suspectTTL = 5 * time.Minute
	// convictionTTL is how long a convicted digest is refused.
	convictionTTL = time.Hour
	// maxEntries limits the size of the list.
	maxEntries = 4096
)

// Entry is the verdict on a digest, as daemons publish it to each other.
type Entry struct {
	// Digest is the key.
	Digest Digest
	// Verdict is Clear only to publish that a suspect has been cleared.
	Verdict Verdict
	// Expires is when the entry expires.
	Expires time.Time
}

// List holds the entries known to one daemon.
type List struct {
	// entries holds at most maxEntries entries, none of them Clear.
	entries map[Digest]Entry
}

// New returns an empty list.
func New() *List { return &List{entries: make(map[Digest]Entry)} }

// Verdict returns the verdict on d at now.
func (l *List) Verdict(now time.Time, d Digest) Verdict {
	e, ok := l.entries[d]
	if !ok || !now.Before(e.Expires) {
		return Clear
	}
	return e.Verdict
}

// Expiry returns when the entry of d expires, or the zero time.
func (l *List) Expiry(d Digest) time.Time { return l.entries[d].Expires }

// AddSuspect records that d was in flight at a crash at another daemon.
func (l *List) AddSuspect(now time.Time, d Digest) {
	l.Merge(now, Entry{Digest: d, Verdict: Suspect, Expires: now.Add(suspectTTL)})
}

// RecordCrash records that d was in flight at a crash, isolated or not, and
// returns the entry to publish.
func (l *List) RecordCrash(now time.Time, d Digest, isolated bool) Entry {
	e := Entry{Digest: d, Verdict: Suspect, Expires: now.Add(suspectTTL)}
	if isolated && l.Verdict(now, d) == Suspect || l.Verdict(now, d) == Convicted {
		e.Verdict, e.Expires = Convicted, now.Add(convictionTTL)
	}
	l.put(now, e)
	return e
}

// RecordSuccess records that d finished without a crash. If d was a suspect, it
// clears d and returns the entry to publish.
func (l *List) RecordSuccess(now time.Time, d Digest) (Entry, bool) {
	if l.Verdict(now, d) != Suspect {
		return Entry{}, false
	}
	e := Entry{Digest: d, Verdict: Clear, Expires: now.Add(suspectTTL)}
	delete(l.entries, d)
	return e, true
}

// Merge applies an entry from another daemon.
func (l *List) Merge(now time.Time, e Entry) {
	switch {
	case !now.Before(e.Expires):
	case e.Verdict == Clear && l.Verdict(now, e.Digest) == Suspect:
		delete(l.entries, e.Digest)
	case e.Verdict > l.Verdict(now, e.Digest):
		e.Expires = minTime(e.Expires, now.Add(convictionTTL))
		l.put(now, e)
	}
}

// Entries returns the entries that have not expired at now, sorted by digest.
func (l *List) Entries(now time.Time) []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		if now.Before(e.Expires) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return out
}

func (l *List) put(now time.Time, e Entry) {
	if _, ok := l.entries[e.Digest]; !ok && len(l.entries) >= maxEntries {
		l.trim(now)
	}
	l.entries[e.Digest] = e
}

// trim drops the expired entries. If there are none, it drops one entry: a
// suspect before a convicted one, and among equals the one that expires first.
func (l *List) trim(now time.Time) {
	before := len(l.entries)
	maps.DeleteFunc(l.entries, func(_ Digest, e Entry) bool { return !now.Before(e.Expires) })
	if len(l.entries) < before {
		return
	}
	var lowest Entry
	for _, e := range l.entries {
		if lowest.Expires.IsZero() || compareEntries(e, lowest) < 0 {
			lowest = e
		}
	}
	delete(l.entries, lowest.Digest)
}

func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Verdict, b.Verdict),
		a.Expires.Compare(b.Expires),
		bytes.Compare(a.Digest[:], b.Digest[:]),
	)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
