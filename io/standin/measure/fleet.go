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
	// voters is how many daemons of a fleet have a disk.
	voters = 3
	// engines is how many stand-in engines are announced.
	engines = 4
	// startTimeout bounds the start of a fleet.
	startTimeout = 30 * time.Second
	// settleTime lets records spread before a quiet interval is measured.
	settleTime = 4 * time.Second
	// pollPause separates looks at a daemon.
	pollPause = 2 * time.Millisecond
)

// fleet is a running cluster with engines and one service.
type fleet struct {
	*cluster.Cluster
	dir string
	// number makes names of changes unique.
	number int
}

// startFleet starts n daemons, three of them voters, and sets them up.
func startFleet(bin string, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "papayaspoke-measure")
	if err != nil {
		return nil, err
	}
	var specs []cluster.Spec
	for i := range n {
		specs = append(specs, cluster.Spec{
			Name: fmt.Sprintf("d%02d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Disk: i < voters,
		})
	}
	c, err := cluster.New(dir, bin, specs...)
	if err != nil {
		return nil, err
	}
	f := &fleet{Cluster: c, dir: dir}
	if err := f.setUp(); err != nil {
		f.end()
		return nil, fmt.Errorf("%d daemons: %w", n, err)
	}
	return f, nil
}

func (f *fleet) setUp() error {
	if err := f.Start(); err != nil {
		return err
	}
	ctx, cancel := cluster.Within(startTimeout)
	defer cancel()
	if err := f.Configure(ctx, cluster.Catalogue); err != nil {
		return err
	}
	return f.awaitAll(ctx)
}

func (f *fleet) end() {
	f.Close()
	_ = os.RemoveAll(f.dir)
}

// awaitAll waits until every daemon stands and every voter knows the leader.
func (f *fleet) awaitAll(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	return cluster.Wait(deadline, "all daemons stand", func() bool {
		for i, name := range f.Names() {
			d, err := f.Dump(ctx, name)
			if err != nil || !d.Standing || d.Version == 0 || i < voters && d.Leader == "" {
				return false
			}
		}
		return true
	})
}

// runEngines starts the stand-in engines.
func (f *fleet) runEngines() error {
	for i := range engines {
		addr, err := cluster.FreeAddress()
		if err != nil {
			return err
		}
		if _, err := f.Run(fmt.Sprintf("engine-%d", i), "engine", "--listen", addr, "--dc", fmt.Sprintf("dc%d", i%3)); err != nil {
			return err
		}
	}
	return nil
}

// leader returns the daemon that says it leads.
func (f *fleet) leader(ctx context.Context, except string) (string, bool) {
	for _, name := range f.Names()[:voters] {
		if name == except {
			continue
		}
		if d, err := f.Dump(ctx, name); err == nil && d.Role == "leader" {
			return name, true
		}
	}
	return "", false
}

// next returns a change that no other change conflicts with.
func (f *fleet) next() operator.Change {
	f.number++
	name := fmt.Sprintf("measured-%d", f.number)
	return operator.Change{ID: name, Kind: "put-adapter", Name: name + "@v1", Model: "base"}
}
