package witness

import (
	"slices"

	"papayaspoke/core/ident"
)

// Witnesses is the witness set as defined by the replicated state. While a
// change of the set is not known to be visible, majorities of both sets are
// required.
type Witnesses struct {
	// old and current are sorted and have no duplicates. old is empty for the
	// first set.
	old, current []ident.Daemon
	// index is the index of the entry that made the change.
	index uint64
}

// NewWitnesses returns the witness set after the entry at index changed it from
// old to current.
func NewWitnesses(old, current []ident.Daemon, index uint64) Witnesses {
	return Witnesses{old: sorted(old), current: sorted(current), index: index}
}

// Current returns the set that applies once the change is visible. It must not
// be modified.
func (w Witnesses) Current() []ident.Daemon { return w.current }

// Index returns the index of the entry that last changed the set.
func (w Witnesses) Index() uint64 { return w.index }

// requiredSets returns the sets in each of which a majority is required, given
// the highest index known to be visible.
func (w Witnesses) requiredSets(visible uint64) [][]ident.Daemon {
	if len(w.current) == 0 {
		return nil
	}
	if len(w.old) == 0 || visible >= w.index {
		return [][]ident.Daemon{w.current}
	}
	return [][]ident.Daemon{w.old, w.current}
}

// members returns the union of the required sets, sorted.
func (w Witnesses) members(visible uint64) []ident.Daemon {
	var all []ident.Daemon
	for _, set := range w.requiredSets(visible) {
		all = append(all, set...)
	}
	return sorted(all)
}

// majority returns the size of a majority of n.
func majority(n int) int { return n/2 + 1 }

// recoveryQuorum returns the number of witnesses out of n that intersects every
// majority.
func recoveryQuorum(n int) int { return n - majority(n) + 1 }

// enoughInEach reports whether each of sets has at least size(len(set)) members
// for which in returns true. It is false if there are no sets.
func enoughInEach(sets [][]ident.Daemon, size func(n int) int, in func(ident.Daemon) bool) bool {
	for _, set := range sets {
		count := 0
		for _, d := range set {
			if in(d) {
				count++
			}
		}
		if count < size(len(set)) {
			return false
		}
	}
	return len(sets) > 0
}

func sorted(ds []ident.Daemon) []ident.Daemon {
	out := slices.Clone(ds)
	slices.Sort(out)
	return slices.Compact(out)
}
