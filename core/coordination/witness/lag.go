package witness

import (
	"time"

	"papayaspoke/core/ident"
)

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

// lag tracks the [Lag] of a daemon.
type lag struct {
	named uint64
	by    ident.Daemon
	// since is zero while the daemon is not behind.
	since   time.Time
	asked   ident.Daemon
	askedAt time.Time
}

// name records that another daemon has named an index as applied.
func (l *lag) name(now time.Time, by ident.Daemon, index, applied uint64) {
	if index <= l.named {
		return
	}
	l.named, l.by = index, by
	if index > applied && l.since.IsZero() {
		l.since, l.asked = now, ""
	}
}

// caughtUp records the applied index.
func (l *lag) caughtUp(applied uint64) {
	if applied >= l.named {
		l.since = time.Time{}
	}
}

// Lag returns how far this daemon is behind; ok is false if it isn't.
func (w *Witness) Lag() (l Lag, ok bool) {
	if w.lag.since.IsZero() {
		return Lag{}, false
	}
	return Lag{
		Named: w.lag.named, Applied: w.applied, By: w.lag.by, Since: w.lag.since, Asked: w.lag.asked, AskedAt: w.lag.askedAt,
	}, true
}

// LastResponseAt returns when the last response arrived, zero if none has.
func (w *Witness) LastResponseAt() time.Time { return w.lastResponseAt }
