package upstream

import (
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// Kind distinguishes engines from plain services.
type Kind string

// The kinds of upstream.
const (
	EngineKind  Kind = "engine"
	ServiceKind Kind = "service"
)

// Announcement describes an upstream; it is sent when the upstream starts and
// whenever a daemon does not know it.
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
	// Address is an IP address and a port.
	Address string
	// DataCentre is not empty.
	DataCentre ident.DataCentre
	// Slots is how many adapters an engine can hold; it is positive for an
	// engine.
	Slots int
	// MaxBatch is how many requests run concurrently; it is positive.
	MaxBatch int
	// HonoursFence is true if orders with an old fencing number are rejected.
	HonoursFence bool
	// Resumes is true if streams can be resumed at an offset.
	Resumes bool
	// IdempotentPaths are the path prefixes of a service below which any
	// method may be retried.
	IdempotentPaths []string
}

// Resident is an adapter that an engine holds in memory.
type Resident struct {
	// Adapter is not zero.
	Adapter ident.Adapter
	// InFlight is how many requests use the adapter; at zero it is idle.
	InFlight int
}

// Report is the state of a running upstream.
type Report struct {
	// Name and Incarnation are those of the announcement.
	Name        ident.Upstream
	Incarnation ident.Incarnation
	// MadeAt is the time of the report by the engine's clock.
	MadeAt time.Time
	// Fence is the largest fencing number seen, zero if the upstream ignores
	// fencing numbers.
	Fence ident.Fence
	// Running and Waiting count requests.
	Running, Waiting int
	// Residents are the adapters that can serve without being loaded.
	Residents []Resident
	// Loading are the adapters that are being loaded.
	Loading []ident.Adapter
	// Prefixes are digests of prompt prefixes that may be cached.
	Prefixes []uint64
	// Gap is true if cache events were lost since the last report.
	Gap bool
}

// Leaving tells a daemon that an upstream accepts no new work.
type Leaving struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
}

// DaemonReply is the answer to each message of an upstream.
type DaemonReply struct {
	// Known is false if the daemon needs the announcement again.
	Known bool
	// Daemons are addresses of other daemons to report to.
	Daemons []string
	// Owner is the address of the daemon that owns the upstream and needs its
	// reports directly; empty if there is none.
	Owner string
}

// Order holds the fields common to all orders to an engine.
type Order struct {
	// ID identifies a retried order.
	ID string
	// Fence is the fencing number of the owner that sends the order.
	Fence ident.Fence
	// Incarnation is the incarnation of the engine that the order is for.
	Incarnation ident.Incarnation
}

// LoadOrder orders an engine to make an adapter resident.
type LoadOrder struct {
	Order
	// Adapter is not zero.
	Adapter ident.Adapter
	// Evict is the adapter to remove first; it must be idle. Evict is zero if
	// a slot is free.
	Evict ident.Adapter
}

// UnloadOrder orders an engine to remove an idle adapter.
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

// Ack is an engine's acknowledgement of a completed order.
type Ack struct {
	// ID and Incarnation are those of the order.
	ID          string
	Incarnation ident.Incarnation
	// Clock is the time by the engine's clock after the order was completed.
	Clock time.Time
}

// GenerateRequest requests text from an engine.
type GenerateRequest struct {
	// Request is the same in every attempt.
	Request ident.Request
	// Model is not empty.
	Model ident.Model
	// Adapter is zero for the bare base model.
	Adapter ident.Adapter
	// Prompt is not empty.
	Prompt prompt.Prompt
	// MaxTokens is positive.
	MaxTokens int
	// Priority is larger for requests that are to be served earlier.
	Priority int
	// Fence is the fencing number of the owner.
	Fence ident.Fence
	// Incarnation is the incarnation of the engine that the request is for.
	Incarnation ident.Incarnation
	// Deadline is zero if there is none.
	Deadline time.Time
	// NoRetry forbids retries.
	NoRetry bool
	// Resumes is true if the engine announced that it resumes streams.
	Resumes bool
}

// ResumeRequest asks an engine to continue a stream.
type ResumeRequest struct {
	// Request, Adapter, Fence and Incarnation are those of the [GenerateRequest].
	Request     ident.Request
	Adapter     ident.Adapter
	Fence       ident.Fence
	Incarnation ident.Incarnation
	// Offset is the number of chunks received so far.
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
	// Header is forwarded unchanged.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Key is empty for a request without one.
	Key ident.Key
	// Idempotent allows the call to be retried.
	Idempotent bool
}

// ServiceAnswer is the response of a plain service.
type ServiceAnswer struct {
	// Status is the HTTP status.
	Status int
	// Header is the header that the service sent.
	Header http.Header
	// Body is the complete body.
	Body []byte
}
