package placement

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// maxComing is how many adapters may be in transit to one replica.
	maxComing = 4
	// modelLag is how long after a base model should be there its replica is asked
	// for it: listings tell of some hundred milliseconds ago.
	modelLag = 300 * time.Millisecond
	// modelPatience is how many times its usual time a base model may take until
	// the order counts as lost.
	modelPatience = 6
	// fetchTime is how long an adapter is thought to take from the weight
	// store, until replicas show that it takes longer.
	fetchTime = 250 * time.Millisecond
	// diskTime is the same for one that the replica has on its own disk.
	diskTime = 25 * time.Millisecond
	// settle is added to the time at which an adapter can be used. The answer to
	// the order has been on its way meanwhile, and so will the request be.
	settle = 5 * time.Millisecond
	// placeEach for each replica, but placeMost at most, is the least time
	// between two rounds of placing, so that they take a bounded part of the
	// processor however many daemons ask.
	placeEach = 100 * time.Microsecond
	placeMost = 25 * time.Millisecond
	// listingLag is how old the state in a listing can be.
	listingLag = time.Second
	// absentAfter is how long after an adapter should be ready a listing has
	// to be made to prove that it is not there.
	absentAfter = 2 * time.Second
	// askAgain separates questions for the listing of one replica. Each costs
	// the replica a probe.
	askAgain = 400 * time.Millisecond
	// forgetDaemon is how long the usage of a silent daemon counts.
	forgetDaemon = 2 * time.Second
	// demandFor is how long a demand counts that is not repeated.
	demandFor = 700 * time.Millisecond
	// avoidFor is how long the word of a daemon counts that a replica is not
	// to be relied on.
	avoidFor = time.Second
	// silentAfter is how long a replica may announce nothing before it is better
	// avoided: some announcements in a row, and what one may be delayed.
	silentAfter = 5 * time.Second
	// avoidShare is the part of all replicas that may be avoided: if more are,
	// the fault is likely to be elsewhere.
	avoidShare = 0.4
	// maxTries is how often an order without an answer is given.
	maxTries = 4
	// busyRetry is how long a replica that refused an order gets no other.
	busyRetry = 100 * time.Millisecond
	// lostAfter is how long an unanswered order may still be carried out.
	lostAfter = 13 * time.Second
)

// slot is one thing that a replica holds, is fetching or may hold.
type slot struct {
	version uint64
	// readyAt is when it can be used, changed when it was last ordered.
	readyAt, changed time.Time
	// reservedUntil is until when its place must not be given away, since an
	// order without an answer may still bring it.
	reservedUntil time.Time
	// usedAt is when a request last used it.
	usedAt time.Time
	load
	// leaving is true from the order to unload until a later listing.
	leaving bool
	// doubtUntil is until when an unanswered order may still bring it; until
	// then it takes a place but is not to be used.
	doubtUntil time.Time
}

// load is how a slot's load went, to judge the store by.
type load struct {
	// began is how many adapters were in transit when it began, limit the number
	// of the store's limit at that time.
	began, limit int
	// dueAt is when it should be ready, by what is known of it. Other than the
	// slot's own time it outlives listings, which show adapters too early.
	dueAt time.Time
	// late is true if it was missing when it should have been ready.
	late bool
	// judged loads count no more. Only loads from the store are judged.
	judged bool
}

func (s *slot) usable() bool { return !s.leaving && s.doubtUntil.IsZero() }

// seat is what the placer knows of one replica.
type seat struct {
	Replica
	slots map[Weights]*slot
	// known is true once a listing of this incarnation has arrived.
	known bool
	// plan holds the orders to give next; the first one is under way if
	// ordered is true.
	plan    []Order
	ordered bool
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
	// tries counts how often the first order of the plan was given.
	tries int
	// heardAt is when its last listing or announcement came, zero if none did.
	heardAt time.Time
	// avoided holds until when daemons keep away from the replica.
	avoided map[ident.Daemon]time.Time
	// restUntil is until when no order is given.
	restUntil time.Time
	// askAt is when the listing may be asked for again.
	askAt time.Time
	// wanting is true if the listing should be asked for.
	wanting bool
	// inMemory and onDisk are the base models that it last said it has copies of.
	inMemory, onDisk []ident.Model
	// kept are adapters that it held, by when it dropped them.
	kept map[Weights]time.Time
	// number is the seat's position in lists of loads.
	number int
	// shown is what daemons were told that it holds, news what has changed in
	// that lately; changed is true if it has to be compared again.
	shown   map[Weights]Holding
	news    []news
	changed bool
	// told is the revision up to which news were dropped, revision that of the
	// last change.
	told, revision uint64
	// running counts the requests in flight, runs those for each weights.
	running int
	runs    map[Weights]int

	// The rest is worked out anew for each round of placing: places taken,
	// adapters coming, and what makes way first.
	takenNow, comingNow int
	eviction            option.Option[eviction]
	sought              bool
}

