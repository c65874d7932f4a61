// Package retry bounds retries: of requests by a budget for each class, and
// of failed adapter loads by a growing pause for each adapter and replica.
//
// A budget that is a share of the traffic keeps an outage from turning into a
// storm: however many requests fail, retries add at most that share to the
// load. The reserve lets a class with little traffic retry at all.
package retry

import (
	"time"

	"papayaspoke/core/ident"
)

const (
	// Share is the part of a class's requests that may be retried.
	Share = 0.1
	// Reserve is the number of retries that a class may save up; it covers
	// all requests in flight at one crash of a large batch.
	Reserve = 64
)

// Budget holds the retries that each class has left.
type Budget struct {
	// left holds for each class that was seen between 0 and Reserve.
	left map[ident.Class]float64
}

// NewBudget returns a budget in which each class starts with its reserve.
func NewBudget() *Budget { return &Budget{left: make(map[ident.Class]float64)} }

// Arrived notes a first request of a class.
func (b *Budget) Arrived(c ident.Class) { b.left[c] = min(Reserve, b.Left(c)+Share) }

// Left returns the retries that the class has left.
func (b *Budget) Left(c ident.Class) float64 {
	if v, ok := b.left[c]; ok {
		return v
	}
	return Reserve
}

// Take uses up one retry and reports whether there was one.
func (b *Budget) Take(c ident.Class) bool {
	left := b.Left(c)
	if left < 1 {
		return false
	}
	b.left[c] = left - 1
	return true
}

const (
	firstPause = 250 * time.Millisecond
	maxPause   = 30 * time.Second
	maxPairs   = 4096
)

// Pair names an adapter on a replica.
type Pair struct {
	// Upstream is the replica that refused or failed the load.
	Upstream ident.Upstream
	// Adapter is the exact version that was to be loaded.
	Adapter ident.Adapter
}

type pause struct {
	// failures is at least 1.
	failures int
	// until is when the next try is allowed.
	until time.Time
}

// Backoff holds the pauses after failed loads. At most a fixed number of
// pairs is remembered; those whose pause ends first are forgotten first.
type Backoff struct{ pauses map[Pair]pause }

// NewBackoff returns a backoff without pauses.
func NewBackoff() *Backoff { return &Backoff{pauses: make(map[Pair]pause)} }

// Failed notes a failed load and returns when the next may be tried.
func (b *Backoff) Failed(now time.Time, p Pair) time.Time {
	n := b.pauses[p].failures + 1
	wait := maxPause
	if n < 8 {
		wait = min(maxPause, firstPause<<(n-1))
	}
	if len(b.pauses) >= maxPairs {
		b.trim()
	}
	until := now.Add(wait)
	b.pauses[p] = pause{failures: n, until: until}
	return until
}

// Loaded forgets the failures of a pair.
func (b *Backoff) Loaded(p Pair) { delete(b.pauses, p) }

// Allowed reports whether a load may be tried at now.
func (b *Backoff) Allowed(now time.Time, p Pair) bool { return !now.Before(b.pauses[p].until) }

// Failures returns how often in a row the pair failed.
func (b *Backoff) Failures(p Pair) int { return b.pauses[p].failures }

// trim forgets the pair whose pause ends first, ties by name.
func (b *Backoff) trim() {
	var first Pair
	var found bool
	for p, v := range b.pauses {
		if !found || earlier(p, v, first, b.pauses[first]) {
			first, found = p, true
		}
	}
	delete(b.pauses, first)
}

func earlier(p Pair, v pause, q Pair, w pause) bool {
	if c := v.until.Compare(w.until); c != 0 {
		return c < 0
	}
	if p.Upstream != q.Upstream {
		return p.Upstream < q.Upstream
	}
	return p.Adapter.Compare(q.Adapter) < 0
}
