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

// maxAttempts is the maximum number of attempts to send one request.
const maxAttempts = 3

// Run sends the planned requests and returns a summary of the results.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	pool := client.New()
	defer pool.Close()
	g := &generator{
		options: o, caller: caller.NewClient(pool), directories: make(map[directoryKey]caller.Directory), summary: newSummary(),
	}
	g.run(ctx)
	return g.summary, nil
}

// directoryKey is the query that a cached list of addresses answers.
type directoryKey struct {
	adapter ident.Adapter
	class   ident.Class
}

// generator sends the requests of one run.
type generator struct {
	options Options
	caller  *caller.Client

	mu sync.Mutex
	// directories caches lists of addresses; they are fetched again once
	// expired.
	directories map[directoryKey]caller.Directory
	summary     *Summary
}

func (g *generator) run(ctx context.Context) {
	start := time.Now()
	end := g.options.StopAt(start)
	type job struct {
		request
		due time.Time
	}
	queue := make(chan job)
	var workers sync.WaitGroup
	for range g.options.Workers {
		workers.Go(func() {
			for j := range queue {
				g.sendWithRetries(ctx, j.request, j.due)
			}
		})
	}
	for i, r := range g.options.plan() {
		due := g.options.DueAt(start, i)
		if due.After(end) || !waitUntil(ctx, due) {
			break
		}
		queue <- job{r, due}
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

// sendWithRetries sends one request and records its outcome. It retries only
// after an error that says that the request has not run and may be retried.
func (g *generator) sendWithRetries(ctx context.Context, r request, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, g.options.DeadlineAt(due))
	defer cancel()
	var err error
	for attempt := range maxAttempts {
		addr := g.address(ctx, r, attempt)
		var first time.Time
		first, err = g.sendTo(ctx, addr, r)
		if err == nil {
			g.record(r, outcome{firstChunk: first.Sub(due), total: time.Since(due)})
			return
		}
		info := result.Lookup(result.CodeOf(err))
		if !info.NotRun || !info.Retry || ctx.Err() != nil {
			break
		}
	}
	g.record(r, outcome{err: err})
}

// address returns an address for r, another one for each attempt. It falls back
// to the configured daemons if no addresses can be fetched.
func (g *generator) address(ctx context.Context, r request, attempt int) string {
	key := directoryKey{r.adapter, r.class}
	g.mu.Lock()
	d, ok := g.directories[key]
	g.mu.Unlock()
	if !ok || time.Now().After(d.ExpiresAt) {
		d = g.fetchAddresses(ctx, key)
	}
	if len(d.Addresses) == 0 {
		return g.options.Daemons[attempt%len(g.options.Daemons)]
	}
	return d.Addresses[attempt%len(d.Addresses)]
}

// fetchAddresses asks the configured daemons in turn and caches the first
// answer.
func (g *generator) fetchAddresses(ctx context.Context, key directoryKey) caller.Directory {
	for _, addr := range g.options.Daemons {
		d, err := g.caller.Addresses(ctx, addr, caller.DirectoryQuery{Adapter: key.adapter, Class: key.class})
		if err != nil {
			continue
		}
		g.mu.Lock()
		g.directories[key] = d
		g.mu.Unlock()
		return d
	}
	return caller.Directory{}
}

// sendTo sends r to one address, reads the whole answer, checks it and returns
// when its first chunk arrived.
func (g *generator) sendTo(ctx context.Context, addr string, r request) (time.Time, error) {
	x := caller.InferRequest{Adapter: r.adapter, Prompt: r.prompt, MaxTokens: g.options.MaxTokens, Stream: true}
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
		chunk, err := a.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return first, err
		}
		if first.IsZero() {
			first = time.Now()
		}
		text.WriteString(chunk)
	}
	if g.options.Verify == nil {
		return first, nil
	}
	if err := g.options.Verify(r.adapter, r.prompt, text.String()); err != nil {
		return first, errors.Join(errWrongAnswer, err)
	}
	return first, nil
}

func (g *generator) record(r request, o outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.add(r.class, o)
}