// news is a change of what a replica holds.
type news struct {
	weights  Weights
	revision uint64
}

// usage is what a daemon said last.
type usage struct {
	at   time.Time
	runs []Run
}

// want is the demand for one thing.
type want struct {
	service ident.Service
	version uint64
	// inTime is until when a load may begin for a request to be answered in
	// time; the latest of any daemon.
	inTime time.Time
	// waiting counts requests by daemon, and until when that counts.
	waiting map[ident.Daemon]waiting
	// centre is the data centre that asked last.
	centre ident.DataCentre
	since  time.Time
}

type waiting struct {
	count int
	until time.Time
}

// Placer decides for one term of office. It is not safe for concurrent use.
type Placer struct {
	fence    ident.Fence
	revision uint64
	seats    map[ident.Upstream]*seat
	// names are those of the seats, sorted; numbers counts all seats ever.
	names   []ident.Upstream
	numbers int
	daemons map[ident.Daemon]*usage
	wants   map[Weights]*want
	rates   map[Weights]*rate
	// named holds the versions that were named, by weights.
	named map[Weights]uint64
	store *store
	// models is the same store as it hands out base models.
	models *store
	// begun are the times at which loads of base models from the store began,
	// oldest first, as far as they count for its ceiling.
	begun []time.Time
	// asked is true if something is wanted that was not at the last round of
	// placing; the next round may be from placeAt on.
	asked   bool
	placeAt time.Time
	// seen is what is where, as of the current round of placing.
	seen survey
	// away holds the replicas that are to be avoided now.
	away map[ident.Upstream]bool
	// short holds what wants another copy, as of the last count.
	short  map[Weights]*shortage
	copyAt time.Time
	out    Effects
}

// New returns the placer with a fencing number. It goes on with what an earlier
// one has learned of the weight store.
func New(fence ident.Fence, known StoreEstimate) *Placer {
	return &Placer{
		fence: fence, store: newStore(known), models: newModelStore(),
		seats:   make(map[ident.Upstream]*seat),
		daemons: make(map[ident.Daemon]*usage),
		wants:   make(map[Weights]*want),
		rates:   make(map[Weights]*rate),
		named:   make(map[Weights]uint64),
		away:    make(map[ident.Upstream]bool),
		short:   make(map[Weights]*shortage),
	}
}

// Fence returns the fencing number of this term of office.
func (p *Placer) Fence() ident.Fence { return p.fence }

// take returns the effects collected since the last call.
func (p *Placer) take() Effects {
	out := p.out
	p.out = Effects{}
	return out
}

// SetReplicas tells which replicas there are.
func (p *Placer) SetReplicas(now time.Time, rs []Replica) Effects {
	gone := maps.Clone(p.seats)
	for _, r := range rs {
		delete(gone, r.Name)
		p.setReplica(now, r)
	}
	for name, s := range gone {
		p.forget(s)
		delete(p.seats, name)
	}
	p.names = slices.Sorted(maps.Keys(p.seats))
	p.store.serves(len(p.seats))
	p.models.serves(len(p.seats))
	return p.take()
}

// forget takes the requests at a replica that is gone out of the counts.
func (p *Placer) forget(s *seat) {
	for _, u := range p.daemons {
		u.runs = slices.DeleteFunc(u.runs, func(r Run) bool { return r.Replica == s.Name })
	}
}

func (p *Placer) setReplica(now time.Time, r Replica) {
	s := p.seats[r.Name]
	if s == nil {
		s = &seat{
			number: p.numbers, kept: make(map[Weights]time.Time), avoided: make(map[ident.Daemon]time.Time),
			runs: make(map[Weights]int),
		}
		p.numbers++
		p.seats[r.Name] = s
	}
	if s.slots == nil || s.Incarnation != r.Incarnation {
		for w := range s.slots {
			if !w.IsModel() {
				s.kept[w] = now
			}
		}
		s.slots = make(map[Weights]*slot)
		s.known, s.wanting, s.plan, s.ordered = false, true, nil, false
		s.sequence = option.None[uint64]()
		s.inMemory, s.onDisk = nil, nil
		// Daemons drop what they were told of an earlier incarnation.
		s.shown, s.news, s.told = nil, nil, p.revision
		p.touch(s)
	}
	if s.Leaving != r.Leaving {
		p.touch(s)
	}
	s.Replica = r
}

