package placement

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// maxReplicaTransit limits the adapters in transit to one replica.
	maxReplicaTransit = 4
	// modelListingLag is how long after the expected end of a base model load
	// the replica is asked for its listing, because listings are some hundred
	// milliseconds old.
	modelListingLag = 300 * time.Millisecond
	// modelTimeoutFactor is the multiple of its usual load time after which the
	// order for a base model counts as lost.
	modelTimeoutFactor = 6
	// defaultFetchTime is how long a load of an adapter from the weight store
	// is assumed to take until replicas show that it takes longer.
	defaultFetchTime = 250 * time.Millisecond
	// diskLoadTime is how long a load of an adapter from the replica's own disk
	// takes.
	diskLoadTime = 25 * time.Millisecond
	// deliveryMargin is added to the time at which an adapter becomes usable.
	// It covers the transit of the answer to the order and that of the request.
	deliveryMargin = 5 * time.Millisecond
	// placeIntervalPerReplica times the number of replicas, at most
	// maxPlaceInterval, is the minimum time between two rounds of placement, so
	// that they take a bounded part of the processor regardless of how many
	// daemons ask.
	placeIntervalPerReplica = 100 * time.Microsecond
	maxPlaceInterval        = 25 * time.Millisecond
	// listingLag is the maximum age of the state in a listing.
	listingLag = time.Second
	// absentAfter is how long after the time at which an adapter should be
	// ready a listing has to be made to prove that it is absent.
	absentAfter = 2 * time.Second
	// listingInterval is the minimum time between two requests for the listing
	// of one replica. Each costs the replica a probe.
	listingInterval = 400 * time.Millisecond
	// daemonTimeout is how long the usage of a silent daemon counts.
	daemonTimeout = 2 * time.Second
	// demandTTL is how long a demand counts after its last report.
	demandTTL = 700 * time.Millisecond
	// avoidTTL is how long a daemon's report of an unreliable replica counts.
	avoidTTL = time.Second
	// announcementTimeout is how long a replica may go without an announcement
	// before it is avoided: several intervals plus the delay of one
	// announcement.
	announcementTimeout = 5 * time.Second
	// maxAvoidedShare is the maximum share of replicas that may be avoided: if
	// it is exceeded, the fault is probably elsewhere.
	maxAvoidedShare = 0.4
	// maxAttempts is how often an order is given if it gets no answer.
	maxAttempts = 4
	// refusalDelay is the pause in orders to a replica that has refused one.
	refusalDelay = 100 * time.Millisecond
	// lateOrderWindow is how long an unanswered order may still be carried out.
	lateOrderWindow = 13 * time.Second
)

// resident is a base model or an adapter that a replica holds, is loading or
// may hold.
type resident struct {
	version uint64
	// readyAt is when it becomes usable, changedAt when it was last part of an
	// order.
	readyAt, changedAt time.Time
	// reservedUntil is until when its slot must not be reused, because an
	// unanswered order may still load it.
	reservedUntil time.Time
	// usedAt is when a request last used it.
	usedAt time.Time
	loadRecord
	// unloading is true from the order to unload until a later listing.
	unloading bool
	// uncertainUntil is until when an unanswered order may still load it; until
	// then it takes a slot but must not be used.
	uncertainUntil time.Time
}

// loadRecord describes one load, for the estimate of the store's limits.
type loadRecord struct {
	// inTransit is the number of adapters in transit when it began, limitNumber
	// identifies the store limit at that time.
	inTransit, limitNumber int
	// dueAt is when it should be ready. Unlike the resident's own time it is
	// kept across listings, which show adapters too early.
	dueAt time.Time
	// late is true if it was missing when it should have been ready.
	late bool
	// evaluated is true if the load must not be counted (again). Only loads
	// from the store are counted.
	evaluated bool
}

func (s *resident) usable() bool { return !s.unloading && s.uncertainUntil.IsZero() }

