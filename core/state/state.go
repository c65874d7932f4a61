package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// State is the replicated state machine. It belongs to one goroutine.
type State struct {
	// v is the current state; it is copied whole into every View.
	v View
}

// New returns the state before the first log entry.
func New() *State { return &State{v: newView()} }

// View returns an immutable snapshot. The cost does not depend on the size of
// the state.
func (s *State) View() *View {
	v := s.v
	return &v
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.v.index }

// Apply carries out the command of the log entry at index, which is larger
// than that of any entry applied before. A nil command stands for an entry
// that carries none.
func (s *State) Apply(index uint64, c Command) Outcome {
	if index <= s.v.index {
		return failed(result.New(result.Internal, "index %d is not after %d", index, s.v.index))
	}
	s.v.index = index
	if c == nil {
		return Outcome{}
	}
	return c.apply(s)
}

func (c Batch) apply(s *State) Outcome {
	out := Outcome{Batch: make([]Outcome, 0, len(c.Commands))}
	for _, sub := range c.Commands {
		out.Batch = append(out.Batch, applyOne(s, sub))
	}
	return out
}

func applyOne(s *State, c Command) Outcome {
	switch c.(type) {
	case nil:
		return Outcome{}
	case Batch:
		return failed(result.New(result.Malformed, "batch in a batch"))
	}
	return c.apply(s)
}

func (c Change) apply(s *State) Outcome {
	if err := c.check(); err != nil {
		return failed(err)
	}
	if seq, ok := s.v.changeIDs.Get(c.ID); ok {
		return s.v.again(seq, c)
	}
	out := s.v.decide(c)
	s.v.record(c, out)
	return out
}

func (c Change) check() *result.Error {
	if err := checkSize(result.ChangeInvalid, "change id", string(c.ID), MaxName); err != nil {
		return err
	}
	if len(c.Author) > MaxAuthor {
		return result.New(result.ChangeInvalid, "author has %d bytes; want at most %d", len(c.Author), MaxAuthor)
	}
	if c.Edit == nil {
		return result.New(result.ChangeInvalid, "change is empty")
	}
	return c.Edit.check()
}

// again returns the first answer to a change that was applied before.
func (v *View) again(seq uint64, c Change) Outcome {
	r, _ := v.changes.Get(seq)
	if r.Change.Edit != c.Edit || r.Change.Expected != c.Expected {
		return failed(result.New(result.ChangeIDReused, "change id %q", c.ID))
	}
	return r.Outcome
}

func (v *View) decide(c Change) Outcome {
	if now := c.Edit.version(v); now != c.Expected {
		out := failed(result.New(result.VersionConflict, "expected version %d, have %d", c.Expected, now))
		out.Version = now
		return out
	}
	next := v.version + 1
	if err := c.Edit.edit(v, next); err != nil {
		out := failed(err)
		out.Version = c.Expected
		return out
	}
	v.version = next
	return Outcome{Version: c.Edit.version(v)}
}

// record keeps a change and its answer, and forgets the oldest if there are
// too many.
func (v *View) record(c Change, out Outcome) {
	v.sequence++
	v.changes = v.changes.Put(v.sequence, Record{Index: v.index, Change: c, Outcome: out})
	v.changeIDs = v.changeIDs.Put(c.ID, v.sequence)
	if v.changes.Len() <= MaxChanges {
		return
	}
	seq, oldest, _ := v.changes.Min()
	v.changes = v.changes.Delete(seq)
	v.changeIDs = v.changeIDs.Delete(oldest.Change.ID)
}

func (c Assign) apply(s *State) Outcome {
	v := &s.v
	if c.Upstream == "" || c.Owner == "" {
		return failed(result.New(result.Malformed, "assignment without upstream or owner"))
	}
	old, ok := v.owners.Get(c.Upstream)
	if ok && old.Owned() {
		return failed(result.New(result.ChangeRefused, "upstream %q is owned by %q", c.Upstream, old.Owner))
	}
	if old.RevokedIndex != c.RevokedIndex {
		return failed(result.New(result.ChangeRefused, "upstream %q was last revoked at %d, not %d", c.Upstream, old.RevokedIndex, c.RevokedIndex))
	}
	if old.RevokedIndex == v.index {
		return failed(result.New(result.ChangeRefused, "upstream %q was revoked just now", c.Upstream))
	}
	v.owners = v.owners.Put(c.Upstream, Ownership{
		Upstream:         c.Upstream,
		Incarnation:      c.Incarnation,
		Owner:            c.Owner,
		OwnerIncarnation: c.OwnerIncarnation,
		Fence:            ident.Fence(v.index),
	})
	return Outcome{Fence: ident.Fence(v.index)}
}

func (c Revoke) apply(s *State) Outcome {
	v := &s.v
	old, ok := v.owners.Get(c.Upstream)
	if !ok || old.Fence != c.Fence {
		return failed(result.New(result.ChangeRefused, "upstream %q is not owned at %d", c.Upstream, c.Fence))
	}
	if !old.Owned() {
		return Outcome{Fence: c.Fence}
	}
	if uint64(old.Fence) == v.index {
		return failed(result.New(result.ChangeRefused, "upstream %q was assigned just now", c.Upstream))
	}
	old.RevokedIndex = v.index
	v.owners = v.owners.Put(c.Upstream, old)
	return Outcome{Fence: c.Fence}
}

func (c Yield) apply(s *State) Outcome {
	out := Revoke(c).apply(s)
	if out.Code != result.OK {
		return out
	}
	o, _ := s.v.owners.Get(c.Upstream)
	o.Yielded = true
	s.v.owners = s.v.owners.Put(c.Upstream, o)
	return out
}

func (c Release) apply(s *State) Outcome {
	old, ok := s.v.owners.Get(c.Upstream)
	if !ok {
		return Outcome{}
	}
	if old.Owned() || old.RevokedIndex != c.RevokedIndex {
		return failed(result.New(result.ChangeRefused, "upstream %q was not revoked at %d", c.Upstream, c.RevokedIndex))
	}
	s.v.owners = s.v.owners.Delete(c.Upstream)
	return Outcome{}
}
