package daemon

import (
	"fmt"
	"strings"
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
	"papayaspoke/io/protocol/upstream"
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
	for n := range 5 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
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
		})
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
		Name: "old", Version: membership.Version{Incarnation: 1, Sequence: 1}, Peer: "127.78.1.2:1", Deadline: time.Now().Add(time.Minute),
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

// TestDeregistrationCoversTheRunThatWasMeant guards against a deregistration, which names
// no run, that misses the one that was meant or hits a later one.
func TestDeregistrationCoversTheRunThatWasMeant(t *testing.T) {
	d := newPlatformDaemon(t)
	start := time.Now()
	hourAgo, inAnHour := startedAt(start.Add(-time.Hour)), startedAt(start.Add(time.Hour))
	cases := map[string]struct {
		// known is the run that this daemon knows, 0 if none.
		known ident.Incarnation
		// hasLeft is true if the log says that the known run has left.
		hasLeft bool
		// covered has left afterwards, and later has not.
		covered, later ident.Incarnation
	}{
		"unknown":                      {0, false, startedAt(start), startedAt(start.Add(2 * time.Second))},
		"unknown, its clock is ahead":  {0, false, startedAt(start.Add(200 * time.Millisecond)), startedAt(start.Add(2 * time.Second))},
		"known":                        {hourAgo, false, hourAgo, hourAgo + 1},
		"known, its clock is ahead":    {inAnHour, false, inAnHour, inAnHour + 1},
		"known, tells no start":        {UnknownStart, false, UnknownStart, UnknownStart + 1},
		"the run before is known":      {hourAgo, true, startedAt(start), startedAt(start.Add(2 * time.Second))},
		"the same run is named again":  {hourAgo, true, hourAgo, startedAt(start.Add(2 * time.Second))},
		"the run before, clock behind": {1000, true, startedAt(start), startedAt(start.Add(2 * time.Second))},
	}
	index := uint64(0)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			u := ident.Upstream("u-" + strings.ReplaceAll(name, " ", "-"))
			if tc.known != 0 {
				report := Announcement{Replica: u, Incarnation: tc.known, Sequence: 1, Service: "s", Address: "127.0.0.1:1"}
				assert.NilError(t, d.Platform().Announce(t.Context(), report))
			}
			if tc.hasLeft {
				index++
				deliver(t, d, index, state.Depart{Upstream: u, Incarnation: tc.known, At: start})
				time.Sleep(4 * tickInterval)
			}
			var got state.Departure
			assert.NilError(t, d.ctl.call(t.Context(), func(now time.Time) { got = d.ctl.deregistered(now, u) }))
			assert.Assert(t, got.Last() >= tc.covered, "%d is before %d", got.Last(), tc.covered)
			assert.Assert(t, got.Last() < tc.later, "%d is not before %d", got.Last(), tc.later)
		})
	}
}

// TestClockSetBackDoesNotCount checks the time that bounds a deregistration after the
// clock was set back or ahead.
func TestClockSetBackDoesNotCount(t *testing.T) {
	noon := time.Unix(1_700_000_000, 0)
	assert.Equal(t, latestWall(noon.Add(-5*time.Second), noon), noon)
	assert.Equal(t, latestWall(noon.Add(5*time.Second), noon), noon.Add(5*time.Second))
}

// TestUnknownRunLeaves guards against the departure of a run that is acknowledged and not
// kept since this daemon does not know the run: its announcement may be on its way.
func TestUnknownRunLeaves(t *testing.T) {
	d := newPlatformDaemon(t)
	leaving := upstream.Leaving{Name: "e", Incarnation: 5}
	_, err := d.handleLeave(t.Context(), leaving)
	assert.Equal(t, result.CodeOf(err), result.NotFresh, "acknowledged without a log")
	deliver(t, d, 1, state.Depart{Upstream: "e", Incarnation: 5, At: time.Now()})
	time.Sleep(4 * tickInterval)
	_, err = d.handleLeave(t.Context(), leaving)
	assert.NilError(t, err)
	late := upstream.Announcement{Name: "e", Incarnation: 5, Kind: upstream.ServiceKind, Service: "s", Address: "127.0.0.1:1"}
	_, err = d.handleAnnounce(t.Context(), late)
	assert.NilError(t, err)
	assert.Assert(t, !takesWork(t, d, "e"))
	late.Incarnation++
	_, err = d.handleAnnounce(t.Context(), late)
	assert.NilError(t, err)
	assert.Assert(t, takesWork(t, d, "e"))
}

// TestDepartureIsNotAcknowledgedAlone checks that a daemon that reaches no log
// acknowledges no departure, and says so within a second.
func TestDepartureIsNotAcknowledgedAlone(t *testing.T) {
	d := newPlatformDaemon(t)
	report := Announcement{Replica: "u", Incarnation: 7, Sequence: 1, Service: "s", Address: "127.0.0.1:1"}
	assert.NilError(t, d.Platform().Announce(t.Context(), report))
	draining := report
	draining.Sequence, draining.Leaving = 2, true
	for name, leave := range map[string]func() error{
		"draining":              func() error { return d.Platform().Announce(t.Context(), draining) },
		"deregistered":          func() error { return d.Platform().Leave(t.Context(), "u") },
		"deregistered, unknown": func() error { return d.Platform().Leave(t.Context(), "other") },
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			assert.Equal(t, result.CodeOf(leave()), result.NotFresh)
			assert.Assert(t, time.Since(start) < time.Second, "refused after %s", time.Since(start))
		})
	}
	assert.Assert(t, !takesWork(t, d, "u"), "a replica that says that it leaves is left alone even so")
}

