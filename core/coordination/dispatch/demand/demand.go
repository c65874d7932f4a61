// Package demand measures how much an adapter is asked for, by a counter that
// halves with time.
//
// A decayed count is one number and one instant for each adapter, needs no
// timer and ranks a popular adapter that paused above one that was asked for
// once, which the time of last use does not.
package demand

import (
	"math"
	"time"
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
