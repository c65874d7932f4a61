package upstream

import (
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// Kind tells engines from plain services.
type Kind string

// The kinds of upstream.
const (
	EngineKind  Kind = "engine"
	ServiceKind Kind = "service"
)

// Announcement is what an upstream says of itself when it starts.
type Announcement struct {
	// Name is not empty.
	Name ident.Upstream
	// Incarnation is not zero and differs for each start of the process.
	Incarnation ident.Incarnation
	// Kind is one of the kinds above.
	Kind Kind
	// Model is not empty for an engine and empty for a service.
	Model ident.Model
	// Service is not empty for a service and empty for an engine.
	Service ident.Service
	// Address is an IP number and a port.
	Address string
	// DataCentre is not empty.
	DataCentre ident.DataCentre
	// Slots is how many adapters an engine can hold, positive for an engine.
	Slots int
	// MaxBatch is how many requests run at once, positive.
	MaxBatch int
	// HonoursFence is true if orders with an old fencing number are refused.
	HonoursFence bool
	// Resumes is true if streams can be resumed at an offset.
	Resumes bool
	// IdempotentPaths are the path prefixes of a service that may be called
	// again with any method.
	IdempotentPaths []string
}

// Resident is an adapter that an engine holds.
type Resident struct {
	// Adapter is not zero.
	Adapter ident.Adapter
	// InFlight is how many requests use it; zero means it is idle.
	InFlight int
}

// Report is what an upstream says of itself while it runs.
type Report struct {
	// Name and Incarnation are those of the announcement.
	Name        ident.Upstream
	Incarnation ident.Incarnation
	// MadeAt is the engine's clock when the report was made.
	MadeAt time.Time
	// Fence is the largest fencing number seen, zero if it is ignored.
	Fence ident.Fence
	// Running and Waiting count requests.
	Running, Waiting int
	// Residents are the adapters that can serve at once.
	Residents []Resident
	// Loading are the adapters in transit.
	Loading []ident.Adapter
	// Prefixes are head digests of prompts that may be cached.
	Prefixes []uint64
	// Gap is true if cache events were lost since the last report.
	Gap bool
}

// Leaving says that an upstream wants no new work.
type Leaving struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
}

// DaemonReply answers an announcement or a report.
type DaemonReply struct {
	// Known is false if the daemon needs the announcement again.
	Known bool
	// Daemons are addresses to report to next.
	Daemons []string
	// Owner is the address of the daemon that owns the upstream, which wants
	// its reports at first hand; empty if there is none.
	Owner string
}

// Order is what all orders to an engine have in common.
type Order struct {
	// ID makes a repeated order recognisable.
	ID string
	// Fence is that of the owner that gives the order.
	Fence ident.Fence
	// Incarnation is that of the engine the order is meant for.
	Incarnation ident.Incarnation
}

// LoadOrder orders an engine to make an adapter resident.
type LoadOrder struct {
	Order
	// Adapter is not zero.
	Adapter ident.Adapter
	// Evict is zero if a slot is free. It must be idle.
	Evict ident.Adapter
}

// UnloadOrder orders an engine to give up an idle adapter.
type UnloadOrder struct {
	Order
	// Adapter is not zero.
	Adapter ident.Adapter
}

// SetRoleOrder orders an engine to change its role.
type SetRoleOrder struct {
	Order
	// Role is a name that the engine knows.
	Role string
}

// Ack is an engine's answer to an order that it has carried out.
type Ack struct {
	// ID and Incarnation are those of the order.
	ID          string
	Incarnation ident.Incarnation
	// Clock is the engine's clock after the order was carried out.
	Clock time.Time
}

// GenerateRequest asks an engine for text.
type GenerateRequest struct {
	// Request is the same when the request is sent again.
	Request ident.Request
	// Model is not empty.
	Model ident.Model
	// Adapter is zero for the bare base model.
	Adapter ident.Adapter
	// Prompt is not empty.
	Prompt prompt.Prompt
	// MaxTokens is positive.
	MaxTokens int
	// Priority is larger for requests to be served earlier.
	Priority int
	// Fence is that of the owner.
	Fence ident.Fence
	// Incarnation is that of the engine the request is meant for.
	Incarnation ident.Incarnation
	// Deadline is zero if there is none.
	Deadline time.Time
	// NoRetry forbids sending the request a second time.
	NoRetry bool
	// Resumes is true if the engine said that it resumes streams.
	Resumes bool
}

// ResumeRequest asks an engine to go on with a stream.
type ResumeRequest struct {
	// Request, Adapter, Fence and Incarnation are those of the [GenerateRequest].
	Request     ident.Request
	Adapter     ident.Adapter
	Fence       ident.Fence
	Incarnation ident.Incarnation
	// Offset is the number of pieces that have arrived.
	Offset int
}

// CancelRequest asks an engine to stop a request.
type CancelRequest struct {
	Request     ident.Request
	Incarnation ident.Incarnation
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	// Method is the HTTP method.
	Method string
	// Path starts with '/' and includes the query.
	Path string
	// Header is passed on as it is.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Key is empty for a request without one.
	Key ident.Key
	// Idempotent allows the call to be sent again.
	Idempotent bool
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	// Header is as the service gave it.
	Header http.Header
	// Body is the whole body.
	Body []byte
}
