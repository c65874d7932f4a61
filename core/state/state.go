package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// State is the replicated state machine. It is not safe for concurrent use; the
// Views taken from it are.
type State struct {
	// view is the current state. Every View is a copy of it.
	view View
}

// New returns the state before the first log entry.
func New() *State { return &State{view: newView()} }

// View returns an immutable snapshot in constant time.
func (s *State) View() *View {
	v := s.view
	return &v
}

// Index returns the log index of the last applied command.
func (s *State) Index() uint64 { return s.view.index }

// Apply applies the command of the log entry at index, which must be larger than
// the index of any entry applied before. A nil command stands for an entry
// without a command.
func (s *State) Apply(index uint64, c Command) Outcome {
	if index <= s.view.index {
		return errorOutcome(result.New(result.Internal, "log index %d is not after the last applied index %d", index, s.view.index))
	}
	s.view.index = index
	if c == nil {
		return Outcome{}
	}
	return c.apply(s)
}

func (c Batch) apply(s *State) Outcome {
	out := Outcome{Batch: make([]Outcome, 0, len(c.Commands))}
	for _, sub := range c.Commands {
		out.Batch = append(out.Batch, applyBatched(s, sub))
	}
	return out
}

func applyBatched(s *State, c Command) Outcome {
	switch c.(type) {
	case nil:
		return Outcome{}
	case Batch:
		return errorOutcome(result.New(result.Malformed, "batch contains a batch"))
	}
	return c.apply(s)
}

func (c Change) apply(s *State) Outcome {
	if err := c.check(); err != nil {
		return errorOutcome(err)
	}
	if seq, ok := s.view.changeIDs.Get(c.ID); ok {
		return s.view.repeatedOutcome(seq, c)
	}
	out := s.view.applyEdit(c)
	s.view.recordChange(c, out)
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

// repeatedOutcome returns the recorded outcome of a change whose id was applied
// before.
func (v *View) repeatedOutcome(seq uint64, c Change) Outcome {
	r, _ := v.history.Get(seq)
	if r.Change.Edit != c.Edit || r.Change.Expected != c.Expected {
		return errorOutcome(result.New(result.ChangeIDReused, "change id %q", c.ID))
	}
	return r.Outcome
}

func (v *View) applyEdit(c Change) Outcome {
	if current := c.Edit.version(v); current != c.Expected {
		out := errorOutcome(result.New(result.VersionConflict, "expected version %d, have %d", c.Expected, current))
		out.Version = current
		return out
	}
	next := v.version + 1
	if err := c.Edit.edit(v, next); err != nil {
		out := errorOutcome(err)
		out.Version = c.Expected
		return out
	}
	v.version = next
	return Outcome{Version: c.Edit.version(v)}
}

// recordChange adds a change and its outcome to the history, and deletes the
// oldest record if there are more than MaxChanges.
func (v *View) recordChange(c Change, out Outcome) {
	v.sequence++
	v.history = v.history.Put(v.sequence, Record{Index: v.index, Change: c, Outcome: out})
	v.changeIDs = v.changeIDs.Put(c.ID, v.sequence)
	if v.history.Len() <= MaxChanges {
		return
	}
	seq, oldest, _ := v.history.Min()
	v.history = v.history.Delete(seq)
	v.changeIDs = v.changeIDs.Delete(oldest.Change.ID)
}

func (c Assign) apply(s *State) Outcome {
	v := &s.view
	if c.Upstream == "" || c.Owner == "" {
		return errorOutcome(result.New(result.Malformed, "assignment without upstream or owner"))
	}
	old, ok := v.owners.Get(c.Upstream)
	if ok && old.Owned() {
		return errorOutcome(result.New(result.ChangeRefused, "upstream %q is owned by %q", c.Upstream, old.Owner))
	}
	if old.RevokedIndex != c.RevokedIndex {
		return errorOutcome(result.New(result.ChangeRefused, "ownership of upstream %q was last revoked at index %d, not %d", c.Upstream, old.RevokedIndex, c.RevokedIndex))
	}
	if old.RevokedIndex == v.index {
		return errorOutcome(result.New(result.ChangeRefused, "ownership of upstream %q was revoked in the same log entry", c.Upstream))
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
	v := &s.view
	old, ok := v.owners.Get(c.Upstream)
	if !ok || old.Fence != c.Fence {
		return errorOutcome(result.New(result.ChangeRefused, "upstream %q has no ownership with fence %d", c.Upstream, c.Fence))
	}
	if !old.Owned() {
		return Outcome{Fence: c.Fence}
	}
	if uint64(old.Fence) == v.index {
		return errorOutcome(result.New(result.ChangeRefused, "upstream %q was assigned in the same log entry", c.Upstream))
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
	o, _ := s.view.owners.Get(c.Upstream)
	o.Yielded = true
	s.view.owners = s.view.owners.Put(c.Upstream, o)
	return out
}

func (c Release) apply(s *State) Outcome {
	old, ok := s.view.owners.Get(c.Upstream)
	if !ok {
		return Outcome{}
	}
	if old.Owned() || old.RevokedIndex != c.RevokedIndex {
		return errorOutcome(result.New(result.ChangeRefused, "ownership of upstream %q was not revoked at index %d", c.Upstream, c.RevokedIndex))
	}
	s.view.owners = s.view.owners.Delete(c.Upstream)
	return Outcome{}
}
