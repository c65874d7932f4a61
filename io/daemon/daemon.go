package daemon

import (
	"context"
	"crypto/rand"
	"math/big"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"papayaspoke/core/coordination/appoint"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/protocol/peer"
	"papayaspoke/io/protocol/scrape"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/settings"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/disk"
	"papayaspoke/io/transport/server"
)

// Daemon is one running daemon.
type Daemon struct {
	settings   settings.Settings
	self       ident.Daemon
	inc        ident.Incarnation
	dataCentre ident.DataCentre
	log        logr.Logger
	metrics    *scrape.Metrics

	// ctx ends when the daemon stops for good; halt ends it.
	ctx  context.Context
	halt context.CancelFunc

	ctl  *control
	view atomic.Pointer[view]
	// served counts the requests that replicas of this daemon were asked for.
	served    atomic.Uint64
	proposer  *proposer
	conns     *client.Client
	upstreams *upstream.Client
	forward   *caller.Forwarder
	peers     *peers
	folder    *disk.Folder
	writer    *disk.Writer

	callers, operators, peering *server.Server
	// scraped shows metrics without a token; nil unless the settings say so.
	scraped *server.Server
	// diskFailed is true while the disk refuses writes.
	diskFailed atomic.Bool
	booking    booking
	// trafficAt is when the control loop tells next what calls cost.
	trafficAt time.Time
	// platform is nil unless the settings have one.
	platform *Platform
}

// New opens the data folder, if there is one, and starts the control loop and
// the listeners. Errors carry result codes of the hundreds 1 and 5.
//
// The dialect is used only if the settings have a platform.
func New(s settings.Settings, log logr.Logger, dialect Dialect) (*Daemon, error) {
	ctx, halt := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, self: s.Name(), dataCentre: s.DataCentre(), log: log, ctx: ctx, halt: halt,
		inc:     newIncarnation(time.Now()),
		metrics: scrape.New(map[string]string{"daemon": string(s.Name())}),
	}
	d.view.Store(&view{state: state.New().View()})
	conns := client.NewFrom(s.Peer().Addr())
	d.conns = conns
	d.upstreams = upstream.NewClient(conns)
	d.forward = caller.NewForwarder(conns, d.self, s.Token())
	d.peers = &peers{
		ctx: ctx, client: peer.NewClient(conns.HTTP(), s.Token()), address: d.peerAddress,
		queues: make(map[ident.Daemon]chan consensus.Message),
	}
	if s.Platform().Enabled() {
		d.platform = newPlatform(d, dialect)
	}
	d.ctl = d.newControl()
	d.peers.ctl, d.peers.post = d.ctl, d.ctl.post
	d.proposer = &proposer{
		local: d.proposeHere, remote: d.peers.propose, leader: func() ident.Daemon { return d.view.Load().leader },
		candidates: d.leaderCandidates, self: d.self,
	}
	if err := d.openDisk(); err != nil {
		halt()
		return nil, err
	}
	if err := d.listen(); err != nil {
		halt()
		return nil, err
	}
	go d.ctl.run(ctx)
	if d.platform != nil {
		go d.platform.talk()
	}
	return d, nil
}

// newIncarnation grows from one run of a daemon to the next as long as the
// clock does, see the package comment of core/coordination/witness.
func newIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | mathrand.Uint64N(1<<16))
}

func (d *Daemon) clock() time.Time { return time.Now() }

// wall returns the time without the monotonic reading, for times that leave
// the process.
func (d *Daemon) wall() time.Time { return time.Now().Round(0) }

