package dispatch

import (
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"papayaspoke/core/result"
)

// Request describes one request for a model.
type Request struct {
	// ID is unique across daemons.
	ID ident.Request
	// Class is the request class, which determines the latency target.
	Class ident.Class
	// Model is the base model.
	Model ident.Model
	// Adapter is the exact version that the request must run on; the zero
	// adapter means the base model without an adapter.
	Adapter ident.Adapter
	// Arrived is when the first daemon received the request.
	Arrived time.Time
	// Deadline is Arrived plus the target of the class, or the caller's own
	// deadline if that is earlier.
	Deadline time.Time
	// Digest identifies the body in the quarantine list.
	Digest quarantine.Digest
	// Prefix identifies the beginning of the prompt; zero if it is unknown.
	Prefix uint64
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Retried is true if the request has already run once at another owner.
	Retried bool
	// Suspect is true if the daemon that received the request knows that it
	// was in flight when an upstream crashed.
	Suspect bool
	// Upstream is the replica that routing chose, or empty.
	Upstream ident.Upstream
}

// Event is an input of a [Dispatcher]. The events are the types of this file.
type Event interface{ event() }

// Acquired reports that this daemon has become the owner of a replica.
type Acquired struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Incarnation is the one that the replica announced.
	Incarnation ident.Incarnation
	// Model is the base model that the replica runs.
	Model ident.Model
	// DataCentre is the data centre of the replica.
	DataCentre ident.DataCentre
	// Slots is the number of adapters that the replica holds; positive.
	Slots int
	// MaxBatch is the number of requests that run at the same time; positive.
	MaxBatch int
	// Fence is the fencing number of this ownership.
	Fence ident.Fence
	// InheritedUntil is the latest deadline that a request of a former owner can
	// have. Until then every resident adapter counts as in use, unless a report
	// made after the takeover lists it as idle.
	InheritedUntil time.Time
}

// Released reports that this daemon is no longer the owner of a replica.
type Released struct{ Upstream ident.Upstream }

// Draining reports that a replica is shutting down and must get no new work.
type Draining struct{ Upstream ident.Upstream }

// Arrived delivers a new request. Each ID arrives once at a dispatcher.
type Arrived struct{ Request Request }

// Cancelled reports that the caller of a request has disconnected.
type Cancelled struct{ Request ident.Request }

// LoadDone reports the outcome of a [Load]. Each Load is followed by one
// LoadDone, no later than its deadline, unless the replica restarts.
type LoadDone struct {
	// Upstream and Incarnation are those of the order.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the one that the engine reports as loaded.
	Adapter ident.Adapter
	// Err is nil only if the engine confirmed the order.
	Err *result.Error
	// Evicted is whether the engine's answer reports the adapter to be evicted
	// as gone; none if there was no answer that matches the order.
	Evicted option.Option[bool]
}

// Unloaded reports the outcome of an [Unload].
type Unloaded struct {
	// Upstream and Incarnation are those of the order.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the one that the engine reports as evicted.
	Adapter ident.Adapter
	// Err is nil only if the engine confirmed the order.
	Err *result.Error
}

// AnswerStarted reports that the first byte of an answer has been received.
type AnswerStarted struct{ Request ident.Request }

// Outcome is how an attempt to run a request ended.
type Outcome uint8

const (
	// Done means that the complete answer was received and matched the request.
	Done Outcome = iota + 1
	// NotSent means that certainly no byte reached the upstream.
	NotSent
	// Crashed means that the upstream died or restarted during the request.
	Crashed
	// Truncated means that the stream ended early and could not be resumed.
	Truncated
	// WrongAnswer means that the answer was discarded because it named another
	// request, adapter, version or incarnation.
	WrongAnswer
	// Refused means that the engine refused the request without running it.
	Refused
)

// Finished reports how an attempt ordered by [Send] ended. Each Send is
// followed by one Finished, even after Cancelled.
type Finished struct {
	// Request is the request that was sent.
	Request ident.Request
	// Outcome is how the attempt ended.
	Outcome Outcome
	// Delivered is true if a part of the answer has reached the caller, so
	// that the request cannot be restarted.
	Delivered bool
}

// ReplicaReport is a replica's report of its residents and load.
type ReplicaReport struct {
	// Upstream and Incarnation identify the replica's process.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Residents are the adapters in memory.
	Residents []ident.Adapter
	// Idle are the residents that no request uses.
	Idle []ident.Adapter
	// InFlight is the number of running requests.
	InFlight int
	// MadeAt is a time on the owner's clock that is not later than when the
	// replica made the report, such as the time of the owner's query.
	MadeAt time.Time
}

// Restarted reports that a replica announced a new incarnation.
type Restarted struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Incarnation is the new incarnation.
	Incarnation ident.Incarnation
}

// PermitsGranted delivers permits of the load budget.
type PermitsGranted struct{ Permits []budget.Permit }

// AdmissionShare delivers the share of misses that the load budget can serve, see
// [budget.Holder.Admit]. It comes with the answer to each permit request.
type AdmissionShare struct{ Share float64 }

// Tick advances the time. One tick every 20 ms to 100 ms is sufficient.
type Tick struct{}

// BudgetLost reports that the holder of the load budget has not answered for
// [budget.FallbackAfter].
type BudgetLost struct {
	// Share is what this owner may use without permits, see
	// [budget.FallbackShare].
	Share budget.Limits
}

// BudgetRestored reports that a holder answers again.
type BudgetRestored struct{}

// QuarantineReceived delivers quarantine entries of other daemons.
type QuarantineReceived struct{ Entries []quarantine.Entry }

func (Acquired) event()           {}
func (Released) event()           {}
func (Draining) event()           {}
func (Arrived) event()            {}
func (Cancelled) event()          {}
func (LoadDone) event()           {}
func (Unloaded) event()           {}
func (AnswerStarted) event()      {}
func (Finished) event()           {}
func (ReplicaReport) event()      {}
func (Restarted) event()          {}
func (PermitsGranted) event()     {}
func (AdmissionShare) event()     {}
func (Tick) event()               {}
func (BudgetLost) event()         {}
func (BudgetRestored) event()     {}
func (QuarantineReceived) event() {}
