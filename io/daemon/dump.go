package daemon

import (
	"context"
	"runtime"
	"strconv"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
)

// processDump is the JSON form of a daemon's state dump.
type processDump struct {
	Daemon      string              `json:"daemon"`
	Centre      string              `json:"centre"`
	Incarnation uint64              `json:"incarnation"`
	Leader      string              `json:"leader"`
	Role        string              `json:"role,omitempty"`
	Term        uint64              `json:"term,omitempty"`
	Applied     uint64              `json:"applied"`
	Visible     uint64              `json:"visible"`
	Standing    bool                `json:"standing"`
	FreshFor    string              `json:"fresh"`
	Draining    bool                `json:"draining"`
	Version     uint64              `json:"version"`
	Adapters    int                 `json:"adapters"`
	Ledger      int                 `json:"ledger"`
	Departures  int                 `json:"departures"`
	Waiting     int                 `json:"waiting"`
	Requests    int                 `json:"requests"`
	Calls       int                 `json:"calls"`
	Fallback    bool                `json:"fallback"`
	Goroutines  int                 `json:"goroutines"`
	Heap        uint64              `json:"heap"`
	Replicas    []replicaDump       `json:"replicas"`
	Lists       map[string][]string `json:"lists"`
	Platform    *platformDump       `json:"platform,omitempty"`
}

// platformDump is the part of the dump about a platform.
type platformDump struct {
	Routing  uint64         `json:"routing"`
	Routes   int            `json:"routes"`
	Placer   string         `json:"placer"`
	Fence    uint64         `json:"fence"`
	Heard    string         `json:"heard"`
	Waiting  int            `json:"waiting"`
	Ejected  []string       `json:"ejected"`
	Alone    []string       `json:"alone"`
	Retries  map[string]int `json:"retries"`
	Blamed   []blamedDump   `json:"blamed"`
	Disk     string         `json:"disk"`
	Stopping bool           `json:"stopping"`
}

// maxBlamedDump is how many blamed keys a dump shows.
const maxBlamedDump = 64

// blamedDump is the verdict on a key of requests that have crashed replicas.
type blamedDump struct {
	Key     string    `json:"key"`
	Verdict string    `json:"verdict"`
	Ends    int       `json:"ends"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
}

// dump returns the state of routing, placement and the gateway.
func (p *Platform) dump(now time.Time) *platformDump {
	g, placer := p.gateway.State(), p.d.view.Load().state.Placer()
	out := &platformDump{
		Routing: g.RoutingVersion, Routes: g.Routes, Fence: uint64(placer.Fence), Waiting: g.WaitingRequests,
		Retries: make(map[string]int), Disk: "works", Stopping: p.stopped.Load(),
	}
	for _, name := range g.LeftAlone {
		out.Alone = append(out.Alone, string(name))
	}
	for _, b := range g.Blamed[:min(len(g.Blamed), maxBlamedDump)] {
		out.Blamed = append(out.Blamed, blamedDump{Key: b.Key.String(), Verdict: b.Verdict.String(), Ends: b.Ends, Since: b.Since, Until: b.Until})
	}
	if placer.HoldsRole() {
		out.Placer = string(placer.Daemon)
	}
	if !g.PlacerAnsweredAt.IsZero() {
		out.Heard = now.Sub(g.PlacerAnsweredAt).Round(time.Millisecond).String()
	}
	for _, name := range g.Ejected {
		out.Ejected = append(out.Ejected, string(name))
	}
	for name, n := range g.RetriesLeft {
		out.Retries[string(name)] = n
	}
	if p.d.diskFailed.Load() {
		out.Disk = "refuses writes"
	}
	return out
}

// replicaDump is the part of the dump about an owned replica.
type replicaDump struct {
	Upstream    string   `json:"upstream"`
	Fence       uint64   `json:"fence"`
	Claimed     bool     `json:"claimed"`
	Closed      bool     `json:"closed"`
	Outstanding int      `json:"outstanding"`
	Residents   []string `json:"residents"`
}

// dump returns the state of this process.
func (d *Daemon) dump(ctx context.Context) (any, error) {
	v := d.view.Load()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	out := processDump{
		Daemon: string(d.self), Centre: string(d.dataCentre), Incarnation: uint64(d.inc), Draining: v.draining,
		Goroutines: runtime.NumGoroutine(), Heap: mem.HeapAlloc, Calls: d.callerServer.InFlight(),
		Lists: make(map[string][]string),
	}
	if d.platform != nil {
		out.Platform = d.platform.dump(d.clock())
	}
	for _, n := range sortedKeys(v.daemons) {
		out.Lists["daemons"] = append(out.Lists["daemons"], string(n))
	}
	for _, n := range sortedKeys(v.upstreams) {
		out.Lists["upstreams"] = append(out.Lists["upstreams"], string(n))
	}
	if err := d.ctl.call(ctx, func(now time.Time) { d.ctl.dump(now, &out) }); err != nil {
		return nil, result.New(result.Draining, "%w", err)
	}
	return out, nil
}

// dump fills in the fields that only the control loop can read.
func (c *control) dump(now time.Time, out *processDump) {
	v := c.state.View()
	out.Leader = string(c.leader)
	if c.voter != nil {
		out.Role, out.Term = c.voter.node.Role().String(), c.voter.node.Term()
	}
	out.Applied, out.Visible, out.Standing = c.witness.Applied(), c.witness.Visible(), c.witness.Active()
	out.FreshFor = max(0, c.witness.FreshUntil().Sub(now)).Round(time.Millisecond).String()
	out.Version, out.Adapters, out.Ledger = v.Version(), v.CountAdapters(), v.CountEntries()
	out.Departures = v.CountDepartures()
	out.Waiting, out.Requests, out.Fallback = c.dispatcher.Waiting(), c.dispatcher.Len(), c.permits.lost
	for _, r := range c.dispatcher.Records(now) {
		rd := replicaDump{Upstream: string(r.Upstream), Closed: r.Closed, Outstanding: r.Outstanding}
		if own := c.owned[r.Upstream]; own != nil {
			rd.Fence = uint64(own.fence)
		}
		_, rd.Claimed = c.clockAnchors[r.Upstream]
		for _, a := range r.Residents {
			rd.Residents = append(rd.Residents, a.String())
		}
		out.Replicas = append(out.Replicas, rd)
	}
}

// voterTable lists the voters and learners that this daemon's consensus node
// knows.
func (d *Daemon) voterTable(v *view) (operator.Table, error) {
	t := operator.Table{Index: v.state.Index(), Columns: []string{"voter", "disk", "status", "leader"}}
	if d.ctl.voter == nil {
		return t, result.New(result.NotFound, "this daemon has no data folder; ask a daemon that has one")
	}
	ctx, cancel := context.WithTimeout(d.ctx, exchangeTimeout)
	defer cancel()
	err := d.ctl.call(ctx, func(time.Time) {
		m := d.ctl.voter.node.Members()
		leader := d.ctl.voter.node.Leader()
		for _, x := range m.Voters() {
			t.Rows = append(t.Rows, []string{string(x.Daemon), x.Disk, "voter", strconv.FormatBool(x == leader)})
		}
		for _, x := range m.Learners() {
			t.Rows = append(t.Rows, []string{string(x.Daemon), x.Disk, "learner", "false"})
		}
	})
	return t, err
}
