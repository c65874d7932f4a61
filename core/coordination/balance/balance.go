package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

const (
	// awayPenalty is how many requests in flight a replica in another data
	// centre seems to have in addition, for a batch of 64. A request's bytes
	// between data centres cost about a hundredth of what it earns.
	awayPenalty = 6.0 / 64
	// waitPenalty turns seconds for which a replica has prompts to read into
	// the share of its size that they weigh.
	waitPenalty = 2
	// ejectFirst and ejectMost bound how long a replica whose connections fail
	// is left out.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 8 * time.Second
	// faultWindow is how long failed answers count against a replica, and
	// maxFaults how many of them, without an answer in between that was good,
	// take it out.
	faultWindow = 3 * time.Second
	maxFaults   = 3
	// slowFactor is how many times the mean of the others a replica of a plain
	// service takes before it counts as slow.
	slowFactor = 3
	// slowLeast is by how much it has to take longer, slowEngine the same for one
	// that runs models, where prompts of others come between; slowSamples is how
	// many answers there must have been.
	slowLeast   = 20 * time.Millisecond
	slowEngine  = 250 * time.Millisecond
	slowSamples = 5
	// smoothing is the weight of a new duration in the mean.
	smoothing = 0.2
)

// Replica is a replica that requests can be sent to.
type Replica struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	Service     ident.Service
	Address     string
	DataCentre  ident.DataCentre
	// Slots is how many requests it processes at a time; at least 1.
	Slots   int
	Leaving bool
}

// Query is what a request needs.
type Query struct {
	Service ident.Service
	// Weights is zero for a service that runs no models.
	Weights placement.Weights
	// Version is the least version of an adapter that will do.
	Version uint64
	// Exclude names replicas that were tried already.
	Exclude []ident.Upstream
	// MaxInFlight bounds what this daemon has in flight at one replica; 0 for no
	// bound.
	MaxInFlight int
}

// Choice is where a request is sent.
type Choice struct {
	Replica Replica
	Weights placement.Weights
	// Version is the version of the weights there, 0 if it is not known.
	Version uint64
	// Load is what the choice rested on: the requests in flight there, by the
	// newest knowledge, which is that of LoadAt.
	Load   int
	LoadAt time.Time
	// Cost is what the choice seemed to cost, Alternatives what some of the other
	// replicas that could have run the request seemed to.
	Cost         float64
	Alternatives []Considered
}

// Considered is a replica that was not chosen.
type Considered struct {
	Name ident.Upstream
	Cost float64
}

// maxOthers bounds the replicas that a choice tells of.
const maxOthers = 3

// Reason tells why there is no choice.
type Reason uint8

const (
	// Found means that there is a choice.
	Found Reason = iota
	// Loading means that a replica is about to hold what is needed.
	Loading
	// NotLoaded means that no replica holds what is needed.
	NotLoaded
	// Crowded means that every replica has as much in flight as this daemon
	// may have there.
	Crowded
	// NoReplica means that the service has no replica that takes work.
	NoReplica
)

var missNames = [...]string{"found", "coming", "absent", "crowded", "nobody"}

// String returns a word for logs.
func (m Reason) String() string { return missNames[m] }

// peer is what is known of one replica.
type peer struct {
	Replica
	// running counts this daemon's requests in flight, by weights.
	running map[placement.Weights]int
	started map[placement.Weights]int
	own     int
	// others counts those of other daemons, as of the last answer.
	others int
	// holdings is what it holds, as the placer believes.
	holdings map[placement.Weights]placement.Holding
	// ejectedUntil is until when it is left out, and ejections how often in a
	// row.
	ejectedUntil time.Time
	ejections    int
	// shunned is true if other daemons can't rely on it, by the last answer.
	shunned bool
	faults  int
	faultAt time.Time
	// freeAt is when it had time for the prompt that was booked last.
	freeAt time.Time
	// mean is the mean time to the first piece of good answers, of which there
	// were samples.
	mean    time.Duration
	samples int
	// engine is true if it was asked to run a model.
	engine bool
	// pressed counts the requests let in by its door that it refused, or kept
	// waiting, since that was told last; busyUntil is until when it is likely to
	// have more to do than it can.
	pressed int
	// quickest is about the least time to the first piece of good answers, by
	// route; at most maxQuickest.
	quickest  map[string]time.Duration
	busyUntil time.Time
}

