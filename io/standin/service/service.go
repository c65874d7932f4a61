// Package service is a stand-in for a plain service, such as a booking desk.
// It carries out every call that reaches it, counts the runs of each key and
// body, and can crash between running a call and answering it.
package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"papayaspoke/core/ident"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// RunsPath is where the counts are read.
const RunsPath = "/runs"

// Options are the settings of a stand-in service.
type Options struct {
	// Self is announced to daemons; [Start] fills in the address.
	Self upstream.Announcement
	// Daemons are the addresses to announce to; none if empty.
	Daemons []string
	// AnsweredAt returns when a call that arrives at now is answered.
	AnsweredAt func(now time.Time) time.Time
	// CrashWord makes a body that contains it crash the service after the
	// run and before the answer; none if empty.
	CrashWord string
	// Crash ends the process.
	Crash func()
	// Log tells what was run.
	Log logr.Logger
}

// Service is a running stand-in.
type Service struct {
	opts   Options
	server *server.Server
	client *client.Client
	stop   context.CancelFunc
	gone   sync.WaitGroup

	mu sync.Mutex
	// byKey and byBody count runs.
	byKey  map[ident.Key]int
	byBody map[uint64]int
	total  int
}

// Runs is what a service has run.
type Runs struct {
	// Total counts the calls.
	Total int `json:"total"`
	// ByKey counts the calls with each Idempotency-Key.
	ByKey map[ident.Key]int `json:"by_key"`
	// ByBody counts the calls with each body, by its digest.
	ByBody map[uint64]int `json:"by_body"`
}

type reply struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Run     int    `json:"run"`
	Body    string `json:"body,omitempty"`
}

// Start listens on addr, announces the service and serves until
// [Service.Stop].
func Start(addr string, opts Options) (*Service, error) {
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	if opts.Self.Incarnation == 0 {
		opts.Self.Incarnation = ident.Incarnation(time.Now().UnixNano())
	}
	opts.Self.Kind = upstream.ServiceKind
	opts.Self.MaxBatch = max(1, opts.Self.MaxBatch)
	s := &Service{opts: opts, client: client.New(), byKey: make(map[ident.Key]int), byBody: make(map[uint64]int)}
	l, err := server.Listen(addr, s, server.Options{Log: opts.Log, Refuse: wire.Refuse})
	if err != nil {
		return nil, err
	}
	s.server = l
	s.opts.Self.Address = l.Addr()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	if len(opts.Daemons) > 0 {
		a := upstream.NewAnnouncer(upstream.NewClient(s.client), s.opts.Self, opts.Daemons, s.report)
		s.gone.Go(func() { a.Run(ctx) })
	}
	return s, nil
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.server.Addr() }

// Self returns what the service announces.
func (s *Service) Self() upstream.Announcement { return s.opts.Self }

// Stop leaves, finishes what is in flight and closes.
func (s *Service) Stop(ctx context.Context) error {
	s.stop()
	s.gone.Wait()
	err := s.server.Shutdown(ctx)
	s.client.Close()
	return err
}

// Kill closes everything at once, as a crash would.
func (s *Service) Kill() {
	s.stop()
	s.server.Close()
	s.client.Close()
}

// Runs returns what was run.
func (s *Service) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Runs{Total: s.total, ByKey: make(map[ident.Key]int), ByBody: make(map[uint64]int)}
	for k, n := range s.byKey {
		r.ByKey[k] = n
	}
	for d, n := range s.byBody {
		r.ByBody[d] = n
	}
	return r
}

func (s *Service) report(now time.Time) upstream.Report {
	return upstream.Report{
		Name: s.opts.Self.Name, Incarnation: s.opts.Self.Incarnation, MadeAt: now, Running: s.server.InFlight(),
	}
}

// ServeHTTP runs one call, or tells what was run.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == RunsPath {
		writeJSON(w, s.Runs())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := ident.Key(r.Header.Get("Idempotency-Key"))
	run := s.run(key, body)
	s.opts.Log.Info("ran", "method", r.Method, "path", r.URL.Path, "key", key, "run", run)
	if s.opts.CrashWord != "" && strings.Contains(string(body), s.opts.CrashWord) {
		s.opts.Crash()
	}
	if s.opts.AnsweredAt != nil {
		time.Sleep(time.Until(s.opts.AnsweredAt(time.Now())))
	}
	writeJSON(w, reply{string(s.opts.Self.Service), r.Method, r.URL.Path, string(key), run, string(body)})
}

// run counts one run and returns how many there were with the same key, or
// with the same body if there is no key.
func (s *Service) run(key ident.Key, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := xxhash.Sum64(body)
	s.total++
	s.byBody[d]++
	if key == "" {
		return s.byBody[d]
	}
	s.byKey[key]++
	return s.byKey[key]
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
