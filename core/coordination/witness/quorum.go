package witness

import (
	"slices"

	"papayaspoke/core/ident"
)

// Witnesses is the set of witnesses as the replicated state gives it. While a
// change of the set is not known to be visible, both sets must agree.
type Witnesses struct {
	// old and current are sorted and hold each daemon once. old is empty for
	// the first set.
	old, current []ident.Daemon
	// index is that of the entry that made the change.
	index uint64
}

// NewWitnesses returns the set that the entry at index changed from old to
// current.
func NewWitnesses(old, current []ident.Daemon, index uint64) Witnesses {
	return Witnesses{old: sorted(old), current: sorted(current), index: index}
}

// Current returns the set as it is once the change is visible. It must not be
// modified.
func (w Witnesses) Current() []ident.Daemon { return w.current }

// Index returns the index of the entry that changed the set last.
func (w Witnesses) Index() uint64 { return w.index }

// sets returns the sets that count while visible is the greatest index known
// to be visible.
func (w Witnesses) sets(visible uint64) [][]ident.Daemon {
	if len(w.current) == 0 {
		return nil
	}
	if len(w.old) == 0 || visible >= w.index {
		return [][]ident.Daemon{w.current}
	}
	return [][]ident.Daemon{w.old, w.current}
}

// members returns the union of sets, sorted.
func (w Witnesses) members(visible uint64) []ident.Daemon {
	var all []ident.Daemon
	for _, set := range w.sets(visible) {
		all = append(all, set...)
	}
	return sorted(all)
}

// majority returns the size of a majority of n.
func majority(n int) int { return n/2 + 1 }

// covering returns the size that meets every majority of n.
func covering(n int) int { return n - majority(n) + 1 }

// holds reports whether in each of sets at least size(len(set)) members are
// in. It is false if there are no sets.
func holds(sets [][]ident.Daemon, size func(n int) int, in func(ident.Daemon) bool) bool {
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
