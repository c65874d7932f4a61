package routes

import (
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Kind tells whether requests may be retried.
type Kind uint8

const (
	// Idempotent means that requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce means that requests may run at most once.
	AtMostOnce
	// Stream means that requests are answered by a series of events. They may
	// run at most once, unless the route is resumable.
	Stream
)

// Share is a service and its share of a route's requests.
type Share struct {
	Service ident.Service
	// Weight is not negative.
	Weight int
}

// Route describes how to handle requests for one host and path prefix. Times are
// relative to the arrival of a request, as in the operator's document.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares is not empty, and not all weights are 0.
	Shares []Share
	// Timeout is positive.
	Timeout time.Duration
	// FirstByteTarget is the target for the time to the first byte; 0 if not
	// specified.
	FirstByteTarget time.Duration
	// MaxPause is the target for the longest pause between two chunks of a
	// stream; 0 if not specified.
	MaxPause time.Duration
	// MaxAttempts is the maximum number of replicas that may run one request;
	// at least 1.
	MaxAttempts int
	// Priority ranks the routes of one service; 0 is the most urgent.
	Priority int
	// Resumable is true if another replica may continue an interrupted stream.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model that replicas of a service can run.
type Model struct {
	Name ident.Model
	// LoadTime is the duration of a load from the weight store. MemoryTime and
	// DiskTime are the durations of a load from the replica's own memory or
	// disk. Each is 0 if not specified.
	LoadTime, MemoryTime, DiskTime time.Duration
}

// Engine describes the replicas of a service that runs models.
type Engine struct {
	// MaxBatch is the number of requests that a replica runs at the same time.
	MaxBatch int
	// AdapterSlots is the number of adapter slots of a replica.
	AdapterSlots int
	Models       []Model
	// LoadsPerSecond is the rate at which the weight store can start loads of
	// base models.
	LoadsPerSecond float64
	// TokensPerChunk is the number of tokens in one chunk of a stream.
	TokensPerChunk int
	// CacheTokens is the size of a replica's KV cache in tokens.
	CacheTokens int
}

// Service is a group of replicas that answer the same requests.
type Service struct {
	Name ident.Service
	// MaxConnections is the maximum number of connections that a replica
	// accepts from all daemons together; 0 if not specified.
	MaxConnections int
	// Engine is nil for a service that runs no models.
	Engine *Engine
}

// Limits holds the limits for what a client sends; 0 means not specified.
type Limits struct {
	// The maximum sizes of the header and the body of a request in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	// The timeouts for receiving the header of a request and for an idle
	// connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is the content of a routing document. It is immutable.
type Table struct {
	version  uint64
	limits   Limits
	services map[ident.Service]*Service
	// hosts maps each normalized host to its routes by prefix.
	hosts map[string]map[string]*Route
	count int
}

// New returns a table, or an error with code [result.ChangeInvalid] if the
// routes or services are invalid.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, count: len(routes),
		services: make(map[ident.Service]*Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
	}
	for i := range services {
		s := &services[i]
		if s.Name == "" || t.services[s.Name] != nil {
			return nil, result.New(result.ChangeInvalid, "service name %q is empty or a duplicate", s.Name)
		}
		t.services[s.Name] = s
	}
	for i := range routes {
		if err := t.add(&routes[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if err := t.check(r); err != nil {
		return err
	}
	host := normalizeHost(r.Host)
	byPrefix := t.hosts[host]
	if byPrefix == nil {
		byPrefix = make(map[string]*Route)
		t.hosts[host] = byPrefix
	}
	if old := byPrefix[r.Prefix]; old != nil {
		return result.New(result.ChangeInvalid, "routes %q and %q have the same host and prefix", old.Name, r.Name)
	}
	byPrefix[r.Prefix] = r
	return nil
}

func (t *Table) check(r *Route) error {
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return result.New(result.ChangeInvalid, "route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return result.New(result.ChangeInvalid, "route %q: timeout must be positive", r.Name)
	}
	sum := 0
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return result.New(result.ChangeInvalid, "route %q: service %q is not defined in the document", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return result.New(result.ChangeInvalid, "route %q: weight %d of service %q is negative", r.Name, s.Weight, s.Service)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return result.New(result.ChangeInvalid, "route %q: no service has a positive weight", r.Name)
	}
	return nil
}

// Version returns the version that the operator gave to the document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for what a client sends.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns a service, or nil if the document does not define it.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Services returns the services by name. The map must not be modified.
func (t *Table) Services() map[ident.Service]*Service { return t.services }

// Lookup returns the route of the host whose prefix is the longest that matches
// the path, or nil if there is none.
func (t *Table) Lookup(host, path string) *Route {
	byPrefix := t.hosts[normalizeHost(host)]
	if byPrefix == nil {
		return nil
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := byPrefix[path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}

// normalizeHost returns host in lower case and without a port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService returns the service for a request, chosen by weight. draw is a
// uniform random number in [0, 1).
func (r *Route) PickService(draw float64) ident.Service {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	remaining := draw * float64(sum)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
