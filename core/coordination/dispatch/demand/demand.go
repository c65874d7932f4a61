// Package demand measures how much an adapter is asked for, by a counter that
// halves with time.
//
// A decayed count is one number and one instant for each adapter, needs no
// timer and ranks a popular adapter that paused above one that was asked for
// once, which the time of last use does not.
package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// HalfLife is the time in which a counter that nothing is added to halves.
const HalfLife = 2 * time.Minute

// Counter is a decayed count. The zero value is an empty counter.
type Counter struct {
	// value is the count as of at; it is never negative.
	value float64
	// at is the instant of the newest addition and never goes back.
	at time.Time
}

// Add adds n at now.
func (c *Counter) Add(now time.Time, n float64) {
	c.value = c.At(now) + n
	if now.After(c.at) {
		c.at = now
	}
}

// At returns the count at now.
func (c *Counter) At(now time.Time) float64 {
	age := now.Sub(c.at)
	if c.value == 0 || age <= 0 {
		return c.value
	}
	return c.value * math.Exp2(-age.Seconds()/HalfLife.Seconds())
}

// maxCounters bounds a table; it is well above the slots of a replica.
const maxCounters = 512

// Table holds the counters of the adapters that were lately asked for,
// resident or not, so that an adapter that returns is known to be popular.
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

// trim drops the half with the least demand.
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
