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

// maxRecords is the maximum number of finished runs that are kept.
const maxRecords = 10_000

// Engine is a running stand-in engine.
type Engine struct {
	opts       Options
	server     *server.Server
	client     *client.Client
	stop       context.CancelFunc
	announcing sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// fence is the largest fencing number received.
	fence ident.Fence
	// slots holds the adapters that are resident or being loaded, at most
	// Self.Slots of them.
	slots map[ident.Adapter]*slot
	// runs holds the requests that have not finished or may still be resumed.
	runs map[ident.Request]*run
	// running counts the runs in the batch, at most Self.MaxBatch.
	running int
	// waiting holds the runs that wait to join the batch, by descending
	// priority, then by arrival.
	waiting []*run
	// acks holds the answers to orders that were carried out, by order id.
	acks map[string]upstream.Ack
	// records describes the finished runs, oldest first.
	records []Record
	// reports holds the report that is sent now, then newer ones that are held
	// back by the report lag, oldest first.
	reports []upstream.Report
}

// slot is an adapter slot that is in use.
type slot struct {
	// ready is false while the adapter is being loaded.
	ready bool
	// inFlight is the number of requests that use the adapter.
	inFlight int
}

// Record describes a request that has run.
type Record struct {
	// Request is the id of the request.
	Request ident.Request
	// Adapter is the adapter that the request ran on.
	Adapter ident.Adapter
	// Digest is the digest of the prompt.
	Digest uint64
	// Chunks is the number of chunks generated.
	Chunks int
	// Complete is true if all chunks were generated.
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
		a := upstream.NewAnnouncer(upstream.NewClient(e.client), e.opts.Self, e.opts.Daemons, e.visibleReport)
		e.announcing.Go(func() { a.Run(ctx) })
	}
	return e, nil
}

// Handler returns the HTTP handler for orders, requests and the list of runs.
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

// Stop tells the daemons that the engine leaves, finishes the requests in
// flight and closes. If ctx ends first, the remaining requests are cut off.
func (e *Engine) Stop(ctx context.Context) error {
	e.stop()
	e.announcing.Wait()
	err := e.server.Shutdown(ctx)
	e.client.Close()
	return err
}

// Kill closes all connections at once without an announcement, as a crash
// would.
func (e *Engine) Kill() {
	e.stop()
	e.server.Close()
	e.client.Close()
}

// Records returns the finished runs, oldest first.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Record(nil), e.records...)
}

// Residents returns the loaded adapters and the number of requests that use
// each of them.
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
	Request  string `json:"request"`
	Adapter  string `json:"adapter"`
	Digest   uint64 `json:"digest"`
	Chunks   int    `json:"pieces"`
	Complete bool   `json:"whole"`
}

func (e *Engine) writeRecords(w http.ResponseWriter) {
	out := []recordBody{}
	for _, r := range e.Records() {
		out = append(out, recordBody{string(r.Request), adapterName(r.Adapter), r.Digest, r.Chunks, r.Complete})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// visibleReport makes a report and returns the newest one that the report lag
// lets through, so that daemons see an outdated state of the engine.
func (e *Engine) visibleReport(now time.Time) upstream.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, e.currentReport(now))
	for len(e.reports) > 1 && !e.opts.ReportedAt(e.reports[1].MadeAt).After(now) {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}

func (e *Engine) currentReport(now time.Time) upstream.Report {
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

// checkOrder checks the fencing number and the incarnation that an order or a
// request carries, and records the fencing number. The caller must hold e.mu.
func (e *Engine) checkOrder(fence ident.Fence, incarnation ident.Incarnation) error {
	if incarnation != e.opts.Self.Incarnation {
		return result.New(result.Restarted, "addressed to incarnation %d, this is incarnation %d", incarnation, e.opts.Self.Incarnation)
	}
	if e.opts.Self.HonoursFence && fence < e.fence {
		return result.New(result.Deposed, "fencing number %d is lower than %d, the highest received", fence, e.fence)
	}
	e.fence = max(e.fence, fence)
	return nil
}
