package load

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/transport/client"
)

// maxAttempts is how many addresses are tried for one request.
const maxAttempts = 3

// Run sends the planned requests and returns what came of them.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	pool := client.New()
	defer pool.Close()
	g := &generator{
		opts: o, caller: caller.NewClient(pool), kept: make(map[place]caller.Directory), summary: newSummary(),
	}
	g.run(ctx)
	return g.summary, nil
}

// place is what an answer about addresses holds for.
type place struct {
	adapter ident.Adapter
	class   ident.Class
}

type generator struct {
	opts   Options
	caller *caller.Client

	mu sync.Mutex
	// kept holds answers about addresses until they expire.
	kept    map[place]caller.Directory
	summary *Summary
}

func (g *generator) run(ctx context.Context) {
	start := time.Now()
	end := g.opts.EndAt(start)
	type due struct {
		request
		at time.Time
	}
	queue := make(chan due)
	var workers sync.WaitGroup
	for range g.opts.Workers {
		workers.Go(func() {
			for d := range queue {
				g.send(ctx, d.request, d.at)
			}
		})
	}
	for i, r := range g.opts.plan() {
		at := g.opts.DueAt(start, i)
		if at.After(end) || !waitUntil(ctx, at) {
			break
		}
		queue <- due{r, at}
	}
	close(queue)
	workers.Wait()
	g.summary.finish(start, time.Now())
}

func waitUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// send makes one request and records what came of it.
func (g *generator) send(ctx context.Context, r request, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, g.opts.GiveUpAt(due))
	defer cancel()
	var err error
	for attempt := range maxAttempts {
		addr := g.address(ctx, r, attempt)
		var first time.Time
		first, err = g.try(ctx, addr, r)
		if err == nil {
			g.record(r, outcome{first: first.Sub(due), whole: time.Since(due)})
			return
		}
		info := result.Lookup(result.CodeOf(err))
		if !info.NotRun || !info.Retry || ctx.Err() != nil {
			break
		}
	}
	g.record(r, outcome{err: err})
}

// address returns one of the addresses for r, the next one for each attempt.
func (g *generator) address(ctx context.Context, r request, attempt int) string {
	p := place{r.adapter, r.class}
	g.mu.Lock()
	d, ok := g.kept[p]
	g.mu.Unlock()
	if !ok || time.Now().After(d.ExpiresAt) {
		d = g.ask(ctx, p)
	}
	if len(d.Addresses) == 0 {
		return g.opts.Daemons[attempt%len(g.opts.Daemons)]
	}
	return d.Addresses[attempt%len(d.Addresses)]
}

func (g *generator) ask(ctx context.Context, p place) caller.Directory {
	for _, addr := range g.opts.Daemons {
		d, err := g.caller.Addresses(ctx, addr, caller.DirectoryQuery{Adapter: p.adapter, Class: p.class})
		if err != nil {
			continue
		}
		g.mu.Lock()
		g.kept[p] = d
		g.mu.Unlock()
		return d
	}
	return caller.Directory{}
}

// try sends r to one address and returns when the first piece arrived.
func (g *generator) try(ctx context.Context, addr string, r request) (time.Time, error) {
	x := caller.InferRequest{Adapter: r.adapter, Prompt: r.prompt, MaxTokens: g.opts.MaxTokens, Stream: true}
	x.Class = r.class
	if t, ok := ctx.Deadline(); ok {
		x.Deadline = t
	}
	a, err := g.caller.Infer(ctx, addr, x)
	if err != nil {
		return time.Time{}, err
	}
	defer a.Close()
	var first time.Time
	var text strings.Builder
	for {
		piece, err := a.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return first, err
		}
		if first.IsZero() {
			first = time.Now()
		}
		text.WriteString(piece)
	}
	if g.opts.Verify == nil {
		return first, nil
	}
	if err := g.opts.Verify(r.adapter, r.prompt, text.String()); err != nil {
		return first, errors.Join(errWrong, err)
	}
	return first, nil
}

func (g *generator) record(r request, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.add(r.class, o)
}
