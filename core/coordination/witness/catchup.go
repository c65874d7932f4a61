package witness

import (
	"time"

	"papayaspoke/core/ident"
)

const (
	// fetchPatience is how long after a fetch another daemon is asked if nothing has
	// arrived, and slowestLink the rate, in bytes per second, that is added for what
	// is fetched. A second copy of the same entries takes the link from the first.
	fetchPatience = 150 * time.Millisecond
	slowestLink   = 512 << 10
	// failurePause is how long after a failed fetch another daemon is asked.
	failurePause = 20 * time.Millisecond
)

// catchUp tracks what other daemons have applied and this one lacks, and whom it has
// asked for it.
type catchUp struct {
	// named is the highest index that another daemon has named as applied, by the
	// first that named it.
	named uint64
	by    ident.Daemon
	// since is when this daemon fell behind named; zero while it is not behind.
	since time.Time
	// asked was last asked for entries, at askedAt; empty if nobody was asked since
	// this daemon fell behind.
	asked   ident.Daemon
	askedAt time.Time
	// size is the size in bytes of what is missing, as last stated.
	size uint64
	// nextAt is when the next daemon is asked at the earliest.
	nextAt time.Time
}

// Lag describes how far a daemon is behind the newest index that another one has
// named to it.
type Lag struct {
	// Named is the highest index that By has named; it is above Applied.
	Named, Applied uint64
	By             ident.Daemon
	// Since is when the daemon fell behind.
	Since time.Time
	// AskedAt is when entries were last requested, from Asked. Asked is empty if
	// they have not been.
	Asked   ident.Daemon
	AskedAt time.Time
}

// Lag returns how far this daemon is behind; ok is false if it isn't.
func (w *Witness) Lag() (l Lag, ok bool) {
	c := &w.catchUp
	if c.since.IsZero() {
		return Lag{}, false
	}
	return Lag{Named: c.named, Applied: w.applied, By: c.by, Since: c.since, Asked: c.asked, AskedAt: c.askedAt}, true
}

// LastResponseAt returns when the last response arrived, zero if none has.
func (w *Witness) LastResponseAt() time.Time { return w.lastResponseAt }

// noteNamed records that another daemon has applied the log up to an index.
func (w *Witness) noteNamed(now time.Time, by ident.Daemon, index uint64) {
	c := &w.catchUp
	if index <= c.named {
		return
	}
	c.named, c.by = index, by
	if index > w.applied && c.since.IsZero() {
		c.since, c.asked, c.nextAt = now, "", now
	}
}

// noteApplied ends the state of being behind once all that was named is applied.
func (c *catchUp) noteApplied(applied uint64) {
	if applied >= c.named {
		c.since = time.Time{}
	}
}

// fetchMissing asks another daemon for the missing entries, unless one was asked
// recently and may still answer.
func (w *Witness) fetchMissing(now time.Time) {
	c := &w.catchUp
	if c.named <= w.delivered || now.Before(c.nextAt) {
		return
	}
	d := w.source()
	if a := w.acks[d]; a != nil {
		a.askedAt = now
	}
	c.asked, c.askedAt = d, now
	c.nextAt = now.Add(fetchPatience + time.Duration(c.size)*time.Second/slowestLink)
	req := w.newRequest(0, d)
	req.WantEntries = true
	w.emit(Send{To: d, Request: req})
}

// source returns the daemon to ask for missing entries: of those that are known to
// have some, the one that was asked least recently.
func (w *Witness) source() ident.Daemon {
	best, askedAt := w.catchUp.by, time.Time{}
	if a := w.acks[best]; a != nil {
		askedAt = a.askedAt
	}
	for d, a := range w.acks {
		if a.applied <= w.delivered || a.incarnation != w.incarnations.newest[d] {
			continue
		}
		if a.askedAt.Before(askedAt) || a.askedAt.Equal(askedAt) && best != w.catchUp.by && d < best {
			best, askedAt = d, a.askedAt
		}
	}
	return best
}

// onSendFailed lets another daemon be asked soon if the one that was asked for entries
// can't be reached.
func (w *Witness) onSendFailed(now time.Time, ev SendFailed) {
	if ev.WantEntries && ev.To == w.catchUp.asked {
		w.catchUp.nextAt = now.Add(failurePause)
	}
}
