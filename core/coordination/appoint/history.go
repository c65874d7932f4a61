package appoint

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// History is what one daemon has seen of the office. It keeps a daemon from
// coming back to office while replicas still take its earlier orders and those
// of the placer in between for turns of two rivals. It is not safe for
// concurrent use.
type History struct {
	// rivalFor is how long after an order of one holder replicas take another
	// order of the same one for a turn, if a third was given in between.
	rivalFor time.Duration
	// since is from when on no change of the office was missed.
	since time.Time
	last  state.Placer
	// ended is when each daemon's last term was seen to end. Its leases end
	// [LeaseDuration] later at most.
	ended map[ident.Daemon]time.Time
	// retiredAt is when the term of last was seen to end.
	retiredAt time.Time
}

// NewHistory returns the history of a daemon that starts now; rivalFor is as in
// the settings.
func NewHistory(now time.Time, rivalFor time.Duration) *History {
	return &History{rivalFor: rivalFor, since: now, ended: make(map[ident.Daemon]time.Time)}
}

// Observe takes in the record of the office as applied now. It is due after each
// change.
func (h *History) Observe(now time.Time, p state.Placer) {
	if p == h.last {
		return
	}
	if p.Fence != h.last.Fence && h.last.HoldsRole() {
		// Whoever was in office in between is not known.
		h.since = now
	}
	if p.RetiredIndex != 0 {
		h.ended[p.Daemon], h.retiredAt = now, now
	}
	h.last = p
	for name, at := range h.ended {
		if now.Sub(at) >= h.wait() {
			delete(h.ended, name)
		}
	}
}

// wait is how long after the end of its term was seen a daemon may come back.
func (h *History) wait() time.Duration { return LeaseDuration + h.rivalFor + margin + MaxOrderTransit }

// endedAt is when the retirement of the placer with that fencing number was
// applied here: reads from then on tell the placer so, and no lease is younger.
func (h *History) endedAt(f ident.Fence) time.Time {
	if h.last.Fence != f {
		return h.since
	}
	return h.retiredAt
}

// free reports whether a daemon may be appointed: the last placer always may,
// since nobody has given orders after it.
func (h *History) free(now time.Time, name ident.Daemon) bool {
	if name == h.last.Daemon || h.last.Fence == 0 {
		return true
	}
	at := h.since
	if e := h.ended[name]; e.After(at) {
		at = e
	}
	return now.Sub(at) >= h.wait()
}
