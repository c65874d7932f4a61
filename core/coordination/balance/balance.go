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
	// remotePenalty is the cost added for a replica in another data centre,
	// equal to 6 requests in flight at a batch size of 64. The traffic between
	// data centres costs about a hundredth of what a request earns.
	remotePenalty = 6.0 / 64
	// prefillWaitPenalty converts the seconds of prefill already reserved at a
	// replica into cost, as a share of the replica's size.
	prefillWaitPenalty = 2
	// minEjection and maxEjection bound how long a replica whose connections
	// fail is ejected.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// faultWindow is how long failed answers count against a replica. maxFaults
	// of them without a good answer in between eject it.
	faultWindow = 3 * time.Second
	maxFaults   = 3
	// slowFactor is the multiple of the mean latency of the other replicas
	// above which a replica of a plain service counts as slow.
	slowFactor = 3
	// minSlowdown is the least latency difference at which a replica counts as
	// slow. minEngineSlowdown is the same for replicas that run models, where
	// the prefills of other requests add latency. minSlowSamples is the least
	// number of answers needed for the comparison.
	minSlowdown       = 20 * time.Millisecond
	minEngineSlowdown = 250 * time.Millisecond
	minSlowSamples    = 5
	// smoothing is the weight of a new sample in the mean latency.
	smoothing = 0.2
)

// Replica is a replica that requests can be sent to.
type Replica struct {
	Name        ident.Upstream
	Incarnation ident.Incarnation
	Service     ident.Service
	Address     string
	DataCentre  ident.DataCentre
	// Slots is the number of requests that it processes concurrently; at least
	// 1.
	Slots   int
	Leaving bool
}

// Query describes what a request needs.
type Query struct {
	Service ident.Service
	// Weights is zero for a service that runs no models.
	Weights placement.Weights
	// Version is the minimum version of an adapter that is acceptable.
	Version uint64
	// Exclude names replicas that were already tried.
	Exclude []ident.Upstream
	// MaxInFlight limits the requests that this daemon has in flight at one
	// replica; 0 means no limit.
	MaxInFlight int
}

// Choice is the replica that a request is sent to.
type Choice struct {
	Replica Replica
	Weights placement.Weights
	// Version is the version of the weights at the replica, 0 if unknown.
	Version uint64
	// Load is the number of requests in flight at the replica as used for the
	// choice. The part of other daemons is as of LoadAt.
	Load   int
	LoadAt time.Time
	// Cost is the computed cost of the chosen replica. Alternatives lists some
	// of the other eligible replicas.
	Cost         float64
	Alternatives []Alternative
}

// Alternative is an eligible replica that was not chosen.
type Alternative struct {
	Name ident.Upstream
	Cost float64
}

// maxAlternatives limits the other replicas listed in a Choice.
const maxAlternatives = 3

// Reason is the reason why no replica was picked.
type Reason uint8

const (
	// Found means that a replica was picked.
	Found Reason = iota
	// Loading means that a replica is loading the weights.
	Loading
	// NotLoaded means that no replica holds the weights.
	NotLoaded
	// AtLimit means that this daemon has as many requests in flight at every
	// replica as the query allows.
	AtLimit
	// Quiet means that every replica that could serve the request wants none of
	// this daemon for a while.
	Quiet
	// NoReplica means that the service has no replica that accepts work.
	NoReplica
)

var reasonNames = [...]string{"found", "coming", "absent", "crowded", "quiet", "nobody"}

// String returns the name used in logs.
func (r Reason) String() string { return reasonNames[r] }

// replicaState is what the balancer knows about one replica.
type replicaState struct {
	Replica
	// running and started count this daemon's requests by weights: those in
	// flight, and those sent since the last Usage.
	running  map[placement.Weights]int
	started  map[placement.Weights]int
	inFlight int
	// inFlightElsewhere counts the requests of other daemons, as of the
	// placer's last answer.
	inFlightElsewhere int
	// holdings are the weights that it holds according to the placer.
	holdings map[placement.Weights]placement.Holding
	// ejectedUntil is the end of the current ejection; ejections counts
	// consecutive ejections.
	ejectedUntil time.Time
	ejections    int
	// quietUntil is until when the replica wants no requests of this daemon.
	quietUntil time.Time
	// avoided is true if the placer's last answer says that several daemons
	// can't rely on the replica.
	avoided     bool
	faults      int
	lastFaultAt time.Time
	// prefillFreeAt is when the replica can start the prompt that was reserved
	// last.
	prefillFreeAt time.Time
	// meanLatency is the mean time to the first chunk of good answers, over
	// latencySamples answers.
	meanLatency    time.Duration
	latencySamples int
	// runsModels is true if the last good answer came from a model.
	runsModels bool
	// pushedBack counts requests that the replica's pacer admitted but that the
	// replica refused or delayed, since the last report. busyUntil is when it
	// stops counting as overloaded.
	pushedBack int
	// minLatency is the approximate minimum time to the first chunk of good
	// answers, by route; at most maxRoutes entries.
	minLatency map[string]time.Duration
	busyUntil  time.Time
}

