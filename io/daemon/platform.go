package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/appoint"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/core/state"
	"papayaspoke/io/gateway"
	"papayaspoke/io/settings"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// Target says which replica an order or a question is for.
type Target struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	Address     string
}

// Dialect is how a platform's replicas and operators speak. Its functions are
// called by many goroutines.
type Dialect struct {
	Gateway gateway.Dialect
	// Routes reads a routing document. It must return the same for the same
	// document on every daemon.
	Routes func(document []byte) (*routes.Table, error)
	// Order gives a replica an order.
	Order func(ctx context.Context, c *client.Client, t Target, o placement.Order, holder ident.Daemon, fence ident.Fence) placement.Verdict
	// Probe asks a replica for a sign of life over a new connection.
	Probe func(ctx context.Context, c *client.Client, t Target) error
	// Listing asks a replica what it holds.
	Listing func(ctx context.Context, c *client.Client, t Target) (placement.Listing, error)
}

// Platform is the part of a daemon that serves a platform's routes.
type Platform struct {
	d       *Daemon
	dialect Dialect
	gateway *gateway.Gateway
	// replicas is the client for orders and requests to replicas.
	replicas *client.Client
	// version is that of the routing document in force.
	version atomic.Uint64
	servers []*server.Server
	stopped atomic.Bool
}

// Platform returns the part that serves a platform's routes, nil if the
// settings have none.
func (d *Daemon) Platform() *Platform { return d.platform }

func newPlatform(d *Daemon, dialect Dialect) *Platform {
	conns := client.NewForReplicas(d.settings.Platform().Front().Addr())
	return &Platform{
		d: d, dialect: dialect, replicas: conns,
		gateway: gateway.New(gateway.Config{
			DataCentre: d.dataCentre, Client: conns, Dialect: dialect.Gateway, Log: d.log,
			RetryAllowance: d.settings.Platform().RetryAllowance(), Clock: d.clock, Observe: newRoutedMeter(d.metrics.Scope()).observe, ReservePrefill: d.book, RequestAdmission: d.bookDoor,
			CoalesceDelay: d.settings.Platform().CoalesceDelay(),
			Probe: func(ctx context.Context, r balance.Replica) bool {
				return dialect.Probe(ctx, conns, Target{Replica: r.Name, Incarnation: r.Incarnation, Address: r.Address}) == nil
			},
		}),
	}
}

// Gateway returns what answers requests of clients.
func (p *Platform) Gateway() *gateway.Gateway { return p.gateway }

// Settings returns the settings of the platform.
func (p *Platform) Settings() settings.Platform { return p.d.settings.Platform() }

// Listen serves h on an address until the platform is shut down.
func (p *Platform) Listen(addr string, h http.Handler, o server.Options) error {
	o.Log = p.d.log
	s, err := server.Listen(addr, h, o)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, s)
	return nil
}

// Ready reports whether clients may be sent here: the daemon is not about to
// stop and knows a routing document.
func (p *Platform) Ready() bool { return !p.stopped.Load() && p.version.Load() > 0 }

// Addresses returns where clients in a data centre may connect: the daemons
// there, or all if there are too few.
func (p *Platform) Addresses(centre ident.DataCentre) []string {
	v := p.d.view.Load()
	var near, all []string
	for _, name := range sortedKeys(v.daemons) {
		i := v.daemons[name]
		if i.draining || i.suspected || i.front == "" {
			continue
		}
		all = append(all, i.front)
		if i.dataCentre == centre {
			near = append(near, i.front)
		}
	}
	if len(near) >= minNear {
		return near
	}
	return all
}

// minNear is how many daemons of its own data centre are enough for a client:
// with one, its end would leave the client without an address.
const minNear = 2

// PutRouting commits a routing document. It returns once the document is
// durable; the daemons that are in touch have it in force soon after.
func (p *Platform) PutRouting(ctx context.Context, version uint64, document []byte) error {
	if version <= p.version.Load() {
		// A higher version is in force here, so it was committed.
		return nil
	}
	return p.commit(ctx, state.PutRouting{Version: version, Document: document})
}

// NameVersion commits the version of an adapter that is to be used.
func (p *Platform) NameVersion(ctx context.Context, n state.NamedVersion) error {
	return p.commit(ctx, state.NameVersion(n))
}

func (p *Platform) commit(ctx context.Context, c state.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitWithin)
	defer cancel()
	a, err := p.d.proposer.propose(ctx, c)
	if err != nil {
		return err
	}
	if a.code != result.OK {
		return result.New(result.Pending, "durable at index %d", a.index)
	}
	if a.outcome.Code != result.OK {
		return a.outcome.Err()
	}
	return nil
}

const (
	// commitWithin bounds an operator's change. Operators ask elsewhere after
	// a second, and resend.
	commitWithin = 900 * time.Millisecond
	// readWithin bounds a linearizable read for an operator.
	readWithin = 700 * time.Millisecond
)

