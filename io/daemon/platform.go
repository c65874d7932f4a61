package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
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

// Target identifies the replica that an order or request is sent to.
type Target struct {
	Replica     ident.Upstream
	Incarnation ident.Incarnation
	Address     string
	// Hear is called with what the replica says of itself in any answer; nil if
	// nobody listens.
	Hear func(n gateway.Notice)
}

// Dialect implements the protocols of a platform's replicas and the format of
// its routing documents. Its functions must be safe for concurrent use.
type Dialect struct {
	Gateway gateway.Dialect
	// Routes parses a routing document. The result must depend on the document
	// only, so that all daemons agree.
	Routes func(document []byte) (*routes.Table, error)
	// Order sends an order to a replica.
	Order func(ctx context.Context, c *client.Client, t Target, o placement.Order, holder ident.Daemon, fence ident.Fence) placement.Verdict
	// Probe probes over a new connection whether a replica is alive. If another
	// replica answers at its address, the error has the code [result.Restarted].
	Probe func(ctx context.Context, c *client.Client, t Target) error
	// Listing asks a replica which weights it holds.
	Listing func(ctx context.Context, c *client.Client, t Target) (placement.Listing, error)
}

// Platform is the part of a daemon that serves a platform's routes.
type Platform struct {
	d       *Daemon
	dialect Dialect
	gateway *gateway.Gateway
	// replicas is the client for orders and requests to replicas.
	replicas *client.Client
	// version is the version of the routing document in force.
	version atomic.Uint64
	// confirmedAt is a time at which this daemon lacked nothing of the log that was
	// visible; nil if none is known.
	confirmedAt atomic.Pointer[time.Time]
	reader      routesReader
	servers     []*server.Server
	stopped     atomic.Bool
}

// Platform returns the part that serves a platform's routes, or nil if the
// settings do not enable it.
func (d *Daemon) Platform() *Platform { return d.platform }

func newPlatform(d *Daemon, dialect Dialect) *Platform {
	conns := client.NewForReplicas(d.settings.Platform().Front().Addr()).WithMemory(d.responses)
	p := &Platform{d: d, dialect: dialect, replicas: conns}
	meter := newRoutedMeter(d.metrics.Scope())
	p.gateway = gateway.New(gateway.Config{
		DataCentre: d.dataCentre, Client: conns, Dialect: dialect.Gateway, Log: d.log,
		RetryAllowance: d.settings.Platform().RetryAllowance(), Clock: d.clock, Observe: meter.observe, ReservePrefill: d.reservePrompt, RequestAdmission: d.reserveAdmission,
		CoalesceDelay: d.settings.Platform().CoalesceDelay(),
		Probe: func(ctx context.Context, r balance.Replica) bool {
			return dialect.Probe(ctx, conns, p.targetOf(r)) == nil
		},
		ReplicaEnded: func(ctx context.Context, r balance.Replica) bool {
			err := dialect.Probe(ctx, conns, p.targetOf(r))
			return errors.Is(err, syscall.ECONNREFUSED) || result.CodeOf(err) == result.Restarted
		},
		ConfirmRoutes: p.confirmRoutes,
		PublishBlame:  p.publishBlame, ReplicaLeaves: p.tellLeaving, LeftAlone: meter.countLeftAlone,
		EndedAfterAnswer: meter.countEndedAfterAnswer,
	})
	return p
}

func (p *Platform) targetOf(r balance.Replica) Target {
	return Target{
		Replica: r.Name, Incarnation: r.Incarnation, Address: r.Address,
		Hear: func(n gateway.Notice) { p.gateway.Hear(r.Name, r.Incarnation, n) },
	}
}

// tellLeaving tells the other daemons that an incarnation of a replica leaves.
func (p *Platform) tellLeaving(name ident.Upstream, i ident.Incarnation) {
	p.d.ctl.post(func(now time.Time) {
		if u, ok := p.d.ctl.members.Upstream(name); ok && u.Version.Incarnation == i {
			p.d.ctl.leaveReceived(now, name)
		}
	})
}

// Gateway returns the gateway, which serves requests of clients.
func (p *Platform) Gateway() *gateway.Gateway { return p.gateway }

// Settings returns the settings of the platform.
func (p *Platform) Settings() settings.Platform { return p.d.settings.Platform() }

