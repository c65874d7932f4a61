package blame

import "time"

const (
	// maxHistory is how many parts a generation remembers before the next one
	// begins.
	maxHistory = 32 << 10
	// generationTime is how long a generation collects parts.
	generationTime = evidenceTTL / 2
)

// history remembers the parts of prompts that were answered lately.
type history struct {
	current, previous map[Key]bool
	// nextAt is when the current generation becomes the previous one.
	nextAt time.Time
}

// add remembers parts.
func (h *history) add(now time.Time, parts []Key) {
	if !now.Before(h.nextAt) || len(h.current) >= maxHistory {
		h.previous, h.current, h.nextAt = h.current, make(map[Key]bool), now.Add(generationTime)
	}
	for _, k := range parts {
		h.current[k] = true
	}
}

// has reports whether a part was answered lately.
func (h *history) has(k Key) bool { return h.current[k] || h.previous[k] }

// known returns a bit for each of the parts, at most MaxParts, that was answered
// lately.
func (h *history) known(parts []Key) uint32 {
	var bits uint32
	for i, k := range parts {
		if h.has(k) {
			bits |= 1 << i
		}
	}
	return bits
}