// inventory is what the placer has reported about a replica.
type inventory struct {
	incarnation ident.Incarnation
	number      int
	holdings    map[placement.Weights]placement.Holding
}

// Balancer tracks replicas and picks one for each request. It is not safe for
// concurrent use.
type Balancer struct {
	dataCentre ident.DataCentre
	replicas   map[ident.Upstream]*replicaState
	// services holds the names of each service's replicas, sorted.
	services    map[ident.Service][]ident.Upstream
	inventories map[ident.Upstream]inventory
	// notices holds at most maxNotices notices.
	notices  map[ident.Upstream]notice
	fence    ident.Fence
	revision uint64
	// answeredAt is when the placer last answered.
	answeredAt time.Time
	// reported is what this daemon had in flight in its last report to the
	// placer.
	reported map[ident.Upstream]int
	// storeEstimate is the placer's estimate of the weight store's limits.
	storeEstimate placement.StoreEstimate
}

// New returns a balancer for a daemon in a data centre.
func New(dataCentre ident.DataCentre) *Balancer {
	return &Balancer{
		dataCentre: dataCentre, replicas: make(map[ident.Upstream]*replicaState),
		services:    make(map[ident.Service][]ident.Upstream),
		inventories: make(map[ident.Upstream]inventory),
		notices:     make(map[ident.Upstream]notice),
	}
}

// SetReplicas replaces the set of known replicas.
func (b *Balancer) SetReplicas(rs []Replica) {
	removed := maps.Clone(b.replicas)
	b.services = make(map[ident.Service][]ident.Upstream)
	for _, r := range rs {
		delete(removed, r.Name)
		p := b.replicas[r.Name]
		if p == nil || p.Incarnation != r.Incarnation {
			p = &replicaState{running: make(map[placement.Weights]int), started: make(map[placement.Weights]int)}
			b.replicas[r.Name] = p
		}
		r.Slots = max(r.Slots, 1)
		p.Replica = r
		b.applyNotice(p)
		b.applyInventory(p)
		b.services[r.Service] = append(b.services[r.Service], r.Name)
	}
	for name := range removed {
		delete(b.replicas, name)
	}
	for _, names := range b.services {
		slices.Sort(names)
	}
}

// applyInventory sets the holdings of a replica if the placer reported them for
// the same incarnation.
func (b *Balancer) applyInventory(p *replicaState) {
	p.holdings = nil
	if known := b.inventories[p.Name]; known.incarnation == p.Incarnation {
		p.holdings = known.holdings
	}
}

// ApplyAnswer applies an answer of the placer. It reports whether any holdings
// changed.
func (b *Balancer) ApplyAnswer(now time.Time, a placement.Answer) bool {
	if a.Fence < b.fence {
		return false
	}
	if a.Fence > b.fence {
		// Holdings reported by the previous placer stay valid until the new one
		// reports the replica. Numbers are per placer.
		b.clearNumbers()
	}
	b.fence, b.revision, b.answeredAt, b.storeEstimate = a.Fence, a.Revision, now, a.Store
	for _, reported := range a.Inventories {
		b.mergeInventory(reported)
	}
	for name, p := range b.replicas {
		p.inFlightElsewhere, p.avoided = 0, false
		if known, ok := b.inventories[name]; ok {
			p.inFlightElsewhere = max(0, a.LoadAt(known.number)-b.reported[name])
			p.avoided = slices.Contains(a.Avoided, known.number)
		}
	}
	return len(a.Inventories) > 0
}

// clearNumbers drops the replica numbers that the previous placer assigned.
func (b *Balancer) clearNumbers() {
	for name, known := range b.inventories {
		known.number = -1
		b.inventories[name] = known
	}
}

// mergeInventory applies what the placer reports about one replica. If that is
// a change to an inventory that is not known here, it resets the revision so
// that the placer sends everything again.
func (b *Balancer) mergeInventory(update placement.Inventory) {
	known := b.inventories[update.Replica]
	if known.incarnation != update.Incarnation {
		known = inventory{incarnation: update.Incarnation}
	}
	known.number, known.holdings = update.Number, update.Apply(known.holdings)
	if known.holdings == nil {
		b.revision = 0
	}
	b.inventories[update.Replica] = known
	if p := b.replicas[update.Replica]; p != nil {
		b.applyInventory(p)
	}
}