// Listen serves h on an address until the platform is shut down. The requests use the
// memory for clients, or that for replicas and operators if control is true.
func (p *Platform) Listen(addr string, control bool, h http.Handler, o server.Options) error {
	o.Log, o.Answers = p.d.log, p.d.responses
	o.Memory, o.Connections = p.d.clientRequests, p.d.clientConns
	if control {
		o.Memory, o.Connections = p.d.controlRequests, p.d.controlConns
	}
	s, err := server.Listen(addr, h, o)
	if err != nil {
		return err
	}
	p.servers = append(p.servers, s)
	return nil
}

// Ready reports whether clients may connect to this daemon: it is not stopping
// and a routing document is in force.
func (p *Platform) Ready() bool { return !p.stopped.Load() && p.version.Load() > 0 }

// Addresses returns the addresses that clients in a data centre may connect to:
// those of the daemons there, or of all daemons if fewer than minLocalAddresses
// are there.
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
	if len(near) >= minLocalAddresses {
		return near
	}
	return all
}

// minLocalAddresses is how many addresses in its own data centre are enough for
// a client. With only one, the failure of that daemon would leave the client
// without an address.
const minLocalAddresses = 2

// PutRouting commits a routing document. It returns once the document is
// durable; it comes into force on all connected daemons soon after.
func (p *Platform) PutRouting(ctx context.Context, version uint64, document []byte) error {
	if version <= p.version.Load() {
		// This version or a later one is in force, so one has been committed.
		return nil
	}
	return p.commit(ctx, state.PutRouting{Version: version, Document: document})
}

// NameVersion commits which version of an adapter to use.
func (p *Platform) NameVersion(ctx context.Context, n state.NamedVersion) error {
	return p.commit(ctx, state.NameVersion(n))
}

// commit commits a command for an operator.
func (p *Platform) commit(ctx context.Context, c state.Command) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCommitTimeout)
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
	// operatorCommitTimeout limits an operator's change. Operators resend it to
	// another daemon after a second.
	operatorCommitTimeout = 900 * time.Millisecond
	// operatorReadTimeout limits a linearizable read for an operator.
	operatorReadTimeout = 700 * time.Millisecond
)

// Routing returns the newest committed routing document. The read is
// linearizable: the result reflects every change acknowledged before the call.
// It fails if no leader answers.
func (p *Platform) Routing(ctx context.Context) (state.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorReadTimeout)
	defer cancel()
	if _, err := p.d.catchUp(ctx); err != nil {
		return state.Routing{}, err
	}
	return p.d.view.Load().state.Routing(), nil
}

// UnknownStart is the incarnation of replicas that do not tell when they started.
const UnknownStart ident.Incarnation = 1

// Announcement is a replica's announcement of its state.
type Announcement struct {
	Replica ident.Upstream
	// Incarnation is the time of the replica's start in Unix milliseconds, or
	// [UnknownStart].
	Incarnation ident.Incarnation
	// Sequence increases with each announcement of an incarnation.
	Sequence   uint64
	Service    ident.Service
	Address    string
	DataCentre ident.DataCentre
	Slots      int
	Leaving    bool
	Holdings   []placement.Holding
	// InMemory and OnDisk are the base models that the replica has copies of,
	// which need not be loaded from the weight store.
	InMemory, OnDisk []ident.Model
}

// Announce applies a replica's announcement. Once it returns without an error,
// the announcement is being spread to the other daemons, and a departure is in the
// replicated log. The error code is [result.NotFresh] if it could not be committed in
// time.
func (p *Platform) Announce(ctx context.Context, a Announcement) error {
	return p.d.recordDeparture(ctx, func(now time.Time) state.Departure {
		p.d.ctl.announcementReceived(now, a)
		if !a.Leaving {
			return state.Departure{}
		}
		if a.Incarnation == UnknownStart {
			return state.Departure{Upstream: a.Replica, Presumed: a.Incarnation, At: now.Round(0)}
		}
		return state.Departure{Upstream: a.Replica, Incarnation: a.Incarnation, At: now.Round(0)}
	})
}

// Leave records that a replica accepts no more work. Once it returns without an
// error, its departure is in the replicated log. The error code is [result.NotFresh]
// if it could not be committed in time.
func (p *Platform) Leave(ctx context.Context, name ident.Upstream) error {
	return p.d.recordDeparture(ctx, func(now time.Time) state.Departure {
		p.d.ctl.leaveReceived(now, name)
		return p.d.ctl.deregistered(now, name)
	})
}

// leaveSequence is added to the sequence number of a replica that leaves, so
// that no announcement still in flight can make it available again.
const leaveSequence = 1 << 40

