package caller

import (
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
)

// Headers of the dialect.
const (
	// ClassHeader names the class of work.
	ClassHeader = "Papayaspoke-Class"
	// AdapterHeader names the adapter as name@version, in requests and
	// answers.
	AdapterHeader = "Papayaspoke-Adapter"
	// KeyHeader makes a request that may not be repeated recognisable.
	KeyHeader = "Idempotency-Key"
	// DeadlineHeader is either a time as of RFC 3339 or a number of
	// milliseconds from the arrival of the request.
	DeadlineHeader = "Papayaspoke-Deadline"
	// RequestHeader is the request's id, given in every answer.
	RequestHeader = "Papayaspoke-Request"
	// RetriedHeader and SuspectHeader tell an owner what became of a request
	// at another one.
	RetriedHeader = "Papayaspoke-Retried"
	SuspectHeader = "Papayaspoke-Suspect"
	// HopHeader names the daemon that passed the request on.
	HopHeader = "Papayaspoke-Hop"
	// AttemptHeader names the daemon's attempt at a request with a key.
	AttemptHeader = "Papayaspoke-Attempt"
	// UpstreamHeader names the replica that answered.
	UpstreamHeader = "Papayaspoke-Upstream"
)

// Meta is what all requests have in common.
type Meta struct {
	// ID is unique across daemons.
	ID ident.Request
	// Class is as the caller gave it, possibly empty.
	Class ident.Class
	// Key is empty if the caller gave none.
	Key ident.Key
	// Attempt is empty unless a daemon passed the request on with it.
	Attempt ident.Attempt
	// Arrival is when the request had arrived whole.
	Arrival time.Time
	// Deadline is zero if the caller gave none.
	Deadline time.Time
	// ForwardedBy is the daemon that passed the request on, empty if it came from a
	// caller. A request with a hop must not be passed on.
	ForwardedBy ident.Daemon
	// Retried is true if the request may have run at another owner already,
	// Suspect if an upstream crashed meanwhile. Only daemons set them.
	Retried, Suspect bool
}

// InferRequest is a request for text from a model.
type InferRequest struct {
	Meta
	// Adapter is zero if the caller asked for the bare base model.
	Adapter ident.Adapter
	// Model is empty if the caller named only an adapter.
	Model ident.Model
	// Prompt is not empty.
	Prompt prompt.Prompt
	// MaxTokens is positive.
	MaxTokens int
	// Stream asks for the answer piece by piece.
	Stream bool
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Meta
	// Service is not empty.
	Service ident.Service
	// Method is the HTTP method.
	Method string
	// Path is the rest of the path, starting with '/', with the query.
	Path string
	// Header holds what is passed on to the service.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// ServiceReply is the answer of a plain service.
type ServiceReply struct {
	// Status is the HTTP status of the service.
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Upstream is the replica that answered, empty for a stored answer.
	Upstream ident.Upstream
}

// DirectoryQuery asks which addresses to use.
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
	// Addresses are in the order in which to try them, each an IP number and
	// a port.
	Addresses []string
	// ExpiresAt is when the caller must ask again.
	ExpiresAt time.Time
}

// Answer is text as it is made. It is used by one goroutine.
type Answer struct {
	adapter  ident.Adapter
	model    ident.Model
	upstream ident.Upstream
	next     func() (string, error)
	end      func()
}

// NewAnswer returns an answer by the given replica with the given adapter and
// model. The function next returns a piece of text, [io.EOF] after the last
// one, or any other error if the answer can not be completed; end is called
// once when no more is wanted.
func NewAnswer(adapter ident.Adapter, model ident.Model, upstream ident.Upstream, next func() (string, error), end func()) *Answer {
	return &Answer{adapter: adapter, model: model, upstream: upstream, next: next, end: end}
}

// WithOnClose returns the answer with f called after its own end.
func (a *Answer) WithOnClose(f func()) *Answer {
	c, end := *a, a.end
	c.end = func() {
		end()
		f()
	}
	return &c
}

// Adapter returns the adapter that made the answer.
func (a *Answer) Adapter() ident.Adapter { return a.adapter }

// Model returns the base model that made the answer.
func (a *Answer) Model() ident.Model { return a.model }

// Upstream returns the replica that made the answer.
func (a *Answer) Upstream() ident.Upstream { return a.upstream }

// Next returns the next piece of text, or [io.EOF] after the last one.
func (a *Answer) Next() (string, error) { return a.next() }

// Close gives up what is left of the answer.
func (a *Answer) Close() { a.end() }

// name is what the dialect calls the model.
func (a *Answer) name() string {
	if !a.adapter.IsZero() {
		return a.adapter.String()
	}
	return string(a.model)
}
