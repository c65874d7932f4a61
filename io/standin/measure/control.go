package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/standin/cluster"
)

const (
	// kills is how often a leader is killed.
	kills = 5
	// changes is how many changes are followed to every daemon.
	changes = 30
	// commitTime is how long commits are counted.
	commitTime = 3 * time.Second
	// clients is how many operators commit side by side.
	clients = 64
	// quietTime is how long an idle cluster is watched.
	quietTime = 10 * time.Second
)

// sizes are the numbers of daemons of [Control].
var sizes = []int{3, 7, 11}

// control is what one size of cluster showed.
type control struct {
	elected, accepted, forced []time.Duration
	alone, grouped            float64
	idle                      idle
}

// Control measures the control plane with the programs in bin and prints one
// table to out.
func Control(out io.Writer, bin string) error {
	header(out, "control plane, 3 voters, 4 engines")
	t := newTable("median / worst; a commit is an operator's change that was accepted",
		"daemons", "leader seen after kill", "change accepted after kill", "in force everywhere",
		"commits/s alone", fmt.Sprintf("commits/s of %d clients", clients))
	quiet := newIdleTable()
	for _, n := range sizes {
		c, err := measureControl(bin, n)
		if err != nil {
			return err
		}
		t.add(fmt.Sprint(n), pair(c.elected), pair(c.accepted), pair(c.forced),
			fmt.Sprintf("%.0f", c.alone), fmt.Sprintf("%.0f", c.grouped))
		c.idle.row(quiet, fmt.Sprint(n))
	}
	if err := t.print(out); err != nil {
		return err
	}
	if err := quiet.print(out); err != nil {
		return err
	}
	header(out, "\nend")
	return nil
}

func pair(ds []time.Duration) string {
	median, worst := spread(ds)
	return millis(median) + " / " + millis(worst)
}

func measureControl(bin string, n int) (c control, err error) {
	f, err := startFleet(bin, n)
	if err != nil {
		return c, err
	}
	defer f.end()
	if err = f.runEngines(); err != nil {
		return c, err
	}
	time.Sleep(settleTime)
	if c.idle, err = f.watchIdle(); err != nil {
		return c, err
	}
	if c.forced, err = f.followChanges(); err != nil {
		return c, err
	}
	if c.alone, err = f.commits(1); err != nil {
		return c, err
	}
	if c.grouped, err = f.commits(clients); err != nil {
		return c, err
	}
	for range kills {
		if err = f.killLeader(&c); err != nil {
			return c, err
		}
	}
	return c, nil
}

// killLeader kills the leader and notes how long the others were without.
func (f *fleet) killLeader(c *control) error {
	ctx, cancel := cluster.Within(startTimeout)
	defer cancel()
	old, ok := f.leader(ctx, "")
	if !ok {
		return fmt.Errorf("no leader to kill")
	}
	var left []string
	for _, name := range f.Names() {
		if name != old {
			left = append(left, name)
		}
	}
	killed := time.Now()
	f.Daemon(old).Kill()
	elected := make(chan time.Duration, 1)
	go func() { elected <- f.untilElected(ctx, old, killed) }()
	a, err := operator.RetryUntilFinal(ctx, f.Operator(left...), f.next())
	if err != nil || a.Code != 0 {
		return fmt.Errorf("change after a kill: %d %s %w", a.Code, a.Detail, err)
	}
	c.accepted = append(c.accepted, time.Since(killed))
	c.elected = append(c.elected, <-elected)
	if err := f.Start(old); err != nil {
		return err
	}
	return f.awaitAll(ctx)
}

func (f *fleet) untilElected(ctx context.Context, old string, killed time.Time) time.Duration {
	for ctx.Err() == nil {
		if _, ok := f.leader(ctx, old); ok {
			break
		}
		time.Sleep(pollPause)
	}
	return time.Since(killed)
}

// followChanges notes how long a change takes from being sent until the view
// of every daemon's traffic has it.
func (f *fleet) followChanges() ([]time.Duration, error) {
	ctx, cancel := cluster.Within(startTimeout)
	defer cancel()
	var out []time.Duration
	lead, ok := f.leader(ctx, "")
	if !ok {
		return nil, fmt.Errorf("no leader")
	}
	send := f.Operator(lead)
	version := uint64(0)
	for i := range changes {
		ch := operator.Change{
			ID: fmt.Sprintf("follow-%d", i), Kind: "set-class", Name: "followed", Target: uint64(1000 + i), Expect: version,
		}
		d, v, err := f.follow(ctx, send, ch)
		if err != nil {
			return nil, err
		}
		out, version = append(out, d), v
	}
	return out, nil
}

func (f *fleet) follow(ctx context.Context, send *operator.Client, ch operator.Change) (time.Duration, uint64, error) {
	sent := time.Now()
	target := (time.Duration(ch.Target) * time.Millisecond).String()
	took := make([]time.Duration, len(f.Names()))
	var wg sync.WaitGroup
	for i, name := range f.Names() {
		wg.Go(func() {
			f.untilListed(ctx, name, ch.Name, target)
			took[i] = time.Since(sent)
		})
	}
	a, err := operator.RetryUntilFinal(ctx, send, ch)
	wg.Wait()
	if err != nil || a.Code != 0 || ctx.Err() != nil {
		return 0, 0, fmt.Errorf("change %s: %d %s %w", ch.ID, a.Code, a.Detail, err)
	}
	_, worst := spread(took)
	return worst, a.Version, nil
}

// untilListed asks one daemon until its list of classes has the target.
func (f *fleet) untilListed(ctx context.Context, daemon, class, target string) {
	ask := f.Operator(daemon)
	for ctx.Err() == nil {
		t, err := ask.List(ctx, "classes")
		for _, r := range t.Rows {
			if err == nil && r[0] == class && r[1] == target {
				return
			}
		}
		time.Sleep(pollPause)
	}
}

// commits returns the changes accepted in a second with n clients at the
// leader, each waiting for its answer before it sends the next.
func (f *fleet) commits(n int) (float64, error) {
	ctx, cancel := cluster.Within(startTimeout)
	defer cancel()
	lead, ok := f.leader(ctx, "")
	if !ok {
		return 0, fmt.Errorf("no leader")
	}
	counts, errs := make([]int, n), make([]error, n)
	begun := time.Now()
	end := begun.Add(commitTime)
	f.number++
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			counts[i], errs[i] = commitUntil(ctx, f.Operator(lead), fmt.Sprintf("client-%d-%d", f.number, i), end)
		})
	}
	wg.Wait()
	sum := 0
	for i := range n {
		if errs[i] != nil {
			return 0, errs[i]
		}
		sum += counts[i]
	}
	return float64(sum) / time.Since(begun).Seconds(), nil
}

func commitUntil(ctx context.Context, send *operator.Client, name string, end time.Time) (int, error) {
	n := 0
	for ; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := operator.RetryUntilFinal(ctx, send, operator.Change{ID: id, Kind: "put-adapter", Name: id + "@v1", Model: "base"})
		if err != nil || a.Code != 0 {
			return n, fmt.Errorf("change %s: %d %s %w", id, a.Code, a.Detail, err)
		}
	}
	return n, nil
}
