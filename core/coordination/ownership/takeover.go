package ownership

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// DeliveryBound is the maximum time that bytes written by a former owner take
// to reach the engine. It is at least the TCP user timeout of connections to
// upstreams, after which the sender's kernel gives up.
const DeliveryBound = 3 * time.Second

// Takeover tracks which adapters may still be in use by requests of a former
// owner. An adapter counts as in use until a report of the engine, made after
// those requests have arrived or been dropped, shows it idle, or until the
// latest possible deadline of such a request has passed.
type Takeover struct {
	// countFrom is the earliest request time of a report that counts.
	countFrom time.Time
	// endsAt is when the last request of a former owner has ended.
	endsAt time.Time
	// reported is true once a report that counts has arrived.
	reported bool
	// busy holds the adapters that were in use in all counted reports.
	busy []ident.Adapter
}

// NewTakeover returns the takeover of an ownership that begins now; latest is
// the latest possible deadline of a request of a former owner.
func NewTakeover(now, latest time.Time) *Takeover {
	return &Takeover{countFrom: now.Add(DeliveryBound), endsAt: latest}
}

// AddReport processes an engine's report of the adapters in use. Asked is when
// the daemon sent the request for the report. An unsolicited report does not
// count, since its age is unknown.
func (t *Takeover) AddReport(asked time.Time, inUse []ident.Adapter) {
	if asked.Before(t.countFrom) {
		return
	}
	if !t.reported {
		t.reported = true
		t.busy = slices.Clone(inUse)
		return
	}
	t.busy = slices.DeleteFunc(t.busy, func(a ident.Adapter) bool { return !slices.Contains(inUse, a) })
}

// EngineRestarted records that the engine runs in a new incarnation, in which
// no request of a former owner runs.
func (t *Takeover) EngineRestarted() { t.reported, t.busy = true, nil }

// MayBeInUse reports whether a former owner's request may be using an adapter.
func (t *Takeover) MayBeInUse(now time.Time, a ident.Adapter) bool {
	if !now.Before(t.endsAt) {
		return false
	}
	return !t.reported || slices.Contains(t.busy, a)
}

// Done reports whether no adapter may be in use by a former owner's request.
func (t *Takeover) Done(now time.Time) bool {
	return !now.Before(t.endsAt) || t.reported && len(t.busy) == 0
}