// replicaState is what the placer knows about one replica.
type replicaState struct {
	Replica
	residents map[Weights]*resident
	// listed is true once a listing of this incarnation has arrived.
	listed bool
	// pending holds the next orders; the first one is in flight if
	// orderInFlight is true.
	pending       []Order
	orderInFlight bool
	// stale is true from a refused order to the next listing, which then
	// replaces the estimated state: a refusal shows that the replica has
	// changed in another way.
	stale bool
	// refusedAt is when the replica last refused an order.
	refusedAt time.Time
	// sequence is the number of orders that the replica has accepted;
	// acceptedAt is when it accepted the last.
	sequence   option.Option[uint64]
	acceptedAt time.Time
	// attempts counts how often the first pending order was given.
	attempts int
	// lastSeenAt is when its last listing or announcement arrived, zero if none
	// did.
	lastSeenAt time.Time
	// avoidedBy holds the daemons that avoid the replica, with the expiry of
	// their reports.
	avoidedBy map[ident.Daemon]time.Time
	// noOrdersUntil is until when it gets no orders.
	noOrdersUntil time.Time
	// nextListingAt is when the listing may be requested again.
	nextListingAt time.Time
	// needsListing is true if the listing should be requested.
	needsListing bool
	// inMemory and onDisk are the base models that it last reported copies of.
	inMemory, onDisk []ident.Model
	// droppedAt holds the adapters that it held before and when it dropped
	// them. They are still on its disk.
	droppedAt map[Weights]time.Time
	// number is the replica's index in Answer.Loads.
	number int
	// reported is the inventory that daemons were sent, changes are the latest
	// changes to it; dirty is true if it has to be compared again.
	reported map[Weights]Holding
	changes  []change
	dirty    bool
	// changesFrom is the revision of the newest change that is no longer kept,
	// revision that of the last change.
	changesFrom, revision uint64
	// running counts the requests in flight, runningByWeights those for each
	// weights.
	running          int
	runningByWeights map[Weights]int

	// The remaining fields are derived in each round of placement: the slots
	// taken, the adapters being loaded, and the adapter to evict first.
	usedSlots, loading int
	evictionFound      option.Option[eviction]
	evictionSearched   bool
}

// change identifies weights whose holding has changed.
type change struct {
	weights  Weights
	revision uint64
}

// usage is the last report of a daemon.
type usage struct {
	receivedAt time.Time
	runs       []Run
}

// want is the demand for a base model or an adapter.
type want struct {
	service ident.Service
	version uint64
	// startDeadline is until when a load may begin for a request to be answered
	// in time; the latest of all daemons.
	startDeadline time.Time
	// waiting counts requests by daemon, each with the expiry of the count.
	waiting map[ident.Daemon]waitCount
	// dataCentre is that of the daemon that asked last.
	dataCentre ident.DataCentre
	since      time.Time
}

type waitCount struct {
	count     int
	expiresAt time.Time
}

// Placer makes the placement decisions for one term of the placer role. It is
// not safe for concurrent use.
type Placer struct {
	fence    ident.Fence
	revision uint64
	replicas map[ident.Upstream]*replicaState
	// names are the names of the replicas, sorted; nextNumber counts all
	// replicas there ever were.
	names      []ident.Upstream
	nextNumber int
	daemons    map[ident.Daemon]*usage
	wants      map[Weights]*want
	useRates   map[Weights]*useRate
	// namedVersions holds the versions to use, by weights.
	namedVersions map[Weights]uint64
	store         *store
	// modelStore is the estimate of the weight store for base models.
	modelStore *store
	// modelLoadStarts are the times at which loads of base models from the
	// store began, oldest first, within the window of the rate limit.
	modelLoadStarts []time.Time
	// newDemand is true if there is demand that the last round of placement did
	// not see; the next round may run from nextPlaceAt on.
	newDemand   bool
	nextPlaceAt time.Time
	// round is the state of the current round of placement.
	round roundState
	// avoided holds the replicas that are avoided now.
	avoided map[ident.Upstream]bool
	// shortages holds the adapters that need another copy, as of the last
	// search.
	shortages  map[Weights]*shortage
	nextCopyAt time.Time
	effects    Effects
}

