package appoint

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// LeaseDuration is how long a placer acts on one confirmation that it still
	// holds the role. A shorter lease needs more reads, a longer one delays the
	// next placer.
	LeaseDuration = time.Second
	// clockDriftMargin covers the drift of clocks.
	clockDriftMargin = 400 * time.Millisecond
	// MaxOrderTransit is how long an order may still reach its replica after it
	// was given up: a lost packet is retransmitted after some hundred ms.
	MaxOrderTransit = 600 * time.Millisecond
	// maxReadGap is how long a placer may go without a read before it counts as
	// unresponsive; it makes four reads in each lease.
	maxReadGap = LeaseDuration + LeaseDuration/5
	// proposalRetryInterval is the time after which a proposal that had no
	// effect is made again.
	proposalRetryInterval = 500 * time.Millisecond
	// outclassedFor is how long a much stronger daemon must have been available before
	// the role moves to it, which takes two seconds without a placer.
	outclassedFor = 3 * time.Second
)

// muchStronger reports whether a daemon has at least one and a half times the processor
// share of another one. It is false if either is unknown.
func muchStronger(c, than Candidate) bool { return than.Power > 0 && 2*c.Power >= 3*than.Power }

// Candidate is a daemon as seen by the leader.
type Candidate struct {
	Name        ident.Daemon
	Incarnation ident.Incarnation
	// Reachable is false while new connections to it fail.
	Reachable bool
	Draining  bool
	// Power is the processor share that it may use, in thousandths of a core; 0
	// if unknown.
	Power uint32
	// Leads is true if it is the leader of the replicated log.
	Leads bool
}

// Assigner appoints and retires placers while its daemon is the leader. It is
// not safe for concurrent use.
type Assigner struct {
	// lastRead is when the current placer last made a read through this leader,
	// or when the leadership began: no lease can be younger.
	lastRead time.Time
	// fence is the fencing number of the placer that lastRead belongs to.
	fence ident.Fence
	// outclassedSince is since when a much stronger daemon than the placer has been
	// available; zero while there is none.
	outclassedSince time.Time
	// proposed is the last proposal; it may be repeated at retryAt.
	proposed state.Command
	retryAt  time.Time
}

// New returns the assigner of a leader whose leadership begins now. Reads
// through former leaders were requested before that.
func New(now time.Time) *Assigner { return &Assigner{lastRead: now} }

// Read records a read that the daemon of the record p made through this leader.
func (a *Assigner) Read(now time.Time, p state.Placer) {
	if p.HoldsRole() {
		a.lastRead = now
	}
}

// Step returns the command to propose, or nil. p must have been passed to the
// history before.
func (a *Assigner) Step(now time.Time, p state.Placer, h *History, cs []Candidate) state.Command {
	c := a.dueCommand(now, p, h, cs)
	if c == nil || c == a.proposed && now.Before(a.retryAt) {
		return nil
	}
	a.proposed, a.retryAt = c, now.Add(proposalRetryInterval)
	return c
}

func (a *Assigner) dueCommand(now time.Time, p state.Placer, h *History, cs []Candidate) state.Command {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Name == p.Daemon })
	available := i >= 0 && cs[i].Reachable && !cs[i].Draining
	resigning := i >= 0 && cs[i].Reachable && cs[i].Draining && cs[i].Incarnation == p.Incarnation
	if p.HoldsRole() {
		if p.Fence != a.fence {
			// A new placer has not made its first read yet.
			a.fence, a.lastRead, a.outclassedSince = p.Fence, now, time.Time{}
		}
		unresponsive := now.Sub(a.lastRead) > maxReadGap
		sound := available && !unresponsive && cs[i].Incarnation == p.Incarnation
		if sound && !a.outclassed(now, cs[i], h, cs) || resigning && !unresponsive {
			return nil
		}
		return state.RetirePlacer{Fence: p.Fence}
	}
	if available && p.RetiredIndex != 0 && cs[i].Incarnation != p.Incarnation {
		return state.AppointPlacer{Daemon: p.Daemon, Incarnation: cs[i].Incarnation, RetiredIndex: p.RetiredIndex}
	}
	if p.RetiredIndex != 0 && !p.Resigned && now.Sub(earlier(a.lastRead, h.retirementAppliedAt(p.Fence))) < LeaseDuration+clockDriftMargin+MaxOrderTransit {
		return nil
	}
	sameIncarnation := func(c Candidate) bool { return c.Name == p.Daemon && c.Incarnation == p.Incarnation }
	next, ok := chooseCandidate(cs, func(c Candidate) bool { return !sameIncarnation(c) && h.mayReturn(now, c.Name) })
	if !ok && !p.Resigned {
		// It was unresponsive, but there is no other candidate.
		next, ok = chooseCandidate(cs, sameIncarnation)
	}
	if !ok {
		return nil
	}
	return state.AppointPlacer{Daemon: next.Name, Incarnation: next.Incarnation, RetiredIndex: p.RetiredIndex}
}

// outclassed reports whether the role should move to a much stronger daemon. A weak
// one may have got it while no other could be reached.
func (a *Assigner) outclassed(now time.Time, holder Candidate, h *History, cs []Candidate) bool {
	best, ok := chooseCandidate(cs, func(c Candidate) bool { return c.Name != holder.Name && h.mayReturn(now, c.Name) })
	if !ok || !muchStronger(best, holder) {
		a.outclassedSince = time.Time{}
		return false
	}
	if a.outclassedSince.IsZero() {
		a.outclassedSince = now
	}
	return now.Sub(a.outclassedSince) >= outclassedFor
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// chooseCandidate prefers daemons with a larger processor share: all others
// report to the placer, so it is the first to be overloaded as their number
// grows. Among equals it prefers daemons other than the leader.
func chooseCandidate(cs []Candidate, eligible func(Candidate) bool) (Candidate, bool) {
	var usable []Candidate
	for _, c := range cs {
		if c.Reachable && !c.Draining && eligible(c) {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(usable, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.Power, x.Power), compareBool(x.Leads, y.Leads), cmp.Compare(x.Name, y.Name))
	}), true
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// Lease is the permission of one placer to give orders. The zero value grants
// none.
type Lease struct {
	fence ident.Fence
	// monotonic and wall are when the confirmation was requested, by the two
	// clocks.
	monotonic, wall time.Time
}

// Grant returns the lease of the placer p if that is the given incarnation of
// the daemon self. asked is when the read was requested whose index the state
// covers.
func Grant(asked time.Time, p state.Placer, self ident.Daemon, inc ident.Incarnation) Lease {
	if !p.HoldsRole() || p.Daemon != self || p.Incarnation != inc {
		return Lease{}
	}
	return Lease{fence: p.Fence, monotonic: asked, wall: asked.Round(0)}
}

// Fence returns the fencing number, 0 for the zero value.
func (l Lease) Fence() ident.Fence { return l.fence }

// Holds reports whether an order may be given at now.
func (l Lease) Holds(now time.Time) bool {
	if l.fence == 0 {
		return false
	}
	monotonic, wall := now.Sub(l.monotonic), now.Round(0).Sub(l.wall)
	return monotonic < LeaseDuration && wall < LeaseDuration && wall > -clockDriftMargin
}