// announcementReceived applies an announcement. One that is not newer than the
// known record is ignored; that is not an error of the replica.
func (c *control) announcementReceived(now time.Time, a Announcement) {
	if !a.Leaving {
		if c.mayBeLate(now, a) {
			return
		}
		c.reconsiderDeparture(now, a)
	}
	u := membership.Upstream{
		Name: a.Replica, Version: membership.Version{Incarnation: a.Incarnation, Sequence: a.Sequence},
		Kind: membership.Routed, Service: a.Service, Address: a.Address, DataCentre: a.DataCentre,
		Slots: uint32(max(a.Slots, 0)), Leaving: a.Leaving || c.view.HasLeft(a.Replica, a.Incarnation), Deadline: now.Add(announcementTTL),
	}
	old, known := c.members.Upstream(a.Replica)
	if known && old.Version.Compare(u.Version) >= 0 {
		return
	}
	if !known || old.Leaving != u.Leaving || old.Version.Incarnation != u.Version.Incarnation {
		c.log.Info("replica announced", "replica", a.Replica, "service", a.Service, "address", a.Address, "leaving", u.Leaving, "incarnation", uint64(a.Incarnation))
	}
	c.stepMembers(now, membership.Announce{Upstream: u})
	if t := c.placementState.table; t != nil && t.Service(a.Service) != nil && t.Service(a.Service).Engine != nil {
		c.pendingListings = append(c.pendingListings, placement.Listing{
			Replica: a.Replica, Incarnation: a.Incarnation, MadeAt: now.Add(-maxListingAge),
			Holdings: a.Holdings, InMemory: a.InMemory, OnDisk: a.OnDisk,
		})
	}
}

// maxListingAge is the maximum age of the state in an announcement or listing
// when it arrives.
const maxListingAge = 800 * time.Millisecond

// leaveReceived marks a replica as leaving.
func (c *control) leaveReceived(now time.Time, name ident.Upstream) {
	u, ok := c.members.Upstream(name)
	if !ok || u.Leaving && u.Version.Sequence >= leaveSequence {
		return
	}
	c.log.Info("replica leaves", "replica", name)
	u.Leaving = true
	u.Version.Sequence += leaveSequence
	u.Deadline = now.Add(announcementTTL)
	c.stepMembers(now, membership.Announce{Upstream: u})
}

// maxDrainAccept is how long clients may go on sending requests at most after the
// stop began; by then they know other addresses. Later requests could be cut by the
// end of the process.
const maxDrainAccept = 3 * time.Second

// Drain stops serving: this daemon reports itself as not ready, others omit it
// from the addresses for clients, and requests that have arrived are completed.
// Requests that come late are refused, and those that run at most once and may not
// end before the context does, at once. It returns when all is done or the context
// ends.
func (p *Platform) Drain(ctx context.Context) {
	p.stopped.Store(true)
	now := p.d.clock()
	if end, ok := ctx.Deadline(); ok {
		p.gateway.EndBy(end)
	}
	for _, s := range p.servers {
		s.AnnounceClose()
	}
	_ = p.d.ctl.call(ctx, func(now time.Time) { p.d.ctl.beginDrain(now, now.Add(p.Settings().DirectoryTTL())) })
	closeAt := now.Add(min(p.Settings().StopGrace()*3/8, maxDrainAccept))
	_ = sleep(ctx, closeAt.Sub(now))
	p.gateway.Drain()
	for _, s := range p.servers {
		_ = s.Shutdown(ctx)
	}
}

// maxStartLag is how long a daemon that has just started puts no document in force
// because it is behind the log.
const maxStartLag = 2 * time.Second

// updateTable puts a newly committed routing document in force. A daemon that has
// just started and is behind the log waits, since it may be reading through old
// documents. It begins to serve without the upstreams that have left.
func (c *control) updateTable(now time.Time) {
	if c.platform == nil {
		return
	}
	l, behind := c.witness.Lag()
	if behind && now.Sub(l.Since) < maxStartLag && c.platform.version.Load() == 0 {
		return
	}
	if c.membersDirty && c.platform.version.Load() == 0 && c.view.Routing().Version > 0 {
		c.membersChanged(now)
	}
	c.platform.setDocument(c.view.Routing())
}

// setDocument puts a committed routing document in force.
func (p *Platform) setDocument(r state.Routing) {
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

// placerCandidates returns the known daemons, sorted by name, with what the
// leader needs to choose a placer.
func (c *control) placerCandidates() []appoint.Candidate {
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
