package appoint

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// History records the changes of the placer role that one daemon has seen. It
// prevents the appointment of a daemon while replicas would still take its
// earlier orders, those of the placer in between and its new ones for those of
// competing placers. It is not safe for concurrent use.
type History struct {
	// competingFor is how long after an order of one daemon replicas take
	// another order of the same daemon for that of a competing placer, if
	// another daemon gave an order in between.
	competingFor time.Duration
	// completeSince is from when on no change of the role was missed.
	completeSince time.Time
	last          state.Placer
	// termEndedAt is when each daemon's last term was seen to end. Its leases
	// expire at most [LeaseDuration] later.
	termEndedAt map[ident.Daemon]time.Time
	// retiredAt is when the term of last was seen to end.
	retiredAt time.Time
}

// NewHistory returns the history of a daemon that starts now; competingFor is
// set by the operator.
func NewHistory(now time.Time, competingFor time.Duration) *History {
	return &History{competingFor: competingFor, completeSince: now, termEndedAt: make(map[ident.Daemon]time.Time)}
}

// Observe applies the record of the placer role. It must be called after each
// change.
func (h *History) Observe(now time.Time, p state.Placer) {
	if p == h.last {
		return
	}
	if p.Fence != h.last.Fence && h.last.HoldsRole() {
		// It is unknown who held the role in between.
		h.completeSince = now
	}
	if p.RetiredIndex != 0 {
		h.termEndedAt[p.Daemon], h.retiredAt = now, now
	}
	h.last = p
	for name, at := range h.termEndedAt {
		if now.Sub(at) >= h.returnDelay() {
			delete(h.termEndedAt, name)
		}
	}
}

// returnDelay returns how long after the end of its term was seen a daemon may
// be appointed again.
func (h *History) returnDelay() time.Duration {
	return LeaseDuration + h.competingFor + clockDriftMargin + MaxOrderTransit
}

// retirementAppliedAt returns when the retirement of the placer with that
// fencing number was applied here: reads from then on show the placer that it
// is retired, so no lease is younger.
func (h *History) retirementAppliedAt(f ident.Fence) time.Time {
	if h.last.Fence != f {
		return h.completeSince
	}
	return h.retiredAt
}

// mayReturn reports whether a daemon may be appointed. The last placer always
// may, since no other daemon has given orders after it.
func (h *History) mayReturn(now time.Time, name ident.Daemon) bool {
	if name == h.last.Daemon || h.last.Fence == 0 {
		return true
	}
	at := h.completeSince
	if e := h.termEndedAt[name]; e.After(at) {
		at = e
	}
	return now.Sub(at) >= h.returnDelay()
}
