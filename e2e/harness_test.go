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

// patience bounds every wait of these tests. It is far above what the targets
// allow, so that a busy machine does not change the verdict.
const patience = 30 * time.Second

var bin string

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
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
	bin = dir
	return m.Run()
}

// world is a running cluster of a test.
type world struct {
	*cluster.Cluster
	t       *testing.T
	ctx     context.Context
	dir     string
	service string
}

// start runs a cluster and configures it.
func start(t *testing.T, specs ...cluster.Spec) *world {
	t.Helper()
	t.Parallel()
	if len(specs) == 0 {
		specs = cluster.ThreeDaemons
	}
	ctx, cancel := cluster.Within(2 * patience)
	t.Cleanup(cancel)
	w := &world{t: t, ctx: ctx, dir: t.TempDir()}
	var err error
	w.Cluster, err = cluster.New(w.dir, bin, specs...)
	assert.NilError(t, err)
	t.Cleanup(w.finish)
	assert.NilError(t, w.Start())
	assert.NilError(t, w.Configure(ctx, cluster.Catalogue))
	return w
}

func (w *world) finish() {
	w.Close()
	if !w.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, l := range logs {
		b, _ := os.ReadFile(l)
		w.t.Logf("%s:\n%s", filepath.Base(l), tail(b))
	}
}

func tail(b []byte) []byte { return b[max(0, len(b)-3000):] }

func (w *world) engine(name string, args ...string) *cluster.Process {
	w.t.Helper()
	p, err := w.Run(name, "engine", append([]string{"--listen", free(w.t), "--model", "base", "--dc", "piraeus"}, args...)...)
	assert.NilError(w.t, err)
	return p
}

func (w *world) bookings(args ...string) *cluster.Process {
	w.t.Helper()
	if w.service == "" {
		w.service = free(w.t)
	}
	p, err := w.Run("booking-1", "service", append([]string{"--listen", w.service, "--service", "booking", "--dc", "piraeus"}, args...)...)
	assert.NilError(w.t, err)
	return p
}

func free(t *testing.T) string {
	t.Helper()
	addr, err := cluster.FreeAddress()
	assert.NilError(t, err)
	return addr
}

// eventually waits until the condition holds.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	assert.NilError(w.t, cluster.Wait(time.Now().Add(patience), what, holds))
}

// served waits until a daemon answers by the adapter.
func (w *world) served(daemon, adapter string) {
	w.t.Helper()
	var err error
	werr := cluster.Wait(time.Now().Add(patience), "served", func() bool {
		var text string
		text, err = w.Complete(w.ctx, daemon, "urgent", adapter, "a prompt")
		return err == nil && cluster.MadeBy(text, adapter)
	})
	assert.NilError(w.t, werr, "last error: %v", err)
}

// leader waits until a daemon among names knows a leader and returns it.
func (w *world) leader(names ...string) string {
	w.t.Helper()
	var found string
	w.eventually("a leader", func() bool {
		for _, n := range names {
			if d, err := w.Dump(w.ctx, n); err == nil && d.Role == "leader" && d.Standing {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func others(w *world, name string) []string {
	var out []string
	for _, n := range w.Names() {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// setTarget changes the target of class urgent through the daemons named.
func (w *world) setTarget(ctx context.Context, id string, expect, ms uint64, through ...string) (operator.Answer, error) {
	return operator.RetryUntilFinal(ctx, w.Operator(through...), operator.Change{ID: id, Kind: "set-class", Name: "urgent", Expect: expect, Target: ms})
}

// target returns the target and version of class urgent at one daemon.
func (w *world) target(daemon string) (text, version string) {
	w.t.Helper()
	t, err := w.Operator(daemon).List(w.ctx, "classes")
	assert.NilError(w.t, err)
	for _, r := range t.Rows {
		if r[0] == "urgent" {
			return r[1], r[2]
		}
	}
	w.t.Fatal("class urgent is missing")
	return "", ""
}

// version returns the version of class urgent as accepted in the set-up.
func (w *world) version() uint64 {
	w.t.Helper()
	a, err := w.setTarget(w.ctx, "probe", 0, 100)
	assert.NilError(w.t, err)
	assert.Equal(w.t, result.Code(a.Code), result.VersionConflict)
	return a.Version
}