func (d *Daemon) newControl() *control {
	seed := mathrand.New(mathrand.NewPCG(uint64(d.inc), 0))
	now := d.clock()
	c := &control{
		self: d.self, inc: d.inc, log: d.log, clock: d.clock, dataCentre: d.dataCentre,
		inbox: make(chan func(now time.Time), inboxSize), done: make(chan struct{}),
		state:         state.New(),
		witness:       witness.New(now, witness.Config{Self: d.self, Incarnation: d.inc, Rand: seed, Follower: d.settings.Platform().Enabled()}),
		proposals:     newProposals(),
		replies:       make(map[uint64]chan<- witness.Response),
		waiters:       make(map[ident.Request]chan<- decision),
		owned:         make(map[ident.Upstream]*owned),
		anchors:       make(map[ident.Upstream]anchor),
		gossipReplies: make(map[uint64]chan<- membership.Response),
		dispatcher:    dispatch.New(d.self, dispatch.Default()),
		directory:     routing.NewDirectory(routing.Default()),
		services:      routing.NewServices(d.dataCentre),
		holder:        ownership.NewHolder(d.self, d.inc),
		publish:       d.publish,
		gauge:         d.gauge,
		supersede:     d.halt,
		orders:        newOrders(d),
		platform:      d.platform,
		placing:       placing{history: appoint.NewHistory(now, d.settings.Platform().CompetingPlacerWindow())},
		open:          d.settings.Open(),
		startedAt:     now,
		founder:       d.settings.Founder(),
		reads:         make(map[uint64]chan<- consensus.ReadOutcome),
	}
	c.members = membership.New(now, d.membershipConfig(seed))
	for _, p := range d.settings.Peers() {
		c.seeds = append(c.seeds, p.String())
	}
	c.view = c.state.View()
	c.permits.heard = now
	c.send = sender{consensus: d.peers.consensus, witness: d.peers.witness, gossip: d.peers.gossip, permits: d.peers.permits, read: d.readIndex, probe: d.probe, catchUp: d.catchUpThen}
	return c
}

// openDisk restores the replicated log of a voter.
func (d *Daemon) openDisk() error {
	if d.settings.DataFolder() == "" {
		return nil
	}
	f, err := d.openFolder()
	if err != nil {
		return err
	}
	d.folder = f
	st := f.State()
	node := consensus.New(d.clock(), consensus.Settings{
		Self: f.Voter(), Eligible: d.settings.Voters(), Open: d.settings.Open(), Random: cryptoRandom, NewClusterID: rand.Text,
	}, st)
	d.writer = disk.NewWriter(f, d.synced)
	d.ctl.voter = &voter{node: node, persist: d.writer.Submit}
	if st.Snapshot.Index > 0 {
		d.ctl.post(func(now time.Time) {
			s := witness.Snapshot{Index: st.Snapshot.Index, Term: st.Snapshot.Term, Data: st.Snapshot.Data}
			d.ctl.stepWitness(now, witness.CommittedSnapshot{Snapshot: s})
		})
	}
	return nil
}

// openFolder opens the data folder. A disk that refuses writes just now gets
// time to recover: a process that ended over it would be started again and
// again.
func (d *Daemon) openFolder() (*disk.Folder, error) {
	until := d.clock().Add(openTimeout)
	for {
		f, err := disk.Open(d.settings.DataFolder(), d.self)
		code := result.CodeOf(err)
		if err == nil || code == result.DiskDamaged || code == result.DiskForeign || d.clock().After(until) {
			return f, err
		}
		d.log.Error(err, "disk lost: the data folder can't be opened", "folder", d.settings.DataFolder())
		pause(d.ctx, openPause)
	}
}

const (
	// openTimeout is how long a disk may refuse to be opened, and openPause
	// separates the tries.
	openTimeout = 30 * time.Second
	openPause   = 500 * time.Millisecond
)

func cryptoRandom(n int64) int64 {
	v, err := rand.Int(rand.Reader, big.NewInt(n))
	if err != nil {
		return mathrand.Int64N(n)
	}
	return v.Int64()
}

// synced is called by the disk's writer. While the disk refuses writes the
// voter promises nothing, and the others go on without it.
func (d *Daemon) synced(number uint64, err error) {
	if err != nil {
		d.diskFailed.Store(true)
		d.log.Error(err, "disk lost: it refuses writes", "folder", d.settings.DataFolder())
		return
	}
	if d.diskFailed.CompareAndSwap(true, false) {
		d.log.Info("disk regained", "folder", d.settings.DataFolder())
	}
	d.ctl.post(func(now time.Time) { d.ctl.stepVoter(now, consensus.Synced(number)) })
}