// touch makes daemons learn of what has changed at a replica.
func (p *Placer) touch(s *seat) { s.changed = true }

// SetNamedVersions tells the versions that are to be used.
func (p *Placer) SetNamedVersions(named map[Weights]uint64) Effects {
	p.named = named
	return p.take()
}

// ApplyUsage takes in what a daemon says and returns what it should know. What follows
// from it for the replicas may wait for the next [Placer.Tick], so that the work
// of placing does not grow with the number of daemons.
func (p *Placer) ApplyUsage(now time.Time, u Usage) (Answer, Effects) {
	p.store.adopt(u.Store)
	p.count(u.Daemon, -1)
	p.daemons[u.Daemon] = &usage{at: now, runs: u.Runs}
	p.count(u.Daemon, 1)
	for _, r := range u.Runs {
		p.used(now, r)
	}
	for _, name := range u.Avoid {
		if s := p.seats[name]; s != nil {
			s.avoided[u.Daemon] = now.Add(avoidFor)
		}
	}
	for _, d := range u.Demands {
		p.demanded(now, u, d)
	}
	for _, l := range u.Listings {
		p.announced(now, l)
	}
	if p.asked && !now.Before(p.placeAt) {
		p.place(now)
	}
	return p.answer(now, u), p.take()
}

// count adds what a daemon runs to the counts of the replicas, or takes it out.
func (p *Placer) count(name ident.Daemon, sign int) {
	u := p.daemons[name]
	if u == nil {
		return
	}
	for _, r := range u.runs {
		s := p.seats[r.Replica]
		if s == nil {
			continue
		}
		s.running += sign * r.Running
		if s.runs[r.Weights] += sign * r.Running; s.runs[r.Weights] == 0 {
			delete(s.runs, r.Weights)
		}
	}
}

// forgetSilent drops the counts of daemons that have said nothing for long.
func (p *Placer) forgetSilent(now time.Time) {
	for name, u := range p.daemons {
		if now.Sub(u.at) > forgetDaemon {
			p.count(name, -1)
			delete(p.daemons, name)
		}
	}
}

func (p *Placer) used(now time.Time, r Run) {
	if r.Started > 0 {
		p.rate(r.Weights).add(now, r.Started)
	}
	if s := p.seats[r.Replica]; s != nil {
		if sl := s.slots[r.Weights]; sl != nil {
			sl.usedAt = now
		}
	}
}

func (p *Placer) demanded(now time.Time, u Usage, d Demand) {
	if d.MissingAt != "" {
		p.missed(now, d)
	}
	if d.Waiting == 0 {
		if w := p.wants[d.Weights]; w != nil {
			delete(w.waiting, u.Daemon)
		}
		return
	}
	w := p.wants[d.Weights]
	if w == nil {
		p.asked = true
		w = &want{since: now, waiting: make(map[ident.Daemon]waiting)}
		p.wants[d.Weights] = w
	}
	w.service, w.version, w.centre = d.Service, max(w.version, d.Version), u.DataCentre
	if d.StartDeadline.After(w.inTime) {
		w.inTime = d.StartDeadline
	}
	w.waiting[u.Daemon] = waiting{count: d.Waiting, until: now.Add(demandFor)}
}

// missed handles the word of a replica that it does not hold what it should.
// Right after a load that means that loads take longer than thought.
func (p *Placer) missed(now time.Time, d Demand) {
	s := p.seats[d.MissingAt]
	if s == nil {
		return
	}
	s.wanting = true
	sl := s.slots[d.Weights]
	if sl == nil || !sl.usable() || sl.readyAt.After(now) {
		return
	}
	if now.Sub(sl.dueAt) < p.store.fetch {
		sl.late = true
		sl.readyAt = now.Add(p.store.fetch / 4)
		sl.dueAt = sl.readyAt
		p.touch(s)
		return
	}
	sl.doubtUntil = now.Add(listingLag)
	p.touch(s)
}

// Tick tells the time and has what is due done. It is due every 50 ms or so.
func (p *Placer) Tick(now time.Time) Effects {
	p.forgetSilent(now)
	p.countCopies(now)
	p.place(now)
	for _, name := range p.names {
		s := p.seats[name]
		if s.wanting && !now.Before(s.askAt) {
			s.askAt = now.Add(askAgain)
			p.out.RequestListings = append(p.out.RequestListings, s.Name)
		}
	}
	return p.take()
}
