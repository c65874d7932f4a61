package balance

import "time"

const (
	// retrySafety is the part of the budget that daemons use, because they
	// can't know exactly how the traffic is divided among them.
	retrySafety = 0.5
	// retryBuckets is the number of buckets in a window. One more is kept so
	// that no span of the window's length exceeds the budget.
	retryBuckets = 20
)

// RetryBudget limits the retries of a service, across all daemons.
type RetryBudget struct {
	// Window is the span over which requests and retries are counted.
	Window time.Duration
	// Share is the number of retries allowed for each request; Extra is the
	// number allowed in addition in each window, for all daemons together.
	Share, Extra float64
}

// RetryLimiter counts the requests and retries of one service at one daemon. It
// is not safe for concurrent use.
type RetryLimiter struct {
	budget  RetryBudget
	origin  time.Time
	buckets [retryBuckets + 1]struct{ requests, retries int }
	current int64
}

// NewRetryLimiter returns a limiter that has counted nothing yet.
func NewRetryLimiter(now time.Time, budget RetryBudget) *RetryLimiter {
	return &RetryLimiter{budget: budget, origin: now}
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (r *RetryLimiter) advance(now time.Time) int64 {
	width := int64(r.budget.Window) / retryBuckets
	if width <= 0 {
		width = 1
	}
	n := int64(now.Sub(r.origin)) / width
	for i := max(r.current+1, n-retryBuckets); i <= n; i++ {
		r.buckets[i%int64(len(r.buckets))] = struct{ requests, retries int }{}
	}
	if n > r.current {
		r.current = n
	}
	return r.current % int64(len(r.buckets))
}

// AddRequest counts a client request.
func (r *RetryLimiter) AddRequest(now time.Time) { r.buckets[r.advance(now)].requests++ }

// Remaining returns how many retries are allowed now, with Extra divided among
// the given number of daemons.
func (r *RetryLimiter) Remaining(now time.Time, daemons int) int {
	r.advance(now)
	requests, retries := 0, 0
	for _, b := range r.buckets {
		requests += b.requests
		retries += b.retries
	}
	limit := retrySafety * (r.budget.Share*float64(requests) + r.budget.Extra/float64(max(daemons, 1)))
	return int(limit) - retries
}

// Take counts one retry and returns true if it is allowed.
func (r *RetryLimiter) Take(now time.Time, daemons int) bool {
	if r.Remaining(now, daemons) < 1 {
		return false
	}
	r.buckets[r.advance(now)].retries++
	return true
}
