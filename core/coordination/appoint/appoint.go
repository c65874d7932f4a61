package appoint

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// LeaseDuration is how long a placer acts on one confirmation that it is still
	// in office. Shorter leases need more reads, longer ones put off the next
	// placer.
	LeaseDuration = time.Second
	// margin covers the drift of clocks.
	margin = 400 * time.Millisecond
	// MaxOrderTransit is how long after it was given up an order may still reach its
	// replica: a lost packet is sent again after some hundred ms.
	MaxOrderTransit = 600 * time.Millisecond
	// silentAfter is how long a placer may go without a read before it counts
	// as out of touch; it makes four in each lease.
	silentAfter = LeaseDuration + LeaseDuration/5
	// repeatAfter is when a proposal that has had no effect is made again.
	repeatAfter = 500 * time.Millisecond
)

// Candidate is a daemon as the leader sees it.
type Candidate struct {
	Name        ident.Daemon
	Incarnation ident.Incarnation
	// Reachable is false while new connections to it fail.
	Reachable bool
	Draining  bool
	// Power is how much of a processor it may use, in thousandths of a core; 0
	// if that is not known.
	Power uint32
	// Leads is true if it leads the replicated log.
	Leads bool
}

// Assigner appoints and retires placers while its daemon leads. It is not safe
// for concurrent use.
type Assigner struct {
	// renewed is when the placer in office last made a read through this
	// leader, or when the leader began: no lease can be younger.
	renewed time.Time
	// fence is that of the placer that renewed belongs to.
	fence ident.Fence
	// proposed is what was proposed last; it may be proposed again at repeatAt.
	proposed state.Command
	repeatAt time.Time
}

// New returns the assigner of a leader that begins now. Reads through former
// leaders were asked for earlier.
func New(now time.Time) *Assigner { return &Assigner{renewed: now} }

// Read notes a read that the daemon of the record p made through this leader.
func (a *Assigner) Read(now time.Time, p state.Placer) {
	if p.HoldsRole() {
		a.renewed = now
	}
}

// Step returns the command that is due, or nil. The history must have seen p.
func (a *Assigner) Step(now time.Time, p state.Placer, h *History, cs []Candidate) state.Command {
	c := a.due(now, p, h, cs)
	if c == nil || c == a.proposed && now.Before(a.repeatAt) {
		return nil
	}
	a.proposed, a.repeatAt = c, now.Add(repeatAfter)
	return c
}

func (a *Assigner) due(now time.Time, p state.Placer, h *History, cs []Candidate) state.Command {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Name == p.Daemon })
	serves := i >= 0 && cs[i].Reachable && !cs[i].Draining
	resigns := i >= 0 && cs[i].Reachable && cs[i].Draining && cs[i].Incarnation == p.Incarnation
	if p.HoldsRole() {
		if p.Fence != a.fence {
			// A new placer has yet to make its first read.
			a.fence, a.renewed = p.Fence, now
		}
		silent := now.Sub(a.renewed) > silentAfter
		if serves && !silent && cs[i].Incarnation == p.Incarnation || resigns && !silent {
			return nil
		}
		return state.RetirePlacer{Fence: p.Fence}
	}
	if serves && p.RetiredIndex != 0 && cs[i].Incarnation != p.Incarnation {
		return state.AppointPlacer{Daemon: p.Daemon, Incarnation: cs[i].Incarnation, RetiredIndex: p.RetiredIndex}
	}
	if p.RetiredIndex != 0 && !p.Resigned && now.Sub(earlier(a.renewed, h.endedAt(p.Fence))) < LeaseDuration+margin+MaxOrderTransit {
		return nil
	}
	same := func(c Candidate) bool { return c.Name == p.Daemon && c.Incarnation == p.Incarnation }
	next, ok := choose(cs, func(c Candidate) bool { return !same(c) && h.free(now, c.Name) })
	if !ok && !p.Resigned {
		// It was silent, but nobody else is left.
		next, ok = choose(cs, same)
	}
	if !ok {
		return nil
	}
	return state.AppointPlacer{Daemon: next.Name, Incarnation: next.Incarnation, RetiredIndex: p.RetiredIndex}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// choose prefers daemons with more of a processor: all others talk to the
// placer, so it is the first to fall behind as they grow in number. Among equals
// it spares the leader.
func choose(cs []Candidate, free func(Candidate) bool) (Candidate, bool) {
	var fit []Candidate
	for _, c := range cs {
		if c.Reachable && !c.Draining && free(c) {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(fit, func(x, y Candidate) int {
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

// Lease is the right of one placer to give orders. The zero value is no right.
type Lease struct {
	fence ident.Fence
	// steady and wall are when the confirmation was asked for, by the two
	// clocks.
	steady, wall time.Time
}

// Grant returns the lease of the placer p if it is the given run of a daemon.
// The time is when the read was asked for whose index the state covers.
func Grant(asked time.Time, p state.Placer, self ident.Daemon, inc ident.Incarnation) Lease {
	if !p.HoldsRole() || p.Daemon != self || p.Incarnation != inc {
		return Lease{}
	}
	return Lease{fence: p.Fence, steady: asked, wall: asked.Round(0)}
}

// Fence returns the fencing number, 0 for no right.
func (l Lease) Fence() ident.Fence { return l.fence }

// Holds reports whether an order may be given at now.
func (l Lease) Holds(now time.Time) bool {
	if l.fence == 0 {
		return false
	}
	steady, wall := now.Sub(l.steady), now.Round(0).Sub(l.wall)
	return steady < LeaseDuration && wall < LeaseDuration && wall > -margin
}
