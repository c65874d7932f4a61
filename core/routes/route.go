package routes

import (
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Kind tells what may be repeated.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests may run at most once.
	AtMostOnce
	// Stream requests are answered by a series of events. They may run at most
	// once, unless the route is resumable.
	Stream
)

// Share is a service and its share of a route's requests.
type Share struct {
	Service ident.Service
	// Weight is not negative.
	Weight int
}

// Route says where requests of one host and path prefix go. Limits are
// relative to a request's arrival, as the operator stated them.
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
	// FirstByteTarget is the time to the first byte that the operator aims at; 0 if
	// none was stated.
	FirstByteTarget time.Duration
	// MaxPause is the longest pause between the pieces of a stream that is still
	// on time; 0 if none was stated.
	MaxPause time.Duration
	// MaxAttempts is how many replicas may run one request; at least 1.
	MaxAttempts int
	// Priority ranks routes of one service; 0 is the most urgent.
	Priority int
	// Resumable streams may go on at another replica.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a base model that replicas of a service can run.
type Model struct {
	Name ident.Model
	// LoadTime is how long a load from the weight store takes, MemoryTime and
	// DiskTime one from a copy that the replica has itself; 0 if not stated.
	LoadTime, MemoryTime, DiskTime time.Duration
}

// Engine describes the replicas of a service that runs models.
type Engine struct {
	// MaxBatch is how many requests a replica runs together.
	MaxBatch int
	// AdapterSlots is how many adapters a replica holds.
	AdapterSlots int
	Models       []Model
	// LoadsPerSecond is how many base models the weight store hands out.
	LoadsPerSecond float64
	// TokensPerChunk is how many tokens make a piece of a stream.
	TokensPerChunk int
	// CacheTokens is the memory of a replica, in tokens.
	CacheTokens int
}

// Service is a group of replicas that answer the same requests.
type Service struct {
	Name ident.Service
	// MaxConnections is how many connections a replica takes from all daemons
	// together; 0 if no bound was stated.
	MaxConnections int
	// Engine is nil for a service that runs no models.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes, 0 for no stated bound.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long the head of a request may take to arrive, and IdleTimeout
	// how long a connection may be idle; 0 for no stated bound.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is a whole routing document. It is not changed once made.
type Table struct {
	version  uint64
	limits   Limits
	services map[ident.Service]*Service
	// hosts holds the routes of each host by prefix.
	hosts map[string]map[string]*Route
	count int
}

// New returns the table, or an error with code [result.ChangeInvalid] that
// names what is wrong.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, count: len(routes),
		services: make(map[ident.Service]*Service, len(services)),
		hosts:    make(map[string]map[string]*Route),
	}
	for i := range services {
		s := &services[i]
		if s.Name == "" || t.services[s.Name] != nil {
			return nil, result.New(result.ChangeInvalid, "service %q is named twice or has no name", s.Name)
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
	host := hostOf(r.Host)
	at := t.hosts[host]
	if at == nil {
		at = make(map[string]*Route)
		t.hosts[host] = at
	}
	if old := at[r.Prefix]; old != nil {
		return result.New(result.ChangeInvalid, "routes %q and %q have the same host and prefix", old.Name, r.Name)
	}
	at[r.Prefix] = r
	return nil
}

func (t *Table) check(r *Route) error {
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return result.New(result.ChangeInvalid, "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return result.New(result.ChangeInvalid, "route %q: the timeout is not positive", r.Name)
	}
	sum := 0
	for _, s := range r.Shares {
		if t.services[s.Service] == nil {
			return result.New(result.ChangeInvalid, "route %q: service %q is not in the document", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return result.New(result.ChangeInvalid, "route %q: weight %d of service %q is negative", r.Name, s.Weight, s.Service)
		}
		sum += s.Weight
	}
	if sum == 0 {
		return result.New(result.ChangeInvalid, "route %q: no service has a weight", r.Name)
	}
	return nil
}

// Version returns the operator's number of the document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Service returns a service, or nil if the document does not name it.
func (t *Table) Service(name ident.Service) *Service { return t.services[name] }

// Services returns the services by name. The map must not be changed.
func (t *Table) Services() map[ident.Service]*Service { return t.services }

// Lookup returns the route of the host with the longest prefix of the path,
// or nil.
func (t *Table) Lookup(host, path string) *Route {
	at := t.hosts[hostOf(host)]
	if at == nil {
		return nil
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		if r := at[path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}

// hostOf returns a host without its port and in lower case.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// PickService returns the service for a request; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) ident.Service {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := draw * float64(sum)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
