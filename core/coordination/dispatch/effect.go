package dispatch

import (
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Effect is something that the daemon has to carry out, in the order given.
// The effects are the types of this file.
type Effect interface{ effect() }

// Load orders a replica to load an adapter.
type Load struct {
	// Upstream and Incarnation name the replica's run; an answer of another
	// incarnation does not count.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the exact version to load.
	Adapter ident.Adapter
	// Evict is an idle adapter to evict for it, or the zero adapter.
	Evict ident.Adapter
	// Fence is the fencing number to give with the order.
	Fence ident.Fence
	// StartBy is when the order may no longer be written to the replica.
	StartBy time.Time
	// Deadline is when the daemon gives up waiting and reports a failure.
	Deadline time.Time
}

// Unload orders a replica to evict an idle adapter.
type Unload struct {
	// Upstream and Incarnation name the replica's run.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is idle.
	Adapter ident.Adapter
	// Fence is the fencing number to give with the order.
	Fence ident.Fence
}

// Send orders a waiting request to be sent. The adapter is resident there
// according to the replica's own answer.
type Send struct {
	// Request is the request to send.
	Request ident.Request
	// Upstream and Incarnation name the replica's run.
	Upstream    ident.Upstream
	Incarnation ident.Incarnation
	// Adapter is the exact version to name to the engine.
	Adapter ident.Adapter
	// Fence is the fencing number to check right before the write.
	Fence ident.Fence
	// Attempt counts the sends of this request from 1.
	Attempt int
}

// Refuse ends a request that has provably not run.
type Refuse struct {
	// Request is the request that ends.
	Request ident.Request
	// Err has a code that says "not run". The codes NoUpstream and Draining
	// allow the daemon that took the request in to try another owner.
	Err *result.Error
}

// Fail ends a request that may have run.
type Fail struct {
	// Request is the request that ends.
	Request ident.Request
	// Err never has a code that says "not run".
	Err *result.Error
	// Retry is true if the request is idempotent, nothing of an answer was
	// delivered and the retry budget allows it to be sent to another owner,
	// with Retried set. The daemon that took it in bounds how often.
	Retry bool
}

// RequestPermits tells the holder of the load budget what this owner wants. It
// replaces what was told before.
type RequestPermits struct{ Request budget.PermitRequest }

// ReleasePermit returns a permit, used or not.
type ReleasePermit struct{ Permit budget.PermitID }

// PublishQuarantine spreads an entry to all other daemons at once.
type PublishQuarantine struct{ Entry quarantine.Entry }

// Announce tells that what routing should know of a replica has changed in a
// way that other daemons should learn at once; see [Dispatcher.Records].
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
