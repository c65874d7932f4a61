package placement

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

// Weights names a base model, or an adapter of it.
type Weights struct {
	Model ident.Model
	// Adapter is empty for the model itself.
	Adapter string
}

// IsModel reports whether w is a base model.
func (w Weights) IsModel() bool { return w.Adapter == "" }

// Holding is something that a replica holds.
type Holding struct {
	Weights Weights
	// Version is 0 if it is not known.
	Version uint64
	// ReadyAt is when it can be used.
	ReadyAt time.Time
}

// Run counts the requests of one daemon at one replica for the same weights.
type Run struct {
	Replica ident.Upstream
	Weights Weights
	// Running are in flight, Started were sent since the last message.
	Running, Started int
}

// Demand tells of requests that wait because no replica holds what they need.
type Demand struct {
	Service ident.Service
	Weights Weights
	// Version is the least that will do.
	Version uint64
	Waiting int
	// StartDeadline is until when a load may begin for one of the requests to be
	// answered in time; zero if there is no such time.
	StartDeadline time.Time
	// MissingAt is a replica that said that it does not hold the weights, or
	// empty.
	MissingAt ident.Upstream
}

// Listing is what a replica itself said that it holds.
type Listing struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	// MadeAt is not later than when the listing was true.
	MadeAt   time.Time
	Holdings []Holding
	// InMemory and OnDisk are base models that the replica has copies of: they
	// need not come from the weight store.
	InMemory, OnDisk []ident.Model
	// Sequence counts the orders that the replica has accepted, if it says so.
	Sequence option.Option[uint64]
}

// Usage is what a daemon tells the placer.
type Usage struct {
	Daemon     ident.Daemon
	DataCentre ident.DataCentre
	// Fence and Revision are those of the newest [Answer] that the daemon has.
	Fence    ident.Fence
	Revision uint64
	Runs     []Run
	Demands  []Demand
	Listings []Listing
	// Avoid names replicas that the daemon can't reach or finds slow.
	Avoid []ident.Upstream
	// Store is what the daemon was last told of the weight store.
	Store StoreEstimate
}

// Inventory tells what the placer believes that a replica holds: everything, or
// what has changed since the daemon asked last.
type Inventory struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	// Number is the replica's place in the loads of answers of the same fence.
	Number int
	// Complete is true if Holdings are all that it holds; else they are those that
	// have changed, and Removed what it holds no more.
	Complete bool
	Holdings []Holding
	Removed  []Weights
}

// Answer is what the placer tells a daemon.
type Answer struct {
	// Fence is that of the placer; boards of different fences don't mix.
	Fence    ident.Fence
	Revision uint64
	// Inventories are those that have changed since the revision in the question.
	Inventories []Inventory
	// Loads counts the requests of all daemons in flight at each replica, by
	// the replica's number.
	Loads []int
	// Avoided numbers the replicas that all daemons had better avoid.
	Avoided []int
	// Store is what the placer has learned of the weight store, for the next
	// placer to go on with.
	Store StoreEstimate
}

// Replica is a replica that may be given orders.
type Replica struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	// Batch is how many requests it runs together, AdapterSlots how many adapters
	// it holds.
	Batch, AdapterSlots int
	// Models are those that it can run.
	Models []ident.Model
	// LoadTime is how long a base model takes from the weight store.
	LoadTime time.Duration
	// MemoryTime and DiskTime are the same for a copy of the replica's own; 0 if
	// that is not known.
	MemoryTime, DiskTime time.Duration
	// LoadsPerSecond is how many base models the store hands out at most, to all
	// replicas; 0 if no bound was stated.
	LoadsPerSecond float64
	// Leaving is true if it takes no new work.
	Leaving bool
}

// Order is one order to a replica.
type Order struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	Weights     Weights
	// Load is false for an order to unload.
	Load bool
	// Version is what to load, 0 for the newest.
	Version uint64
	// Sequence is how many orders the replica must have accepted before; it
	// refuses the order otherwise. An order that is carried out late is refused
	// once others have been accepted.
	Sequence option.Option[uint64]
}

// Verdict is what became of an order.
type Verdict uint8

const (
	// Begun orders are being carried out.
	Begun Verdict = iota + 1
	// Done orders hold already.
	Done
	// Refused orders are not carried out.
	Refused
	// Unanswered orders may be carried out, now or later.
	Unanswered
	// Withheld orders were not sent.
	Withheld
)

var verdictNames = [...]string{"", "begun", "done", "refused", "unanswered", "withheld"}

// String returns a word for logs.
func (v Verdict) String() string { return verdictNames[v] }

// Effects is what the caller of a [Placer] carries out.
type Effects struct {
	Orders []Order
	// RequestListings names replicas whose listing is wanted.
	RequestListings []ident.Upstream
}
