package daemon

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestDaemonOutlivesAFullDisk lets the disk refuse writes: the daemon goes on,
// says so, and reports what was written once the disk works again.
func TestDaemonOutlivesAFullDisk(t *testing.T) {
	ctx, halt := context.WithCancel(context.Background())
	defer halt()
	d := &Daemon{log: logr.Discard(), ctx: ctx, halt: halt}
	d.ctl = &control{inbox: make(chan func(time.Time), 4), done: make(chan struct{})}
	d.synced(0, syscall.ENOSPC)
	assert.NilError(t, ctx.Err(), "the daemon has ended")
	assert.Assert(t, d.diskFailed.Load())
	assert.Equal(t, len(d.ctl.inbox), 0)
	d.synced(7, nil)
	assert.Assert(t, !d.diskFailed.Load())
	assert.Equal(t, len(d.ctl.inbox), 1)
}
