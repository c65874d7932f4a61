package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
)

// Request is a request of a client.
type Request struct {
	// ID is the client's own id of this attempt, possibly empty.
	ID                   string
	Method, Host, Target string
	// Path is the target's path without its query.
	Path string
	// Header is what is sent on to the replica; it belongs to the request.
	Header http.Header
	Body   []byte
	// Arrival is when the request had arrived whole.
	Arrival time.Time
	// Deadline is when the client gives up; zero if it did not say.
	Deadline time.Time
	// Weights are the model and adapter asked for, zero if none.
	Weights placement.Weights
	// Tokens is the length of the prompt, 0 if there is none.
	Tokens int
	// LastEvent is the number of the last event that the client has, from a
	// stream that was cut; empty if it asks for all.
	LastEvent string
}

// Send is what a dialect adds to a request on its way to a replica.
type Send struct {
	Replica ident.Upstream
	// Left is how long the client still waits.
	Left time.Duration
	// Version is the version that the adapter must have, 0 for any.
	Version uint64
	// Priority ranks the request at the replica; 0 is the most urgent.
	Priority int
	// LastEvent is the number of the last event that the client has.
	LastEvent string
}

// Head is what a dialect reads from the head of a replica's answer.
type Head struct {
	// ID is the id of the request that the answer is for, empty if it names
	// none.
	ID string
	// NotRun is true if the replica says that it did not run the request.
	NotRun bool
	// Absent is true if it does not hold what was asked for, or is another
	// replica than the one meant.
	Absent bool
	// Replica names the replica that answered, empty if it does not say so.
	Replica ident.Upstream
}

// Dialect maps to and from the headers that replicas speak.
type Dialect struct {
	Prepare func(h http.Header, s Send)
	Read    func(status int, h http.Header) Head
	// Refuse answers a client with an error of the system's own.
	Refuse func(w http.ResponseWriter, err *result.Error, now time.Time)
}

// Config is what a [Gateway] is made from.
type Config struct {
	DataCentre     ident.DataCentre
	Client         *client.Client
	Dialect        Dialect
	Log            logr.Logger
	RetryAllowance balance.RetryBudget
	Clock          func() time.Time
	// CoalesceDelay is how long pieces of a stream wait for others, so that they
	// travel together; 0 sends each at once.
	CoalesceDelay time.Duration
	// ReservePrefill books the reading of a prompt at a replica and returns when to send
	// it; ok is false if nobody could be asked in time.
	ReservePrefill func(ctx context.Context, r balance.Replica, p pace.Prompt) (t pace.Reservation, ok bool)
	// RequestAdmission books a request at the door of a replica that refuses work and
	// returns when to send it; ok is false if nobody could be asked in time.
	RequestAdmission func(ctx context.Context, r balance.Replica, a pace.AdmissionRequest) (t pace.Reservation, ok bool)
	// Probe asks a replica for a sign of life over a new connection.
	Probe func(ctx context.Context, r balance.Replica) bool
	// Observe is told of every finished request.
	Observe func(o Observation)
}

// Observation is what metrics learn of one request.
type Observation struct {
	Route string
	Code  result.Code
	// Replica is the one that answered, empty if none did.
	Replica ident.Upstream
	// TimeToFirstByte is the time to the first byte of the answer, TotalTime that to its
	// end.
	TimeToFirstByte, TotalTime time.Duration
	Sends                      int
	// StreamEnds counts what ended streams of the request before their last event.
	StreamEnds []EndedBy
}

// demand is what requests of one daemon wait for.
type demand struct {
	service ident.Service
	version uint64
	waiting int
	// inTime is until when a load may begin for one of the requests to be
	// answered in time.
	inTime time.Time
	missed ident.Upstream
}

// Gateway is used by many goroutines.
type Gateway struct {
	Config

	table atomic.Pointer[routes.Table]
	named atomic.Pointer[map[placement.Weights]RequiredVersion]
	// wanted has room for one: it tells that somebody waits.
	wanted   chan struct{}
	draining atomic.Bool

	mu       sync.Mutex
	balancer *balance.Balancer
	retries  map[ident.Service]*balance.RetryLimiter
	demands  map[placement.Weights]*demand
	// learners hold what was learned of the engines of each service.
	learners map[ident.Service]*pace.RateEstimator
	// daemons is how many daemons share the allowance of retries.
	daemons int
	// changed is closed and replaced whenever more may be possible.
	changed chan struct{}
}

