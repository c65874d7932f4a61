package caller

import (
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// Headers of the caller interface.
const (
	// ClassHeader names the class of the request.
	ClassHeader = "Papayaspoke-Class"
	// AdapterHeader names the adapter as name@version, in requests and
	// responses.
	AdapterHeader = "Papayaspoke-Adapter"
	// KeyHeader identifies a request that must not run twice.
	KeyHeader = "Idempotency-Key"
	// DeadlineHeader is either an RFC 3339 time or a number of milliseconds
	// from the arrival of the request.
	DeadlineHeader = "Papayaspoke-Deadline"
	// RequestHeader is the request's id, set in every response.
	RequestHeader = "Papayaspoke-Request"
	// RetriedHeader and SuspectHeader report to an owner what happened to a
	// request at another owner; see [Meta].
	RetriedHeader = "Papayaspoke-Retried"
	SuspectHeader = "Papayaspoke-Suspect"
	// HopHeader names the daemon that forwarded the request.
	HopHeader = "Papayaspoke-Hop"
	// AttemptHeader identifies a daemon's attempt at a request with a key.
	AttemptHeader = "Papayaspoke-Attempt"
	// UpstreamHeader names the replica that answered.
	UpstreamHeader = "Papayaspoke-Upstream"
)

// Meta holds the fields common to all requests.
type Meta struct {
	// ID is unique across daemons.
	ID ident.Request
	// Class is empty if the caller set none.
	Class ident.Class
	// Key is empty if the caller set none.
	Key ident.Key
	// Attempt is empty unless a daemon forwarded the request with one.
	Attempt ident.Attempt
	// Arrival is when the request had been received completely.
	Arrival time.Time
	// Deadline is zero if the caller set none.
	Deadline time.Time
	// ForwardedBy is the daemon that forwarded the request, empty if it came from a
	// caller. A forwarded request must not be forwarded again.
	ForwardedBy ident.Daemon
	// Retried is true if the request may already have run at another owner,
	// Suspect if an upstream crashed while it did. Only daemons set them.
	Retried, Suspect bool
}

// InferRequest is a request for inference.
type InferRequest struct {
	Meta
	// Adapter is zero for the base model without an adapter.
	Adapter ident.Adapter
	// Model is empty if the caller named only an adapter.
	Model ident.Model
	// Prompt is not empty.
	Prompt prompt.Prompt
	// MaxTokens is positive.
	MaxTokens int
	// Stream requests the answer as a stream of chunks.
	Stream bool
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Meta
	// Service is not empty.
	Service ident.Service
	// Method is the HTTP method.
	Method string
	// Path is the path after the service's name, starting with '/', with the
	// query.
	Path string
	// Header holds the headers to forward to the service.
	Header http.Header
	// Body is the complete body.
	Body []byte
}

// ServiceReply is the answer of a plain service.
type ServiceReply struct {
	// Status is the HTTP status of the service.
	Status int
	// Header holds the headers to forward to the caller.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Upstream is the replica that answered, empty for an answer from the
	// ledger.
	Upstream ident.Upstream
}

// DirectoryQuery asks which daemon addresses to use.
type DirectoryQuery struct {
	// Adapter is zero if the caller named none.
	Adapter ident.Adapter
	// Class is empty if the caller named none.
	Class ident.Class
	// Service is empty if the caller named none.
	Service ident.Service
}

// Directory answers a [DirectoryQuery].
type Directory struct {
	// Addresses lists the addresses in the order in which to try them, each
	// an IP address and a port.
	Addresses []string
	// ExpiresAt is when the caller must query again.
	ExpiresAt time.Time
}

// Answer is a stream of generated text. It must not be used concurrently.
type Answer struct {
	adapter   ident.Adapter
	model     ident.Model
	upstream  ident.Upstream
	nextChunk func() (string, error)
	release   func()
}

// NewAnswer returns an answer by the given replica with the given adapter and
// model. The function next returns a chunk of text, [io.EOF] after the last
// one, or any other error if the answer cannot be completed; end is called
// once, when the answer is closed.
func NewAnswer(adapter ident.Adapter, model ident.Model, upstream ident.Upstream, next func() (string, error), end func()) *Answer {
	return &Answer{adapter: adapter, model: model, upstream: upstream, nextChunk: next, release: end}
}

// WithOnClose returns a copy whose Close also calls f, after the original end
// function.
func (a *Answer) WithOnClose(f func()) *Answer {
	c, end := *a, a.release
	c.release = func() {
		end()
		f()
	}
	return &c
}

// Adapter returns the adapter that generates the answer.
func (a *Answer) Adapter() ident.Adapter { return a.adapter }

// Model returns the base model that generates the answer.
func (a *Answer) Model() ident.Model { return a.model }

// Upstream returns the replica that generates the answer.
func (a *Answer) Upstream() ident.Upstream { return a.upstream }

// Next returns the next chunk of text, or [io.EOF] after the last one.
func (a *Answer) Next() (string, error) { return a.nextChunk() }

// Close abandons the rest of the answer and releases its resources.
func (a *Answer) Close() { a.release() }

// modelName returns the value of the model field: the adapter if there is one,
// else the base model.
func (a *Answer) modelName() string {
	if !a.adapter.IsZero() {
		return a.adapter.String()
	}
	return string(a.model)
}
