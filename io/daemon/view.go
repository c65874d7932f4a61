package daemon

import (
	"time"

	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// view is what traffic goroutines decide from. It is never changed.
type view struct {
	state *state.View
	// freshUntil is until when new work may be taken.
	freshUntil time.Time
	// visible is the greatest index known to be in force everywhere.
	visible uint64
	// leader is empty if none is known.
	leader ident.Daemon
	// daemons and upstreams are those that membership knows of.
	daemons   map[ident.Daemon]daemonInfo
	upstreams map[ident.Upstream]upstreamInfo
	// gates are those of the replicas that this daemon owns.
	gates map[ident.Upstream]*ownership.WriteGuard
	// draining is true once this daemon takes no new callers.
	draining bool
}

// daemonInfo is what others need to know of a daemon.
type daemonInfo struct {
	caller, peer string
	// front is where clients of the platform connect, or empty.
	front      string
	dataCentre ident.DataCentre
	draining   bool
	// suspected is true if new connections to it fail.
	suspected bool
	disk      bool
}

// upstreamInfo is what an upstream announced, as far as traffic needs it.
type upstreamInfo struct {
	incarnation ident.Incarnation
	model       ident.Model
	service     ident.Service
	address     string
	dataCentre  ident.DataCentre
	honours     bool
	resumes     bool
	leaving     bool
	idempotent  []string
}

// fresh returns an error if this daemon can't be sure of its configuration.
func (v *view) fresh(now time.Time) *result.Error {
	if now.Before(v.freshUntil) {
		return nil
	}
	return result.New(result.NotFresh, "no majority of witnesses has confirmed the configuration lately").WithRetryAfter(now.Add(time.Second))
}