// board is what the placer has said of a replica.
type board struct {
	incarnation ident.Incarnation
	number      int
	holdings    map[placement.Weights]placement.Holding
}

// Balancer knows the replicas. It is not safe for concurrent use.
type Balancer struct {
	centre ident.DataCentre
	peers  map[ident.Upstream]*peer
	// services holds the names of each service's replicas, sorted.
	services map[ident.Service][]ident.Upstream
	boards   map[ident.Upstream]board
	fence    ident.Fence
	revision uint64
	// heardAt is when the placer answered last.
	heardAt time.Time
	// told is what this daemon had in flight when it last asked the placer.
	told map[ident.Upstream]int
	// pace is what placers have learned of the weight store.
	pace placement.StoreEstimate
}

// New returns a balancer for a daemon in a data centre.
func New(centre ident.DataCentre) *Balancer {
	return &Balancer{
		centre: centre, peers: make(map[ident.Upstream]*peer),
		services: make(map[ident.Service][]ident.Upstream),
		boards:   make(map[ident.Upstream]board),
	}
}

// SetReplicas tells which replicas there are.
func (b *Balancer) SetReplicas(rs []Replica) {
	gone := maps.Clone(b.peers)
	b.services = make(map[ident.Service][]ident.Upstream)
	for _, r := range rs {
		delete(gone, r.Name)
		p := b.peers[r.Name]
		if p == nil || p.Incarnation != r.Incarnation {
			p = &peer{running: make(map[placement.Weights]int), started: make(map[placement.Weights]int)}
			b.peers[r.Name] = p
		}
		r.Slots = max(r.Slots, 1)
		p.Replica = r
		b.fit(p)
		b.services[r.Service] = append(b.services[r.Service], r.Name)
	}
	for name := range gone {
		delete(b.peers, name)
	}
	for _, names := range b.services {
		slices.Sort(names)
	}
}

// fit gives a peer the board of its incarnation.
func (b *Balancer) fit(p *peer) {
	p.holdings = nil
	if known := b.boards[p.Name]; known.incarnation == p.Incarnation {
		p.holdings = known.holdings
	}
}

// ApplyAnswer takes in what the placer said. It reports whether boards changed.
func (b *Balancer) ApplyAnswer(now time.Time, a placement.Answer) bool {
	if a.Fence < b.fence {
		return false
	}
	if a.Fence > b.fence {
		// Until the new placer has told of a replica, the word of the last one
		// is the best there is.
		b.renumber()
	}
	b.fence, b.revision, b.heardAt, b.pace = a.Fence, a.Revision, now, a.Store
	for _, told := range a.Inventories {
		b.take(told)
	}
	for name, p := range b.peers {
		p.others, p.shunned = 0, false
		if known, ok := b.boards[name]; ok {
			p.others = max(0, a.LoadAt(known.number)-b.told[name])
			p.shunned = slices.Contains(a.Avoided, known.number)
		}
	}
	return len(a.Inventories) > 0
}

// renumber forgets the numbers that an earlier placer gave.
func (b *Balancer) renumber() {
	for name, known := range b.boards {
		known.number = -1
		b.boards[name] = known
	}
}

// take takes in what has changed at one replica. If it tells changes of what is
// not known here, everything is asked for again.
func (b *Balancer) take(told placement.Inventory) {
	known := b.boards[told.Replica]
	if known.incarnation != told.Incarnation {
		known = board{incarnation: told.Incarnation}
	}
	known.number, known.holdings = told.Number, told.Fit(known.holdings)
	if known.holdings == nil {
		b.revision = 0
	}
	b.boards[told.Replica] = known
	if p := b.peers[told.Replica]; p != nil {
		b.fit(p)
	}
}

// StoreEstimate returns what placers have learned of the weight store.
func (b *Balancer) StoreEstimate() placement.StoreEstimate { return b.pace }

// SetStartedAt notes when the daemon began to listen for the placer.
func (b *Balancer) SetStartedAt(now time.Time) { b.heardAt = now }

// PlacerAnsweredAt returns when the placer answered last, or when the daemon began to
// listen.
func (b *Balancer) PlacerAnsweredAt() time.Time { return b.heardAt }

