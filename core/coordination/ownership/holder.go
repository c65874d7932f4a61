package ownership

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// Holder keeps the gates of one run of a daemon. It belongs to the control
// goroutine; the gates may be used by others.
type Holder struct {
	self        ident.Daemon
	incarnation ident.Incarnation
	// open holds the gate of each upstream that the daemon owns in the last
	// view.
	open map[ident.Upstream]*WriteGuard
	// closing holds gates whose ownership was revoked, until the daemon's Yield
	// is in the view or the record has moved on.
	closing map[ident.Upstream]*yielding
}

type yielding struct {
	// gate is closed.
	gate *WriteGuard
	// retry is when the Yield is proposed again.
	retry time.Time
}

// NewHolder returns the holder of a daemon that has just started.
func NewHolder(self ident.Daemon, incarnation ident.Incarnation) *Holder {
	return &Holder{
		self:        self,
		incarnation: incarnation,
		open:        map[ident.Upstream]*WriteGuard{},
		closing:     map[ident.Upstream]*yielding{},
	}
}

// Step takes a new view, or none, and returns the commands to propose and the
// gates that were opened by it. Each opened gate begins a [Takeover].
func (h *Holder) Step(now time.Time, v *state.View) (commands []state.Command, opened []*WriteGuard) {
	for name, g := range h.open {
		if o, ok := v.Owner(name); !ok || o != g.owner {
			g.Close()
			delete(h.open, name)
			h.closing[name] = &yielding{gate: g}
		}
	}
	for _, o := range v.Owners() {
		if c, ok := h.yield(now, o); ok {
			commands = append(commands, c)
		}
		if g, ok := h.begin(o); ok {
			opened = append(opened, g)
		}
	}
	for name, y := range h.closing {
		if o, ok := v.Owner(name); !ok || o.Fence != y.gate.owner.Fence || o.Yielded {
			delete(h.closing, name)
		}
	}
	return commands, opened
}

// WriteGuard returns the open gate of an upstream, or nil.
func (h *Holder) WriteGuard(name ident.Upstream) *WriteGuard { return h.open[name] }

// WriteGuards returns a copy of the table of open gates, for traffic goroutines.
func (h *Holder) WriteGuards() map[ident.Upstream]*WriteGuard {
	out := make(map[ident.Upstream]*WriteGuard, len(h.open))
	for name, g := range h.open {
		out[name] = g
	}
	return out
}

func (h *Holder) yield(now time.Time, o state.Ownership) (state.Command, bool) {
	y, ok := h.closing[o.Upstream]
	if !ok || o.Fence != y.gate.owner.Fence || o.Yielded {
		return nil, false
	}
	if now.Before(y.retry) || !y.gate.Quiet() {
		return nil, false
	}
	y.retry = now.Add(ProposalRetry)
	return state.Yield{Upstream: o.Upstream, Fence: o.Fence}, true
}

func (h *Holder) begin(o state.Ownership) (*WriteGuard, bool) {
	if !o.Owned() || o.Owner != h.self || o.OwnerIncarnation != h.incarnation {
		return nil, false
	}
	if h.open[o.Upstream] != nil {
		return nil, false
	}
	g := NewWriteGuard(o)
	h.open[o.Upstream] = g
	return g, true
}
