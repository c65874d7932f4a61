package upstream_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// daemon records what an upstream tells it.
type daemon struct {
	server *server.Server
	mu     sync.Mutex
	// forgetful makes the daemon forget the announcement once.
	forgetful bool
	announced []upstream.Announcement
	reports   []upstream.Report
	left      int
}

func startDaemon(t *testing.T, others ...string) *daemon {
	t.Helper()
	d := &daemon{}
	welcome := func(known bool) (upstream.DaemonReply, error) {
		return upstream.DaemonReply{Known: known, Daemons: others}, nil
	}
	h := &upstream.Handler{
		Announce: func(_ context.Context, a upstream.Announcement) (upstream.DaemonReply, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.announced = append(d.announced, a)
			return welcome(true)
		},
		Refresh: func(_ context.Context, r upstream.Report) (upstream.DaemonReply, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reports = append(d.reports, r)
			forgot := d.forgetful
			d.forgetful = false
			return welcome(!forgot)
		},
		Leave: func(context.Context, upstream.Leaving) (upstream.DaemonReply, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.left++
			return welcome(true)
		},
	}
	s, err := server.Listen("127.0.0.1:0", h, server.Options{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	d.server = s
	return d
}

func (d *daemon) counts() (announced, reports, left int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.announced), len(d.reports), d.left
}

func TestEngineAnnouncesRefreshesAndLeaves(t *testing.T) {
	second := startDaemon(t)
	first := startDaemon(t, second.server.Addr())
	e := startEngine(t, "127.0.0.1:0", func(o *engine.Options) {
		o.Daemons = []string{first.server.Addr()}
		o.Self.HonoursFence = true
	})
	loadOn(t, e)
	eventually(t, func() bool { _, n, _ := first.counts(); return n > 1 })
	eventually(t, func() bool { _, n, _ := second.counts(); return n > 0 })
	first.mu.Lock()
	assert.DeepEqual(t, first.announced[0], e.Self())
	r := first.reports[len(first.reports)-1]
	first.forgetful = true
	first.mu.Unlock()
	assert.DeepEqual(t, r.Residents, []upstream.Resident{{Adapter: letters}})
	assert.Equal(t, r.Fence, ident.Fence(1))
	eventually(t, func() bool { n, _, _ := first.counts(); return n == 2 })
	first.server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, e.Stop(ctx))
	_, _, left := second.counts()
	assert.Equal(t, left, 1)
}

func TestBadAnnouncementsGetTheirNumber(t *testing.T) {
	good := upstream.Announcement{
		Name: "e1", Incarnation: 7, Kind: upstream.EngineKind, Model: "base", Address: "127.0.0.1:1", DataCentre: "a", Slots: 1, MaxBatch: 1,
	}
	cases := map[string]func(*upstream.Announcement){
		"no name":           func(a *upstream.Announcement) { a.Name = "" },
		"no incarnation":    func(a *upstream.Announcement) { a.Incarnation = 0 },
		"no kind":           func(a *upstream.Announcement) { a.Kind = "" },
		"no model":          func(a *upstream.Announcement) { a.Model = "" },
		"host name":         func(a *upstream.Announcement) { a.Address = "localhost:1" },
		"no data centre":    func(a *upstream.Announcement) { a.DataCentre = "" },
		"no slots":          func(a *upstream.Announcement) { a.Slots = 0 },
		"no batch":          func(a *upstream.Announcement) { a.MaxBatch = 0 },
		"service of engine": func(a *upstream.Announcement) { a.Service = "booking" },
	}
	d := startDaemon(t)
	c := upstream.NewClient(client.New())
	_, err := c.Announce(t.Context(), d.server.Addr(), good)
	assert.NilError(t, err)
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			a := good
			change(&a)
			_, err := c.Announce(t.Context(), d.server.Addr(), a)
			assert.Equal(t, result.CodeOf(err), result.Malformed)
		})
	}
}

func TestReportsLag(t *testing.T) {
	d := startDaemon(t)
	e := startEngine(t, "127.0.0.1:0", func(o *engine.Options) {
		o.Daemons = []string{d.server.Addr()}
		o.ReportedAt = soon(time.Hour)
	})
	eventually(t, func() bool { _, n, _ := d.counts(); return n > 0 })
	loadOn(t, e)
	_, before, _ := d.counts()
	eventually(t, func() bool { _, n, _ := d.counts(); return n > before+1 })
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, len(d.reports[len(d.reports)-1].Residents), 0)
}
