package ownership

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// Holder keeps the write guards of one run of a daemon. Only the control
// goroutine may use it; the guards may be used by any goroutine.
type Holder struct {
	self        ident.Daemon
	incarnation ident.Incarnation
	// openGuards holds the guard of each upstream that the daemon owns in the
	// last view.
	openGuards map[ident.Upstream]*WriteGuard
	// closing holds guards whose ownership was revoked, until the daemon's Yield
	// is in the view or the ownership record has a new fencing number.
	closing map[ident.Upstream]*closingGuard
}

// closingGuard is a guard whose ownership was revoked.
type closingGuard struct {
	// guard permits no further writes.
	guard *WriteGuard
	// retryAt is the earliest time of the next Yield proposal.
	retryAt time.Time
}

// NewHolder returns the holder of a daemon that has just started.
func NewHolder(self ident.Daemon, incarnation ident.Incarnation) *Holder {
	return &Holder{
		self:        self,
		incarnation: incarnation,
		openGuards:  map[ident.Upstream]*WriteGuard{},
		closing:     map[ident.Upstream]*closingGuard{},
	}
}

// Step processes the current view, which may be unchanged. It returns the
// commands to propose and the guards of new ownerships, each of which begins a
// [Takeover].
func (h *Holder) Step(now time.Time, v *state.View) (commands []state.Command, opened []*WriteGuard) {
	for name, g := range h.openGuards {
		if o, ok := v.Owner(name); !ok || o != g.ownership {
			g.Close()
			delete(h.openGuards, name)
			h.closing[name] = &closingGuard{guard: g}
		}
	}
	for _, o := range v.Owners() {
		if c, ok := h.proposeYield(now, o); ok {
			commands = append(commands, c)
		}
		if g, ok := h.openGuard(o); ok {
			opened = append(opened, g)
		}
	}
	for name, y := range h.closing {
		if o, ok := v.Owner(name); !ok || o.Fence != y.guard.ownership.Fence || o.Yielded {
			delete(h.closing, name)
		}
	}
	return commands, opened
}

// WriteGuard returns the guard of an upstream that the daemon owns, or nil.
func (h *Holder) WriteGuard(name ident.Upstream) *WriteGuard { return h.openGuards[name] }

// WriteGuards returns a copy of the table of guards of owned upstreams, for traffic
// goroutines.
func (h *Holder) WriteGuards() map[ident.Upstream]*WriteGuard {
	out := make(map[ident.Upstream]*WriteGuard, len(h.openGuards))
	for name, g := range h.openGuards {
		out[name] = g
	}
	return out
}

// proposeYield returns the Yield for a revoked ownership once its guard has no
// writes in progress.
func (h *Holder) proposeYield(now time.Time, o state.Ownership) (state.Command, bool) {
	y, ok := h.closing[o.Upstream]
	if !ok || o.Fence != y.guard.ownership.Fence || o.Yielded {
		return nil, false
	}
	if now.Before(y.retryAt) || !y.guard.Quiesced() {
		return nil, false
	}
	y.retryAt = now.Add(ProposalRetry)
	return state.Yield{Upstream: o.Upstream, Fence: o.Fence}, true
}

// openGuard creates the guard of an ownership that belongs to this run and has
// none yet.
func (h *Holder) openGuard(o state.Ownership) (*WriteGuard, bool) {
	if !o.Owned() || o.Owner != h.self || o.OwnerIncarnation != h.incarnation {
		return nil, false
	}
	if h.openGuards[o.Upstream] != nil {
		return nil, false
	}
	g := NewWriteGuard(o)
	h.openGuards[o.Upstream] = g
	return g, true
}
