package placement

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// MaxTransit is how many adapters are fetched at a time, over all replicas.
	// The weight store slows down beyond.
	MaxTransit = 8
	// maxComing is how many adapters may be in transit to one replica.
	maxComing = 4
	// maxModels is how many base models are fetched at a time.
	maxModels = 1
	// fetchTime is how long an adapter takes from the weight store, until
	// replicas show that it takes longer.
	fetchTime = 250 * time.Millisecond
	// diskTime is the same for one that the replica has on its own disk.
	diskTime = 25 * time.Millisecond
	// settle is added to the time at which an adapter can be used: it covers
	// the way of the order and the answer.
	settle = 15 * time.Millisecond
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
	// leaving is true from the order to unload until a later listing.
	leaving bool
	// doubtUntil is until when an unanswered order may still bring it; until
	// then it takes a place but is not to be used.
	doubtUntil time.Time
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
	// avoided holds until when daemons keep away from the replica.
	avoided map[ident.Daemon]time.Time
	// restUntil is until when no order is given.
	restUntil time.Time
	// askAt is when the listing may be asked for again.
	askAt time.Time
	// wanting is true if the listing should be asked for.
	wanting bool
	// kept are adapters that it held, by when it dropped them.
	kept map[Weights]time.Time
	// revision is when the board changed last.
	revision uint64
	// running counts the requests in flight.
	running int
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
	daemons  map[ident.Daemon]*usage
	wants    map[Weights]*want
	rates    map[Weights]*rate
	// named holds the versions that were named, by weights.
	named map[Weights]uint64
	// fetch is how long an adapter takes from the store, as learned.
	fetch time.Duration
	// away holds the replicas that are to be avoided now.
	away map[ident.Upstream]bool
	// short holds what wants another copy, as of the last count.
	short  map[Weights]*shortage
	copyAt time.Time
	out    Effects
}

// New returns the placer with a fencing number.
func New(fence ident.Fence) *Placer {
	return &Placer{
		fence: fence, fetch: fetchTime,
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
	for name := range gone {
		delete(p.seats, name)
	}
	p.place(now)
	return p.take()
}

func (p *Placer) setReplica(now time.Time, r Replica) {
	s := p.seats[r.Name]
	if s == nil {
		s = &seat{kept: make(map[Weights]time.Time), avoided: make(map[ident.Daemon]time.Time)}
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
		p.touch(s)
	}
	if s.Leaving != r.Leaving {
		p.touch(s)
	}
	s.Replica = r
}

// touch makes daemons learn of a replica's board.
func (p *Placer) touch(s *seat) {
	p.revision++
	s.revision = p.revision
}

// SetNamed tells the versions that are to be used.
func (p *Placer) SetNamed(now time.Time, named map[Weights]uint64) Effects {
	p.named = named
	p.place(now)
	return p.take()
}

// Use takes in what a daemon says and returns what it should know.
func (p *Placer) Use(now time.Time, u Usage) (Answer, Effects) {
	p.daemons[u.Daemon] = &usage{at: now, runs: u.Runs}
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
	p.count(now)
	p.place(now)
	return p.answer(u), p.take()
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
	if d.Missed != "" {
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
		w = &want{since: now, waiting: make(map[ident.Daemon]waiting)}
		p.wants[d.Weights] = w
	}
	w.service, w.version, w.centre = d.Service, max(w.version, d.Version), u.DataCentre
	w.waiting[u.Daemon] = waiting{count: d.Waiting, until: now.Add(demandFor)}
}

// missed handles the word of a replica that it does not hold what it should.
// Right after a load that means that loads take longer than thought.
func (p *Placer) missed(now time.Time, d Demand) {
	s := p.seats[d.Missed]
	if s == nil {
		return
	}
	s.wanting = true
	sl := s.slots[d.Weights]
	if sl == nil || !sl.usable() || sl.readyAt.After(now) {
		return
	}
	if late := now.Sub(sl.readyAt); late < p.fetch {
		sl.readyAt = now.Add(p.fetch / 4)
		p.touch(s)
		return
	}
	sl.doubtUntil = now.Add(listingLag)
	p.touch(s)
}

// count adds up what daemons run.
func (p *Placer) count(now time.Time) {
	for _, s := range p.seats {
		s.running = 0
	}
	for name, u := range p.daemons {
		if now.Sub(u.at) > forgetDaemon {
			delete(p.daemons, name)
			continue
		}
		for _, r := range u.runs {
			if s := p.seats[r.Replica]; s != nil {
				s.running += r.Running
			}
		}
	}
}

// runningOf counts what daemons run on one thing at one replica.
func (p *Placer) runningOf(name ident.Upstream, w Weights) int {
	n := 0
	for _, u := range p.daemons {
		for _, r := range u.runs {
			if r.Replica == name && r.Weights == w {
				n += r.Running
			}
		}
	}
	return n
}

func (p *Placer) answer(u Usage) Answer {
	a := Answer{Fence: p.fence, Revision: p.revision, Loads: make(map[ident.Upstream]int, len(p.seats))}
	since := u.Revision
	if u.Fence != p.fence {
		since = 0
	}
	for _, name := range slices.Sorted(maps.Keys(p.seats)) {
		s := p.seats[name]
		if s.running > 0 {
			a.Loads[name] = s.running
		}
		if s.known && s.revision > since {
			a.Boards = append(a.Boards, s.board())
		}
	}
	return a
}

func (s *seat) board() Board {
	b := Board{Replica: s.Name, Incarnation: s.Incarnation}
	for w, sl := range s.slots {
		if sl.usable() {
			b.Holdings = append(b.Holdings, Holding{Weights: w, Version: sl.version, ReadyAt: sl.readyAt})
		}
	}
	return b
}

// Tick tells the time. It is due every 50 ms or so.
func (p *Placer) Tick(now time.Time) Effects {
	p.count(now)
	p.countCopies(now)
	p.place(now)
	for _, name := range slices.Sorted(maps.Keys(p.seats)) {
		s := p.seats[name]
		if s.wanting && !now.Before(s.askAt) {
			s.askAt = now.Add(askAgain)
			p.out.Ask = append(p.out.Ask, s.Name)
		}
	}
	return p.take()
}
