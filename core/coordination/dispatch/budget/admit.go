package budget

import (
	"math"
	"time"
)

// missSpan is the span that misses are averaged over.
const missSpan = 10 * time.Second

// drain is the part of the loads that is given to new misses while there are
// too many, so that the queue becomes shorter.
const drain = 0.85

// misses counts misses with exponential decay over missSpan.
type misses struct {
	// count is the decayed count as of at; it is never negative.
	count float64
	// at is the instant of the newest addition.
	at time.Time
}

func (m *misses) add(now time.Time, n float64) { m.count, m.at = m.countAt(now)+n, now }

func (m *misses) countAt(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/missSpan.Seconds())
}

// countMisses adds what is new since the owner's last PermitRequest. An owner that
// counts less than before has started anew; the first PermitRequest sets the base.
func (h *Holder) countMisses(now time.Time, o *owner, total uint64) {
	if !o.heard.IsZero() && total > o.misses {
		h.misses.add(now, float64(total-o.misses))
	}
	o.misses = total
}

// Admit returns the share of misses that the budget can serve, at most 1. It
// falls below 1 only when more misses than loads come in for much of missSpan:
// a burst is queued, but of a lasting excess owners turn away the rest at
// once, instead of after a wait that would not have helped them.
func (h *Holder) Admit(now time.Time) float64 {
	rate := h.misses.countAt(now) / missSpan.Seconds()
	loads := float64(h.limits.PerSecond) / window.Seconds()
	if rate <= loads {
		return 1
	}
	return drain * loads / rate
}
