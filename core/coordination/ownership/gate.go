package ownership

import (
	"sync"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// WriteAttempt describes a write to an upstream at the moment before it happens.
type WriteAttempt struct {
	// Now is read after all other decisions about the request.
	Now time.Time
	// View is the newest view that the daemon has.
	View *state.View
	// FreshUntil is when the daemon's last freshness confirmation expires, counted
	// from when the request for it was sent.
	FreshUntil time.Time
	// Deadline is the deadline of the request.
	Deadline time.Time
}

// WriteGuard permits writes to one upstream while its daemon owns it. It is safe for
// concurrent use.
type WriteGuard struct {
	// ownership is the ownership under which writes are permitted; it never
	// changes.
	ownership state.Ownership
	mu        sync.Mutex
	// writers counts the writes in progress.
	writers int
	// closed is set permanently once the ownership has ended.
	closed bool
}

// NewWriteGuard returns a write guard for an ownership that is in force.
func NewWriteGuard(o state.Ownership) *WriteGuard { return &WriteGuard{ownership: o} }

// Ownership returns the ownership under which writes are permitted.
func (g *WriteGuard) Ownership() state.Ownership { return g.ownership }

// Begin begins a write and returns nil if a request may be written now. The
// writer must then end the write once the bytes are handed to the connection.
// Any error means that nothing may be sent.
func (g *WriteGuard) Begin(w WriteAttempt) error {
	if err := g.check(w); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return result.New(result.NoUpstream, "upstream %q is being handed over", g.ownership.Upstream)
	}
	g.writers++
	return nil
}

// check validates a write without regard to closing.
func (g *WriteGuard) check(w WriteAttempt) error {
	if deadlinePassed(w.Now, w.FreshUntil) {
		return result.New(result.NotFresh, "freshness confirmation expired at %v", w.FreshUntil)
	}
	if o, ok := w.View.Owner(g.ownership.Upstream); !ok || o != g.ownership {
		return result.New(result.NoUpstream, "this daemon does not own upstream %q under fence %d", g.ownership.Upstream, g.ownership.Fence)
	}
	if deadlinePassed(w.Now, w.Deadline) {
		return result.New(result.DeadlineHopeless, "deadline %v has passed", w.Deadline)
	}
	return nil
}

// End ends a permitted write.
func (g *WriteGuard) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writers--
}

// Close permits no further writes.
func (g *WriteGuard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Quiesced reports whether further writes are blocked and none is in progress.
func (g *WriteGuard) Quiesced() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed && g.writers == 0
}

// deadlinePassed reports whether a deadline has passed by the monotonic clock
// or by the wall clock. Either may be wrong: the monotonic clock stops while a
// VM is suspended, and the wall clock can be set back.
func deadlinePassed(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