// New returns a placer with the given fencing number. It starts from the
// previous placer's estimate of the weight store.
func New(fence ident.Fence, estimate StoreEstimate) *Placer {
	return &Placer{
		fence: fence, store: newStore(estimate), modelStore: newModelStore(),
		replicas:      make(map[ident.Upstream]*replicaState),
		daemons:       make(map[ident.Daemon]*usage),
		wants:         make(map[Weights]*want),
		useRates:      make(map[Weights]*useRate),
		namedVersions: make(map[Weights]uint64),
		avoided:       make(map[ident.Upstream]bool),
		shortages:     make(map[Weights]*shortage),
	}
}

// Fence returns the fencing number of this term.
func (p *Placer) Fence() ident.Fence { return p.fence }

// takeEffects returns the effects collected since the last call.
func (p *Placer) takeEffects() Effects {
	effects := p.effects
	p.effects = Effects{}
	return effects
}

// SetReplicas replaces the set of replicas.
func (p *Placer) SetReplicas(now time.Time, rs []Replica) Effects {
	removed := maps.Clone(p.replicas)
	for _, r := range rs {
		delete(removed, r.Name)
		p.setReplica(now, r)
	}
	for name, s := range removed {
		p.removeRuns(s)
		delete(p.replicas, name)
	}
	p.names = slices.Sorted(maps.Keys(p.replicas))
	p.store.setReplicaCount(len(p.replicas))
	p.modelStore.setReplicaCount(len(p.replicas))
	return p.takeEffects()
}

// removeRuns removes the requests at a replica that no longer exists from the
// counts.
func (p *Placer) removeRuns(s *replicaState) {
	for _, u := range p.daemons {
		u.runs = slices.DeleteFunc(u.runs, func(r Run) bool { return r.Replica == s.Name })
	}
}

func (p *Placer) setReplica(now time.Time, r Replica) {
	s := p.replicas[r.Name]
	if s == nil {
		s = &replicaState{
			number: p.nextNumber, droppedAt: make(map[Weights]time.Time), avoidedBy: make(map[ident.Daemon]time.Time),
			runningByWeights: make(map[Weights]int),
		}
		p.nextNumber++
		p.replicas[r.Name] = s
	}
	if s.residents == nil || s.Incarnation != r.Incarnation {
		for w := range s.residents {
			if !w.IsModel() {
				s.droppedAt[w] = now
			}
		}
		s.residents = make(map[Weights]*resident)
		s.listed, s.needsListing, s.pending, s.orderInFlight = false, true, nil, false
		s.sequence = option.None[uint64]()
		s.inMemory, s.onDisk = nil, nil
		// Daemons drop the inventory of an earlier incarnation.
		s.reported, s.changes, s.changesFrom = nil, nil, p.revision
		p.markChanged(s)
	}
	if s.Leaving != r.Leaving {
		p.markChanged(s)
	}
	s.Replica = r
}

// markChanged has the replica's inventory compared again, so that daemons
// receive the changes.
func (p *Placer) markChanged(s *replicaState) { s.dirty = true }

// SetNamedVersions sets the versions to use, by weights.
func (p *Placer) SetNamedVersions(namedVersions map[Weights]uint64) Effects {
	p.namedVersions = namedVersions
	return p.takeEffects()
}

