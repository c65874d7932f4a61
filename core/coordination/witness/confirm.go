package witness

import (
	"slices"
	"time"
)

// confirmation is what the polls that one daemon has answered say about how recent
// the state of this daemon is.
type confirmation struct {
	// at is when the last poll was sent whose answer named nothing that is not
	// applied here.
	at time.Time
	// answeredAt is when the last answered poll was sent, and index what the answer
	// named. It replaces at once index is applied.
	answeredAt time.Time
	index      uint64
}

// answered records an answer to a poll that was sent at sentAt.
func (c *confirmation) answered(sentAt time.Time, index, applied uint64) {
	c.at = c.valid(applied)
	if sentAt.After(c.answeredAt) {
		c.answeredAt, c.index = sentAt, index
	}
}

// valid returns at as of an applied index.
func (c *confirmation) valid(applied uint64) time.Time {
	if applied >= c.index {
		return c.answeredAt
	}
	return c.at
}

// ConfirmedAt returns a time before which nothing became visible that this daemon has
// not applied; zero if there is none. Unlike freshness it may rest on several polls,
// each of which a few witnesses have answered.
func (w *Witness) ConfirmedAt(now time.Time) time.Time {
	sets := w.witnesses.requiredSets(w.visible)
	if len(sets) == 0 {
		return time.Time{}
	}
	confirmed := now
	for _, set := range sets {
		var times []time.Time
		for _, d := range set {
			a := w.acks[d]
			switch {
			case d == w.self && w.active:
				times = append(times, now)
			case a != nil && a.incarnation == w.incarnations.newest[d]:
				times = append(times, a.confirmation.valid(w.applied))
			default:
				times = append(times, time.Time{})
			}
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if at := times[majority(len(times))-1]; at.Before(confirmed) {
			confirmed = at
		}
	}
	return confirmed
}