// RequiredVersion is a version that was named for an adapter.
type RequiredVersion struct {
	Version uint64
	// Since is when this daemon learned of it.
	Since time.Time
}

// New returns a gateway that knows no routes and no replicas.
func New(c Config) *Gateway {
	g := &Gateway{
		Config: c, wanted: make(chan struct{}, 1), changed: make(chan struct{}),
		balancer: balance.New(c.DataCentre),
		retries:  make(map[ident.Service]*balance.RetryLimiter),
		demands:  make(map[placement.Weights]*demand),
		learners: make(map[ident.Service]*pace.RateEstimator),
	}
	g.named.Store(&map[placement.Weights]RequiredVersion{})
	g.balancer.SetStartedAt(c.Clock())
	return g
}

// SetTable puts a routing table in force.
func (g *Gateway) SetTable(t *routes.Table) {
	g.table.Store(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake()
}

// startMost is how long a request waits for the routing document of a daemon
// that has just started: an election and a read of the log take less.
const startMost = time.Second

// awaitTable returns the routing table, nil if this daemon learns of none in
// time.
func (g *Gateway) awaitTable(ctx context.Context, r Request) *routes.Table {
	if t := g.table.Load(); t != nil {
		return t
	}
	ctx, cancel := context.WithDeadline(ctx, r.Arrival.Add(startMost))
	defer cancel()
	for {
		g.mu.Lock()
		changed := g.changed
		g.mu.Unlock()
		if t := g.table.Load(); t != nil {
			return t
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Table returns the routing table in force, nil if there is none yet.
func (g *Gateway) Table() *routes.Table { return g.table.Load() }

// SetRequiredVersions tells which versions of adapters are to be used.
func (g *Gateway) SetRequiredVersions(named map[placement.Weights]RequiredVersion) {
	g.named.Store(&named)
}

// SetReplicas tells which replicas there are, and how many daemons share the
// allowance of retries.
func (g *Gateway) SetReplicas(rs []balance.Replica, daemons int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetReplicas(rs)
	g.daemons = daemons
	g.wake()
}

// ApplyPlacerAnswer takes in what the placer said.
func (g *Gateway) ApplyPlacerAnswer(a placement.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.balancer.ApplyAnswer(g.Clock(), a) {
		g.wake()
	}
}

// StoreEstimate returns what placers have learned of the weight store.
func (g *Gateway) StoreEstimate() placement.StoreEstimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.StoreEstimate()
}

// HasDemand reports whether requests wait for weights here.
func (g *Gateway) HasDemand() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.demands) > 0
}

// wake lets waiting requests look again. The mutex is held.
func (g *Gateway) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// DemandSignal is readable after requests have begun to wait for weights.
func (g *Gateway) DemandSignal() <-chan struct{} { return g.wanted }

// Usage returns what to tell the placer.
func (g *Gateway) Usage() placement.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.balancer.Usage(g.Clock())
	for w, d := range g.demands {
		u.Demands = append(u.Demands, placement.Demand{
			Service: d.service, Weights: w, Version: d.version, Waiting: d.waiting, StartDeadline: d.inTime, MissingAt: d.missed,
		})
		d.missed = ""
		if d.waiting == 0 {
			delete(g.demands, w)
		}
	}
	return u
}

// State is what the gateway knows, for the dump of state.
type State struct {
	RoutingVersion   uint64
	Routes           int
	PlacerAnsweredAt time.Time
	WaitingRequests  int
	Ejected          []ident.Upstream
	RetriesLeft      map[ident.Service]int
	Replicas         int
}

