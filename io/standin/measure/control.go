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
	// leaderKills is how many times the leader is killed.
	leaderKills = 5
	// propagatedChanges is the number of changes whose propagation is timed.
	propagatedChanges = 30
	// commitDuration is how long commits are counted for a rate.
	commitDuration = 3 * time.Second
	// concurrentClients is the number of clients that commit concurrently.
	concurrentClients = 64
	// idleDuration is how long the resource use of an idle cluster is measured.
	idleDuration = 10 * time.Second
)

// clusterSizes are the numbers of daemons that [Control] measures.
var clusterSizes = []int{3, 7, 11}

// controlResult holds the measurements of one cluster size. Election and accept
// times count from the kill of a leader; a propagation time is from sending a
// change until every daemon applies it. The rates are commits per second of one
// client and of concurrentClients.
type controlResult struct {
	electionTimes, acceptTimes, propagationTimes []time.Duration
	sequentialRate, concurrentRate               float64
	idle                                         idleUsage
}

// Control measures the control plane with the programs in the folder binDir and
// prints two tables to out.
func Control(out io.Writer, binDir string) error {
	printHeader(out, "control plane, 3 voters, 4 engines")
	t := newTable("median / worst; a commit is an operator's change that was accepted",
		"daemons", "leader seen after kill", "change accepted after kill", "in force everywhere",
		"commits/s alone", fmt.Sprintf("commits/s of %d clients", concurrentClients))
	idleTable := newIdleTable()
	for _, n := range clusterSizes {
		c, err := measureControl(binDir, n)
		if err != nil {
			return err
		}
		t.add(fmt.Sprint(n), medianAndMaxText(c.electionTimes), medianAndMaxText(c.acceptTimes), medianAndMaxText(c.propagationTimes),
			fmt.Sprintf("%.0f", c.sequentialRate), fmt.Sprintf("%.0f", c.concurrentRate))
		c.idle.addRow(idleTable, fmt.Sprint(n))
	}
	if err := t.print(out); err != nil {
		return err
	}
	if err := idleTable.print(out); err != nil {
		return err
	}
	printHeader(out, "\nend")
	return nil
}

// medianAndMaxText formats the median and the maximum of ds.
func medianAndMaxText(ds []time.Duration) string {
	median, worst := medianAndMax(ds)
	return formatMillis(median) + " / " + formatMillis(worst)
}

// measureControl measures a cluster of n daemons.
func measureControl(binDir string, n int) (c controlResult, err error) {
	f, err := startFleet(binDir, n)
	if err != nil {
		return c, err
	}
	defer f.close()
	if err = f.runEngines(); err != nil {
		return c, err
	}
	time.Sleep(settleDelay)
	if c.idle, err = f.measureIdleUsage(); err != nil {
		return c, err
	}
	if c.propagationTimes, err = f.propagationTimes(); err != nil {
		return c, err
	}
	if c.sequentialRate, err = f.commitRate(1); err != nil {
		return c, err
	}
	if c.concurrentRate, err = f.commitRate(concurrentClients); err != nil {
		return c, err
	}
	for range leaderKills {
		if err = f.killLeader(&c); err != nil {
			return c, err
		}
	}
	return c, nil
}

