package engine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// maxRecords is how many finished runs are remembered.
const maxRecords = 10_000

// Engine is a running stand-in.
type Engine struct {
	opts   Options
	server *server.Server
	client *client.Client
	stop   context.CancelFunc
	gone   sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// fence is the largest fencing number seen.
	fence ident.Fence
	// slots holds the adapters that are resident or being loaded; its size
	// never exceeds the number of slots.
	slots map[ident.Adapter]*slot
	// runs holds the requests that are not finished or may be resumed.
	runs map[ident.Request]*run
	// running counts the runs in the batch, at most the largest batch.
	running int
	// waiting holds the runs that wait for the batch, best first.
	waiting []*run
	// acks holds the answers to orders that were carried out, by id.
	acks map[string]upstream.Ack
	// records holds what was run, oldest first.
	records []Record
	// reports holds the reports that may not be sent yet, oldest first.
	reports []upstream.Report
}

// slot is the place of one adapter.
type slot struct {
	// ready is false while the adapter is in transit.
	ready bool
	// inFlight is the number of requests that use it, never negative.
	inFlight int
}

// Record tells of one request that was run.
type Record struct {
	// Request is its id.
	Request ident.Request
	// Adapter is the adapter that it ran on.
	Adapter ident.Adapter
	// Digest is that of the prompt.
	Digest uint64
	// Pieces is how many were made.
	Pieces int
	// Complete is true if all of them were made.
	Complete bool
}

// Start listens on addr, announces the engine and serves until [Engine.Stop].
func Start(addr string, opts Options) (*Engine, error) {
	e := &Engine{
		opts: opts.withDefaults(), client: client.New(),
		slots: make(map[ident.Adapter]*slot), runs: make(map[ident.Request]*run), acks: make(map[string]upstream.Ack),
	}
	e.rng = rand.New(rand.NewPCG(e.opts.Seed, 1))
	if e.opts.Self.Incarnation == 0 {
		e.opts.Self.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	s, err := server.Listen(addr, e.Handler(), server.Options{Log: e.opts.Log, Refuse: wire.Refuse})
	if err != nil {
		return nil, err
	}
	e.server = s
	e.opts.Self.Address = s.Addr()
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	if len(e.opts.Daemons) > 0 {
		a := upstream.NewAnnouncer(upstream.NewClient(e.client), e.opts.Self, e.opts.Daemons, e.report)
		e.gone.Go(func() { a.Run(ctx) })
	}
	return e, nil
}

// Handler serves orders and requests.
func (e *Engine) Handler() http.Handler {
	orders := &upstream.Engine{
		Load: e.load, Unload: e.unload, SetRole: e.setRole,
		Generate: e.generate, Resume: e.resume, Cancel: e.cancel,
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && r.URL.Path == "/runs" {
			e.writeRecords(w)
			return
		}
		orders.ServeHTTP(w, r)
	})
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.server.Addr() }

// Self returns what the engine announces.
func (e *Engine) Self() upstream.Announcement { return e.opts.Self }

// Stop leaves: it says so to the daemons, finishes what is in flight and
// closes. When ctx ends first, the rest is cut.
func (e *Engine) Stop(ctx context.Context) error {
	e.stop()
	e.gone.Wait()
	err := e.server.Shutdown(ctx)
	e.client.Close()
	return err
}

// Kill closes everything at once, as a crash would.
func (e *Engine) Kill() {
	e.stop()
	e.server.Close()
	e.client.Close()
}

// Records returns what was run.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Record(nil), e.records...)
}

// Residents returns the adapters that can serve and how many requests use
// each.
func (e *Engine) Residents() map[ident.Adapter]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := make(map[ident.Adapter]int)
	for a, s := range e.slots {
		if s.ready {
			m[a] = s.inFlight
		}
	}
	return m
}

type recordBody struct {
	Request string `json:"request"`
	Adapter string `json:"adapter"`
	Digest  uint64 `json:"digest"`
	Pieces  int    `json:"pieces"`
	Whole   bool   `json:"whole"`
}

func (e *Engine) writeRecords(w http.ResponseWriter) {
	out := []recordBody{}
	for _, r := range e.Records() {
		out = append(out, recordBody{string(r.Request), name(r.Adapter), r.Digest, r.Pieces, r.Complete})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// report returns the newest report that may be sent, so that daemons see the
// engine as it was a while ago.
func (e *Engine) report(now time.Time) upstream.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, e.state(now))
	for len(e.reports) > 1 && !e.opts.ReportedAt(e.reports[1].MadeAt).After(now) {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

func (e *Engine) state(now time.Time) upstream.Report {
	r := upstream.Report{
		Name: e.opts.Self.Name, Incarnation: e.opts.Self.Incarnation, MadeAt: now,
		Running: e.running, Waiting: len(e.waiting),
	}
	if e.opts.Self.HonoursFence {
		r.Fence = e.fence
	}
	for a, s := range e.slots {
		if s.ready {
			r.Residents = append(r.Residents, upstream.Resident{Adapter: a, InFlight: s.inFlight})
		} else {
			r.Loading = append(r.Loading, a)
		}
	}
	return r
}

// admit checks an order's fencing number and incarnation. The lock is held.
func (e *Engine) admit(f ident.Fence, i ident.Incarnation) error {
	if i != e.opts.Self.Incarnation {
		return result.New(result.Restarted, "order is for incarnation %d, this is %d", i, e.opts.Self.Incarnation)
	}
	if e.opts.Self.HonoursFence && f < e.fence {
		return result.New(result.Deposed, "fencing number %d is older than %d", f, e.fence)
	}
	e.fence = max(e.fence, f)
	return nil
}
