package ownership

import (
	"sync"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// WriteAttempt is what a daemon knows right before it writes to an upstream.
type WriteAttempt struct {
	// Now is read after everything else was decided.
	Now time.Time
	// View is the newest view that the daemon has.
	View *state.View
	// FreshUntil is when the daemon's last confirmation runs out. It was counted
	// from the sending of the request for it.
	FreshUntil time.Time
	// Deadline is that of the request.
	Deadline time.Time
}

// WriteGuard lets writes to one upstream pass while its daemon owns it. It may be
// used by many goroutines at once.
type WriteGuard struct {
	// owner is the ownership that the gate was opened under; it never changes.
	owner state.Ownership
	mu    sync.Mutex
	// writers counts the writes between Begin and End.
	writers int
	// closed never becomes false again.
	closed bool
}

// NewWriteGuard returns the gate of an ownership that is in force.
func NewWriteGuard(o state.Ownership) *WriteGuard { return &WriteGuard{owner: o} }

// Ownership returns the ownership that the gate was opened under.
func (g *WriteGuard) Ownership() state.Ownership { return g.owner }

// Begin returns nil if a request may be written now. The writer must call End
// once the bytes are handed over. All errors mean that nothing may be sent.
func (g *WriteGuard) Begin(w WriteAttempt) error {
	if err := g.check(w); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return result.New(result.NoUpstream, "upstream %q is handed over", g.owner.Upstream)
	}
	g.writers++
	return nil
}

func (g *WriteGuard) check(w WriteAttempt) error {
	if passed(w.Now, w.FreshUntil) {
		return result.New(result.NotFresh, "no confirmation since %v", w.FreshUntil)
	}
	if o, ok := w.View.Owner(g.owner.Upstream); !ok || o != g.owner {
		return result.New(result.NoUpstream, "upstream %q is not owned under fence %d", g.owner.Upstream, g.owner.Fence)
	}
	if passed(w.Now, w.Deadline) {
		return result.New(result.DeadlineHopeless, "deadline %v has passed", w.Deadline)
	}
	return nil
}

// End ends a write that Begin let pass.
func (g *WriteGuard) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writers--
}

// Close lets no further write pass.
func (g *WriteGuard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Quiet reports whether the gate is closed and no write is between Begin and
// Exit.
func (g *WriteGuard) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed && g.writers == 0
}

// passed reports whether a deadline has passed by the monotonic clock or by
// the wall clock. The monotonic clock stands still while a VM is suspended,
// and the wall clock can be set back; either may be wrong alone.
func passed(now, deadline time.Time) bool {
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