// State returns what the gateway knows.
func (g *Gateway) State() State {
	now := g.Clock()
	s := State{RetriesLeft: make(map[ident.Service]int)}
	if t := g.table.Load(); t != nil {
		s.RoutingVersion, s.Routes = t.Version(), t.Len()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.PlacerAnsweredAt, s.Ejected = g.balancer.PlacerAnsweredAt(), g.balancer.Ejected(now)
	for _, d := range g.demands {
		s.WaitingRequests += d.waiting
	}
	for name, r := range g.retries {
		s.RetriesLeft[name] = r.Remaining(now, g.daemons)
	}
	return s
}

// Drain makes the gateway refuse new requests, as not run.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Serve answers one request of a client. The context ends when the client is
// gone.
func (g *Gateway) Serve(ctx context.Context, w http.ResponseWriter, r Request) {
	t := g.awaitTable(ctx, r)
	if t == nil {
		g.refuse(w, r, result.New(result.NoRouting, "this daemon has not learned the routing document yet").WithRetryAfter(g.Clock().Add(refusalPause)))
		return
	}
	rt := t.Lookup(r.Host, r.Path)
	if rt == nil {
		g.refuse(w, r, result.New(result.NoRoute, "%s%s in version %d", r.Host, r.Path, t.Version()))
		return
	}
	if g.draining.Load() {
		g.refuse(w, r, result.New(result.Draining, "the daemon stops").WithRetryAfter(g.Clock()))
		return
	}
	x := &exchange{
		g: g, w: w, r: r, route: rt, service: t.Service(rt.PickService(rand.Float64())),
		deadline: r.Arrival.Add(rt.Timeout), routing: t.Version(),
		version: g.versionOf(r.Weights),
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(x.deadline) {
		x.deadline = r.Deadline
	}
	if r.Weights.Model != "" && x.service.Engine == nil {
		x.r.Weights = placement.Weights{}
	}
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	g.request(x.service.Name)
	x.run(ctx)
	x.observe()
}

// refusalPause is when a client that was refused may come back: by then the
// table or a replica may have turned up.
const refusalPause = 500 * time.Millisecond

func (g *Gateway) refuse(w http.ResponseWriter, r Request, err *result.Error) {
	g.Log.Info("refused", "request", r.ID, "code", int(err.Code()), "error", err.Error())
	g.Dialect.Refuse(w, err, g.Clock())
	g.Observe(Observation{Code: err.Code(), TotalTime: g.Clock().Sub(r.Arrival)})
}

// graceOfVersion is how long an older version of an adapter may still be used
// after a new one was named: the new one has to be fetched first.
const graceOfVersion = 2500 * time.Millisecond

// versionOf returns the least version of an adapter that will do.
func (g *Gateway) versionOf(w placement.Weights) uint64 {
	n, ok := (*g.named.Load())[w]
	if !ok || g.Clock().Sub(n.Since) < graceOfVersion {
		return 0
	}
	return n.Version
}

func (g *Gateway) request(s ident.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.retries[s]
	if r == nil {
		r = balance.NewRetryLimiter(g.Clock(), g.RetryAllowance)
		g.retries[s] = r
	}
	r.AddRequest(g.Clock())
}

// mayRepeat takes one repeat from the allowance of a service.
func (g *Gateway) mayRepeat(s ident.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retries[s].Take(g.Clock(), g.daemons)
}

// takes reports whether the replica of a choice still takes requests.
func (g *Gateway) takes(c balance.Choice) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.StillAccepts(c)
}

func (g *Gateway) done(c balance.Choice, o balance.Outcome, took time.Duration) {
	now := g.Clock()
	g.mu.Lock()
	until, out := g.balancer.Done(now, c, o, took).Get()
	g.mu.Unlock()
	if out {
		g.Log.Info("replica left out", "replica", c.Replica.Name, "outcome", o.String(), "for", until.Sub(now).Milliseconds())
	}
}

// rates returns what was learned of the engines of a service.
func (g *Gateway) rates(s ident.Service) pace.Rates {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.learners[s]; l != nil {
		return l.Rates()
	}
	return pace.DefaultRates()
}

// learn takes in how an engine answered a whole request.
func (g *Gateway) learn(x *exchange, first time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.learners[x.service.Name]
	if l == nil {
		l = &pace.RateEstimator{}
		g.learners[x.service.Name] = l
	}
	l.AddFirstChunk(x.r.Tokens, first, x.alone)
	l.AddStream(x.later*max(x.service.Engine.TokensPerChunk, 1), x.pieceAt.Sub(x.firstAt))
}

// booked notes until when a replica has prompts to read.
func (g *Gateway) booked(c balance.Choice, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.PrefillReserved(c.Replica.Name, at)
}
