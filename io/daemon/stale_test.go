package daemon

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/routes"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
	"papayaspoke/io/settings"
)

// newPlatformDaemon starts a daemon without a disk that serves a platform. A routing
// document is the version of its table in 8 bytes.
func newPlatformDaemon(t *testing.T) *Daemon {
	t.Helper()
	l, err := net.Listen("tcp", "127.78.1.1:0")
	assert.NilError(t, err)
	port := 3000 + l.Addr().(*net.TCPAddr).Port%5000
	assert.NilError(t, l.Close())
	s, err := settings.Parse(fmt.Sprintf(`name = "d1"
centre = "z"
[listen]
ports = "127.78.1.1:%d"
[cluster]
open = true
seeds = ["127.78.1.2:%d"]
[platform]
front = "127.78.1.1:%d"
ready = "127.78.1.1:%d"
control = "127.78.1.1:%d"
directory = "127.78.1.1:%d"
grace = 4
share = 0.2
extra = 60
`, port, port, port+4, port+5, port+6, port+7), t.TempDir(), os.ReadFile)
	assert.NilError(t, err)
	d, err := New(s, logr.Discard(), Dialect{Routes: func(document []byte) (*routes.Table, error) {
		return routes.New(binary.BigEndian.Uint64(document), nil, nil, routes.Limits{})
	}})
	assert.NilError(t, err)
	t.Cleanup(d.close)
	return d
}

// commitDocuments delivers log entries from first to last, each with a routing
// document of the version of its index, as a witness that has applied named.
func commitDocuments(t *testing.T, d *Daemon, first, last, named uint64) {
	t.Helper()
	r := witness.Request{From: "w", Incarnation: 1, Applied: named}
	for i := first; i <= last; i++ {
		data, err := peer.EncodeCommand(state.PutRouting{Version: i, Document: binary.BigEndian.AppendUint64(nil, i)})
		assert.NilError(t, err)
		r.Entries = append(r.Entries, entry.Entry{Index: i, Term: 1, Kind: entry.Command, Data: data})
	}
	_, err := d.handleWitness(t.Context(), r)
	assert.NilError(t, err)
}

// tableVersion returns the version of the table that is in force, 0 if there is none.
func tableVersion(d *Daemon) uint64 {
	if t := d.platform.gateway.Table(); t != nil {
		return t.Version()
	}
	return 0
}

// awaitVersion returns how long it took until a version was in force.
func awaitVersion(t *testing.T, d *Daemon, version uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for tableVersion(d) != version {
		assert.Assert(t, time.Since(start) < limit, "version %d is in force after %s, not %d", tableVersion(d), limit, version)
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// TestDocumentOvertakesQueuedReports guards against documents that are not in force
// for seconds at a daemon whose control loop has too much else to do, such as the
// placer that cannot keep up with the reports of hundreds of daemons.
func TestDocumentOvertakesQueuedReports(t *testing.T) {
	const queued, each, within = 1000, 5 * time.Millisecond, 2500 * time.Millisecond
	d := newPlatformDaemon(t)
	commitDocuments(t, d, 1, 1, 1)
	awaitVersion(t, d, 1, within)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range queued {
		go func() { _ = d.ctl.call(ctx, func(time.Time) { time.Sleep(each) }) }()
	}
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	commitDocuments(t, d, 2, 2, 2)
	awaitVersion(t, d, 2, 2*within)
	assert.Assert(t, time.Since(start) < within, "in force after %s", time.Since(start))
}

// TestStartedDaemonServesNoOldDocument guards against requests that are handled by
// an old document while a daemon that has just started reads through the log.
func TestStartedDaemonServesNoOldDocument(t *testing.T) {
	d := newPlatformDaemon(t)
	commitDocuments(t, d, 1, 3, 5)
	for range 20 {
		assert.Equal(t, tableVersion(d), uint64(0), "an old document is in force")
		time.Sleep(10 * time.Millisecond)
	}
	commitDocuments(t, d, 4, 5, 5)
	awaitVersion(t, d, 5, time.Second)
}

// TestAgeCountsSuspendedTime guards against a confirmation that a VM takes for recent
// after it was suspended.
func TestAgeCountsSuspendedTime(t *testing.T) {
	at := time.Now()
	cases := map[string]struct {
		now  time.Time
		want time.Duration
	}{
		"a moment later": {at.Add(time.Second), time.Second},
		"suspended":      {at.Round(0).Add(time.Minute), time.Minute},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, age(tc.now, at), tc.want) })
	}
}

// TestFarBehindGetsTheStateIfItIsSmaller guards against daemons that fetch one large
// document after the other, of which only the last one matters.
func TestFarBehindGetsTheStateIfItIsSmaller(t *testing.T) {
	const documents, size = 9, 100 << 10
	cases := map[string]struct {
		applied  uint64
		snapshot bool
	}{
		"nothing applied":  {0, true},
		"far behind":       {2, true},
		"two behind":       {documents - 2, false},
		"nothing to fetch": {documents, false},
	}
	d := newPlatformDaemon(t)
	for i := uint64(1); i <= documents; i++ {
		data, err := peer.EncodeCommand(state.PutRouting{Version: i, Document: append(binary.BigEndian.AppendUint64(nil, i), make([]byte, size)...)})
		assert.NilError(t, err)
		_, err = d.handleWitness(t.Context(), witness.Request{
			From: "w", Incarnation: 1, Applied: i,
			Entries: []entry.Entry{{Index: i, Term: 1, Kind: entry.Command, Data: data}},
		})
		assert.NilError(t, err)
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := d.handleWitness(t.Context(), witness.Request{From: "x", Incarnation: 1, Applied: tc.applied, WantEntries: true})
			assert.NilError(t, err)
			got := uint64(0)
			if n := len(resp.Entries); n > 0 {
				got = resp.Entries[n-1].Index
			}
			if tc.snapshot {
				assert.Equal(t, len(resp.Entries), 0)
				got = resp.Snapshot.Index
				assert.Assert(t, len(resp.Snapshot.Data) < 2*size)
			}
			assert.Assert(t, got == documents || tc.applied == documents, "behind by %d after it", documents-got)
		})
	}
}
