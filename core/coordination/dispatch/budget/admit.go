package budget

import (
	"math"
	"time"
)

// missWindow is the time span over which misses are averaged.
const missWindow = 10 * time.Second

// drainFactor is the part of the load rate that is given to new misses while
// there are too many; the rest shortens the queue.
const drainFactor = 0.85

// missCounter counts misses with exponential decay over missWindow.
type missCounter struct {
	// count is the decayed count at the time at; it is never negative.
	count float64
	// at is the time of the newest addition.
	at time.Time
}

func (m *missCounter) add(now time.Time, n float64) { m.count, m.at = m.countAt(now)+n, now }

func (m *missCounter) countAt(now time.Time) float64 {
	return m.count * math.Exp(-max(0, now.Sub(m.at).Seconds())/missWindow.Seconds())
}

// countMisses adds the misses since the owner's last request. The first request
// sets the base. An owner whose count is smaller than before has restarted; its
// count becomes the new base.
func (h *Holder) countMisses(now time.Time, o *owner, total uint64) {
	if !o.lastSeen.IsZero() && total > o.misses {
		h.misses.add(now, float64(total-o.misses))
	}
	o.misses = total
}

// Admit returns the share of misses that the budget can serve, at most 1. It
// falls below 1 only when misses exceed loads for much of missWindow: a burst
// is queued, but of a lasting excess owners refuse the rest immediately instead
// of after a useless wait.
func (h *Holder) Admit(now time.Time) float64 {
	rate := h.misses.countAt(now) / missWindow.Seconds()
	loads := float64(h.limits.PerSecond) / grantWindow.Seconds()
	if rate <= loads {
		return 1
	}
	return drainFactor * loads / rate
}
