package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
)

// resumable is how long a run goes on, and stays known, without a reader.
const resumable = 3 * time.Second

// run is one request in the engine.
type run struct {
	ask upstream.GenerateRequest
	// pieces is how many the whole answer has.
	pieces int
	// ctx ends when the run is cancelled.
	ctx  context.Context
	stop context.CancelFunc
	// started is closed when the run enters the batch or is cancelled.
	started chan struct{}
	// changed is closed and replaced whenever made grows or the run ends.
	changed chan struct{}
	// made is how many pieces exist; it never falls.
	made int
	// ended is true once no more pieces will be made.
	ended bool
	// readers counts the streams that read the run.
	readers int
}

func (e *Engine) generate(_ context.Context, g upstream.GenerateRequest) (upstream.RunFunc, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(g.Fence, g.Incarnation); err != nil {
		return nil, err
	}
	if g.Model != e.opts.Self.Model {
		return nil, result.New(result.UnknownModel, "%s is not served here", g.Model)
	}
	if s := e.slots[g.Adapter]; !g.Adapter.IsZero() && (s == nil || !s.ready) {
		return nil, result.New(result.NotResident, "%s", g.Adapter)
	}
	if old := e.runs[g.Request]; old != nil {
		old.stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{
		ask: g, pieces: min(e.opts.MaxChunks, g.MaxTokens), ctx: ctx, stop: stop,
		started: make(chan struct{}), changed: make(chan struct{}),
	}
	if s := e.slots[g.Adapter]; s != nil {
		s.inFlight++
	}
	e.runs[g.Request] = r
	e.enqueue(r)
	go e.produce(r)
	return e.reader(r, 0), nil
}

// enqueue lets r into the batch or makes it wait by priority, then arrival.
func (e *Engine) enqueue(r *run) {
	if e.running < e.opts.Self.MaxBatch {
		e.running++
		close(r.started)
		return
	}
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(x, r *run) int {
		if x.ask.Priority >= r.ask.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, r)
}

// produce makes the pieces of one run.
func (e *Engine) produce(r *run) {
	select {
	case <-r.started:
	case <-r.ctx.Done():
	}
	if w := e.opts.CrashWord; w != "" && r.ctx.Err() == nil && strings.Contains(r.ask.Prompt.Text(), w) {
		e.opts.Crash()
	}
	for i := 0; i < r.pieces && r.ctx.Err() == nil; i++ {
		sleepUntil(r.ctx, e.opts.NextChunkAt(time.Now()))
		if r.ctx.Err() == nil {
			e.grow(r)
		}
	}
	e.finish(r)
}

func (e *Engine) grow(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.made++
	close(r.changed)
	r.changed = make(chan struct{})
}

// finish takes r out of the batch and lets the next one in.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	close(r.changed)
	if s := e.slots[r.ask.Adapter]; s != nil {
		s.inFlight--
	}
	e.leaveBatch(r)
	if len(e.records) >= maxRecords {
		e.records = e.records[1:]
	}
	rec := Record{
		Request: r.ask.Request, Adapter: r.ask.Adapter, Digest: r.ask.Prompt.Digest(),
		Pieces: r.made, Complete: r.made == r.pieces,
	}
	e.records = append(e.records, rec)
	e.opts.Log.Info("ran", "request", rec.Request, "adapter", name(rec.Adapter), "digest", rec.Digest, "pieces", rec.Pieces, "whole", rec.Complete)
	time.AfterFunc(resumable, func() { e.forget(r) })
}

func (e *Engine) leaveBatch(r *run) {
	if i := slices.Index(e.waiting, r); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0].started)
	e.waiting = slices.Delete(e.waiting, 0, 1)
}

func (e *Engine) forget(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.ask.Request] == r {
		delete(e.runs, r.ask.Request)
	}
}

func (e *Engine) resume(_ context.Context, x upstream.ResumeRequest) (upstream.RunFunc, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admit(x.Fence, x.Incarnation); err != nil {
		return nil, err
	}
	r := e.runs[x.Request]
	if !e.opts.Self.Resumes || r == nil || r.ask.Adapter != x.Adapter || x.Offset > r.made {
		return nil, result.New(result.NotFound, "no stream %s at offset %d", x.Request, x.Offset)
	}
	return e.reader(r, x.Offset), nil
}

func (e *Engine) cancel(_ context.Context, c upstream.CancelRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Incarnation != e.opts.Self.Incarnation {
		return result.New(result.Restarted, "this is incarnation %d", e.opts.Self.Incarnation)
	}
	if r := e.runs[c.Request]; r != nil {
		r.stop()
	}
	return nil
}

// reader returns the function that streams r from an offset on. The lock is
// held.
func (e *Engine) reader(r *run, offset int) upstream.RunFunc {
	r.readers++
	return func(ctx context.Context, emit func(upstream.Line) error) error {
		defer e.left(r)
		for {
			made, ended, changed := e.progress(r)
			for ; offset < made; offset++ {
				if err := emit(e.line(r, offset, false)); err != nil {
					return err
				}
			}
			if ended {
				return e.last(r, made, emit)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
	}
}

func (e *Engine) progress(r *run) (made int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.made, r.ended, r.changed
}

func (e *Engine) last(r *run, made int, emit func(upstream.Line) error) error {
	if made < r.pieces {
		return result.New(result.StreamCut, "request was cancelled")
	}
	return emit(e.line(r, made, true))
}

func (e *Engine) line(r *run, offset int, done bool) upstream.Line {
	l := upstream.Line{
		Request: r.ask.Request, Adapter: r.ask.Adapter, Incarnation: e.opts.Self.Incarnation, Offset: offset, Done: done,
	}
	if !done {
		l.Text = Piece(r.ask.Adapter, r.ask.Prompt, offset)
	}
	return l
}

// left stops a run that nobody reads any more: at once, or after a while if
// the stream can be resumed.
func (e *Engine) left(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.readers > 0 || r.ended {
		return
	}
	if !e.opts.Self.Resumes {
		r.stop()
		return
	}
	time.AfterFunc(resumable, func() { e.stopUnread(r) })
}

func (e *Engine) stopUnread(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		r.stop()
	}
}
