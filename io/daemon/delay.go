package daemon

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

const (
	// lateAfter is how late the control loop, or behind the log the daemon, must be
	// for a line in the log.
	lateAfter = 500 * time.Millisecond
	// lateLogInterval is the minimum time between two such lines.
	lateLogInterval = time.Second
)

// posted is a function that waits for the control loop.
type posted struct {
	run func(now time.Time)
	// at is when it was posted.
	at time.Time
}

// loopDelay holds the longest delays of the control loop since the gauges were
// last updated.
type loopDelay struct {
	// wait is the longest time that a function was in an inbox, step the longest run
	// of one function or tick, and tickGap the longest time between two ticks.
	wait, step, tickGap time.Duration
	// tickedAt is when the last tick began.
	tickedAt time.Time
	// nextLogAt and nextBehindAt are when the next line on a late loop and on the
	// lag behind the log may be written.
	nextLogAt, nextBehindAt time.Time
}

// runPosted runs a function from an inbox.
func (c *control) runPosted(p posted) {
	now := c.clock()
	c.delay.wait = max(c.delay.wait, now.Sub(p.at))
	p.run(now)
	c.delay.step = max(c.delay.step, c.clock().Sub(now))
}

// observeTick records a tick that began at now and has ended.
func (c *control) observeTick(now time.Time) {
	if !c.delay.tickedAt.IsZero() {
		c.delay.tickGap = max(c.delay.tickGap, now.Sub(c.delay.tickedAt))
	}
	c.delay.tickedAt = now
	c.delay.step = max(c.delay.step, c.clock().Sub(now))
	c.logLateLoop(now)
	c.logBehind(now)
}

func (c *control) logLateLoop(now time.Time) {
	if max(c.delay.wait, c.delay.step, c.delay.tickGap) < lateAfter || now.Before(c.delay.nextLogAt) {
		return
	}
	c.delay.nextLogAt = now.Add(lateLogInterval)
	c.log.Info("control loop late", "wait", c.delay.wait.Milliseconds(), "step", c.delay.step.Milliseconds(),
		"tick", c.delay.tickGap.Milliseconds(), "queued", len(c.inbox)+len(c.logInbox))
}

// logBehind logs that this daemon lacks entries that another one has named.
func (c *control) logBehind(now time.Time) {
	l, ok := c.witness.Lag()
	if !ok || now.Sub(l.Since) < lateAfter || now.Before(c.delay.nextBehindAt) {
		return
	}
	c.delay.nextBehindAt = now.Add(lateLogInterval)
	fields := []any{"applied", l.Applied, "named", l.Named, "by", l.By, "for", now.Sub(l.Since).Milliseconds(), "asked", l.Asked}
	if l.Asked != "" {
		fields = append(fields, "since", now.Sub(l.AskedAt).Milliseconds())
	}
	if at := c.witness.LastResponseAt(); !at.IsZero() {
		fields = append(fields, "heard", now.Sub(at).Milliseconds())
	}
	c.log.Info("behind the log", fields...)
}

// updateDelayGauges updates the gauges of the control loop and starts a new period.
func (c *control) updateDelayGauges(s tally.Scope, now time.Time) {
	s.Gauge("loop_wait").Update(c.delay.wait.Seconds())
	s.Gauge("loop_step").Update(c.delay.step.Seconds())
	s.Gauge("loop_tick").Update(c.delay.tickGap.Seconds())
	c.delay.wait, c.delay.step, c.delay.tickGap = 0, 0, 0
	behind := 0.0
	if l, ok := c.witness.Lag(); ok {
		behind = now.Sub(l.Since).Seconds()
	}
	s.Gauge("behind").Update(behind)
}
