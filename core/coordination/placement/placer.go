package placement

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// maxReplicaTransit is how many adapters may be in transit to one replica.
	maxReplicaTransit = 4
	// modelListingLag is how long after a base model should be there its replica is asked
	// for it: listings tell of some hundred milliseconds ago.
	modelListingLag = 300 * time.Millisecond
	// modelTimeoutFactor is how many times its usual time a base model may take until
	// the order counts as lost.
	modelTimeoutFactor = 6
	// defaultFetchTime is how long an adapter is thought to take from the weight
	// store, until replicas show that it takes longer.
	defaultFetchTime = 250 * time.Millisecond
	// diskLoadTime is the same for one that the replica has on its own disk.
	diskLoadTime = 25 * time.Millisecond
	// deliveryMargin is added to the time at which an adapter can be used. The answer to
	// the order has been on its way meanwhile, and so will the request be.
	deliveryMargin = 5 * time.Millisecond
	// placeIntervalPerReplica for each replica, but placeMost at most, is the least time
	// between two rounds of placing, so that they take a bounded part of the
	// processor however many daemons ask.
	placeIntervalPerReplica = 100 * time.Microsecond
	maxPlaceInterval        = 25 * time.Millisecond
	// listingLag is how old the state in a listing can be.
	listingLag = time.Second
	// absentAfter is how long after an adapter should be ready a listing has
	// to be made to prove that it is not there.
	absentAfter = 2 * time.Second
	// listingInterval separates questions for the listing of one replica. Each costs
	// the replica a probe.
	listingInterval = 400 * time.Millisecond
	// daemonTimeout is how long the usage of a silent daemon counts.
	daemonTimeout = 2 * time.Second
	// demandTTL is how long a demand counts that is not repeated.
	demandTTL = 700 * time.Millisecond
	// avoidTTL is how long the word of a daemon counts that a replica is not
	// to be relied on.
	avoidTTL = time.Second
	// announcementTimeout is how long a replica may announce nothing before it is better
	// avoided: some announcements in a row, and what one may be delayed.
	announcementTimeout = 5 * time.Second
	// maxAvoidedShare is the part of all replicas that may be avoided: if more are,
	// the fault is likely to be elsewhere.
	maxAvoidedShare = 0.4
	// maxAttempts is how often an order without an answer is given.
	maxAttempts = 4
	// refusalDelay is how long a replica that refused an order gets no other.
	refusalDelay = 100 * time.Millisecond
	// lateOrderWindow is how long an unanswered order may still be carried out.
	lateOrderWindow = 13 * time.Second
)

// resident is one thing that a replica holds, is fetching or may hold.
type resident struct {
	version uint64
	// readyAt is when it can be used, changed when it was last ordered.
	readyAt, changedAt time.Time
	// reservedUntil is until when its place must not be given away, since an
	// order without an answer may still bring it.
	reservedUntil time.Time
	// usedAt is when a request last used it.
	usedAt time.Time
	loadRecord
	// unloading is true from the order to unload until a later listing.
	unloading bool
	// uncertainUntil is until when an unanswered order may still bring it; until
	// then it takes a place but is not to be used.
	uncertainUntil time.Time
}

// loadRecord is how a slot's load went, to judge the store by.
type loadRecord struct {
	// inTransit is how many adapters were in transit when it began, limit the number
	// of the store's limit at that time.
	inTransit, limitNumber int
	// dueAt is when it should be ready, by what is known of it. Other than the
	// slot's own time it outlives listings, which show adapters too early.
	dueAt time.Time
	// late is true if it was missing when it should have been ready.
	late bool
	// evaluated loads count no more. Only loads from the store are judged.
	evaluated bool
}

func (s *resident) usable() bool { return !s.unloading && s.uncertainUntil.IsZero() }

