package daemon

import (
	"context"
	"sync"
	"time"

	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/result"
)

const (
	// routesConfirmedFor is how recent the confirmation of the routing document must
	// be for a request to be denied by it.
	routesConfirmedFor = witness.FreshFor
	// confirmPause is how long after a failed read the next one begins at the earliest.
	confirmPause = 500 * time.Millisecond
)

// routesReader makes linearizable reads for requests that no known route matches.
// Requests that come during a read share it.
type routesReader struct {
	mu sync.Mutex
	// done is closed when the current read ends; nil while there is none.
	done chan struct{}
	// err is the result of the last read, and failedUntil until when it holds for
	// further requests if it has failed.
	err         error
	failedUntil time.Time
}

// confirmRoutes returns an error unless the routing document in force was the newest
// at some time within the last routesConfirmedFor. It reads the log if that is not
// known.
func (p *Platform) confirmRoutes(ctx context.Context) error {
	if at := p.confirmedAt.Load(); at != nil && age(p.d.clock(), *at) < routesConfirmedFor {
		return nil
	}
	p.reader.mu.Lock()
	if p.d.clock().Before(p.reader.failedUntil) {
		defer p.reader.mu.Unlock()
		return p.reader.err
	}
	if p.reader.done == nil {
		p.reader.done = make(chan struct{})
		go p.readRoutes(p.reader.done)
	}
	done := p.reader.done
	p.reader.mu.Unlock()
	select {
	case <-done:
		p.reader.mu.Lock()
		defer p.reader.mu.Unlock()
		return p.reader.err
	case <-ctx.Done():
		return result.New(result.NotFresh, "the routing document was not confirmed in time: %w", ctx.Err())
	}
}

// age returns how long ago a time was, by the clock that shows more: while a VM is
// suspended the monotonic one stands still.
func age(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// readRoutes waits until everything that was committed before is in force here.
func (p *Platform) readRoutes(done chan struct{}) {
	ctx, cancel := context.WithTimeout(p.d.ctx, operatorReadTimeout)
	defer cancel()
	_, err := p.d.catchUp(ctx)
	p.reader.mu.Lock()
	defer p.reader.mu.Unlock()
	p.reader.err, p.reader.done = nil, nil
	if err != nil {
		p.reader.err = result.New(result.NotFresh, "the routing document may be out of date: %w", err)
		p.reader.failedUntil = p.d.clock().Add(confirmPause)
	}
	close(done)
}
