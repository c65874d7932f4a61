package caller

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"papayaspoke/io/transport/server"
)

// keepAliveInterval is the interval of keepalive comments while a daemon waits
// for an answer.
const keepAliveInterval = 1500 * time.Millisecond

// relayInfer answers a daemon that forwarded a request. The response header is
// sent at once and keepalive comments follow, so that the other daemon can
// distinguish a waiting request from an unresponsive connection. Errors are
// sent as events, too. The deadline is enforced by the other daemon, which
// closes the connection to cancel.
func (h *Handler) relayInfer(ctx context.Context, w http.ResponseWriter, x InferRequest) {
	e := newEventWriter(w, x)
	stop := keepAlive(e, h.NextKeepAlive)
	defer stop()
	e.writeKeepAlive()
	a, err := h.Infer(ctx, x)
	if err != nil {
		e.writeError(withResultCode(err))
		return
	}
	defer a.Close()
	if !e.writeOrigin(a) {
		return
	}
	for {
		text, err := a.Next()
		switch {
		case err == io.EOF:
			e.writeDone(a)
			return
		case err != nil:
			e.writeError(withResultCode(err))
			return
		case !e.writeChunk(a, text) || server.AwaitRoom(ctx, w) != nil:
			return
		}
	}
}

// keepAlive sends keepalive comments until the returned function is called.
// next returns the time of the next comment; nil selects keepAliveInterval.
func keepAlive(e *eventWriter, next func(now time.Time) time.Time) (stop func()) {
	if next == nil {
		next = func(now time.Time) time.Time { return now.Add(keepAliveInterval) }
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
				e.writeKeepAlive()
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}