// replicaState is what the placer knows of one replica.
type replicaState struct {
	Replica
	residents map[Weights]*resident
	// listed is true once a listing of this incarnation has arrived.
	listed bool
	// pending holds the orders to give next; the first one is under way if
	// ordered is true.
	pending       []Order
	orderInFlight bool
	// stale is true from an order that the replica refused to the next
	// listing, which then replaces what was believed: a refusal shows that
	// something else has happened there.
	stale bool
	// refusedAt is when the replica last refused an order.
	refusedAt time.Time
	// sequence is how many orders the replica has accepted; acceptedAt is when
	// it accepted the last.
	sequence   option.Option[uint64]
	acceptedAt time.Time
	// attempts counts how often the first order of the plan was given.
	attempts int
	// lastSeenAt is when its last listing or announcement came, zero if none did.
	lastSeenAt time.Time
	// avoidedBy holds until when daemons keep away from the replica.
	avoidedBy map[ident.Daemon]time.Time
	// noOrdersUntil is until when no order is given.
	noOrdersUntil time.Time
	// nextListingAt is when the listing may be asked for again.
	nextListingAt time.Time
	// needsListing is true if the listing should be asked for.
	needsListing bool
	// inMemory and onDisk are the base models that it last said it has copies of.
	inMemory, onDisk []ident.Model
	// droppedAt are adapters that it held, by when it dropped them.
	droppedAt map[Weights]time.Time
	// number is the seat's position in lists of loads.
	number int
	// reported is what daemons were told that it holds, news what has changed in
	// that lately; changed is true if it has to be compared again.
	reported map[Weights]Holding
	changes  []change
	dirty    bool
	// changesFrom is the revision up to which news were dropped, revision that of the
	// last change.
	changesFrom, revision uint64
	// running counts the requests in flight, runs those for each weights.
	running          int
	runningByWeights map[Weights]int

	// The rest is worked out anew for each round of placing: places taken,
	// adapters coming, and what makes way first.
	usedSlots, loading int
	evictionFound      option.Option[eviction]
	evictionSearched   bool
}

// change is a change of what a replica holds.
type change struct {
	weights  Weights
	revision uint64
}

// usage is what a daemon said last.
type usage struct {
	receivedAt time.Time
	runs       []Run
}

// want is the demand for one thing.
type want struct {
	service ident.Service
	version uint64
	// startDeadline is until when a load may begin for a request to be answered in
	// time; the latest of any daemon.
	startDeadline time.Time
	// waiting counts requests by daemon, and until when that counts.
	waiting map[ident.Daemon]waitCount
	// dataCentre is the data centre that asked last.
	dataCentre ident.DataCentre
	since      time.Time
}

type waitCount struct {
	count     int
	expiresAt time.Time
}

// Placer decides for one term of office. It is not safe for concurrent use.
type Placer struct {
	fence    ident.Fence
	revision uint64
	replicas map[ident.Upstream]*replicaState
	// names are those of the seats, sorted; numbers counts all seats ever.
	names      []ident.Upstream
	nextNumber int
	daemons    map[ident.Daemon]*usage
	wants      map[Weights]*want
	useRates   map[Weights]*useRate
	// namedVersions holds the versions that were named, by weights.
	namedVersions map[Weights]uint64
	store         *store
	// modelStore is the same store as it hands out base models.
	modelStore *store
	// modelLoadStarts are the times at which loads of base models from the store began,
	// oldest first, as far as they count for its ceiling.
	modelLoadStarts []time.Time
	// newDemand is true if something is wanted that was not at the last round of
	// placing; the next round may be from placeAt on.
	newDemand   bool
	nextPlaceAt time.Time
	// round is what is where, as of the current round of placing.
	round roundState
	// avoided holds the replicas that are to be avoided now.
	avoided map[ident.Upstream]bool
	// shortages holds what wants another copy, as of the last count.
	shortages  map[Weights]*shortage
	nextCopyAt time.Time
	effects    Effects
}

