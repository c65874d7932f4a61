package measure

import (
	"context"
	"fmt"
	"os"
	"time"

	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/standin/cluster"
)

const (
	// voterCount is the number of daemons with a disk, which are the voters.
	voterCount = 3
	// engineCount is the number of stand-in engines.
	engineCount = 4
	// startTimeout bounds the start of a cluster and each step of a measurement.
	startTimeout = 30 * time.Second
	// settleDelay gives announcements time to spread before the resource use
	// of an idle cluster is measured.
	settleDelay = 4 * time.Second
	// pollInterval is the time between two queries to a daemon.
	pollInterval = 2 * time.Millisecond
)

// fleet is a running cluster with the files that it uses.
type fleet struct {
	*cluster.Cluster
	dir string
	// changeNumber makes the ids of changes unique.
	changeNumber int
}

// startFleet starts n daemons, three of them voters, configures them and waits
// until they are ready.
func startFleet(binDir string, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "papayaspoke-measure")
	if err != nil {
		return nil, err
	}
	var specs []cluster.DaemonSpec
	for i := range n {
		specs = append(specs, cluster.DaemonSpec{
			Name: fmt.Sprintf("d%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Disk: i < voterCount,
		})
	}
	c, err := cluster.New(dir, binDir, specs...)
	if err != nil {
		return nil, err
	}
	f := &fleet{Cluster: c, dir: dir}
	if err := f.setUp(); err != nil {
		f.close()
		return nil, fmt.Errorf("start %d daemons: %w", n, err)
	}
	return f, nil
}

func (f *fleet) setUp() error {
	if err := f.Start(); err != nil {
		return err
	}
	ctx, cancel := cluster.WithTimeout(startTimeout)
	defer cancel()
	if err := f.Configure(ctx, cluster.SetupChanges); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// close kills the processes and removes their files.
func (f *fleet) close() {
	f.Close()
	_ = os.RemoveAll(f.dir)
}

// awaitReady waits until every daemon is an active witness with a configuration,
// and every voter knows the leader.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	return cluster.WaitUntil(deadline, "waiting until all daemons are active", func() bool {
		for i, name := range f.Names() {
			d, err := f.Dump(ctx, name)
			if err != nil || !d.Standing || d.Version == 0 || i < voterCount && d.Leader == "" {
				return false
			}
		}
		return true
	})
}

// runEngines starts the stand-in engines.
func (f *fleet) runEngines() error {
	for i := range engineCount {
		addr, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		if _, err := f.StartProgram(fmt.Sprintf("engine-%d", i), "engine", "--listen", addr, "--dc", fmt.Sprintf("dc%d", i%3)); err != nil {
			return err
		}
	}
	return nil
}

// leader returns a voter other than except that reports that it is the leader.
func (f *fleet) leader(ctx context.Context, except string) (string, bool) {
	for _, name := range f.Names()[:voterCount] {
		if name == except {
			continue
		}
		if d, err := f.Dump(ctx, name); err == nil && d.Role == "leader" {
			return name, true
		}
	}
	return "", false
}

// nextChange returns a change that does not conflict with any other.
func (f *fleet) nextChange() operator.Change {
	f.changeNumber++
	name := fmt.Sprintf("measured-%d", f.changeNumber)
	return operator.Change{ID: name, Kind: "put-adapter", Name: name + "@v1", Model: "base"}
}
