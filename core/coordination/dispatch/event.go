package dispatch

import (
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"papayaspoke/core/result"
)

// Request is what the dispatcher knows of one request for a model.
type Request struct {
	// ID is unique across daemons.
	ID ident.Request
	// Class is the class of work.
	Class ident.Class
	// Model is the base model.
	Model ident.Model
	// Adapter is the exact version that the request must run on; the zero
	// adapter stands for the base model alone.
	Adapter ident.Adapter
	// Arrived is when the request reached the system.
	Arrived time.Time
	// Deadline is Arrived plus the target of the class, or the caller's own
	// deadline if that is earlier.
	Deadline time.Time
	// Digest identifies the body for the quarantine.
	Digest quarantine.Digest
	// Prefix identifies the head of the prompt; zero if it is not known.
	Prefix uint64
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Retried is true if the request has already run once at another owner.
	Retried bool
	// Suspect is true if the request was in flight when an upstream crashed,
	// as far as the daemon that took it in knows.
	Suspect bool
	// Upstream is the replica that routing chose, or empty.
	Upstream ident.Upstream
}

// Event is something that a [Dispatcher] has to take note of. The events are
// the types of this file.
type Event interface{ event() }

// Acquired tells that this daemon has become the owner of a replica.
type Acquired struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Incarnation is the one that the replica announced.
	Incarnation ident.Incarnation
	// Model is the base model that the replica runs.
	Model ident.Model
	// DataCentre is where the replica is.
	DataCentre ident.DataCentre
	// Slots is the number of adapters that the replica holds; positive.
	Slots int
	// MaxBatch is the number of requests that run at the same time; positive.
	MaxBatch int
	// Fence is the fencing number of this ownership.
	Fence ident.Fence
	// InheritedUntil is the latest deadline that a request of a former owner can
	// have. Until then everything resident counts as in use, unless a report
	// made after the takeover says that it is idle.
	InheritedUntil time.Time
}

// Released tells that this daemon is no longer the owner of a replica.
type Released struct{ Upstream ident.Upstream }

// Draining tells that a replica is leaving and gets no new work.
type Draining struct{ Upstream ident.Upstream }

// Arrived brings a new request. Each ID arrives once at a dispatcher.
type Arrived struct{ Request Request }

// Cancelled tells that the caller of a request is gone.
type Cancelled struct{ Request ident.Request }

// LoadDone brings the outcome of a [Load]. Each Load is followed by one
// LoadDone, at its deadline at the latest, unless the replica restarts.
type LoadDone struct {
	// Upstream and Incarnation are those of the order.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the one that the engine says it has loaded.
	Adapter ident.Adapter
	// Err is nil only if the engine confirmed the order.
	Err *result.Error
	// Evicted tells whether the engine's answer says that the adapter to be
	// evicted is gone; none if there was no answer that matches the order.
	Evicted option.Option[bool]
}

// Unloaded brings the outcome of an [Unload].
type Unloaded struct {
	// Upstream and Incarnation are those of the order.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the one that the engine says is gone.
	Adapter ident.Adapter
	// Err is nil only if the engine confirmed the order.
	Err *result.Error
}

// AnswerStarted tells that the first byte of an answer has come.
type AnswerStarted struct{ Request ident.Request }

// Outcome is how an attempt to run a request ended.
type Outcome uint8

const (
	// Done means that the whole answer was received and matched the request.
	Done Outcome = iota + 1
	// NotSent means that provably no byte reached the upstream.
	NotSent
	// Crashed means that the upstream died or restarted under the request.
	Crashed
	// Truncated means that the stream ended early and could not be resumed.
	Truncated
	// WrongAnswer means that an answer named another request, adapter,
	// version or incarnation; it has been dropped.
	WrongAnswer
	// Refused means that the engine refused the request without running it.
	Refused
)

// Finished tells how an attempt that [Send] ordered has ended. Each Send is
// followed by one Finished, also after Cancelled.
type Finished struct {
	// Request is the request that was sent.
	Request ident.Request
	// Outcome is how the attempt ended.
	Outcome Outcome
	// Delivered is true if a part of the answer has reached the caller, so
	// that the request cannot be started anew.
	Delivered bool
}

// ReplicaReport is a replica's own account of its load.
type ReplicaReport struct {
	// Upstream and Incarnation name the replica's run.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Residents are the adapters in memory.
	Residents []ident.Adapter
	// Idle are those of Residents that no request uses.
	Idle []ident.Adapter
	// InFlight is the number of requests that run.
	InFlight int
	// MadeAt is the owner's time at or before which the replica made the
	// report, such as when the report was asked for.
	MadeAt time.Time
}

// Restarted tells that a replica announced a new incarnation.
type Restarted struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Incarnation is the new one.
	Incarnation ident.Incarnation
}

// PermitsGranted brings permits of the load budget.
type PermitsGranted struct{ Permits []budget.Permit }

// AdmissionShare brings the share of misses that the load budget can serve, see
// [budget.Holder.Admit]. It comes with the answer to each Request.
type AdmissionShare struct{ Share float64 }

// Tick passes time. A tick every 20 ms to 100 ms is enough.
type Tick struct{}

// BudgetLost tells that the holder of the load budget has not answered for
// [budget.FallbackAfter].
type BudgetLost struct {
	// Share is what this owner may use alone, see [budget.FallbackShare].
	Share budget.Limits
}

// BudgetRestored tells that a holder answers again.
type BudgetRestored struct{}

// QuarantineReceived brings entries of other daemons.
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
