package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

const (
	// tickInterval is how often the coordination packages learn the time.
	tickInterval = 25 * time.Millisecond
	// inboxSize is how many events may wait for the control loop.
	inboxSize = 4096
)

// control is the control loop. Its fields belong to its goroutine, but for
// those that say otherwise.
type control struct {
	self  ident.Daemon
	inc   ident.Incarnation
	log   logr.Logger
	clock func() time.Time

	// inbox and done may be used by any goroutine.
	inbox chan func(now time.Time)
	done  chan struct{}

	state *state.State
	// voter is nil on a daemon without a data folder.
	voter   *voter
	witness *witness.Witness
	// proposals are those that this daemon made as the leader.
	proposals proposals
	// replies holds who waits for the answer to a witness request, by token.
	replies map[uint64]chan<- witness.Response
	tokens  uint64
	// leader is the last known leader, empty if none is known.
	leader ident.Daemon
	// witnesses is the set as of the last applied entry.
	witnesses witness.Witnesses
	// term is that of the last applied entry.
	term uint64
	// dirty is true if the view has to be published anew.
	dirty bool

	// send carries out an exchange with another daemon on another goroutine.
	send sender
	// publish swaps the view that traffic goroutines read.
	publish func(c *control)
	// supersede ends the process: another one has its name.
	supersede func()
}

// sender is how the control loop reaches other daemons. The functions return
// at once.
type sender struct {
	consensus func(m consensus.Message)
	witness   func(to ident.Daemon, r witness.Request)
}

// post hands f to the control loop. It returns false if the loop has ended.
func (c *control) post(f func(now time.Time)) bool {
	select {
	case c.inbox <- f:
		return true
	case <-c.done:
		return false
	}
}

// call runs f on the control loop and waits for it, or for the context.
func (c *control) call(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	if !c.post(func(now time.Time) { f(now); close(ran) }) {
		return context.Canceled
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return context.Canceled
	}
}

// run is the control loop. It ends with the context.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			f(c.clock())
			c.drain()
		case <-ticker.C:
			c.tick(c.clock())
		}
		if c.dirty {
			c.dirty = false
			c.publish(c)
		}
	}
}

// drain runs what else is in the inbox, so that one view is published for
// all of it.
func (c *control) drain() {
	for range len(c.inbox) {
		select {
		case f := <-c.inbox:
			f(c.clock())
		default:
			return
		}
	}
}
