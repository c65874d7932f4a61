package placement

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

// Weights identifies a base model or one of its adapters.
type Weights struct {
	Model ident.Model
	// Adapter is empty for the base model itself.
	Adapter string
}

// IsModel reports whether w is a base model.
func (w Weights) IsModel() bool { return w.Adapter == "" }

// Holding is a base model or an adapter that a replica holds.
type Holding struct {
	Weights Weights
	// Version is 0 if unknown.
	Version uint64
	// ReadyAt is when it becomes usable.
	ReadyAt time.Time
}

// Run counts the requests of one daemon at one replica for the same weights.
type Run struct {
	Replica ident.Upstream
	Weights Weights
	// Running counts requests in flight, Started those sent since the last
	// report.
	Running, Started int
}

// Demand reports requests that wait because no replica holds the weights that
// they need.
type Demand struct {
	Service ident.Service
	Weights Weights
	// Version is the minimum acceptable version.
	Version uint64
	Waiting int
	// StartDeadline is until when a load may begin for one of the requests to be
	// answered in time; zero if there is no such deadline.
	StartDeadline time.Time
	// MissingAt is a replica that reported that it does not hold the weights, or
	// empty.
	MissingAt ident.Upstream
}

// Listing is the inventory reported by a replica itself.
type Listing struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	// MadeAt is a time at or before which the listing was made.
	MadeAt   time.Time
	Holdings []Holding
	// InMemory and OnDisk are the base models that the replica has copies of.
	// They can be loaded without the weight store.
	InMemory, OnDisk []ident.Model
	// Sequence is the number of orders that the replica has accepted, if
	// reported.
	Sequence option.Option[uint64]
}

// Usage is the report of a daemon to the placer.
type Usage struct {
	Daemon     ident.Daemon
	DataCentre ident.DataCentre
	// Fence and Revision are those of the newest [Answer] that the daemon has
	// received.
	Fence    ident.Fence
	Revision uint64
	Runs     []Run
	Demands  []Demand
	Listings []Listing
	// Avoid names replicas that the daemon can't reach or finds slow.
	Avoid []ident.Upstream
	// Store is the last estimate of the weight store's limits that the daemon
	// received.
	Store StoreEstimate
}

// Inventory is the inventory of a replica as estimated by the placer: complete,
// or the changes since the daemon's last report.
type Inventory struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	// Number is the replica's index in the loads of answers with the same
	// fence.
	Number int
	// Complete is true if Holdings is the complete inventory. Otherwise Holdings
	// are those that have changed, and Removed the weights that it no longer
	// holds.
	Complete bool
	Holdings []Holding
	Removed  []Weights
}

// Answer is the placer's answer to the report of a daemon.
type Answer struct {
	// Fence is the placer's fencing number. Inventories and numbers of
	// different fences must not be combined.
	Fence    ident.Fence
	Revision uint64
	// Inventories are the inventories that have changed since the revision in the
	// report.
	Inventories []Inventory
	// Loads counts the requests of all daemons in flight at each replica, by
	// the replica's number.
	Loads []int
	// Avoided contains the numbers of the replicas that all daemons should avoid.
	Avoided []int
	// Store is the current estimate of the weight store's limits, from which the
	// next placer starts.
	Store StoreEstimate
}

// Replica is a replica that can be given orders.
type Replica struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	// Batch is the number of requests that it runs together, AdapterSlots the
	// number of adapters that it can hold.
	Batch, AdapterSlots int
	// Models are the base models that it can run.
	Models []ident.Model
	// LoadTime is how long a base model takes to load from the weight store.
	LoadTime time.Duration
	// MemoryTime and DiskTime are the same for a copy in the replica's memory
	// or on its disk; 0 if unknown.
	MemoryTime, DiskTime time.Duration
	// LoadsPerSecond is the maximum rate of base model loads from the store,
	// over all replicas; 0 means no limit.
	LoadsPerSecond float64
	// Leaving is true if it accepts no new work.
	Leaving bool
}

// Order is one order to a replica.
type Order struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	Weights     Weights
	// Load is false for an order to unload.
	Load bool
	// Version is the version to load, 0 for the newest.
	Version uint64
	// Sequence is the number of orders that the replica must have accepted
	// before; otherwise it refuses the order. A delayed order is therefore
	// refused if others have been accepted meanwhile.
	Sequence option.Option[uint64]
}

// Verdict is the outcome of an order.
type Verdict uint8

const (
	// Begun orders are being carried out.
	Begun Verdict = iota + 1
	// Done orders have been carried out or had nothing to change.
	Done
	// Refused orders are not carried out.
	Refused
	// Unanswered orders may be carried out, now or later.
	Unanswered
	// Withheld orders were not sent.
	Withheld
)

var verdictNames = [...]string{"", "begun", "done", "refused", "unanswered", "withheld"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[v] }

// Effects is what the caller of a [Placer] has to carry out.
type Effects struct {
	Orders []Order
	// RequestListings names the replicas whose listing is needed.
	RequestListings []ident.Upstream
}
