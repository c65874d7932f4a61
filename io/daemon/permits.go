package daemon

import (
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

const (
	// requestInterval is how often an owner that wants permits requests them.
	requestInterval = 60 * time.Millisecond
	// idleRequestInterval is how often an owner that wants none contacts the
	// holder, which sets aside the fixed share of every owner that it has not
	// heard from lately.
	idleRequestInterval = 500 * time.Millisecond
	// defaultLoads and defaultTransit are used until an operator sets the
	// limits of the weight store.
	defaultLoads   = 1
	defaultTransit = 1
)

// permits is the load budget as an owner uses it and, while this daemon leads,
// as its holder.
type permits struct {
	request       budget.PermitRequest
	released      []budget.PermitID
	nextRequestAt time.Time
	// lastAnswerAt is when a holder last answered. lost is true once that is
	// longer ago than the budget's fallback timeout.
	lastAnswerAt time.Time
	lost         bool
	// requestInFlight is true while a call to the holder is open.
	requestInFlight bool
	// nextVoter counts the calls made without knowing the leader, to ask the
	// voters in turn.
	nextVoter int

	// holder is nil unless this daemon leads.
	holder *budget.Holder
	// storeVersion is the version of the store limits that holder was created
	// with.
	storeVersion uint64
}

// storeLimits returns the limits of the weight store that the state contains.
func storeLimits(v *state.View) budget.Limits {
	s := v.Store()
	if s.Version == 0 {
		return budget.Limits{PerSecond: defaultLoads, InTransit: defaultTransit}
	}
	return budget.Limits{PerSecond: max(1, int(s.MilliLoadsPerSecond/1000)), InTransit: int(s.MaxInTransit)}
}

// requestPermits sends this daemon's current permit request and the released
// permits to the holder.
func (c *control) requestPermits(now time.Time) {
	p := &c.permits
	if p.requestInFlight || c.platform != nil && len(c.owned) == 0 {
		// The placer loads adapters on a platform's replicas, so a daemon that
		// owns no engine needs no permits.
		return
	}
	p.nextRequestAt = now.Add(requestInterval)
	if len(p.request.DesiredLoads) == 0 {
		p.nextRequestAt = now.Add(idleRequestInterval)
	}
	p.request.Owner = c.self
	released := p.released
	p.released = nil
	if p.holder != nil {
		if g := c.grantPermits(now, p.request, released); g.Holder {
			c.applyGrant(now, now, g)
		}
		return
	}
	to := c.budgetHolder()
	if to == "" || to == c.self {
		p.released = released
		return
	}
	p.requestInFlight = true
	c.send.permits(to, p.request, released)
}

// budgetHolder returns the daemon to ask for permits: the last known leader. A
// daemon without a disk does not learn who leads, so it asks the daemons with a
// disk in turn until one answers as the holder of the budget.
func (c *control) budgetHolder() ident.Daemon {
	if c.leader != "" || c.voter != nil {
		return c.leader
	}
	var disks []ident.Daemon
	for _, m := range c.members.Daemons() {
		if m.Disk != "" {
			disks = append(disks, m.Name)
		}
	}
	if len(disks) == 0 {
		return ""
	}
	c.permits.nextVoter++
	return disks[c.permits.nextVoter%len(disks)]
}

// updateLeader records, on a daemon without a disk, whether the daemon that it
// asked for permits leads.
func (c *control) updateLeader(name ident.Daemon, holds bool) {
	if c.voter != nil {
		return
	}
	leader := name
	if !holds {
		leader = ""
	}
	c.viewDirty = c.viewDirty || c.leader != leader
	c.leader = leader
}

// grantPermits serves an owner's permit request at the holder. A daemon that is
// not fresh may have been replaced as the holder, so it grants nothing.
func (c *control) grantPermits(now time.Time, a budget.PermitRequest, released []budget.PermitID) peer.PermitGrant {
	h := c.permits.holder
	if h == nil || !now.Before(c.witness.FreshUntil()) {
		return peer.PermitGrant{}
	}
	for _, id := range released {
		h.Release(id)
	}
	return peer.PermitGrant{Holder: true, Permits: h.Poll(now, a), Admitted: h.Admit(now)}
}

// applyGrant passes the holder's answer to the dispatcher. The time within
// which a permit must be used counts from when the request was sent, so that it
// ends no later here than at the holder.
func (c *control) applyGrant(now, sent time.Time, g peer.PermitGrant) {
	p := &c.permits
	p.lastAnswerAt = now
	if p.lost {
		p.lost = false
		c.stepDispatch(now, dispatch.BudgetRestored{})
	}
	c.stepDispatch(now, dispatch.AdmissionShare{Share: g.Admitted})
	for i := range g.Permits {
		g.Permits[i].StartBy = sent.Add(budget.StartWithin)
	}
	if len(g.Permits) > 0 {
		c.stepDispatch(now, dispatch.PermitsGranted{Permits: g.Permits})
	}
}

// tickPermits asks for permits when that is due, and falls back to a fixed
// share of the budget when no holder answers.
func (c *control) tickPermits(now time.Time) {
	p := &c.permits
	if p.holder != nil && p.storeVersion != c.view.Store().Version {
		c.resetHolder(now, true, c.voter.node.Term())
	}
	if !now.Before(p.nextRequestAt) {
		c.requestPermits(now)
	}
	if p.lost || now.Before(p.lastAnswerAt.Add(budget.FallbackAfter)) {
		return
	}
	p.lost = true
	share := budget.FallbackShare(c.self, c.owners(), storeLimits(c.state.View()))
	c.log.Info("load budget out of reach, using the fixed share", "persecond", share.PerSecond)
	c.stepDispatch(now, dispatch.BudgetLost{Share: share})
}

const (
	// termShift and storeShift are the positions of the term and of the version
	// of the store limits in permit ids. The bits below number the permits of
	// one holder.
	termShift  = 44
	storeShift = 22
)

// resetHolder makes this daemon the holder of the budget if it leads, and ends
// that otherwise.
func (c *control) resetHolder(now time.Time, leads bool, term uint64) {
	p := &c.permits
	p.requestInFlight = false
	p.holder = nil
	if !leads {
		return
	}
	v := c.state.View()
	p.storeVersion = v.Store().Version
	// Ids must differ between terms, and between versions of the store limits
	// within a term.
	first := budget.PermitID(term<<termShift | p.storeVersion<<storeShift)
	p.holder = budget.NewHolder(now, storeLimits(v), c.owners(), first)
}
