package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/standin/cluster"
)

// waitTimeout bounds every wait of these tests. It is far longer than the target
// times, so that the tests also pass on a busy machine.
const waitTimeout = 30 * time.Second

// binDir is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the programs under test and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "papayaspoke-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/papayaspoked", "../cmd/engine", "../cmd/service")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	binDir = dir
	return m.Run()
}

// testCluster is the running cluster of one test.
type testCluster struct {
	*cluster.Cluster
	t   *testing.T
	ctx context.Context
	dir string
	// serviceAddress is the address of the booking service, if it was started.
	serviceAddress string
}

// startCluster starts a cluster of the given daemons, by default three voters,
// and configures it. The test runs in parallel to others.
func startCluster(t *testing.T, specs ...cluster.DaemonSpec) *testCluster {
	t.Helper()
	t.Parallel()
	if len(specs) == 0 {
		specs = cluster.ThreeDaemons
	}
	ctx, cancel := cluster.WithTimeout(2 * waitTimeout)
	t.Cleanup(cancel)
	c := &testCluster{t: t, ctx: ctx, dir: t.TempDir()}
	var err error
	c.Cluster, err = cluster.New(c.dir, binDir, specs...)
	assert.NilError(t, err)
	t.Cleanup(c.close)
	assert.NilError(t, c.Start())
	assert.NilError(t, c.Configure(ctx, cluster.SetupChanges))
	return c
}

// close stops the cluster. If the test failed, it logs the ends of the logs.
func (c *testCluster) close() {
	c.Close()
	if !c.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(c.dir, "*.log"))
	for _, l := range logs {
		b, _ := os.ReadFile(l)
		c.t.Logf("%s:\n%s", filepath.Base(l), tail(b))
	}
}

func tail(b []byte) []byte { return b[max(0, len(b)-3000):] }

// startEngine starts a stand-in engine with further arguments.
func (c *testCluster) startEngine(name string, args ...string) *cluster.Process {
	c.t.Helper()
	p, err := c.StartProgram(name, "engine", append([]string{"--listen", freeAddress(c.t), "--model", "base", "--dc", "piraeus"}, args...)...)
	assert.NilError(c.t, err)
	return p
}

// startBookingService starts the stand-in booking service, at the same address as
// before if it was started already.
func (c *testCluster) startBookingService(args ...string) *cluster.Process {
	c.t.Helper()
	if c.serviceAddress == "" {
		c.serviceAddress = freeAddress(c.t)
	}
	p, err := c.StartProgram("booking-1", "service", append([]string{"--listen", c.serviceAddress, "--service", "booking", "--dc", "piraeus"}, args...)...)
	assert.NilError(c.t, err)
	return p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := cluster.FreeAddress()
	assert.NilError(t, err)
	return addr
}

// eventually polls until the condition holds, and fails the test after
// waitTimeout.
func (c *testCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	assert.NilError(c.t, cluster.WaitUntil(time.Now().Add(waitTimeout), description, condition))
}

// waitUntilServed retries a request until a daemon returns an answer that the
// adapter generated.
func (c *testCluster) waitUntilServed(daemon, adapter string) {
	c.t.Helper()
	var err error
	waitErr := cluster.WaitUntil(time.Now().Add(waitTimeout), "served", func() bool {
		var text string
		text, err = c.Complete(c.ctx, daemon, "urgent", adapter, "a prompt")
		return err == nil && cluster.GeneratedBy(text, adapter)
	})
	assert.NilError(c.t, waitErr, "last error: %v", err)
}

// waitForLeader waits until one of the named daemons is the leader and an active
// witness, and returns its name.
func (c *testCluster) waitForLeader(names ...string) string {
	c.t.Helper()
	var leader string
	c.eventually("a leader", func() bool {
		for _, n := range names {
			if d, err := c.Dump(c.ctx, n); err == nil && d.Role == "leader" && d.Standing {
				leader = n
				return true
			}
		}
		return false
	})
	return leader
}

// otherDaemons returns the names of all daemons but one.
func otherDaemons(c *testCluster, name string) []string {
	var out []string
	for _, n := range c.Names() {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// setTarget changes the latency target of class urgent through the named daemons,
// or through any daemon if none is named.
func (c *testCluster) setTarget(ctx context.Context, id string, expect, ms uint64, through ...string) (operator.Answer, error) {
	return operator.RetryUntilFinal(ctx, c.OperatorClient(through...), operator.Change{ID: id, Kind: "set-class", Name: "urgent", Expect: expect, Target: ms})
}

// classTarget returns the latency target and the version of class urgent, as one
// daemon lists them.
func (c *testCluster) classTarget(daemon string) (text, version string) {
	c.t.Helper()
	t, err := c.OperatorClient(daemon).List(c.ctx, "classes")
	assert.NilError(c.t, err)
	for _, r := range t.Rows {
		if r[0] == "urgent" {
			return r[1], r[2]
		}
	}
	c.t.Fatal("class urgent is not listed")
	return "", ""
}

// classVersion returns the current version of class urgent. It learns it from the
// conflict that a change with version 0 causes.
func (c *testCluster) classVersion() uint64 {
	c.t.Helper()
	a, err := c.setTarget(c.ctx, "probe", 0, 100)
	assert.NilError(c.t, err)
	assert.Equal(c.t, result.Code(a.Code), result.VersionConflict)
	return a.Version
}
