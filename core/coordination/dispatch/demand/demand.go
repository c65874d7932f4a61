// Package demand measures the demand for adapters by counters with exponential
// decay.
//
// A decayed count takes one number and one timestamp for each adapter and needs
// no timer. Unlike the time of last use, it ranks a popular adapter that has
// not been requested for a while above one that was requested once.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// HalfLife is the time in which a counter falls to half of its value if nothing
// is added.
const HalfLife = 2 * time.Minute

// Counter is a decayed count. The zero value is an empty counter.
type Counter struct {
	// value is the count at the time at; it is never negative.
	value float64
	// at is the time of the newest addition; it never decreases.
	at time.Time
}

// Add adds n to the count at now.
func (c *Counter) Add(now time.Time, n float64) {
	c.value = c.At(now) + n
	if now.After(c.at) {
		c.at = now
	}
}

// At returns the decayed count at now.
func (c *Counter) At(now time.Time) float64 {
	age := now.Sub(c.at)
	if c.value == 0 || age <= 0 {
		return c.value
	}
	return c.value * math.Exp2(-age.Seconds()/HalfLife.Seconds())
}

// maxCounters limits the size of a table; it is well above the number of slots
// of a replica.
const maxCounters = 512

// Table holds the counters of recently requested adapters, resident or not, so
// that an adapter that is loaded again keeps its demand.
type Table struct {
	// counters holds at most maxCounters adapters.
	counters map[ident.Adapter]Counter
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{counters: make(map[ident.Adapter]Counter)} }

// Add counts n requests for an adapter.
func (t *Table) Add(now time.Time, a ident.Adapter, n float64) {
	c, ok := t.counters[a]
	if !ok && len(t.counters) >= maxCounters {
		t.trim(now)
	}
	c.Add(now, n)
	t.counters[a] = c
}

// At returns the decayed count of an adapter.
func (t *Table) At(now time.Time, a ident.Adapter) float64 {
	c := t.counters[a]
	return c.At(now)
}

// trim drops the half of the counters with the least demand.
func (t *Table) trim(now time.Time) {
	as := slices.Collect(maps.Keys(t.counters))
	slices.SortFunc(as, func(a, b ident.Adapter) int {
		return cmp.Or(cmp.Compare(t.At(now, a), t.At(now, b)), a.Compare(b))
	})
	for _, a := range as[:len(as)/2] {
		delete(t.counters, a)
	}
}

// Len returns the number of adapters with a counter.
func (t *Table) Len() int { return len(t.counters) }
