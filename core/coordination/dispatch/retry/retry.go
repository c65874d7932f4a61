// Package retry limits retries: those of requests by a budget for each class,
// and those of failed adapter loads by an exponential backoff for each adapter
// and replica.
//
// A budget proportional to the traffic keeps an outage from causing a retry
// storm: however many requests fail, retries increase the load by at most that
// ratio. The reserve allows retries in classes with little traffic.
package retry

import (
	"time"

	"papayaspoke/core/ident"
)

const (
	// RetryRatio is the part of the requests of a class that may be retried.
	RetryRatio = 0.1
	// MaxReserve is the number of retries that a class may accumulate. It
	// covers all requests in flight when an upstream crashes with a large
	// batch.
	MaxReserve = 64
)

// Budget counts the retries that remain for each class.
type Budget struct {
	// remaining holds a value from 0 to MaxReserve for each class seen so far.
	remaining map[ident.Class]float64
}

// NewBudget returns a budget in which each class starts with the full reserve.
func NewBudget() *Budget { return &Budget{remaining: make(map[ident.Class]float64)} }

// RecordRequest counts the first attempt of a request of a class.
func (b *Budget) RecordRequest(c ident.Class) {
	b.remaining[c] = min(MaxReserve, b.Remaining(c)+RetryRatio)
}

// Remaining returns the number of retries that remain for the class.
func (b *Budget) Remaining(c ident.Class) float64 {
	if v, ok := b.remaining[c]; ok {
		return v
	}
	return MaxReserve
}

// Take consumes one retry and reports whether one was available.
func (b *Budget) Take(c ident.Class) bool {
	left := b.Remaining(c)
	if left < 1 {
		return false
	}
	b.remaining[c] = left - 1
	return true
}

const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 30 * time.Second
	maxPairs       = 4096
)

// Pair identifies an adapter on a replica.
type Pair struct {
	// Upstream is the replica that refused or failed the load.
	Upstream ident.Upstream
	// Adapter is the exact version that was to be loaded.
	Adapter ident.Adapter
}

// backoffState is the backoff of one pair.
type backoffState struct {
	// failures is the number of consecutive failures, at least 1.
	failures int
	// allowedAt is when the next attempt is allowed.
	allowedAt time.Time
}

// Backoff delays further loads after failed ones. It remembers at most maxPairs
// pairs and forgets those first whose delay ends first.
type Backoff struct{ states map[Pair]backoffState }

// NewBackoff returns a backoff without any failures.
func NewBackoff() *Backoff { return &Backoff{states: make(map[Pair]backoffState)} }

// RecordFailure records a failed load and returns when the next may be
// attempted.
func (b *Backoff) RecordFailure(now time.Time, p Pair) time.Time {
	n := b.states[p].failures + 1
	delay := maxBackoff
	if n < 8 {
		delay = min(maxBackoff, initialBackoff<<(n-1))
	}
	if len(b.states) >= maxPairs {
		b.trim()
	}
	allowedAt := now.Add(delay)
	b.states[p] = backoffState{failures: n, allowedAt: allowedAt}
	return allowedAt
}

// RecordSuccess resets the failures of a pair.
func (b *Backoff) RecordSuccess(p Pair) { delete(b.states, p) }

// Allowed reports whether a load may be attempted at now.
func (b *Backoff) Allowed(now time.Time, p Pair) bool { return !now.Before(b.states[p].allowedAt) }

// Failures returns the number of consecutive failures of a pair.
func (b *Backoff) Failures(p Pair) int { return b.states[p].failures }

// trim forgets the pair whose delay ends first; ties are broken by name.
func (b *Backoff) trim() {
	var earliest Pair
	var found bool
	for p, v := range b.states {
		if !found || endsEarlier(p, v, earliest, b.states[earliest]) {
			earliest, found = p, true
		}
	}
	delete(b.states, earliest)
}

func endsEarlier(p Pair, v backoffState, q Pair, w backoffState) bool {
	if c := v.allowedAt.Compare(w.allowedAt); c != 0 {
		return c < 0
	}
	if p.Upstream != q.Upstream {
		return p.Upstream < q.Upstream
	}
	return p.Adapter.Compare(q.Adapter) < 0
}