// Usage returns what to tell the placer, and starts a new count.
func (b *Balancer) Usage(now time.Time) placement.Usage {
	u := placement.Usage{DataCentre: b.centre, Fence: b.fence, Revision: b.revision, Avoid: b.avoided(now), Store: b.pace}
	b.told = make(map[ident.Upstream]int, len(b.peers))
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		p := b.peers[name]
		b.told[name] = p.own
		for w, n := range p.running {
			if n == 0 && p.started[w] == 0 {
				delete(p.running, w)
				continue
			}
			u.Runs = append(u.Runs, placement.Run{Replica: name, Weights: w, Running: n, Started: p.started[w]})
		}
		clear(p.started)
	}
	return u
}

// Pick chooses a replica and counts the request as in flight there. The second
// result says why there is none; with Loading, the time is when to look again.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, Reason, time.Time) {
	miss, at := NoReplica, time.Time{}
	var best *peer
	least := 0.0
	var others []Considered
	var version uint64
	for _, ejected := range []bool{false, true} {
		for _, name := range b.services[q.Service] {
			p := b.peers[name]
			if p.Leaving || slices.Contains(q.Exclude, name) || p.out(now) != ejected {
				continue
			}
			m, h := p.holds(now, q)
			if m == Found && q.MaxInFlight > 0 && p.own >= q.MaxInFlight {
				m = Crowded
			}
			if m != Found {
				miss, at = betterMiss(miss, at, m, h.ReadyAt)
				continue
			}
			cost := b.cost(now, p)
			if best == nil || cost < least {
				if best != nil {
					others = append(others, Considered{best.Name, least})
				}
				best, least, version = p, cost, h.Version
				continue
			}
			others = append(others, Considered{name, cost})
		}
		// A replica that failed lately is better than none, but for adapters:
		// those can be loaded elsewhere.
		if best != nil || miss != NoReplica {
			break
		}
	}
	if best == nil {
		return Choice{}, miss, at
	}
	best.running[q.Weights]++
	best.started[q.Weights]++
	best.own++
	return Choice{
		Replica: best.Replica, Weights: q.Weights, Version: version,
		Load: best.own + best.others, LoadAt: b.heardAt, Cost: least, Alternatives: others[:min(len(others), maxOthers)],
	}, Found, time.Time{}
}

// HasFreeReplica reports whether a replica could take the request now: one that is not
// left out, holds what is needed and has a free place as far as is known.
func (b *Balancer) HasFreeReplica(now time.Time, q Query) bool {
	for _, name := range b.services[q.Service] {
		p := b.peers[name]
		if p.Leaving || slices.Contains(q.Exclude, name) || p.out(now) || p.own+p.others >= p.Slots {
			continue
		}
		if m, _ := p.holds(now, q); m == Found {
			return true
		}
	}
	return false
}

// StillAccepts reports whether the replica of a choice still takes requests.
func (b *Balancer) StillAccepts(c Choice) bool {
	p := b.peers[c.Replica.Name]
	return p != nil && p.Incarnation == c.Replica.Incarnation && !p.Leaving
}

// out reports whether the replica is left out for now.
func (p *peer) out(now time.Time) bool { return p.shunned || now.Before(p.ejectedUntil) }

// betterMiss keeps the miss that says most: what is coming first, and then
// soonest.
func betterMiss(old Reason, oldAt time.Time, m Reason, at time.Time) (Reason, time.Time) {
	if old == Loading && (m != Loading || oldAt.Before(at)) || old != NoReplica && old < m {
		return old, oldAt
	}
	return m, at
}

// holds reports whether the replica can run what q needs now.
func (p *peer) holds(now time.Time, q Query) (Reason, placement.Holding) {
	if q.Weights.Model == "" {
		return Found, placement.Holding{}
	}
	h, ok := p.holdings[q.Weights]
	switch {
	case !ok || h.Version < q.Version:
		return NotLoaded, h
	case h.ReadyAt.After(now):
		return Loading, h
	}
	return Found, h
}

// cost is what sending one more request to p would mean, as a share of its
// size.
func (b *Balancer) cost(now time.Time, p *peer) float64 {
	c := float64(p.own+p.others+1)/float64(p.Slots) + waitPenalty*max(0, p.freeAt.Sub(now).Seconds())
	if p.DataCentre != b.centre {
		c += awayPenalty
	}
	if p.ejections > 0 || p.faults > 0 {
		c *= 2
	}
	return c * b.slow(p)
}

