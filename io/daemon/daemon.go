package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"math"
	"math/big"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
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
	"papayaspoke/io/transport/memory"
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

	// ctx is the lifetime of the process; halt cancels it.
	ctx  context.Context
	halt context.CancelFunc

	ctl  *control
	view atomic.Pointer[view]
	// dispatchSeq numbers the requests submitted to the dispatcher. It makes
	// their ids unique.
	dispatchSeq atomic.Uint64
	proposer    *proposer
	conns       *client.Client
	upstreams   *upstream.Client
	forwarder   *caller.Forwarder
	peers       *peers
	folder      *disk.Folder
	writer      *disk.Writer

	// responses limits the memory for responses that have not arrived whole from upstreams
	// or that callers have not taken.
	responses *memory.Budget
	// clientRequests limits the memory for requests of clients and callers,
	// controlRequests that for requests of other daemons, replicas and operators, which
	// clients must not crowd out.
	clientRequests, controlRequests *memory.Budget
	// clientConns and controlConns limit the connections of the same.
	clientConns, controlConns *server.ConnLimit

	callerServer, operatorServer, peerServer *server.Server
	// metricsServer serves metrics without a token. It is nil unless the
	// settings configure an address for it.
	metricsServer *server.Server
	// diskFailed is true while writes to the data folder fail.
	diskFailed atomic.Bool
	pacers     pacers
	// nextTrafficLog is when the control loop next logs the volume of calls to
	// other daemons.
	nextTrafficLog time.Time
	// platform is nil unless the settings enable it.
	platform *Platform
}

// New opens the data folder, if one is configured, and starts the control loop
// and the listeners. Errors carry result codes in the 100s and 500s.
//
// The dialect is used only if the settings enable a platform.
func New(s settings.Settings, log logr.Logger, dialect Dialect) (*Daemon, error) {
	ctx, halt := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, self: s.Name(), dataCentre: s.DataCentre(), log: log, ctx: ctx, halt: halt,
		inc:     newIncarnation(time.Now()),
		metrics: scrape.New(map[string]string{"daemon": string(s.Name())}),
	}
	d.view.Store(&view{state: state.New().View()})
	d.responses = memory.NewBudget(memoryShare(s, responseShare, memory.DefaultLimit))
	d.clientRequests = memory.NewReservedBudget(memoryShare(s, clientShare, memory.DefaultLimit))
	d.controlRequests = memory.NewReservedBudget(memoryShare(s, controlShare, 3*maxPeerBody))
	descriptors := maxDescriptors(s)
	d.clientConns = server.NewConnLimit(descriptors / clientConnShare)
	d.controlConns = server.NewConnLimit(descriptors / controlConnShare)
	conns := client.NewFrom(s.Peer().Addr()).WithMemory(d.responses)
	d.conns = conns
	d.upstreams = upstream.NewClient(conns)
	d.forwarder = caller.NewForwarder(conns, d.self, s.Token())
	d.peers = &peers{
		ctx: ctx, client: peer.NewClient(conns.HTTP(), s.Token()), address: d.peerAddress,
		queues: make(map[ident.Daemon]chan consensus.Message), log: log,
	}
	if s.Platform().Enabled() {
		d.platform = newPlatform(d, dialect)
	}
	d.ctl = d.newControl()
	d.peers.ctl, d.peers.post, d.peers.postLog = d.ctl, d.ctl.post, d.ctl.postLog
	d.proposer = &proposer{
		local: d.proposeLocally, remote: d.peers.propose, leader: func() ident.Daemon { return d.view.Load().leader },
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
		go d.platform.reportUsageLoop()
	}
	return d, nil
}

// Each of these divides the memory of the process for one purpose: incomplete responses,
// requests of clients, and requests of daemons, replicas and operators.
const (
	responseShare = 8
	clientShare   = 8
	controlShare  = 8
)

// Each of these divides the descriptors of the process for connections from clients, and
// from daemons, replicas and operators. The rest is left for connections of its own and
// files.
const (
	clientConnShare  = 2
	controlConnShare = 4
)

// maxDescriptors returns how many descriptors the process may use.
func maxDescriptors(s settings.Settings) int {
	n := s.Platform().MaxDescriptors()
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return cmp.Or(n, defaultDescriptors)
	}
	limit := int(min(r.Cur, math.MaxInt32))
	if n == 0 {
		return limit
	}
	return min(n, limit)
}

// defaultDescriptors is the number of descriptors if the kernel does not tell it.
const defaultDescriptors = 1024

// memoryShare returns a share of the memory of the process in bytes, or fallback if the
// settings do not limit it.
func memoryShare(s settings.Settings, share, fallback int) int {
	if m := s.Platform().MemoryLimitMiB(); m > 0 {
		return m << 20 / share
	}
	return fallback
}

// newIncarnation returns a number that increases from one run of a daemon to
// the next as long as the wall clock does; see the package comment of
// core/coordination/witness. The random low bits tell runs of the same
// millisecond apart.
func newIncarnation(now time.Time) ident.Incarnation {
	return ident.Incarnation(uint64(now.UnixMilli())<<16 | mathrand.Uint64N(1<<16))
}