// TestDrainingIsMoreThanPresumed guards against an acknowledgement of a replica's own
// departure that rests on a presumption, which a readmission may take back.
func TestDrainingIsMoreThanPresumed(t *testing.T) {
	d := newPlatformDaemon(t)
	draining := Announcement{Replica: "u", Incarnation: 7, Sequence: 2, Service: "s", Address: "127.0.0.1:1", Leaving: true}
	deliver(t, d, 1, state.Depart{Upstream: "u", Presumed: 9, At: time.Now()})
	time.Sleep(4 * tickInterval)
	assert.Equal(t, result.CodeOf(d.Platform().Announce(t.Context(), draining)), result.NotFresh)
	deliver(t, d, 2, state.Depart{Upstream: "u", Incarnation: 7, At: time.Now()})
	time.Sleep(4 * tickInterval)
	draining.Sequence++
	assert.NilError(t, d.Platform().Announce(t.Context(), draining))
}

// TestFirstReportAfterADeregistration guards against a late report that tells a start
// after the deregistration of its replica, since clocks differ; no daemon knew the run.
func TestFirstReportAfterADeregistration(t *testing.T) {
	d := newPlatformDaemon(t)
	deliver(t, d, 1, state.Depart{Upstream: "u", Unseen: 100, At: time.Now()})
	time.Sleep(4 * tickInterval)
	announce := func(i ident.Incarnation, sequence uint64) {
		a := Announcement{Replica: "u", Incarnation: i, Sequence: sequence, Service: "s", Address: "127.0.0.1:1"}
		assert.NilError(t, d.Platform().Announce(t.Context(), a))
	}
	announce(3100, 1)
	announce(3100, 1)
	assert.Assert(t, !takesWork(t, d, "u"), "one late report")
	announce(9100, 1)
	assert.Assert(t, !takesWork(t, d, "u"), "the first report of another run")
	announce(9100, 2)
	assert.Assert(t, takesWork(t, d, "u"), "a run that goes on")
	announce(9100, 3)
	assert.Assert(t, takesWork(t, d, "u"))
}

// TestReadmission checks which reports bring a run back that is presumed to have left.
func TestReadmission(t *testing.T) {
	const run = ident.Incarnation(100)
	type report struct {
		at          time.Duration
		incarnation ident.Incarnation
		sequence    uint64
	}
	// goOn returns one report each second.
	goOn := func(i ident.Incarnation, first uint64, count int) (out []report) {
		for n := range count {
			out = append(out, report{time.Duration(n) * time.Second, i, first + uint64(n)})
		}
		return out
	}
	presumed, unseen := state.Departure{Presumed: 200}, state.Departure{Presumed: 50, Unseen: 200}
	cases := map[string]struct {
		departure state.Departure
		reports   []report
		want      bool
	}{
		"goes on":             {presumed, goOn(run, 1, 32), true},
		"did not go on":       {presumed, goOn(run, 1, 29), false},
		"unseen, goes on":     {unseen, goOn(run, 1, 12), true},
		"unseen, late ones":   {unseen, goOn(run, 1, 9), false},
		"known to have left":  {state.Departure{Incarnation: run, Presumed: 200}, goOn(run, 1, 60), false},
		"has not left":        {state.Departure{Presumed: 99}, goOn(run, 1, 60), false},
		"two late reports":    {unseen, []report{{0, run, 8}, {time.Minute, run, 9}}, false},
		"the same one twice":  {unseen, []report{{0, run, 8}, {time.Minute, run, 8}}, false},
		"reports out of turn": {presumed, []report{{0, run, 30}, {20 * time.Second, run, 8}, {40 * time.Second, run, 29}}, false},
		"runs in turn":        {presumed, []report{{0, run, 1}, {20 * time.Second, run + 1, 1}, {40 * time.Second, run, 40}}, false},
		"seldom to us":        {presumed, []report{{0, run, 1}, {40 * time.Second, run, 30}}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newPlatformDaemon(t)
			tc.departure.Upstream, tc.departure.At = "u", time.Now()
			deliver(t, d, 1, state.Depart(tc.departure))
			var got []state.Command
			assert.NilError(t, d.ctl.call(t.Context(), func(now time.Time) {
				d.ctl.view = d.ctl.state.View()
				d.ctl.async.commit = func(cmd state.Command) { got = append(got, cmd) }
				for _, r := range tc.reports {
					d.ctl.reconsiderDeparture(now.Add(r.at), Announcement{Replica: "u", Incarnation: r.incarnation, Sequence: r.sequence})
				}
			}))
			var want []state.Command
			if tc.want {
				want = []state.Command{state.Readmit{Upstream: "u", Incarnation: run}}
			}
			assert.DeepEqual(t, got, want)
		})
	}
}