// New returns the placer with a fencing number. It goes on with what an earlier
// one has learned of the weight store.
func New(fence ident.Fence, known Pace) *Placer {
	return &Placer{
		fence: fence, store: newStore(known), modelStore: newModelStore(),
		replicas:      make(map[ident.Upstream]*replicaState),
		daemons:       make(map[ident.Daemon]*usage),
		wants:         make(map[Weights]*want),
		useRates:      make(map[Weights]*useRate),
		namedVersions: make(map[Weights]uint64),
		avoided:       make(map[ident.Upstream]bool),
		shortages:     make(map[Weights]*shortage),
	}
}

// Fence returns the fencing number of this term of office.
func (p *Placer) Fence() ident.Fence { return p.fence }

// takeEffects returns the effects collected since the last call.
func (p *Placer) takeEffects() Effects {
	out := p.effects
	p.effects = Effects{}
	return out
}

// SetReplicas tells which replicas there are.
func (p *Placer) SetReplicas(now time.Time, rs []Replica) Effects {
	gone := maps.Clone(p.replicas)
	for _, r := range rs {
		delete(gone, r.Name)
		p.setReplica(now, r)
	}
	for name, s := range gone {
		p.removeRuns(s)
		delete(p.replicas, name)
	}
	p.names = slices.Sorted(maps.Keys(p.replicas))
	p.store.setReplicaCount(len(p.replicas))
	p.modelStore.setReplicaCount(len(p.replicas))
	return p.takeEffects()
}

// removeRuns takes the requests at a replica that is gone out of the counts.
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
		// Daemons drop what they were told of an earlier incarnation.
		s.reported, s.changes, s.changesFrom = nil, nil, p.revision
		p.markChanged(s)
	}
	if s.Leaving != r.Leaving {
		p.markChanged(s)
	}
	s.Replica = r
}

// markChanged makes daemons learn of what has changed at a replica.
func (p *Placer) markChanged(s *replicaState) { s.dirty = true }

// SetNamed tells the versions that are to be used.
func (p *Placer) SetNamed(named map[Weights]uint64) Effects {
	p.namedVersions = named
	return p.takeEffects()
}

// Use takes in what a daemon says and returns what it should know. What follows
// from it for the replicas may wait for the next [Placer.Tick], so that the work
// of placing does not grow with the number of daemons.
func (p *Placer) Use(now time.Time, u Usage) (Answer, Effects) {
	p.store.adopt(u.Pace)
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

// addRuns adds what a daemon runs to the counts of the replicas, or takes it out.
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

// dropSilentDaemons drops the counts of daemons that have said nothing for long.
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
		if sl := s.residents[r.Weights]; sl != nil {
			sl.usedAt = now
		}
	}
}

func (p *Placer) recordDemand(now time.Time, u Usage, d Demand) {
	if d.Missed != "" {
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
	if d.InTime.After(w.startDeadline) {
		w.startDeadline = d.InTime
	}
	w.waiting[u.Daemon] = waitCount{count: d.Waiting, expiresAt: now.Add(demandTTL)}
}

// recordMissing handles the word of a replica that it does not hold what it should.
// Right after a load that means that loads take longer than thought.
func (p *Placer) recordMissing(now time.Time, d Demand) {
	s := p.replicas[d.Missed]
	if s == nil {
		return
	}
	s.needsListing = true
	sl := s.residents[d.Weights]
	if sl == nil || !sl.usable() || sl.readyAt.After(now) {
		return
	}
	if now.Sub(sl.dueAt) < p.store.fetchTime {
		sl.late = true
		sl.readyAt = now.Add(p.store.fetchTime / 4)
		sl.dueAt = sl.readyAt
		p.markChanged(s)
		return
	}
	sl.uncertainUntil = now.Add(listingLag)
	p.markChanged(s)
}

// Tick tells the time and has what is due done. It is due every 50 ms or so.
func (p *Placer) Tick(now time.Time) Effects {
	p.dropSilentDaemons(now)
	p.findShortages(now)
	p.place(now)
	for _, name := range p.names {
		s := p.replicas[name]
		if s.needsListing && !now.Before(s.nextListingAt) {
			s.nextListingAt = now.Add(listingInterval)
			p.effects.Ask = append(p.effects.Ask, s.Name)
		}
	}
	return p.takeEffects()
}
