package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"papayaspoke/io/transport/memory"
)

// smallResponse is how many bytes of a response aren't counted.
const smallResponse = 16 << 10

// Hold states how many bytes of the response are kept in memory. It fails with
// [memory.ErrFull] if that is too much beside all other responses. Closing the body
// releases them.
func (a *Answer) Hold(size int) error {
	if size <= smallResponse {
		size = 0
	}
	return a.body.hold.Resize(size)
}

// minReadBuffer is the initial size of the buffer for a body.
const minReadBuffer = 1 << 10

// ReadAll returns the complete body. It fails if the body is larger than limit bytes,
// takes too much memory beside all other responses, or ends early.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	buf := make([]byte, 0, min(minReadBuffer, limit+1))
	for {
		n, err := a.body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > limit:
			return nil, fmt.Errorf("body is larger than %d bytes", limit)
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return nil, fmt.Errorf("read body: %w", err)
		case len(buf) < cap(buf):
			continue
		}
		size := min(2*cap(buf), limit+1)
		// Both buffers are held while one is copied.
		if err := a.Hold(cap(buf) + size); err != nil {
			return nil, err
		}
		buf = append(make([]byte, 0, size), buf...)
		if err := a.Hold(size); err != nil {
			return nil, err
		}
	}
}

// watchdog cancels an exchange at a deadline that can be moved.
type watchdog struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	timer  *time.Timer
}

func (w *watchdog) setDeadline(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(time.Until(deadline), func() { w.cancel(errUnresponsive) })
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// body is the body of a response.
type body struct {
	inner        io.ReadCloser
	watchdog     *watchdog
	cancel       context.CancelCauseFunc
	ctx          context.Context
	idleDeadline func(now time.Time) time.Time
	hold         *memory.Hold
}

func (b *body) Read(p []byte) (int, error) {
	if b.idleDeadline != nil {
		b.watchdog.setDeadline(b.idleDeadline(time.Now()))
		defer b.watchdog.stop()
	}
	n, err := b.inner.Read(p)
	if err != nil && err != io.EOF {
		if b.hold.Lost() {
			return n, memory.ErrFull
		}
		if cause := context.Cause(b.ctx); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
	}
	return n, err
}

func (b *body) Close() error {
	b.watchdog.stop()
	b.hold.Release()
	b.cancel(nil)
	return b.inner.Close()
}

// IsUnresponsive reports whether err means that no data arrived on a connection in
// time.
func IsUnresponsive(err error) bool { return errors.Is(err, errUnresponsive) }
