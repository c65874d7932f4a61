package daemon

import (
	"time"

	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// view is an immutable snapshot of the control state for the goroutines that
// serve requests.
type view struct {
	state *state.View
	// freshUntil is the time until which new work may be accepted.
	freshUntil time.Time
	// visible is the highest index known to be in force on all daemons.
	visible uint64
	// leader is empty if none is known.
	leader ident.Daemon
	// daemons and upstreams hold the known members.
	daemons   map[ident.Daemon]daemonInfo
	upstreams map[ident.Upstream]upstreamInfo
	// writeGuards are those of the replicas that this daemon owns.
	writeGuards map[ident.Upstream]*ownership.WriteGuard
	// draining is true once this daemon accepts no new callers.
	draining bool
}

// daemonInfo is the part of a daemon's member record that views contain.
type daemonInfo struct {
	caller, peer string
	// front is the address for clients of the platform, or empty.
	front      string
	dataCentre ident.DataCentre
	draining   bool
	// suspected is true if new connections to it fail.
	suspected bool
	hasDisk   bool
}

// upstreamInfo is the part of an upstream's announcement that views contain.
type upstreamInfo struct {
	incarnation  ident.Incarnation
	model        ident.Model
	service      ident.Service
	address      string
	dataCentre   ident.DataCentre
	honoursFence bool
	resumes      bool
	leaving      bool
	idempotent   []string
}

// fresh returns an error if this daemon's configuration may be out of date.
func (v *view) fresh(now time.Time) *result.Error {
	if now.Before(v.freshUntil) {
		return nil
	}
	return result.New(result.NotFresh, "no majority of witnesses has confirmed the configuration recently").WithRetryAfter(now.Add(time.Second))
}
