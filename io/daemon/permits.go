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
	// askInterval is how often an owner with wants asks again.
	askInterval = 60 * time.Millisecond
	// idleAskInterval is how often an owner without wants shows that it
	// lives, so that its share is not kept back.
	idleAskInterval = 500 * time.Millisecond
	// defaultLoads and defaultTransit are used until operators state what the
	// store allows.
	defaultLoads   = 1
	defaultTransit = 1
)

// permits is an owner's side of the load budget, and the holder's while this
// daemon leads.
type permits struct {
	ask      budget.PermitRequest
	released []budget.PermitID
	nextAsk  time.Time
	// heard is when a holder last answered; lost is true once that is too
	// long ago.
	heard time.Time
	lost  bool
	// asking is true while a question is under way.
	asking bool
	// guess counts the voters that were asked without knowing who leads.
	guess int

	// holder is nil unless this daemon leads.
	holder *budget.Holder
	// store is the version of what the store allows, as holder was made with.
	store uint64
}

// limitsOf returns what the store allows according to the state.
func limitsOf(v *state.View) budget.Limits {
	s := v.Store()
	if s.Version == 0 {
		return budget.Limits{PerSecond: defaultLoads, InTransit: defaultTransit}
	}
	return budget.Limits{PerSecond: max(1, int(s.MilliLoadsPerSecond/1000)), InTransit: int(s.MaxInTransit)}
}

// askPermits sends the newest wants to the holder.
func (c *control) askPermits(now time.Time) {
	p := &c.permits
	if p.asking || c.platform != nil && len(c.owned) == 0 {
		// Replicas of a platform are the placer's: there is nothing to load.
		return
	}
	p.nextAsk = now.Add(askInterval)
	if len(p.ask.DesiredLoads) == 0 {
		p.nextAsk = now.Add(idleAskInterval)
	}
	p.ask.Owner = c.self
	released := p.released
	p.released = nil
	if p.holder != nil {
		if g := c.holderAsk(now, p.ask, released); g.Holder {
			c.permitted(now, now, g)
		}
		return
	}
	to := c.holderOrGuess()
	if to == "" || to == c.self {
		p.released = released
		return
	}
	p.asking = true
	c.send.permits(to, p.ask, released)
}

// holderOrGuess returns the last known leader. A daemon without a disk is not
// told who leads, so it asks one voter after the other until one says that it
// holds the budget.
func (c *control) holderOrGuess() ident.Daemon {
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
	c.permits.guess++
	return disks[c.permits.guess%len(disks)]
}

// noteHolder takes note, at a daemon without a disk, of whether the one that
// it asked leads.
func (c *control) noteHolder(name ident.Daemon, holds bool) {
	if c.voter != nil {
		return
	}
	leader := name
	if !holds {
		leader = ""
	}
	c.dirty = c.dirty || c.leader != leader
	c.leader = leader
}

// holderAsk serves a question at the holder. A daemon that is not fresh may
// have been replaced as the holder and grants nothing.
func (c *control) holderAsk(now time.Time, a budget.PermitRequest, released []budget.PermitID) peer.PermitGrant {
	h := c.permits.holder
	if h == nil || !now.Before(c.witness.FreshUntil()) {
		return peer.PermitGrant{}
	}
	for _, id := range released {
		h.Release(id)
	}
	return peer.PermitGrant{Holder: true, Permits: h.Poll(now, a), Admitted: h.Admit(now)}
}

// permitted brings the holder's answer to a question sent at the time given.
func (c *control) permitted(now, sent time.Time, g peer.PermitGrant) {
	p := &c.permits
	p.heard = now
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

// tickPermits asks again where that is due and falls back to the fixed share
// when no holder answers.
func (c *control) tickPermits(now time.Time) {
	p := &c.permits
	if p.holder != nil && p.store != c.view.Store().Version {
		c.resetHolder(now, true, c.voter.node.Term())
	}
	if !now.Before(p.nextAsk) {
		c.askPermits(now)
	}
	if p.lost || now.Before(p.heard.Add(budget.FallbackAfter)) {
		return
	}
	p.lost = true
	share := budget.FallbackShare(c.self, c.owners(), limitsOf(c.state.View()))
	c.log.Info("load budget out of reach, using the fixed share", "persecond", share.PerSecond)
	c.stepDispatch(now, dispatch.BudgetLost{Share: share})
}

const (
	// termShift and storeShift make room for the permits of one holder.
	termShift  = 44
	storeShift = 22
)

// resetHolder begins or ends this daemon's time as holder of the budget.
func (c *control) resetHolder(now time.Time, leads bool, term uint64) {
	p := &c.permits
	p.asking = false
	p.holder = nil
	if !leads {
		return
	}
	v := c.state.View()
	p.store = v.Store().Version
	// Ids differ between terms, and between limits within a term.
	first := budget.PermitID(term<<termShift | p.store<<storeShift)
	p.holder = budget.NewHolder(now, limitsOf(v), c.owners(), first)
}
