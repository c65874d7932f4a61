package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
)

// deliver delivers a command as the committed log entry at an index.
func deliver(t *testing.T, d *Daemon, index uint64, c state.Command) {
	t.Helper()
	data, err := peer.EncodeCommand(c)
	assert.NilError(t, err)
	r := witness.Request{From: "w", Incarnation: 1, Applied: index}
	r.Entries = []entry.Entry{{Index: index, Term: 1, Kind: entry.Command, Data: data}}
	_, err = d.handleWitness(t.Context(), r)
	assert.NilError(t, err)
}

// takesWork reports whether requests may be sent to an upstream, once the tables have
// been rebuilt.
func takesWork(t *testing.T, d *Daemon, name ident.Upstream) bool {
	t.Helper()
	time.Sleep(4 * tickInterval)
	u, ok := d.view.Load().upstreams[name]
	return ok && !u.leaving
}

// TestLateReportIsNotUsed guards against an upstream that is used again since a report
// from before its departure arrives when no daemon remembers its record.
func TestLateReportIsNotUsed(t *testing.T) {
	d := newPlatformDaemon(t)
	report := Announcement{Replica: "u", Incarnation: 1_700_000_000_000, Sequence: 7, Service: "s", Address: "127.0.0.1:1"}
	assert.NilError(t, d.Platform().Announce(t.Context(), report))
	assert.Assert(t, takesWork(t, d, "u"))
	deliver(t, d, 1, state.Depart{Upstream: "u", Incarnation: report.Incarnation, At: time.Now()})
	assert.Assert(t, !takesWork(t, d, "u"), "departure in the log")
	report.Sequence++
	assert.NilError(t, d.Platform().Announce(t.Context(), report))
	assert.Assert(t, !takesWork(t, d, "u"), "report from before the departure")
	report.Incarnation++
	report.Sequence = 1
	assert.NilError(t, d.Platform().Announce(t.Context(), report))
	assert.Assert(t, takesWork(t, d, "u"), "report of a later run")
}

// TestStartedDaemonLeavesDepartedUpstreamsAlone guards against requests to an upstream
// that has left while a daemon that has just started reads the log: the document was in
// force before the departure.
func TestStartedDaemonLeavesDepartedUpstreamsAlone(t *testing.T) {
	for range 20 {
		d := newPlatformDaemon(t)
		report := Announcement{Replica: "u", Incarnation: 7, Sequence: 1, Service: "s", Address: "127.0.0.1:1"}
		assert.NilError(t, d.Platform().Announce(t.Context(), report))
		assert.Assert(t, takesWork(t, d, "u"))
		deliver(t, d, 1, state.Depart{Upstream: "u", Incarnation: 7, At: time.Now()})
		commitDocuments(t, d, 2, 2, 2)
		awaitVersion(t, d, 2, time.Second)
		var leaving bool
		assert.NilError(t, d.ctl.call(t.Context(), func(time.Time) { leaving = d.ctl.upstreamTable["u"].leaving }))
		assert.Assert(t, leaving, "the document is in force before the departure")
	}
}

// TestDeparturesWaitForOldDaemons guards against departures in the log while a daemon
// runs an earlier version, which would stop at them.
func TestDeparturesWaitForOldDaemons(t *testing.T) {
	d := newPlatformDaemon(t)
	report := Announcement{Replica: "u", Incarnation: 7, Sequence: 1, Service: "s", Address: "127.0.0.1:1", Leaving: true}
	readable := func() (ok bool) {
		assert.NilError(t, d.ctl.call(t.Context(), func(now time.Time) { ok = d.ctl.departuresReadable() }))
		return ok
	}
	assert.Assert(t, readable())
	old := membership.Daemon{
		Name: "old", Version: membership.Version{Incarnation: 1, Sequence: 1}, Peer: "127.77.1.2:1", Deadline: time.Now().Add(time.Minute),
	}
	_, err := d.handleGossip(t.Context(), membership.Request{From: "old", Incarnation: 1, Records: []membership.Record{{Daemon: &old}}})
	assert.NilError(t, err)
	assert.Assert(t, !readable())
	start := time.Now()
	assert.Equal(t, result.CodeOf(d.Platform().Announce(t.Context(), report)), result.NotFresh)
	assert.Assert(t, time.Since(start) < departureTimeout/2, "refused after %s", time.Since(start))
	renewed := old
	renewed.Version.Incarnation, renewed.ReadsDepartures = 2, true
	_, err = d.handleGossip(t.Context(), membership.Request{From: "old", Incarnation: 2, Records: []membership.Record{{Daemon: &renewed}}})
	assert.NilError(t, err)
	assert.Assert(t, readable())
}