func (d *Daemon) listen() error {
	opts := server.Options{Log: d.log, Refuse: wire.Refuse}
	var err error
	front := &caller.Handler{Infer: d.meteredInfer, Call: d.meteredCall, Addresses: d.addresses}
	if d.callers, err = server.Listen(d.settings.Caller().String(), d.withUpstreams(front), opts); err != nil {
		return err
	}
	admin := &operator.Handler{
		Token: d.settings.Token(), Change: d.change, List: d.list, Dump: d.dump,
		Recover: d.recover, Metrics: d.metrics.Handler(),
	}
	if d.operators, err = server.Listen(d.settings.Operator().String(), admin, opts); err != nil {
		return err
	}
	if a := d.settings.Metrics(); a.IsValid() {
		if d.scraped, err = server.Listen(a.String(), d.metrics.Handler(), opts); err != nil {
			return err
		}
	}
	opts.MaxBody = maxPeerBody
	d.peering, err = server.Listen(d.settings.Peer().String(), d.peerHandler(), opts)
	return err
}

// maxPeerBody bounds a message between daemons; a snapshot is the largest.
const maxPeerBody = 256 << 20

func (d *Daemon) withUpstreams(front http.Handler) http.Handler {
	announced := &upstream.Handler{Announce: d.announced, Refresh: d.refreshed, Leave: d.left}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, upstream.Prefix) {
			announced.ServeHTTP(w, r)
			return
		}
		front.ServeHTTP(w, r)
	})
}

func (d *Daemon) peerHandler() http.Handler {
	path, rpc := peer.NewHandler(peer.Service{
		Consensus: d.consensusReceived, Witness: d.witnessAsked, Gossip: d.gossiped,
		Propose: d.proposed, Permits: d.permitsAsked,
		ReadIndex: d.indexRead, Usage: d.usageTold, ReservePrefill: d.bookHere, RequestAdmission: d.bookDoorHere,
	}, d.settings.Token())
	passedOn := peer.WithToken(d.settings.Token(), &caller.Handler{
		Infer: d.infer, Call: d.call, Addresses: d.addresses, Peer: true,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, path) {
			rpc.ServeHTTP(w, r)
			return
		}
		passedOn.ServeHTTP(w, r)
	})
}

// Done is closed when the daemon ends, by [Daemon.Shutdown] or by itself.
func (d *Daemon) Done() <-chan struct{} { return d.ctx.Done() }

// Shutdown stops gracefully: others learn that this daemon drains, leadership
// and owned replicas are handed over, requests in flight finish, and the
// caller address stays open until the last answer that named it has expired.
func (d *Daemon) Shutdown(ctx context.Context) error {
	defer d.close()
	d.log.Info("draining")
	until := d.clock().Add(addressKept)
	if err := d.ctl.call(ctx, func(now time.Time) { d.ctl.beginDrain(now, until) }); err != nil {
		return result.New(result.Draining, "not drained: %w", err)
	}
	d.awaitDrain(ctx, until)
	for _, s := range []*server.Server{d.callers, d.operators, d.peering} {
		if err := s.Shutdown(ctx); err != nil {
			return result.New(result.Draining, "requests were cut: %w", err)
		}
	}
	d.log.Info("drained")
	return nil
}

// awaitDrain waits until no caller can still come by an address answer, no
// request is in flight and no replica is owned.
func (d *Daemon) awaitDrain(ctx context.Context, until time.Time) {
	for pause(ctx, drainPoll) {
		if d.clock().Before(until) || d.callers.InFlight() > 0 {
			continue
		}
		if len(d.view.Load().gates) == 0 || d.clock().After(until.Add(handoverTimeout)) {
			return
		}
	}
}

const (
	// drainPoll is how often a draining daemon looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// handoverTimeout is how long a draining daemon waits for the leader to
	// move its replicas once no request is in flight.
	handoverTimeout = 5 * time.Second
)

func (d *Daemon) close() {
	d.halt()
	<-d.ctl.done
	for _, s := range []*server.Server{d.callers, d.operators, d.peering} {
		s.Close()
	}
	if d.scraped != nil {
		d.scraped.Close()
	}
	if d.writer != nil {
		d.writer.Close()
		_ = d.folder.Close()
	}
	_ = d.metrics.Close()
}