// killLeader kills the leader, records how long it takes until a new leader is
// elected and until a change is accepted, and starts the daemon again.
func (f *fleet) killLeader(c *controlResult) error {
	ctx, cancel := cluster.WithTimeout(startTimeout)
	defer cancel()
	old, ok := f.leader(ctx, "")
	if !ok {
		return fmt.Errorf("no daemon reports that it is the leader")
	}
	var others []string
	for _, name := range f.Names() {
		if name != old {
			others = append(others, name)
		}
	}
	killed := time.Now()
	f.Daemon(old).Kill()
	elected := make(chan time.Duration, 1)
	go func() { elected <- f.waitForNewLeader(ctx, old, killed) }()
	a, err := operator.RetryUntilFinal(ctx, f.OperatorClient(others...), f.nextChange())
	if err != nil || a.Code != 0 {
		return fmt.Errorf("change after killing the leader: code %d %s: %w", a.Code, a.Detail, err)
	}
	c.acceptTimes = append(c.acceptTimes, time.Since(killed))
	c.electionTimes = append(c.electionTimes, <-elected)
	if err := f.Start(old); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// waitForNewLeader waits until a daemon other than old leads, and returns the
// time since killed.
func (f *fleet) waitForNewLeader(ctx context.Context, old string, killed time.Time) time.Duration {
	for ctx.Err() == nil {
		if _, ok := f.leader(ctx, old); ok {
			break
		}
		time.Sleep(pollInterval)
	}
	return time.Since(killed)
}

// propagationTimes measures, for several changes, the time from sending a change
// until every daemon applies it to its traffic.
func (f *fleet) propagationTimes() ([]time.Duration, error) {
	ctx, cancel := cluster.WithTimeout(startTimeout)
	defer cancel()
	var times []time.Duration
	leader, ok := f.leader(ctx, "")
	if !ok {
		return nil, fmt.Errorf("no daemon reports that it is the leader")
	}
	sender := f.OperatorClient(leader)
	version := uint64(0)
	for i := range propagatedChanges {
		ch := operator.Change{
			ID: fmt.Sprintf("follow-%d", i), Kind: "set-class", Name: "followed", Target: uint64(1000 + i), Expect: version,
		}
		d, v, err := f.measurePropagation(ctx, sender, ch)
		if err != nil {
			return nil, err
		}
		times, version = append(times, d), v
	}
	return times, nil
}

// measurePropagation makes one change and returns the time until the last daemon
// lists it, and the new version.
func (f *fleet) measurePropagation(ctx context.Context, sender *operator.Client, ch operator.Change) (time.Duration, uint64, error) {
	sent := time.Now()
	target := (time.Duration(ch.Target) * time.Millisecond).String()
	times := make([]time.Duration, len(f.Names()))
	var wg sync.WaitGroup
	for i, name := range f.Names() {
		wg.Go(func() {
			f.waitUntilListed(ctx, name, ch.Name, target)
			times[i] = time.Since(sent)
		})
	}
	a, err := operator.RetryUntilFinal(ctx, sender, ch)
	wg.Wait()
	if err != nil || a.Code != 0 || ctx.Err() != nil {
		return 0, 0, fmt.Errorf("change %s: code %d %s: %w", ch.ID, a.Code, a.Detail, err)
	}
	_, worst := medianAndMax(times)
	return worst, a.Version, nil
}

// waitUntilListed polls one daemon until its list of classes shows the target of
// a class.
func (f *fleet) waitUntilListed(ctx context.Context, daemon, class, target string) {
	client := f.OperatorClient(daemon)
	for ctx.Err() == nil {
		t, err := client.List(ctx, "classes")
		for _, r := range t.Rows {
			if err == nil && r[0] == class && r[1] == target {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// commitRate returns the number of changes per second that the leader accepts
// from n clients. Each client waits for an answer before it sends the next
// change.
func (f *fleet) commitRate(n int) (float64, error) {
	ctx, cancel := cluster.WithTimeout(startTimeout)
	defer cancel()
	leader, ok := f.leader(ctx, "")
	if !ok {
		return 0, fmt.Errorf("no daemon reports that it is the leader")
	}
	counts, errs := make([]int, n), make([]error, n)
	start := time.Now()
	end := start.Add(commitDuration)
	f.changeNumber++
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			counts[i], errs[i] = commitUntil(ctx, f.OperatorClient(leader), fmt.Sprintf("client-%d-%d", f.changeNumber, i), end)
		})
	}
	wg.Wait()
	total := 0
	for i := range n {
		if errs[i] != nil {
			return 0, errs[i]
		}
		total += counts[i]
	}
	return float64(total) / time.Since(start).Seconds(), nil
}

// commitUntil makes changes one after another until end, and returns how many
// were accepted.
func commitUntil(ctx context.Context, sender *operator.Client, name string, end time.Time) (int, error) {
	n := 0
	for ; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		a, err := operator.RetryUntilFinal(ctx, sender, operator.Change{ID: id, Kind: "put-adapter", Name: id + "@v1", Model: "base"})
		if err != nil || a.Code != 0 {
			return n, fmt.Errorf("change %s: code %d %s: %w", id, a.Code, a.Detail, err)
		}
	}
	return n, nil
}
