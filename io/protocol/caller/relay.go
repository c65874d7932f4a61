package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// aliveEvery is the time between two signs of life while a daemon waits for
// an answer.
const aliveEvery = 1500 * time.Millisecond

// relay answers a daemon that passed a request on. The head goes out at once
// and signs of life follow, so that the other daemon can tell a request that
// waits from a connection that is silent. Errors are events, too. The deadline
// is left to the other daemon, which closes the connection to give up.
func (h *Handler) relay(ctx context.Context, w http.ResponseWriter, x InferRequest) {
	e := newEvents(w, x)
	stop := keepAlive(e, h.NextKeepAlive)
	defer stop()
	e.alive()
	a, err := h.Infer(ctx, x)
	if err != nil {
		e.failed(numbered(err))
		return
	}
	defer a.Close()
	if !e.origin(a) {
		return
	}
	for {
		text, err := a.Next()
		switch {
		case err == io.EOF:
			e.done(a)
			return
		case err != nil:
			e.failed(numbered(err))
			return
		case !e.piece(a, text):
			return
		}
	}
}

// keepAlive sends signs of life until the function that it returns is called.
func keepAlive(e *events, next func(now time.Time) time.Time) (stop func()) {
	if next == nil {
		next = func(now time.Time) time.Time { return now.Add(aliveEvery) }
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			timer := time.NewTimer(time.Until(next(time.Now())))
			select {
			case <-done:
				timer.Stop()
				return
			case <-timer.C:
				e.alive()
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}
