package dispatch

import (
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Effect is an action for the daemon to carry out, in the order returned. The
// effects are the types of this file.
type Effect interface{ effect() }

// Load orders a replica to load an adapter.
type Load struct {
	// Upstream and Incarnation identify the replica's process; answers of
	// other incarnations are ignored.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// Evict is the idle adapter to evict first, or the zero adapter.
	Evict ident.Adapter
	// Fence is the fencing number to send with the order.
	Fence ident.Fence
	// StartBy is the time from which the order must no longer be written to the
	// replica.
	StartBy time.Time
	// Deadline is when the daemon gives up waiting and reports a failure.
	Deadline time.Time
}

// Unload orders a replica to evict an idle adapter.
type Unload struct {
	// Upstream and Incarnation identify the replica's process.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the idle adapter to evict.
	Adapter ident.Adapter
	// Fence is the fencing number to send with the order.
	Fence ident.Fence
}

// Send orders a waiting request to be sent to a replica that has reported the
// request's adapter as resident.
type Send struct {
	// Request is the request to send.
	Request ident.Request
	// Upstream and Incarnation identify the replica's process.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the exact version that the engine must use.
	Adapter ident.Adapter
	// Fence is the fencing number to check right before the write.
	Fence ident.Fence
	// Attempt is the number of this attempt, starting at 1.
	Attempt int
}

// Refuse ends a request that certainly has not run.
type Refuse struct {
	// Request is the request that ends.
	Request ident.Request
	// Err has a code that means "not run". With the codes NoUpstream and
	// Draining, the daemon that received the request may try another owner.
	Err *result.Error
}

// Fail ends a request that may have run.
type Fail struct {
	// Request is the request that ends.
	Request ident.Request
	// Err never has a code that means "not run".
	Err *result.Error
	// Retry is true if the request may be sent to another owner with Retried
	// set: it is idempotent, no part of an answer was delivered and the retry
	// budget allows it. The daemon that received the request limits the number
	// of such retries.
	Retry bool
}

// RequestPermits sends the loads that this owner wants to the holder of the load
// budget. It replaces all earlier requests.
type RequestPermits struct{ Request budget.PermitRequest }

// ReleasePermit returns a permit, used or not.
type ReleasePermit struct{ Permit budget.PermitID }

// PublishQuarantine sends an entry to all other daemons immediately.
type PublishQuarantine struct{ Entry quarantine.Entry }

// Announce asks the daemon to publish the routing record of a replica
// immediately, because it changed in a way that matters to other daemons; see
// [Dispatcher.Records].
type Announce struct{ Upstream ident.Upstream }

func (Load) effect()              {}
func (Unload) effect()            {}
func (Send) effect()              {}
func (Refuse) effect()            {}
func (Fail) effect()              {}
func (RequestPermits) effect()    {}
func (ReleasePermit) effect()     {}
func (PublishQuarantine) effect() {}
func (Announce) effect()          {}
