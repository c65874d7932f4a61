package daemon

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// TestDaemonOutlivesAFullDisk guards against a daemon that exits when the disk
// is full. It must keep running, acknowledge nothing while writes fail, and
// report the next batch as durable once they succeed again.
func TestDaemonOutlivesAFullDisk(t *testing.T) {
	ctx, halt := context.WithCancel(context.Background())
	defer halt()
	d := &Daemon{log: logr.Discard(), ctx: ctx, halt: halt}
	d.ctl = &control{clock: time.Now, logInbox: make(chan posted, 4), done: make(chan struct{})}
	d.synced(0, syscall.ENOSPC)
	assert.NilError(t, ctx.Err(), "the daemon has stopped")
	assert.Assert(t, d.diskFailed.Load())
	assert.Equal(t, len(d.ctl.logInbox), 0)
	d.synced(7, nil)
	assert.Assert(t, !d.diskFailed.Load())
	assert.Equal(t, len(d.ctl.logInbox), 1)
}
