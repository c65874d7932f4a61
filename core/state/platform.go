package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// MaxRoutingDocument bounds a routing document in bytes.
const MaxRoutingDocument = 8 << 20

// Routing is the routing document in force. Version 0 means that there is
// none yet.
type Routing struct {
	// Version is chosen by the operator; it only grows.
	Version uint64
	// Document is as the operator sent it. It is not changed.
	Document []byte
}

// NamedVersion is the newest version that was named for an adapter.
type NamedVersion struct {
	Model ident.Model
	// Adapter is the adapter's name without a version; empty names the model
	// itself.
	Adapter string
	// Version only grows.
	Version uint64
}

// Placer says which daemon may give replicas orders.
type Placer struct {
	// Daemon is the last placer; it places no more once RetiredIndex is set.
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	// Fence is the index of the AppointPlacer, 0 before the first.
	Fence ident.Fence
	// RetiredIndex is the index of the RetirePlacer, 0 while the placer is in
	// office; it is larger than Fence.
	RetiredIndex uint64
	// Resigned is true, with RetiredIndex, if the placer ended its office itself
	// after its last order.
	Resigned bool
}

// HoldsRole reports whether there is a placer.
func (p Placer) HoldsRole() bool { return p.Fence != 0 && p.RetiredIndex == 0 }

// PutRouting states a whole routing document. One whose version is not higher
// than that in force changes nothing; that is no error.
type PutRouting struct {
	Version  uint64
	Document []byte
}

// NameVersion names the version of an adapter that is to be used. A version
// that is not higher than the one named last changes nothing.
type NameVersion struct {
	Model   ident.Model
	Adapter string
	Version uint64
}

// AppointPlacer makes a daemon the placer. The fencing number is the index of
// the log entry.
type AppointPlacer struct {
	Daemon      ident.Daemon
	Incarnation ident.Incarnation
	// RetiredIndex is the index of the retirement that the proposer has waited out, 0
	// for the first placer.
	RetiredIndex uint64
}

// RetirePlacer ends the office of the placer with this fencing number.
type RetirePlacer struct {
	Fence ident.Fence
	// Resigned is true if the placer says so itself; it then gives no order any
	// more.
	Resigned bool
}

type namingKey struct {
	model   ident.Model
	adapter string
}

// Routing returns the routing document in force.
func (v *View) Routing() Routing { return v.routing }

// NamedVersion returns the newest version that was named for an adapter, 0 if none
// was.
func (v *View) NamedVersion(m ident.Model, adapter string) uint64 {
	n, _ := v.named.Get(namingKey{m, adapter})
	return n
}

// NamedVersions returns all named versions in the order of model and adapter.
func (v *View) NamedVersions() []NamedVersion {
	out := make([]NamedVersion, 0, v.named.Len())
	for k, n := range v.named.All() {
		out = append(out, NamedVersion{Model: k.model, Adapter: k.adapter, Version: n})
	}
	return out
}

// Placer returns the record of the placer, in office or retired.
func (v *View) Placer() Placer { return v.placer }

func (c PutRouting) apply(s *State) Outcome {
	if c.Version == 0 || len(c.Document) > MaxRoutingDocument {
		return failed(result.New(result.ChangeInvalid, "routing document of version %d has %d bytes", c.Version, len(c.Document)))
	}
	if c.Version > s.v.routing.Version {
		s.v.routing = Routing(c)
	}
	return Outcome{Version: s.v.routing.Version}
}

func (c NameVersion) apply(s *State) Outcome {
	if c.Model == "" || c.Version == 0 {
		return failed(result.New(result.ChangeInvalid, "version %d of %q/%q", c.Version, c.Model, c.Adapter))
	}
	k := namingKey{c.Model, c.Adapter}
	if have, _ := s.v.named.Get(k); c.Version > have {
		s.v.named = s.v.named.Put(k, c.Version)
	}
	return Outcome{Version: c.Version}
}

func (c AppointPlacer) apply(s *State) Outcome {
	p := s.v.placer
	if c.Daemon == "" {
		return failed(result.New(result.Malformed, "appointment without a daemon"))
	}
	if p.HoldsRole() || p.RetiredIndex != c.RetiredIndex {
		return failed(result.New(result.ChangeRefused, "placer %q was retired at %d, not %d", p.Daemon, p.RetiredIndex, c.RetiredIndex))
	}
	s.v.placer = Placer{Daemon: c.Daemon, Incarnation: c.Incarnation, Fence: ident.Fence(s.v.index)}
	return Outcome{Fence: ident.Fence(s.v.index)}
}

func (c RetirePlacer) apply(s *State) Outcome {
	p := s.v.placer
	if !p.HoldsRole() || p.Fence != c.Fence {
		return failed(result.New(result.ChangeRefused, "no placer in office at %d", c.Fence))
	}
	if uint64(p.Fence) == s.v.index {
		return failed(result.New(result.ChangeRefused, "placer %q was appointed just now", p.Daemon))
	}
	s.v.placer.RetiredIndex, s.v.placer.Resigned = s.v.index, c.Resigned
	return Outcome{Fence: c.Fence}
}

// checkPlatform checks what [Import] took over of routing and placement.
func (v *View) checkPlatform() *result.Error {
	p := v.placer
	if uint64(p.Fence) > v.index || p.RetiredIndex > v.index || p.RetiredIndex != 0 && p.RetiredIndex <= uint64(p.Fence) {
		return damaged("placer %q: fence %d, retired %d at index %d", p.Daemon, p.Fence, p.RetiredIndex, v.index)
	}
	if v.routing.Version == 0 && len(v.routing.Document) > 0 {
		return damaged("a routing document has no version")
	}
	return nil
}

func compareNaming(a, b namingKey) int {
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
