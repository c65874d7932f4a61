package appoint

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// LeaseFor is how long a placer acts on one confirmation that it is still
	// in office. Shorter leases need more reads, longer ones put off the next
	// placer.
	LeaseFor = time.Second
	// margin covers the drift of clocks and an order on its way.
	margin = 400 * time.Millisecond
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
	// Disk is true if it takes part in the replicated log.
	Disk bool
}

// Assigner appoints and retires placers while its daemon leads. It is not safe
// for concurrent use.
type Assigner struct {
	// rivalFor is how long after the last order of one holder replicas take
	// those of another for a rival's.
	rivalFor time.Duration
	// seen is the retirement seen last, and since when.
	seen  uint64
	since time.Time
	// repeatAt is when the next proposal may be made.
	repeatAt time.Time
}

// New returns an assigner; rivalFor is as in the settings.
func New(rivalFor time.Duration) *Assigner { return &Assigner{rivalFor: rivalFor} }

// Step returns the command that is due, or nil.
func (a *Assigner) Step(now time.Time, p state.Placer, cs []Candidate) state.Command {
	if now.Before(a.repeatAt) {
		return nil
	}
	c := a.due(now, p, cs)
	if c != nil {
		a.repeatAt = now.Add(repeatAfter)
	}
	return c
}

func (a *Assigner) due(now time.Time, p state.Placer, cs []Candidate) state.Command {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Name == p.Daemon })
	serves := i >= 0 && cs[i].Reachable && !cs[i].Draining
	if p.InOffice() {
		if serves && cs[i].Incarnation == p.Incarnation {
			return nil
		}
		return state.RetirePlacer{Fence: p.Fence}
	}
	if p.Retired != a.seen {
		a.seen, a.since = p.Retired, now
	}
	if serves && p.Retired != 0 {
		return state.AppointPlacer{Daemon: p.Daemon, Incarnation: cs[i].Incarnation, After: p.Retired}
	}
	if p.Retired != 0 && now.Sub(a.since) < LeaseFor+a.rivalFor+margin {
		return nil
	}
	next, ok := choose(cs)
	if !ok {
		return nil
	}
	return state.AppointPlacer{Daemon: next.Name, Incarnation: next.Incarnation, After: p.Retired}
}

// choose prefers daemons without a disk: those with one have the log to keep.
func choose(cs []Candidate) (Candidate, bool) {
	var fit []Candidate
	for _, c := range cs {
		if c.Reachable && !c.Draining {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(fit, func(x, y Candidate) int {
		if x.Disk != y.Disk {
			if x.Disk {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.Name, y.Name)
	}), true
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
	if !p.InOffice() || p.Daemon != self || p.Incarnation != inc {
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
	return steady < LeaseFor && wall < LeaseFor && wall > -margin
}