// Routing returns the newest committed routing document: whatever was
// acknowledged before the call is in it. It fails if no leader answers.
func (p *Platform) Routing(ctx context.Context) (state.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	if _, err := p.d.catchUp(ctx); err != nil {
		return state.Routing{}, err
	}
	return p.d.view.Load().state.Routing(), nil
}

// Announcement is what a replica says of itself.
type Announcement struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	// Sequence grows with each announcement of one incarnation.
	Sequence   uint64
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	Slots      int
	Leaving    bool
	Holdings   []placement.Holding
	// InMemory and OnDisk are as in [placement.Listing].
	InMemory, OnDisk []ident.Model
}

// Announce takes in what a replica says. Once it returns without an error,
// what was said is spread.
func (p *Platform) Announce(ctx context.Context, a Announcement) error {
	return p.d.ctl.call(ctx, func(now time.Time) { p.d.ctl.heard(now, a) })
}

// Leave takes in that a replica takes no more work.
func (p *Platform) Leave(ctx context.Context, name ident.Upstream) error {
	return p.d.ctl.call(ctx, func(now time.Time) { p.d.ctl.gone(now, name) })
}

// goneSequence is added to a replica's own numbers when it says for good that
// it leaves, so that no announcement under way can bring it back.
const goneSequence = 1 << 40

// heard takes in an announcement. One that is older than what is known says
// nothing new, but it is no mistake of the replica.
func (c *control) heard(now time.Time, a Announcement) {
	u := membership.Upstream{
		Name: a.Replica, Version: membership.Version{Incarnation: a.Incarnation, Sequence: a.Sequence},
		Kind: membership.Routed, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre,
		Slots: uint32(max(a.Slots, 0)), Leaving: a.Leaving, Deadline: now.Add(announcedFor),
	}
	old, known := c.members.Upstream(a.Replica)
	if known && old.Version.Compare(u.Version) >= 0 {
		return
	}
	if !known || old.Leaving != u.Leaving || old.Version.Incarnation != u.Version.Incarnation {
		c.log.Info("replica announced", "replica", a.Replica, "service", a.Service, "address", a.Address, "leaving", a.Leaving, "incarnation", uint64(a.Incarnation))
	}
	c.stepMembers(now, membership.Announce{Upstream: u})
	if t := c.placing.table; t != nil && t.Service(a.Service) != nil && t.Service(a.Service).Engine != nil {
		c.listings = append(c.listings, placement.Listing{
			Replica: a.Replica, Incarnation: a.Incarnation, MadeAt: now.Add(-listingAge),
			Holdings: a.Holdings, InMemory: a.InMemory, OnDisk: a.OnDisk,
		})
	}
}

// listingAge is how old the state in an announcement can be when it arrives.
const listingAge = 800 * time.Millisecond

func (c *control) gone(now time.Time, name ident.Upstream) {
	u, ok := c.members.Upstream(name)
	if !ok || u.Leaving && u.Version.Sequence >= goneSequence {
		return
	}
	c.log.Info("replica leaves", "replica", name)
	u.Leaving = true
	u.Version.Sequence += goneSequence
	u.Deadline = now.Add(announcedFor)
	c.stepMembers(now, membership.Announce{Upstream: u})
}

// Drain ends service: the platform learns that this daemon is not ready and
// others leave it out of the addresses; requests that have arrived are
// answered to their end. It returns when all is done or the context ends.
func (p *Platform) Drain(ctx context.Context) {
	p.stopped.Store(true)
	now := p.d.clock()
	_ = p.d.ctl.call(ctx, func(now time.Time) { p.d.ctl.beginDrain(now, now.Add(p.Settings().DirectoryTTL())) })
	closing := now.Add(p.Settings().StopGrace() * 3 / 8)
	_ = pause(ctx, closing.Sub(now))
	p.gateway.Drain()
	for _, s := range p.servers {
		_ = s.Shutdown(ctx)
	}
}

// tableChanged puts a new routing document in force.
func (p *Platform) tableChanged(v *state.View) {
	r := v.Routing()
	if r.Version == p.version.Load() {
		return
	}
	t, err := p.dialect.Routes(r.Document)
	if err != nil {
		p.d.log.Error(err, "a committed routing document can't be read", "version", r.Version)
		return
	}
	p.gateway.SetTable(t)
	p.version.Store(r.Version)
	p.d.log.Info("routing document in force", "version", r.Version, "routes", t.Len())
}

// candidates are the daemons as the leader sees them.
func (c *control) candidates() []appoint.Candidate {
	daemons := c.members.Daemons()
	out := make([]appoint.Candidate, 0, len(daemons))
	for _, d := range daemons {
		out = append(out, appoint.Candidate{
			Name: d.Name, Incarnation: d.Version.Incarnation, Reachable: !c.members.Unreachable(d.Name),
			Draining: d.Draining, Power: d.Power, Leads: d.Name == c.self,
		})
	}
	slices.SortFunc(out, func(a, b appoint.Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Log returns the daemon's logger.
func (p *Platform) Log() logr.Logger { return p.d.log }