func (d *Daemon) clock() time.Time { return time.Now() }

// wall returns the time without the monotonic clock reading, for times that
// are sent to other processes.
func (d *Daemon) wall() time.Time { return time.Now().Round(0) }

func (d *Daemon) newControl() *control {
	seed := mathrand.New(mathrand.NewPCG(uint64(d.inc), 0))
	now := d.clock()
	c := &control{
		self: d.self, inc: d.inc, log: d.log, clock: d.clock, dataCentre: d.dataCentre,
		logInbox: make(chan posted, inboxSize), inbox: make(chan posted, inboxSize), done: make(chan struct{}),
		state:          state.New(),
		witness:        witness.New(now, witness.Config{Self: d.self, Incarnation: d.inc, Rand: seed, Follower: d.settings.Platform().Enabled()}),
		proposals:      newProposals(),
		witnessReplies: make(map[uint64]chan<- witness.Response),
		waiters:        make(map[ident.Request]chan<- decision),
		owned:          make(map[ident.Upstream]*owned),
		clockAnchors:   make(map[ident.Upstream]anchor),
		gossipReplies:  make(map[uint64]chan<- membership.Response),
		startedAt:      now,
		doubtedRuns:    make(map[ident.Upstream]doubtedRun),
		dispatcher:     dispatch.New(d.self, dispatch.Default()),
		directory:      routing.NewDirectory(routing.Default()),
		services:       routing.NewServices(d.dataCentre),
		holder:         ownership.NewHolder(d.self, d.inc),
		publish:        d.publish,
		updateGauges:   d.updateGauges,
		stop:           d.halt,
		async:          newAsync(d),
		platform:       d.platform,
		placementState: placementState{history: appoint.NewHistory(now, d.settings.Platform().CompetingPlacerWindow())},
		openCluster:    d.settings.Open(),
		pendingReads:   make(map[uint64]chan<- consensus.ReadOutcome),
	}
	c.members = membership.New(now, d.membershipConfig(seed))
	for _, p := range d.settings.Peers() {
		c.seeds = append(c.seeds, p.String())
	}
	c.view = c.state.View()
	c.permits.lastAnswerAt = now
	c.send = sender{consensus: d.peers.consensus, witness: d.peers.witness, gossip: d.peers.gossip, permits: d.peers.permits, read: d.readByNoop, probe: d.probe, catchUp: d.catchUpAsync, found: d.peers.found}
	return c
}

// openDisk opens the data folder and restores the voter's replicated log from
// it. It does nothing if no data folder is configured.
func (d *Daemon) openDisk() error {
	if d.settings.DataFolder() == "" {
		d.ctl.founding = newFoundingState(d.clock(), d.settings, nil)
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
	d.ctl.founding = newFoundingState(d.clock(), d.settings, node)
	if st.Snapshot.Index > 0 {
		d.ctl.postLog(func(now time.Time) {
			s := witness.Snapshot{Index: st.Snapshot.Index, Term: st.Snapshot.Term, Data: st.Snapshot.Data}
			d.ctl.stepWitness(now, witness.CommittedSnapshot{Snapshot: s})
		})
	}
	return nil
}

// openFolder opens the data folder. It retries for a while if the disk refuses
// writes, since a process that exits on that error would be restarted in a
// loop.
func (d *Daemon) openFolder() (*disk.Folder, error) {
	deadline := d.clock().Add(openTimeout)
	for {
		f, err := disk.Open(d.settings.DataFolder(), d.self)
		code := result.CodeOf(err)
		if err == nil || code == result.DiskDamaged || code == result.DiskForeign || d.clock().After(deadline) {
			return f, err
		}
		d.log.Error(err, "disk lost: the data folder can't be opened", "folder", d.settings.DataFolder())
		sleep(d.ctx, openRetryInterval)
	}
}

const (
	// openTimeout is how long openFolder retries, every openRetryInterval.
	openTimeout       = 30 * time.Second
	openRetryInterval = 500 * time.Millisecond
)

func cryptoRandom(n int64) int64 {
	v, err := rand.Int(rand.Reader, big.NewInt(n))
	if err != nil {
		return mathrand.Int64N(n)
	}
	return v.Int64()
}

// synced is called by the disk writer when the batch of that number is durable,
// or when a write has failed. While writes fail, the voter acknowledges nothing
// and the other voters continue without it.
func (d *Daemon) synced(number uint64, err error) {
	if err != nil {
		d.diskFailed.Store(true)
		d.log.Error(err, "disk lost: it refuses writes", "folder", d.settings.DataFolder())
		return
	}
	if d.diskFailed.CompareAndSwap(true, false) {
		d.log.Info("disk regained", "folder", d.settings.DataFolder())
	}
	d.ctl.postLog(func(now time.Time) { d.ctl.stepVoter(now, consensus.Synced(number)) })
}

func (d *Daemon) listen() error {
	opts := server.Options{Log: d.log, Refuse: wire.Refuse, Memory: d.clientRequests, Answers: d.responses, Connections: d.clientConns, DecodedSize: wire.DecodedSize}
	var err error
	callerHandler := &caller.Handler{Infer: d.meteredInfer, Call: d.meteredCall, Addresses: d.addresses}
	if d.callerServer, err = server.Listen(d.settings.Caller().String(), d.withUpstreams(callerHandler), opts); err != nil {
		return err
	}
	admin := &operator.Handler{
		Token: d.settings.Token(), Change: d.change, List: d.list, Dump: d.dump,
		Recover: d.recover, Metrics: d.metrics.Handler(),
	}
	opts.Memory, opts.Connections = d.controlRequests, d.controlConns
	if d.operatorServer, err = server.Listen(d.settings.Operator().String(), admin, opts); err != nil {
		return err
	}
	if a := d.settings.Metrics(); a.IsValid() {
		if d.metricsServer, err = server.Listen(a.String(), d.metrics.Handler(), opts); err != nil {
			return err
		}
	}
	opts.MaxBody, opts.DecodedSize = maxPeerBody, nil
	d.peerServer, err = server.Listen(d.settings.Peer().String(), d.peerHandler(), opts)
	return err
}

// maxPeerBody limits the size of a message between daemons. Snapshots are the
// largest.
const maxPeerBody = 256 << 20

// withUpstreams adds the endpoints that upstreams announce themselves at to the
// handler for callers.
func (d *Daemon) withUpstreams(callers http.Handler) http.Handler {
	announcements := &upstream.Handler{Announce: d.handleAnnounce, Refresh: d.handleRefresh, Leave: d.handleLeave}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, upstream.Prefix) {
			announcements.ServeHTTP(w, r)
			return
		}
		callers.ServeHTTP(w, r)
	})
}

