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
	// upstreamDaemons is the size of the cluster that upstreams announce
	// themselves to.
	upstreamDaemons = 7
	// forwards is how many requests are sent through each daemon.
	forwards = 20
)

var (
	// daemonSizes are the numbers of daemons of [Capacity].
	daemonSizes = []int{3, 7, 11, 24, 48}
	// upstreamSizes are numbers of announced upstreams.
	upstreamSizes = []int{0, 100, 400}
)

// Capacity measures the slopes that docs/CAPACITY.md is worked out from, with
// the programs in bin, and prints them to out.
func Capacity(out io.Writer, bin string) error {
	header(out, "slopes, 3 voters")
	for _, part := range []func(out io.Writer, bin string) error{pure, byDaemons, byUpstreams, oneForward} {
		if err := part(out, bin); err != nil {
			return err
		}
	}
	header(out, "\nend")
	return nil
}

func byDaemons(out io.Writer, bin string) error {
	t := newIdleTable()
	t.title = "against daemons, no upstreams: " + t.title
	for _, n := range daemonSizes {
		u, err := idleFleet(bin, n, 0)
		if err != nil {
			return err
		}
		u.row(t, fmt.Sprint(n))
	}
	return t.print(out)
}

func byUpstreams(out io.Writer, bin string) error {
	t := newIdleTable()
	t.title = fmt.Sprintf("against upstreams, %d daemons: %s", upstreamDaemons, t.title)
	t.rows[0][0] = "upstreams"
	for _, n := range upstreamSizes {
		u, err := idleFleet(bin, upstreamDaemons, n)
		if err != nil {
			return err
		}
		u.row(t, fmt.Sprint(n))
	}
	return t.print(out)
}

// idleFleet watches a cluster of its own with that many daemons and upstreams.
func idleFleet(bin string, daemons, upstreams int) (u idle, err error) {
	f, err := startFleet(bin, daemons)
	if err != nil {
		return u, err
	}
	defer f.end()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.announce(ctx, upstreams)
	if err := f.awaitUpstreams(ctx, upstreams); err != nil {
		return u, err
	}
	time.Sleep(settleTime)
	return f.watchIdle()
}

// announce announces engines that refuse every order, from this process. They
// report to two daemons each, as engines do, until the context ends.
func (f *fleet) announce(ctx context.Context, n int) {
	var daemons []string
	for _, name := range f.Names() {
		daemons = append(daemons, f.Caller(name))
	}
	c := upstream.NewClient(client.New())
	for i := range n {
		self := upstream.Announcement{
			Name: ident.Upstream(fmt.Sprintf("light-%04d", i)), Incarnation: 1, Kind: upstream.EngineKind, Model: "base",
			Address: "127.0.0.1:1", DataCentre: ident.DataCentre(fmt.Sprintf("dc%d", i%3)), Slots: 4, MaxBatch: 8, HonoursFence: true,
		}
		report := func(time.Time) upstream.Report {
			return upstream.Report{Name: self.Name, Incarnation: self.Incarnation}
		}
		// Each begins with other daemons, so that they share the reports.
		k := i % len(daemons)
		order := append(append([]string{}, daemons[k:]...), daemons[:k]...)
		go upstream.NewAnnouncer(c, self, order, report).Run(ctx)
	}
}

// awaitUpstreams waits until every daemon knows that many upstreams.
func (f *fleet) awaitUpstreams(ctx context.Context, n int) error {
	return cluster.Wait(time.Now().Add(startTimeout), fmt.Sprintf("%d upstreams known", n), func() bool {
		for _, name := range f.Names() {
			if d, err := f.Dump(ctx, name); err != nil || len(d.Lists.Upstreams) < n {
				return false
			}
		}
		return true
	})
}

// oneForward compares a request through a replica's owner with one through
// another daemon, and measures one commit.
func oneForward(out io.Writer, bin string) error {
	f, err := startFleet(bin, voters)
	if err != nil {
		return err
	}
	defer f.end()
	commits, err := f.commits(1)
	if err != nil {
		return err
	}
	addr, err := cluster.FreeAddress()
	if err != nil {
		return err
	}
	if _, err := f.Run("engine-0", "engine", "--listen", addr, "--token", "1ms", "--load", "1ms"); err != nil {
		return err
	}
	if err := f.awaitUpstreams(context.Background(), 1); err != nil {
		return err
	}
	t := newTable(fmt.Sprintf("one request of 8 pieces, 1 ms each, median / worst of %d; one commit takes %s",
		forwards, millis(time.Duration(float64(time.Second)/commits))), "daemon", "owner", "time")
	for _, name := range f.Names() {
		if err := f.forwardRow(t, name); err != nil {
			return err
		}
	}
	return t.print(out)
}

func (f *fleet) forwardRow(t *table, name string) error {
	ctx, cancel := cluster.Within(startTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	call := func() error {
		_, err := f.Complete(ctx, name, "letters", "notes@v1", "turn Mrs K. at nine")
		return err
	}
	if err := cluster.Wait(deadline, "served through "+name, func() bool { return call() == nil }); err != nil {
		return err
	}
	var took []time.Duration
	for range forwards {
		begun := time.Now()
		if err := call(); err != nil {
			return err
		}
		took = append(took, time.Since(begun))
	}
	d, err := f.Dump(ctx, name)
	if err != nil {
		return err
	}
	t.add(name, fmt.Sprint(len(d.Replicas) > 0), pair(took))
	return nil
}
