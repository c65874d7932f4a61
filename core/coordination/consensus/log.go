package consensus

import (
	"slices"

	"papayaspoke/core/coordination/entry"
)

// memlog is the part of the log that is kept in memory.
type memlog struct {
	// base is the index that precedes the first entry.
	base uint64
	// baseTerm is the term of the entry at base.
	baseTerm uint64
	// entries have consecutive indices from base+1.
	entries []entry.Entry
}

func (l *memlog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memlog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, false if it is unknown.
func (l *memlog) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.at(i).Term, true
}

func (l *memlog) at(i uint64) entry.Entry { return l.entries[i-l.base-1] }

// from returns a copy of the entries from index i on: at most limit entries and
// at most size bytes of data, but always the first entry.
func (l *memlog) from(i uint64, limit, size int) []entry.Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	es := l.entries[i-l.base-1:]
	n := 0
	for n < len(es) && n < limit {
		size -= len(es[n].Data)
		if n > 0 && size < 0 {
			break
		}
		n++
	}
	return slices.Clone(es[:n])
}

func (l *memlog) truncate(last uint64) { l.entries = l.entries[:last-l.base] }

// compact drops the entries up to and including index i.
func (l *memlog) compact(i uint64) {
	if i <= l.base {
		return
	}
	l.baseTerm, _ = l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base = i
}

// atLeastAsUpToDate reports whether a log that ends with the given term and
// index is at least as up to date as l.
func (l *memlog) atLeastAsUpToDate(term, index uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
