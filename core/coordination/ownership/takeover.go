package ownership

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// DeliveryBound is how long bytes that a former owner wrote may take to reach
// the engine. It is not less than the TCP user timeout of the connections to
// upstreams, after which the sender's kernel gives up.
const DeliveryBound = 3 * time.Second

// Takeover tells a new owner which adapters a former owner's requests may
// still be using. Every adapter counts as busy until the engine reports it
// idle in a report made after those requests have arrived or died, or until
// the latest deadline that such a request can have has passed.
type Takeover struct {
	// reports is when a report must have been asked for to count.
	reports time.Time
	// until is when the last former request has ended.
	until time.Time
	// reported is true once a report counted.
	reported bool
	// busy holds the adapters that every report that counted found in use.
	busy []ident.Adapter
}

// NewTakeover returns the takeover of an owner that begins now; latest is the
// latest deadline that a request of a former owner can have.
func NewTakeover(now, latest time.Time) *Takeover {
	return &Takeover{reports: now.Add(DeliveryBound), until: latest}
}

// Report takes an engine's report of the adapters that it is using. Asked is
// when the daemon sent the question that the report answers; a report that
// nobody asked for does not count, as its age is unknown.
func (t *Takeover) Report(asked time.Time, inUse []ident.Adapter) {
	if asked.Before(t.reports) {
		return
	}
	if !t.reported {
		t.reported = true
		t.busy = slices.Clone(inUse)
		return
	}
	t.busy = slices.DeleteFunc(t.busy, func(a ident.Adapter) bool { return !slices.Contains(inUse, a) })
}

// Restart notes that the engine runs in a new incarnation, in which no former
// request runs.
func (t *Takeover) Restart() { t.reported, t.busy = true, nil }

// Busy reports whether a former owner's request may be using an adapter.
func (t *Takeover) Busy(now time.Time, a ident.Adapter) bool {
	if !now.Before(t.until) {
		return false
	}
	return !t.reported || slices.Contains(t.busy, a)
}

// Done reports whether nothing inherited is left.
func (t *Takeover) Done(now time.Time) bool {
	return !now.Before(t.until) || t.reported && len(t.busy) == 0
}
