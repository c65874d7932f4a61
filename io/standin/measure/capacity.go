package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/standin/cluster"
	"papayaspoke/io/transport/client"
)

const (
	// upstreamTestDaemons is the number of daemons while the number of
	// upstreams varies.
	upstreamTestDaemons = 7
	// forwardSamples is the number of requests that are timed per daemon.
	forwardSamples = 20
)

var (
	// daemonCounts are the cluster sizes that [Capacity] measures.
	daemonCounts = []int{3, 7, 11, 24, 48}
	// upstreamCounts are the numbers of announced upstreams that [Capacity]
	// measures.
	upstreamCounts = []int{0, 100, 400}
)

// Capacity measures how resource use grows with adapters, replicas, daemons and
// upstreams, and the cost of a forwarded request. It runs the programs in the
// folder binDir and prints the tables to out.
func Capacity(out io.Writer, binDir string) error {
	printHeader(out, "slopes, 3 voters")
	for _, measure := range []func(out io.Writer, binDir string) error{inProcessCosts, usageByDaemons, usageByUpstreams, forwardLatency} {
		if err := measure(out, binDir); err != nil {
			return err
		}
	}
	printHeader(out, "\nend")
	return nil
}

// usageByDaemons measures idle clusters of several sizes.
func usageByDaemons(out io.Writer, binDir string) error {
	t := newIdleTable()
	t.title = "against daemons, no upstreams: " + t.title
	for _, n := range daemonCounts {
		u, err := measureIdle(binDir, n, 0)
		if err != nil {
			return err
		}
		u.addRow(t, fmt.Sprint(n))
	}
	return t.print(out)
}

// usageByUpstreams measures idle clusters with several numbers of upstreams.
func usageByUpstreams(out io.Writer, binDir string) error {
	t := newIdleTable()
	t.title = fmt.Sprintf("against upstreams, %d daemons: %s", upstreamTestDaemons, t.title)
	t.rows[0][0] = "upstreams"
	for _, n := range upstreamCounts {
		u, err := measureIdle(binDir, upstreamTestDaemons, n)
		if err != nil {
			return err
		}
		u.addRow(t, fmt.Sprint(n))
	}
	return t.print(out)
}

// measureIdle starts a cluster with the given numbers of daemons and upstreams
// and measures its resource use while it is idle.
func measureIdle(binDir string, daemons, upstreams int) (u idleUsage, err error) {
	f, err := startFleet(binDir, daemons)
	if err != nil {
		return u, err
	}
	defer f.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.announceEngines(ctx, upstreams)
	if err := f.awaitUpstreams(ctx, upstreams); err != nil {
		return u, err
	}
	time.Sleep(settleDelay)
	return f.measureIdleUsage()
}

// announceEngines announces n engines from this process until ctx ends. Like
// real engines, each reports to two daemons. Nothing listens on their address,
// so that every order to them fails.
func (f *fleet) announceEngines(ctx context.Context, n int) {
	var daemons []string
	for _, name := range f.Names() {
		daemons = append(daemons, f.CallerAddress(name))
	}
	announceClient := upstream.NewClient(client.New())
	for i := range n {
		self := upstream.Announcement{
			Name: ident.Upstream(fmt.Sprintf("light-%04d", i)), Incarnation: 1, Kind: upstream.EngineKind, Model: "base",
			Address: "127.0.0.1:1", DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%3)), Slots: 4, MaxBatch: 8, HonoursFence: true,
		}
		report := func(time.Time) upstream.Report {
			return upstream.Report{Name: self.Name, Incarnation: self.Incarnation}
		}
		// The list of each engine starts at another daemon, so that the reports
		// are spread over all daemons.
		first := i % len(daemons)
		rotated := append(append([]string{}, daemons[first:]...), daemons[:first]...)
		go upstream.NewAnnouncer(announceClient, self, rotated, report).Run(ctx)
	}
}

// awaitUpstreams waits until every daemon lists at least n upstreams.
func (f *fleet) awaitUpstreams(ctx context.Context, n int) error {
	return cluster.WaitUntil(time.Now().Add(startTimeout), fmt.Sprintf("waiting until all daemons list %d upstreams", n), func() bool {
		for _, name := range f.Names() {
			if d, err := f.Dump(ctx, name); err != nil || len(d.Lists.Upstreams) < n {
				return false
			}
		}
		return true
	})
}

// forwardLatency compares requests that are sent to the owner of a replica with
// requests that another daemon forwards, and measures the time of one commit.
func forwardLatency(out io.Writer, binDir string) error {
	f, err := startFleet(binDir, voterCount)
	if err != nil {
		return err
	}
	defer f.close()
	rate, err := f.commitRate(1)
	if err != nil {
		return err
	}
	addr, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	if _, err := f.StartProgram("engine-0", "engine", "--listen", addr, "--token", "1ms", "--load", "1ms"); err != nil {
		return err
	}
	if err := f.awaitUpstreams(context.Background(), 1); err != nil {
		return err
	}
	t := newTable(fmt.Sprintf("one request of 8 pieces, 1 ms each, median / worst of %d; one commit takes %s",
		forwardSamples, formatMillis(time.Duration(float64(time.Second)/rate))), "daemon", "owner", "time")
	for _, name := range f.Names() {
		if err := f.addForwardRow(t, name); err != nil {
			return err
		}
	}
	return t.print(out)
}

// addForwardRow times requests that are sent to one daemon.
func (f *fleet) addForwardRow(t *table, name string) error {
	ctx, cancel := cluster.WithTimeout(startTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	complete := func() error {
		_, err := f.Complete(ctx, name, "letters", "notes@v1", "turn Mrs K. at nine")
		return err
	}
	if err := cluster.WaitUntil(deadline, "waiting for an answer through "+name, func() bool { return complete() == nil }); err != nil {
		return err
	}
	var latencies []time.Duration
	for range forwardSamples {
		start := time.Now()
		if err := complete(); err != nil {
			return err
		}
		latencies = append(latencies, time.Since(start))
	}
	d, err := f.Dump(ctx, name)
	if err != nil {
		return err
	}
	t.add(name, fmt.Sprint(len(d.Replicas) > 0), medianAndMaxText(latencies))
	return nil
}