// PrefillReserved notes when a replica has time for a prompt.
func (b *Balancer) PrefillReserved(name ident.Upstream, at time.Time) {
	if p := b.peers[name]; p != nil {
		p.freeAt = at
	}
}

// missedFor is how long a replica that said that it does not hold an adapter is
// taken to be fetching it still, unless the placer says otherwise before.
const missedFor = 80 * time.Millisecond

// RecordMissing notes that a replica does not hold what the placer says that it holds:
// most likely it will soon.
func (b *Balancer) RecordMissing(now time.Time, name ident.Upstream, w placement.Weights) {
	p := b.peers[name]
	if p == nil {
		return
	}
	if h, ok := p.holdings[w]; ok {
		h.ReadyAt = now.Add(missedFor)
		p.holdings[w] = h
	}
}

// meanOf is the mean duration at the other replicas of a service.
func (b *Balancer) meanOf(s ident.Service, but ident.Upstream) time.Duration {
	var sum time.Duration
	n := 0
	for _, name := range b.services[s] {
		if p := b.peers[name]; name != but && p.samples >= slowSamples {
			sum += p.mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// Outcome is how an attempt ended, as far as the replica is to blame.
type Outcome uint8

const (
	// Good attempts brought an answer.
	Good Outcome = iota + 1
	// Neutral attempts say nothing of the replica.
	Neutral
	// Faulty attempts brought a failure or a broken answer.
	Faulty
	// Unreachable attempts could not connect, or met silence.
	Unreachable
)

var outcomeNames = [...]string{"", "good", "neutral", "faulty", "unreachable"}

// String returns a word for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Done ends a request that Pick counted; took is the time to the first piece
// of a good answer, without what the length of a prompt explains. If the replica is left out from now on, it returns until
// when.
func (b *Balancer) Done(now time.Time, c Choice, o Outcome, took time.Duration) option.Option[time.Time] {
	p := b.peers[c.Replica.Name]
	if p == nil || p.Incarnation != c.Replica.Incarnation {
		return option.None[time.Time]()
	}
	out := now.Before(p.ejectedUntil)
	p.running[c.Weights]--
	p.own--
	switch o {
	case Good:
		p.ejections, p.faults = 0, 0
		p.samples++
		p.engine = c.Weights.Model != ""
		p.mean += time.Duration(max(smoothing, 1/float64(p.samples)) * float64(took-p.mean))
	case Faulty:
		if now.Sub(p.faultAt) > faultWindow {
			p.faults = 0
		}
		p.faults++
		p.faultAt = now
		if p.faults >= maxFaults {
			p.eject(now)
		}
	case Unreachable:
		p.eject(now)
	}
	if out || !now.Before(p.ejectedUntil) {
		return option.None[time.Time]()
	}
	return option.Some(p.ejectedUntil)
}

func (p *peer) eject(now time.Time) {
	if now.Before(p.ejectedUntil) {
		return
	}
	p.ejectedUntil = now.Add(min(ejectFirst<<min(p.ejections, 10), ejectMost))
	p.ejections++
}

// avoided returns the replicas that are left out or slow.
func (b *Balancer) avoided(now time.Time) []ident.Upstream {
	out := b.Ejected(now)
	for name, p := range b.peers {
		if !now.Before(p.ejectedUntil) && b.slow(p) > 1 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// slow returns how many times longer p takes than the others of its service,
// or 1 if that is within what load explains.
func (b *Balancer) slow(p *peer) float64 {
	least := slowLeast
	if p.engine {
		least = slowEngine
	}
	if p.samples < slowSamples || p.mean < least {
		return 1
	}
	if mean := b.meanOf(p.Service, p.Name); mean > 0 && p.mean > max(slowFactor*mean, mean+least) {
		return float64(p.mean) / float64(mean)
	}
	return 1
}

// Ejected returns the replicas that are left out.
func (b *Balancer) Ejected(now time.Time) []ident.Upstream {
	var out []ident.Upstream
	for name, p := range b.peers {
		if now.Before(p.ejectedUntil) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}