// ApplyUsage applies the report of a daemon and returns its answer. Orders that
// follow from it may wait for the next [Placer.Tick], so that the cost of
// placement does not grow with the number of daemons.
func (p *Placer) ApplyUsage(now time.Time, u Usage) (Answer, Effects) {
	p.store.adopt(u.Store)
	p.addRuns(u.Daemon, -1)
	p.daemons[u.Daemon] = &usage{receivedAt: now, runs: u.Runs}
	p.addRuns(u.Daemon, 1)
	for _, r := range u.Runs {
		p.recordRun(now, r)
	}
	for _, name := range u.Avoid {
		if s := p.replicas[name]; s != nil {
			s.avoidedBy[u.Daemon] = now.Add(avoidTTL)
		}
	}
	for _, d := range u.Demands {
		p.recordDemand(now, u, d)
	}
	for _, l := range u.Listings {
		p.applyAnnouncement(now, l)
	}
	if p.newDemand && !now.Before(p.nextPlaceAt) {
		p.place(now)
	}
	return p.answer(now, u), p.takeEffects()
}

// addRuns adds the requests of a daemon to the counts of the replicas, or
// subtracts them if sign is -1.
func (p *Placer) addRuns(name ident.Daemon, sign int) {
	u := p.daemons[name]
	if u == nil {
		return
	}
	for _, r := range u.runs {
		s := p.replicas[r.Replica]
		if s == nil {
			continue
		}
		s.running += sign * r.Running
		if s.runningByWeights[r.Weights] += sign * r.Running; s.runningByWeights[r.Weights] == 0 {
			delete(s.runningByWeights, r.Weights)
		}
	}
}

// dropSilentDaemons removes daemons that have not reported for daemonTimeout
// from the counts.
func (p *Placer) dropSilentDaemons(now time.Time) {
	for name, u := range p.daemons {
		if now.Sub(u.receivedAt) > daemonTimeout {
			p.addRuns(name, -1)
			delete(p.daemons, name)
		}
	}
}

func (p *Placer) recordRun(now time.Time, r Run) {
	if r.Started > 0 {
		p.useRate(r.Weights).add(now, r.Started)
	}
	if s := p.replicas[r.Replica]; s != nil {
		if res := s.residents[r.Weights]; res != nil {
			res.usedAt = now
		}
	}
}

func (p *Placer) recordDemand(now time.Time, u Usage, d Demand) {
	if d.MissingAt != "" {
		p.recordMissing(now, d)
	}
	if d.Waiting == 0 {
		if w := p.wants[d.Weights]; w != nil {
			delete(w.waiting, u.Daemon)
		}
		return
	}
	w := p.wants[d.Weights]
	if w == nil {
		p.newDemand = true
		w = &want{since: now, waiting: make(map[ident.Daemon]waitCount)}
		p.wants[d.Weights] = w
	}
	w.service, w.version, w.dataCentre = d.Service, max(w.version, d.Version), u.DataCentre
	if d.StartDeadline.After(w.startDeadline) {
		w.startDeadline = d.StartDeadline
	}
	w.waiting[u.Daemon] = waitCount{count: d.Waiting, expiresAt: now.Add(demandTTL)}
}

// recordMissing handles the report that a replica lacks weights that it should
// hold. Right after a load it means that loads take longer than estimated.
func (p *Placer) recordMissing(now time.Time, d Demand) {
	s := p.replicas[d.MissingAt]
	if s == nil {
		return
	}
	s.needsListing = true
	res := s.residents[d.Weights]
	if res == nil || !res.usable() || res.readyAt.After(now) {
		return
	}
	if now.Sub(res.dueAt) < p.store.fetchTime {
		res.late = true
		res.readyAt = now.Add(p.store.fetchTime / 4)
		res.dueAt = res.readyAt
		p.markChanged(s)
		return
	}
	res.uncertainUntil = now.Add(listingLag)
	p.markChanged(s)
}

// Tick does what is due at now. It should be called about every 50 ms.
func (p *Placer) Tick(now time.Time) Effects {
	p.dropSilentDaemons(now)
	p.findShortages(now)
	p.place(now)
	for _, name := range p.names {
		s := p.replicas[name]
		if s.needsListing && !now.Before(s.nextListingAt) {
			s.nextListingAt = now.Add(listingInterval)
			p.effects.RequestListings = append(p.effects.RequestListings, s.Name)
		}
	}
	return p.takeEffects()
}
