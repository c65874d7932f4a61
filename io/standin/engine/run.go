package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
)

// resumeWindow is how long a run continues without a reader, and how long a
// finished run can still be resumed.
const resumeWindow = 3 * time.Second

// run is a request that the engine works on or has finished.
type run struct {
	request upstream.GenerateRequest
	// chunks is the number of chunks of the complete answer.
	chunks int
	// ctx ends when the run is cancelled.
	ctx  context.Context
	stop context.CancelFunc
	// started is closed when the run joins the batch.
	started chan struct{}
	// changed is closed when produced grows or the run ends; it is replaced
	// when produced grows.
	changed chan struct{}
	// produced is the number of chunks generated so far.
	produced int
	// ended is true once no more chunks will be generated.
	ended bool
	// readers counts the streams that read the chunks of the run.
	readers int
}

func (e *Engine) generate(_ context.Context, g upstream.GenerateRequest) (upstream.RunFunc, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(g.Fence, g.Incarnation); err != nil {
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
		request: g, chunks: min(e.opts.MaxChunks, g.MaxTokens), ctx: ctx, stop: stop,
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

// enqueue adds r to the batch or, if that is full, to the waiting runs, which
// are ordered by priority and then by arrival.
func (e *Engine) enqueue(r *run) {
	if e.running < e.opts.Self.MaxBatch {
		e.running++
		close(r.started)
		return
	}
	i, _ := slices.BinarySearchFunc(e.waiting, r, func(x, r *run) int {
		if x.request.Priority >= r.request.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, i, r)
}

// produce generates the chunks of one run.
func (e *Engine) produce(r *run) {
	select {
	case <-r.started:
	case <-r.ctx.Done():
	}
	if w := e.opts.CrashWord; w != "" && r.ctx.Err() == nil && strings.Contains(r.request.Prompt.Text(), w) {
		e.opts.Crash()
	}
	for i := 0; i < r.chunks && r.ctx.Err() == nil; i++ {
		sleepUntil(r.ctx, e.opts.NextChunkAt(time.Now()))
		if r.ctx.Err() == nil {
			e.addChunk(r)
		}
	}
	e.finish(r)
}

// addChunk makes one more chunk available to the readers of r.
func (e *Engine) addChunk(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.produced++
	close(r.changed)
	r.changed = make(chan struct{})
}

// finish ends r, records it and lets the next waiting run join the batch.
func (e *Engine) finish(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	close(r.changed)
	if s := e.slots[r.request.Adapter]; s != nil {
		s.inFlight--
	}
	e.leaveBatch(r)
	if len(e.records) >= maxRecords {
		e.records = e.records[1:]
	}
	record := Record{
		Request: r.request.Request, Adapter: r.request.Adapter, Digest: r.request.Prompt.Digest(),
		Chunks: r.produced, Complete: r.produced == r.chunks,
	}
	e.records = append(e.records, record)
	e.opts.Log.Info("ran", "request", record.Request, "adapter", adapterName(record.Adapter), "digest", record.Digest, "pieces", record.Chunks, "whole", record.Complete)
	time.AfterFunc(resumeWindow, func() { e.forget(r) })
}

// leaveBatch removes r from the waiting runs, or hands its place in the batch to
// the first of them.
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
	if e.runs[r.request.Request] == r {
		delete(e.runs, r.request.Request)
	}
}

func (e *Engine) resume(_ context.Context, x upstream.ResumeRequest) (upstream.RunFunc, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(x.Fence, x.Incarnation); err != nil {
		return nil, err
	}
	r := e.runs[x.Request]
	if !e.opts.Self.Resumes || r == nil || r.request.Adapter != x.Adapter || x.Offset > r.produced {
		return nil, result.New(result.NotFound, "request %s cannot be resumed at offset %d", x.Request, x.Offset)
	}
	return e.reader(r, x.Offset), nil
}

func (e *Engine) cancel(_ context.Context, c upstream.CancelRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Incarnation != e.opts.Self.Incarnation {
		return result.New(result.Restarted, "addressed to another incarnation, this is incarnation %d", e.opts.Self.Incarnation)
	}
	if r := e.runs[c.Request]; r != nil {
		r.stop()
	}
	return nil
}

// reader returns a function that streams the chunks of r from an offset on. The
// caller must hold e.mu.
func (e *Engine) reader(r *run, offset int) upstream.RunFunc {
	r.readers++
	return func(ctx context.Context, emit func(upstream.Line) error) error {
		defer e.readerLeft(r)
		for {
			produced, ended, changed := e.progress(r)
			for ; offset < produced; offset++ {
				if err := emit(e.line(r, offset, false)); err != nil {
					return err
				}
			}
			if ended {
				return e.sendLast(r, produced, emit)
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
	}
}

func (e *Engine) progress(r *run) (produced int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.produced, r.ended, r.changed
}

// sendLast ends a stream of r, with an error if r did not generate all chunks.
func (e *Engine) sendLast(r *run, produced int, emit func(upstream.Line) error) error {
	if produced < r.chunks {
		return result.New(result.StreamCut, "the request was cancelled")
	}
	return emit(e.line(r, produced, true))
}

func (e *Engine) line(r *run, offset int, done bool) upstream.Line {
	line := upstream.Line{
		Request: r.request.Request, Adapter: r.request.Adapter, Incarnation: e.opts.Self.Incarnation, Offset: offset, Done: done,
	}
	if !done {
		line.Text = Chunk(r.request.Adapter, r.request.Prompt, offset)
	}
	return line
}

// readerLeft stops a run that has no readers any more: at once, or after
// resumeWindow if the stream can be resumed.
func (e *Engine) readerLeft(r *run) {
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
	time.AfterFunc(resumeWindow, func() { e.stopUnread(r) })
}

func (e *Engine) stopUnread(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers == 0 {
		r.stop()
	}
}
