// Package quarantine remembers which request bodies may crash upstreams.
//
// Everything in flight when an upstream crashes is suspect. A suspect runs
// alone from then on, so a second crash convicts exactly one body, and its
// neighbours are cleared as soon as they finish. A convicted digest is refused
// until its entry expires. Both kinds of entries are spread to the other
// daemons, because a caller that resends may reach any of them.
package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Digest is a SHA-256 digest of the request's body and of the adapter that it
// is for.
type Digest [32]byte

// Verdict tells what is known of a digest. A larger verdict outranks a
// smaller one.
type Verdict uint8

const (
	// Clear means that nothing speaks against the digest.
	Clear Verdict = iota
	// Suspect means that the digest was in flight at a crash.
	Suspect
	// Convicted means that an upstream crashed while running it alone, after
	// an earlier crash.
	Convicted
)

const (
	// suspectFor is how long a suspect that never ran again is remembered.
	suspectFor = 5 * time.Minute
	// convictedFor is how long a convicted digest is refused.
	convictedFor = time.Hour
	// maxEntries bounds the list.
	maxEntries = 4096
)

// Entry is what one daemon tells the others of a digest.
type Entry struct {
	// Digest is the key.
	Digest Digest
	// Verdict is Clear only to tell that a suspect has been cleared.
	Verdict Verdict
	// Expires is when the entry expires.
	Expires time.Time
}

// List holds the entries known to one daemon.
type List struct {
	// entries holds no Clear verdict and at most maxEntries.
	entries map[Digest]Entry
}

// New returns an empty list.
func New() *List { return &List{entries: make(map[Digest]Entry)} }

// Verdict returns what is known of d at now.
func (l *List) Verdict(now time.Time, d Digest) Verdict {
	e, ok := l.entries[d]
	if !ok || !now.Before(e.Expires) {
		return Clear
	}
	return e.Verdict
}

// Until returns when the entry of d expires, or the zero time.
func (l *List) Until(d Digest) time.Time { return l.entries[d].Expires }

// Suspect notes that d was in flight at a crash elsewhere.
func (l *List) Suspect(now time.Time, d Digest) {
	l.Merge(now, Entry{Digest: d, Verdict: Suspect, Expires: now.Add(suspectFor)})
}

// Crashed notes that d was in flight at a crash, alone or not, and returns the
// entry to spread.
func (l *List) Crashed(now time.Time, d Digest, alone bool) Entry {
	e := Entry{Digest: d, Verdict: Suspect, Expires: now.Add(suspectFor)}
	if alone && l.Verdict(now, d) == Suspect || l.Verdict(now, d) == Convicted {
		e.Verdict, e.Expires = Convicted, now.Add(convictedFor)
	}
	l.put(now, e)
	return e
}

// Finished notes that d ran to its end and returns the entry to spread, if it
// was a suspect until now.
func (l *List) Finished(now time.Time, d Digest) (Entry, bool) {
	if l.Verdict(now, d) != Suspect {
		return Entry{}, false
	}
	e := Entry{Digest: d, Verdict: Clear, Expires: now.Add(suspectFor)}
	delete(l.entries, d)
	return e, true
}

// Merge takes over an entry from another daemon.
func (l *List) Merge(now time.Time, e Entry) {
	switch {
	case !now.Before(e.Expires):
	case e.Verdict == Clear && l.Verdict(now, e.Digest) == Suspect:
		delete(l.entries, e.Digest)
	case e.Verdict > l.Verdict(now, e.Digest):
		e.Expires = minTime(e.Expires, now.Add(convictedFor))
		l.put(now, e)
	}
}

// Entries returns the entries in force at now, by digest.
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

// trim drops expired entries, or else the one that matters least: suspects
// before convicted ones, then the one that expires first.
func (l *List) trim(now time.Time) {
	before := len(l.entries)
	maps.DeleteFunc(l.entries, func(_ Digest, e Entry) bool { return !now.Before(e.Expires) })
	if len(l.entries) < before {
		return
	}
	var least Entry
	for _, e := range l.entries {
		if least.Expires.IsZero() || compareEntries(e, least) < 0 {
			least = e
		}
	}
	delete(l.entries, least.Digest)
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
