package balance

import "time"

const (
	// retrySafety is the part of the allowance that daemons use: they can't
	// know exactly how the traffic is shared.
	retrySafety = 0.5
	// retryBuckets divide the window; one more is kept, so that no span of the
	// window's length is ever overdrawn.
	retryBuckets = 20
)

// RetryBudget bounds how often requests are sent again.
type RetryBudget struct {
	// Window is the span that counts.
	Window time.Duration
	// Share is how many repeats are allowed for each request, Extra how many
	// besides, in each window, for all daemons together.
	Share, Extra float64
}

// RetryLimiter counts requests and repeats of one service at one daemon. It is not
// safe for concurrent use.
type RetryLimiter struct {
	allowed RetryBudget
	base    time.Time
	buckets [retryBuckets + 1]struct{ requests, repeats int }
	at      int64
}

// NewRetryLimiter returns an empty count.
func NewRetryLimiter(now time.Time, a RetryBudget) *RetryLimiter {
	return &RetryLimiter{allowed: a, base: now}
}

// advance clears the buckets that have left the window.
func (r *RetryLimiter) advance(now time.Time) int64 {
	width := int64(r.allowed.Window) / retryBuckets
	if width <= 0 {
		width = 1
	}
	n := int64(now.Sub(r.base)) / width
	for i := max(r.at+1, n-retryBuckets); i <= n; i++ {
		r.buckets[i%int64(len(r.buckets))] = struct{ requests, repeats int }{}
	}
	if n > r.at {
		r.at = n
	}
	return r.at % int64(len(r.buckets))
}

// AddRequest counts a request from a client.
func (r *RetryLimiter) AddRequest(now time.Time) { r.buckets[r.advance(now)].requests++ }

// Remaining returns how many repeats are allowed now, if daemons share the extra.
func (r *RetryLimiter) Remaining(now time.Time, daemons int) int {
	r.advance(now)
	requests, repeats := 0, 0
	for _, b := range r.buckets {
		requests += b.requests
		repeats += b.repeats
	}
	limit := retrySafety * (r.allowed.Share*float64(requests) + r.allowed.Extra/float64(max(daemons, 1)))
	return int(limit) - repeats
}

// Take counts one repeat if it is allowed.
func (r *RetryLimiter) Take(now time.Time, daemons int) bool {
	if r.Remaining(now, daemons) < 1 {
		return false
	}
	r.buckets[r.advance(now)].repeats++
	return true
}