// StoreEstimate returns the placer's estimate of the weight store's limits.
func (b *Balancer) StoreEstimate() placement.StoreEstimate { return b.storeEstimate }

// SetStartedAt sets the time at which the daemon began to wait for the placer.
func (b *Balancer) SetStartedAt(now time.Time) { b.answeredAt = now }

// PlacerAnsweredAt returns when the placer last answered, or when the daemon
// began to wait for it if it has not answered yet.
func (b *Balancer) PlacerAnsweredAt() time.Time { return b.answeredAt }

// Usage returns the report for the placer and resets the counts of started
// requests.
func (b *Balancer) Usage(now time.Time) placement.Usage {
	u := placement.Usage{DataCentre: b.dataCentre, Fence: b.fence, Revision: b.revision, Avoid: b.ejectedOrSlow(now), Store: b.storeEstimate}
	b.reported = make(map[ident.Upstream]int, len(b.replicas))
	for _, name := range slices.Sorted(maps.Keys(b.replicas)) {
		p := b.replicas[name]
		b.reported[name] = p.inFlight
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
// result is the reason if there is none; if the weights are being loaded, or
// replicas want no requests for a while, the time is when to try again.
func (b *Balancer) Pick(now time.Time, q Query) (Choice, Reason, time.Time) {
	reason, at := NoReplica, time.Time{}
	var best *replicaState
	lowest := 0.0
	var alternatives []Alternative
	var version uint64
	for _, ejected := range []bool{false, true} {
		for _, name := range b.services[q.Service] {
			p := b.replicas[name]
			if p.Leaving || slices.Contains(q.Exclude, name) || p.isEjected(now) != ejected {
				continue
			}
			r, h := p.checkWeights(now, q)
			readyAt := h.ReadyAt
			if r == Found && p.isQuiet(now) {
				r, readyAt = Quiet, p.quietUntil
			}
			if r == Found && q.MaxInFlight > 0 && p.inFlight >= q.MaxInFlight {
				r = AtLimit
			}
			if r != Found {
				reason, at = moreSpecific(reason, at, r, readyAt)
				continue
			}
			cost := b.cost(now, p)
			if best == nil || cost < lowest {
				if best != nil {
					alternatives = append(alternatives, Alternative{best.Name, lowest})
				}
				best, lowest, version = p, cost, h.Version
				continue
			}
			alternatives = append(alternatives, Alternative{name, cost})
		}
		// A replica that failed lately is better than none, except for
		// adapters, which can be loaded elsewhere.
		if best != nil || reason != NoReplica && reason != Quiet {
			break
		}
	}
	if best == nil {
		return Choice{}, reason, at
	}
	best.running[q.Weights]++
	best.started[q.Weights]++
	best.inFlight++
	return Choice{
		Replica: best.Replica, Weights: q.Weights, Version: version,
		Load: best.inFlight + best.inFlightElsewhere, LoadAt: b.answeredAt, Cost: lowest, Alternatives: alternatives[:min(len(alternatives), maxAlternatives)],
	}, Found, time.Time{}
}

// HasFreeReplica reports whether a replica could take the request now: it is not
// ejected, holds the weights and has an estimated free slot.
func (b *Balancer) HasFreeReplica(now time.Time, q Query) bool {
	for _, name := range b.services[q.Service] {
		p := b.replicas[name]
		if p.Leaving || slices.Contains(q.Exclude, name) || p.isEjected(now) || p.isQuiet(now) || p.inFlight+p.inFlightElsewhere >= p.Slots {
			continue
		}
		if r, _ := p.checkWeights(now, q); r == Found {
			return true
		}
	}
	return false
}

// isEjected reports whether the replica is ejected by this daemon or avoided by
// several.
func (p *replicaState) isEjected(now time.Time) bool { return p.avoided || now.Before(p.ejectedUntil) }

// moreSpecific returns the more informative reason. Weights that a replica is
// loading come first; a service without replicas comes last. Of two equal reasons
// with a time the earlier counts.
func moreSpecific(old Reason, oldAt time.Time, r Reason, at time.Time) (Reason, time.Time) {
	if old < r || old == r && oldAt.Before(at) {
		return old, oldAt
	}
	return r, at
}

// checkWeights reports whether the replica can run what q needs now.
func (p *replicaState) checkWeights(now time.Time, q Query) (Reason, placement.Holding) {
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

// cost returns the cost of sending one more request to p, as a share of its
// size.
func (b *Balancer) cost(now time.Time, p *replicaState) float64 {
	c := float64(p.inFlight+p.inFlightElsewhere+1)/float64(p.Slots) + prefillWaitPenalty*max(0, p.prefillFreeAt.Sub(now).Seconds())
	if p.DataCentre != b.dataCentre {
		c += remotePenalty
	}
	if p.ejections > 0 || p.faults > 0 {
		c *= 2
	}
	return c * b.slowdown(p)
}

// PrefillReserved records when a replica can start the last reserved prompt.
func (b *Balancer) PrefillReserved(name ident.Upstream, at time.Time) {
	if p := b.replicas[name]; p != nil {
		p.prefillFreeAt = at
	}
}

// assumedFetchTime is how long a replica that reported an adapter as missing is
// assumed to be fetching it, unless the placer reports otherwise.
const assumedFetchTime = 80 * time.Millisecond

// RecordMissing records that a replica does not hold weights that the placer
// reported there. Most likely they are still being loaded.
func (b *Balancer) RecordMissing(now time.Time, name ident.Upstream, w placement.Weights) {
	p := b.replicas[name]
	if p == nil {
		return
	}
	if h, ok := p.holdings[w]; ok {
		h.ReadyAt = now.Add(assumedFetchTime)
		p.holdings[w] = h
	}
}

// meanLatencyOfOthers returns the mean latency of the other replicas of a
// service.
func (b *Balancer) meanLatencyOfOthers(s ident.Service, except ident.Upstream) time.Duration {
	var sum time.Duration
	n := 0
	for _, name := range b.services[s] {
		if p := b.replicas[name]; name != except && p.latencySamples >= minSlowSamples {
			sum += p.meanLatency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// Outcome is the result of an attempt as far as it concerns the replica.
type Outcome uint8

const (
	// Good attempts were answered.
	Good Outcome = iota + 1
	// Neutral attempts say nothing about the replica.
	Neutral
	// Faulty attempts ended with an error or a broken answer.
	Faulty
	// Unreachable attempts could not connect or received nothing.
	Unreachable
)

var outcomeNames = [...]string{"", "good", "neutral", "faulty", "unreachable"}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Done ends a request that Pick counted. took is the time to the first chunk of
// a good answer, less the time explained by the prompt's length. If this
// outcome ejects the replica, Done returns the end of the ejection.
func (b *Balancer) Done(now time.Time, c Choice, o Outcome, took time.Duration) option.Option[time.Time] {
	p := b.replicas[c.Replica.Name]
	if p == nil || p.Incarnation != c.Replica.Incarnation {
		return option.None[time.Time]()
	}
	wasEjected := now.Before(p.ejectedUntil)
	p.running[c.Weights]--
	p.inFlight--
	switch o {
	case Good:
		p.ejections, p.faults = 0, 0
		p.latencySamples++
		p.runsModels = c.Weights.Model != ""
		p.meanLatency += time.Duration(max(smoothing, 1/float64(p.latencySamples)) * float64(took-p.meanLatency))
	case Faulty:
		if now.Sub(p.lastFaultAt) > faultWindow {
			p.faults = 0
		}
		p.faults++
		p.lastFaultAt = now
		if p.faults >= maxFaults {
			p.eject(now)
		}
	case Unreachable:
		p.eject(now)
	}
	if wasEjected || !now.Before(p.ejectedUntil) {
		return option.None[time.Time]()
	}
	return option.Some(p.ejectedUntil)
}

func (p *replicaState) eject(now time.Time) {
	if now.Before(p.ejectedUntil) {
		return
	}
	p.ejectedUntil = now.Add(min(minEjection<<min(p.ejections, 10), maxEjection))
	p.ejections++
}

// ejectedOrSlow returns the replicas that are ejected or slow.
func (b *Balancer) ejectedOrSlow(now time.Time) []ident.Upstream {
	out := b.Ejected(now)
	for name, p := range b.replicas {
		if !now.Before(p.ejectedUntil) && b.slowdown(p) > 1 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// slowdown returns the ratio of p's latency to that of the other replicas of
// its service, or 1 if load can explain the difference.
func (b *Balancer) slowdown(p *replicaState) float64 {
	threshold := minSlowdown
	if p.runsModels {
		threshold = minEngineSlowdown
	}
	if p.latencySamples < minSlowSamples || p.meanLatency < threshold {
		return 1
	}
	if meanLatency := b.meanLatencyOfOthers(p.Service, p.Name); meanLatency > 0 && p.meanLatency > max(slowFactor*meanLatency, meanLatency+threshold) {
		return float64(p.meanLatency) / float64(meanLatency)
	}
	return 1
}

// Ejected returns the replicas that this daemon has ejected.
func (b *Balancer) Ejected(now time.Time) []ident.Upstream {
	var out []ident.Upstream
	for name, p := range b.replicas {
		if now.Before(p.ejectedUntil) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}