// peerHandler serves the calls of other daemons, and requests of callers that
// another daemon has forwarded.
func (d *Daemon) peerHandler() http.Handler {
	path, rpc := peer.NewHandler(peer.Service{
		Consensus: d.handleConsensus, Found: d.handleFound, Witness: d.handleWitness, Gossip: d.handleGossip,
		Propose: d.handlePropose, Permits: d.handlePermits,
		ReadIndex: d.handleReadIndex, Usage: d.handleUsage, ReservePrefill: d.reservePromptLocal, RequestAdmission: d.reserveAdmissionLocal,
	}, d.settings.Token())
	forwarded := peer.WithToken(d.settings.Token(), &caller.Handler{
		Infer: d.serveInfer, Call: d.serveCall, Addresses: d.addresses, Peer: true,
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, path) {
			rpc.ServeHTTP(w, r)
			return
		}
		forwarded.ServeHTTP(w, r)
	})
}

// Done returns a channel that is closed when the daemon stops, by
// [Daemon.Shutdown] or on its own.
func (d *Daemon) Done() <-chan struct{} { return d.ctx.Done() }

// Shutdown stops the daemon gracefully: it marks the daemon as draining, hands
// over leadership and owned replicas, and lets requests in flight finish. The
// caller address stays open until the last directory answer that contained it
// has expired.
func (d *Daemon) Shutdown(ctx context.Context) error {
	defer d.close()
	d.log.Info("draining")
	d.callerServer.AnnounceClose()
	reachableUntil := d.clock().Add(addressTTL)
	if err := d.ctl.call(ctx, func(now time.Time) { d.ctl.beginDrain(now, reachableUntil) }); err != nil {
		return result.New(result.Draining, "drain did not start: %w", err)
	}
	d.awaitDrain(ctx, reachableUntil)
	for _, s := range []*server.Server{d.callerServer, d.operatorServer, d.peerServer} {
		if err := s.Shutdown(ctx); err != nil {
			return result.New(result.Draining, "requests in flight were aborted: %w", err)
		}
	}
	d.log.Info("drained")
	return nil
}

// awaitDrain waits until callers no longer hold a valid directory answer with
// this daemon's address, no request is in flight and no replica is owned.
func (d *Daemon) awaitDrain(ctx context.Context, reachableUntil time.Time) {
	for sleep(ctx, drainPoll) {
		if d.clock().Before(reachableUntil) || d.callerServer.InFlight() > 0 {
			continue
		}
		if len(d.view.Load().writeGuards) == 0 || d.clock().After(reachableUntil.Add(handoverTimeout)) {
			return
		}
	}
}

const (
	// drainPoll is how often a draining daemon checks whether it has drained.
	drainPoll = 20 * time.Millisecond
	// handoverTimeout is how long a draining daemon waits for the leader to
	// reassign its replicas once no request is in flight.
	handoverTimeout = 5 * time.Second
)

func (d *Daemon) close() {
	d.halt()
	<-d.ctl.done
	for _, s := range []*server.Server{d.callerServer, d.operatorServer, d.peerServer} {
		s.Close()
	}
	if d.metricsServer != nil {
		d.metricsServer.Close()
	}
	if d.writer != nil {
		d.writer.Close()
		_ = d.folder.Close()
	}
	_ = d.metrics.Close()
}
