package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// MaxRoutingDocument is the maximum size of a routing document in bytes.
const MaxRoutingDocument = 8 << 20

// Routing is the routing document in force. Version 0 means that there is
// none yet.
type Routing struct {
	// Version is chosen by the operator; it only increases.
	Version uint64
	// Document is the document as the operator sent it. It must not be
	// modified.
	Document []byte
}

// NamedVersion is the latest version that was named for an adapter.
type NamedVersion struct {
	Model ident.Model
	// Adapter is the adapter's name without a version; empty for the model
	// itself.
	Adapter string
	// Version only increases.
	Version uint64
}

// Placer records which daemon may send orders to replicas.
type Placer struct {
	// Daemon is the placer appointed last, which may be retired.
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	// Fence is the log index of the AppointPlacer, 0 before the first.
	Fence ident.Fence
	// RetiredIndex is the log index of the RetirePlacer, 0 while the daemon
	// holds the placer role; it is larger than Fence.
	RetiredIndex uint64
	// Resigned is true if the placer has retired by its own proposal, after
	// its last order.
	Resigned bool
}

// HoldsRole reports whether a daemon holds the placer role.
func (p Placer) HoldsRole() bool { return p.Fence != 0 && p.RetiredIndex == 0 }

// PutRouting replaces the routing document. It does nothing, and succeeds, if
// the version is not higher than that of the document in force.
type PutRouting struct {
	Version  uint64
	Document []byte
}

// NameVersion sets the version of an adapter to use. It does nothing, and
// succeeds, if the version is not higher than the one named before.
type NameVersion struct {
	Model   ident.Model
	Adapter string
	Version uint64
}

// AppointPlacer gives a daemon the placer role. The fencing number is the index
// of the log entry.
type AppointPlacer struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	// RetiredIndex is the log index of the retirement that the proposer has
	// waited out, 0 for the first placer.
	RetiredIndex uint64
}

// RetirePlacer ends the role of the placer with this fencing number.
type RetirePlacer struct {
	Fence ident.Fence
	// Resigned is true if the placer itself proposes the command; it then
	// sends no more orders.
	Resigned bool
}

type namedVersionKey struct {
	model   ident.Model
	adapter string
}

// Routing returns the routing document in force.
func (v *View) Routing() Routing { return v.routing }

// NamedVersion returns the latest version that was named for an adapter, 0 if
// there is none.
func (v *View) NamedVersion(m ident.Model, adapter string) uint64 {
	n, _ := v.namedVersions.Get(namedVersionKey{m, adapter})
	return n
}

// NamedVersions returns all named versions, ordered by model and adapter.
func (v *View) NamedVersions() []NamedVersion {
	out := make([]NamedVersion, 0, v.namedVersions.Len())
	for k, n := range v.namedVersions.All() {
		out = append(out, NamedVersion{Model: k.model, Adapter: k.adapter, Version: n})
	}
	return out
}

// Placer returns the record of the placer appointed last, also if it is
// retired.
func (v *View) Placer() Placer { return v.placer }

func (c PutRouting) apply(s *State) Outcome {
	if c.Version == 0 || len(c.Document) > MaxRoutingDocument {
		return errorOutcome(result.New(result.ChangeInvalid, "routing document has version %d and %d bytes", c.Version, len(c.Document)))
	}
	if c.Version > s.view.routing.Version {
		s.view.routing = Routing(c)
	}
	return Outcome{Version: s.view.routing.Version}
}

func (c NameVersion) apply(s *State) Outcome {
	if c.Model == "" || c.Version == 0 {
		return errorOutcome(result.New(result.ChangeInvalid, "named version %d of model %q, adapter %q is invalid", c.Version, c.Model, c.Adapter))
	}
	k := namedVersionKey{c.Model, c.Adapter}
	if have, _ := s.view.namedVersions.Get(k); c.Version > have {
		s.view.namedVersions = s.view.namedVersions.Put(k, c.Version)
	}
	return Outcome{Version: c.Version}
}

func (c AppointPlacer) apply(s *State) Outcome {
	p := s.view.placer
	if c.Daemon == "" {
		return errorOutcome(result.New(result.Malformed, "placer appointment without a daemon"))
	}
	if p.HoldsRole() || p.RetiredIndex != c.RetiredIndex {
		return errorOutcome(result.New(result.ChangeRefused, "record of placer %q has retirement index %d, the appointment names %d", p.Daemon, p.RetiredIndex, c.RetiredIndex))
	}
	s.view.placer = Placer{Daemon: c.Daemon, Incarnation: c.Incarnation, Fence: ident.Fence(s.view.index)}
	return Outcome{Fence: ident.Fence(s.view.index)}
}

func (c RetirePlacer) apply(s *State) Outcome {
	p := s.view.placer
	if !p.HoldsRole() || p.Fence != c.Fence {
		return errorOutcome(result.New(result.ChangeRefused, "no daemon holds the placer role with fence %d", c.Fence))
	}
	if uint64(p.Fence) == s.view.index {
		return errorOutcome(result.New(result.ChangeRefused, "placer %q was appointed in the same log entry", p.Daemon))
	}
	s.view.placer.RetiredIndex, s.view.placer.Resigned = s.view.index, c.Resigned
	return Outcome{Fence: c.Fence}
}

// checkRoutingAndPlacer checks the invariants of the placer record and the
// routing document.
func (v *View) checkRoutingAndPlacer() *result.Error {
	p := v.placer
	if uint64(p.Fence) > v.index || p.RetiredIndex > v.index || p.RetiredIndex != 0 && p.RetiredIndex <= uint64(p.Fence) {
		return damaged("placer %q has fence %d and was retired at %d, but the state is at index %d", p.Daemon, p.Fence, p.RetiredIndex, v.index)
	}
	if v.routing.Version == 0 && len(v.routing.Document) > 0 {
		return damaged("routing document has no version")
	}
	return nil
}

func compareNamedVersionKeys(a, b namedVersionKey) int {
	if a.model != b.model {
		if a.model < b.model {
			return -1
		}
		return 1
	}
	switch {
	case a.adapter < b.adapter:
		return -1
	case a.adapter > b.adapter:
		return 1
	}
	return 0
}
