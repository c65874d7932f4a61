package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// The headers of the test's dialect.
const (
	idHeader    = "Test-Id"
	leftHeader  = "Test-Left"
	notRun      = "Test-Not-Run"
	lastHeader  = "Test-Last"
	fromHeader  = "Test-From"
	nameHeader  = "Test-Replica"
	wantVersion = "Test-Version"
)

var dialect = Dialect{
	Prepare: func(h http.Header, s Send) {
		h.Set(nameHeader, string(s.Replica))
		h.Set(leftHeader, strconv.FormatInt(s.Left.Milliseconds(), 10))
		if s.LastEvent != "" {
			h.Set(lastHeader, s.LastEvent)
		}
		if s.Version > 0 {
			h.Set(wantVersion, strconv.FormatUint(s.Version, 10))
		}
	},
	Read: func(status int, h http.Header) Head {
		return Head{
			ID: h.Get(idHeader), NotRun: h.Get(notRun) != "" || status == http.StatusMisdirectedRequest,
			Absent: status == http.StatusMisdirectedRequest, Replica: ident.Upstream(h.Get(fromHeader)),
		}
	},
	Refuse: func(w http.ResponseWriter, err *result.Error, _ time.Time) {
		w.Header().Set("Test-Code", strconv.Itoa(int(err.Code())))
		w.WriteHeader(result.Lookup(err.Code()).HTTP)
	},
}

// replica is a stand-in whose answers are scripted byte by byte.
type replica struct {
	name ident.Upstream
	addr string
	// answer writes the answer to the nth request, and returns false if the
	// connection is to be closed.
	answer func(w io.Writer, r *http.Request, n int) bool

	mu       sync.Mutex
	requests []*http.Request
	// gone counts connections that the other end closed.
	gone int
}

func newReplica(t *testing.T, name ident.Upstream, answer func(w io.Writer, r *http.Request, n int) bool) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x := &replica{name: name, addr: l.Addr().String(), answer: answer}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return x
}

func (x *replica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			x.mu.Lock()
			x.gone++
			x.mu.Unlock()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		x.mu.Lock()
		x.requests = append(x.requests, r)
		n := len(x.requests)
		x.mu.Unlock()
		if !x.answer(c, r, n) {
			return
		}
	}
}

func (x *replica) asked() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.requests)
}

func (x *replica) request(i int) *http.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.requests[i]
}

// say writes a whole answer to r.
func say(w io.Writer, r *http.Request, status int, extra, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, r.Header.Get(idHeader), extra, len(body), body)
}

// streamHead begins a stream of events.
func streamHead(w io.Writer, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, r.Header.Get(idHeader))
}

func chunk(w io.Writer, s string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

func event(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

// setup is a gateway with four routes to one service.
type setup struct {
	*Gateway
	front *server.Server
}

func newSetup(t *testing.T, allowance balance.RetryBudget, engine *routes.Engine, rs ...*replica) *setup {
	t.Helper()
	return newSetupOf(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 2}, allowance, engine, rs...)
}

// newSetupOf is newSetup with the limits of a route for all four.
func newSetupOf(t *testing.T, limits routes.Route, allowance balance.RetryBudget, engine *routes.Engine, rs ...*replica) *setup {
	t.Helper()
	route := func(name string, kind routes.Kind, resumable bool) routes.Route {
		r := limits
		r.Name, r.Host, r.Prefix, r.Kind, r.Resumable = name, "h", "/"+name+"/", kind, resumable
		r.Shares = []routes.Share{{Service: "s", Weight: 1}}
		return r
	}
	table, err := routes.New(1, []routes.Route{
		route("safe", routes.Idempotent, false), route("once", routes.AtMostOnce, false),
		route("stream", routes.Stream, false), route("resume", routes.Stream, true),
	}, []routes.Service{{Name: "s", Engine: engine}}, routes.Limits{})
	assert.NilError(t, err)
	g := New(Config{
		DataCentre: "here", Client: client.NewForReplicas(netip.Addr{}), Dialect: dialect, Log: logr.Discard(),
		RetryAllowance: allowance, Clock: time.Now, Observe: func(Observation) {},
		ReservePrefill: func(context.Context, balance.Replica, pace.Prompt) (pace.Reservation, bool) {
			return pace.Reservation{}, false
		},
		RequestAdmission: func(context.Context, balance.Replica, pace.AdmissionRequest) (pace.Reservation, bool) {
			return pace.Reservation{}, false
		},
		Probe: func(context.Context, balance.Replica) bool { return false },
	})
	g.SetTable(table)
	var all []balance.Replica
	for _, r := range rs {
		all = append(all, balance.Replica{Name: r.name, Incarnation: 1, Service: "s", Address: r.addr, DataCentre: "here", Slots: 4})
	}
	g.SetReplicas(all, 1)
	front, err := server.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		g.Serve(r.Context(), w, Request{
			ID: r.Header.Get(idHeader), Method: r.Method, Host: "h", Target: r.RequestURI, Path: r.URL.Path,
			Header: r.Header.Clone(), Body: body, Arrival: time.Now(), LastEvent: r.Header.Get(lastHeader),
			Tokens:  tokensOf(r),
			Weights: placement.Weights{Model: ident.Model(r.Header.Get("Test-Model")), Adapter: r.Header.Get("Test-Adapter")},
		})
	}), server.Options{})
	assert.NilError(t, err)
	t.Cleanup(front.Close)
	return &setup{Gateway: g, front: front}
}

func tokensOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Test-Tokens"))
	return n
}

// plenty allows any number of repeats.
var plenty = balance.RetryBudget{Window: time.Second, Extra: 1000}

// ask sends one request to a route and returns the answer; body is what came
// of it, and cut is true if it did not end well.
func (s *setup) ask(t *testing.T, method, path string, header ...string) (resp *http.Response, body string, cut bool) {
	t.Helper()
	var in io.Reader
	if method == http.MethodPost {
		in = strings.NewReader("the body")
	}
	req, err := http.NewRequest(method, "http://"+s.front.Addr()+path, in)
	assert.NilError(t, err)
	req.Header.Set(idHeader, "r1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err = http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, "", true
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp, string(b), err != nil
}

func fine(w io.Writer, r *http.Request, _ int) bool {
	say(w, r, 200, "Made-By: replica\r\n", "answer to "+r.Method+" "+r.RequestURI)
	return true
}

func TestPassesRequestsUnchanged(t *testing.T) {
	x := newReplica(t, "x", fine)
	s := newSetup(t, plenty, nil, x)
	resp, body, cut := s.ask(t, http.MethodPost, "/once/a%2fb//c?q=1&q=%20", "Some-Header", "kept")
	assert.Assert(t, !cut)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("Made-By"), "replica")
	assert.Equal(t, body, "answer to POST /once/a%2fb//c?q=1&q=%20")
	r := x.request(0)
	assert.Equal(t, r.Header.Get("Some-Header"), "kept")
	assert.Equal(t, r.Host, "h")
	assert.Equal(t, r.Header.Get(nameHeader), "x")
	left, err := strconv.Atoi(r.Header.Get(leftHeader))
	assert.NilError(t, err)
	assert.Assert(t, left > 1000 && left <= 2000)
}

// TestWhatMayBeSentAgain lets the first replica fail in many ways. Requests
// that may run once reach a second replica only if the first provably did not
// run them; no answer says "not run" of what may have run.
func TestWhatMayBeSentAgain(t *testing.T) {
	silent := func(w io.Writer, r *http.Request, _ int) bool { return false }
	partial := func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 100\r\n\r\npart", idHeader)
		return false
	}
	foreign := func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 2\r\n\r\nno", idHeader)
		return true
	}
	garbage := func(w io.Writer, _ *http.Request, _ int) bool { fmt.Fprint(w, "no http at all\r\n\r\n"); return false }
	full := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 503, notRun+": 1\r\n", ""); return true }
	broken := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 500, "", "failed"); return true }
	cases := map[string]struct {
		first func(w io.Writer, r *http.Request, n int) bool
		route string
		// second is true if the second replica may be asked.
		second bool
		status int
	}{
		"safe, connection closed":      {silent, "safe", true, 200},
		"once, connection closed":      {silent, "once", false, 502},
		"stream, connection closed":    {silent, "stream", false, 502},
		"resumable, connection closed": {silent, "resume", true, 200},
		"safe, part of an answer":      {partial, "safe", true, 200},
		"once, part of an answer":      {partial, "once", false, 502},
		"safe, foreign answer":         {foreign, "safe", true, 200},
		"once, foreign answer":         {foreign, "once", false, 502},
		"safe, garbage":                {garbage, "safe", true, 200},
		"once, garbage":                {garbage, "once", false, 502},
		"safe, full":                   {full, "safe", true, 200},
		"once, full":                   {full, "once", true, 200},
		"stream, full":                 {full, "stream", true, 200},
		"safe, failed":                 {broken, "safe", true, 200},
		"once, failed":                 {broken, "once", false, 500},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := newReplica(t, "a", tc.first), newReplica(t, "b", fine)
			s := newSetup(t, plenty, nil, first, second)
			method := http.MethodPost
			if tc.route == "safe" {
				method = http.MethodGet
			}
			resp, _, cut := s.ask(t, method, "/"+tc.route+"/x")
			assert.Assert(t, !cut)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, first.asked(), 1)
			assert.Equal(t, second.asked() > 0, tc.second)
		})
	}
}

func TestRefusals(t *testing.T) {
	down := &replica{name: "down", addr: "127.0.0.1:1"}
	cases := map[string]struct {
		path string
		rs   []*replica
		code result.Code
	}{
		"no route":             {"/none/", nil, result.NoRoute},
		"no replica":           {"/safe/x", nil, result.NoUpstream},
		"replica can't be met": {"/once/x", []*replica{down}, result.NoUpstream},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, plenty, nil, tc.rs...)
			resp, _, _ := s.ask(t, http.MethodPost, tc.path)
			assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(tc.code)))
			assert.Assert(t, result.Lookup(tc.code).NotRun)
		})
	}
	s := newSetup(t, plenty, nil)
	s.table.Store(nil)
	resp, _, _ := s.ask(t, http.MethodGet, "/safe/x")
	assert.Equal(t, resp.StatusCode, 503)
	s = newSetup(t, plenty, nil)
	s.Drain()
	resp, _, _ = s.ask(t, http.MethodGet, "/safe/x")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.Draining)))
}

// TestRepeatsEndWithTheAllowance lets every replica refuse: once the allowance
// is spent, requests are sent once only.
func TestRepeatsEndWithTheAllowance(t *testing.T) {
	full := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 503, notRun+": 1\r\n", ""); return true }
	a, b := newReplica(t, "a", full), newReplica(t, "b", full)
	s := newSetup(t, balance.RetryBudget{Window: time.Minute, Extra: 6}, nil, a, b)
	for range 20 {
		resp, _, _ := s.ask(t, http.MethodGet, "/safe/x")
		assert.Equal(t, resp.StatusCode, 503)
	}
	assert.Equal(t, a.asked()+b.asked(), 23)
}

// TestStreamGoesOnAtAnotherReplica breaks a stream in the middle of an event:
// the client sees one stream without a gap, under the head of the first
// replica.
func TestStreamGoesOnAtAnotherReplica(t *testing.T) {
	breaks := newReplica(t, "a", func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(1)+event(2)+"id: 3\nda")
		return false
	})
	goesOn := newReplica(t, "b", func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		from, _ := strconv.Atoi(r.Header.Get(lastHeader))
		for i := from + 1; i <= 5; i++ {
			chunk(w, event(i))
		}
		chunk(w, "")
		return true
	})
	s := newSetup(t, plenty, nil, breaks, goesOn)
	_, body, cut := s.ask(t, http.MethodPost, "/resume/x")
	assert.Assert(t, !cut)
	assert.Equal(t, body, event(1)+event(2)+event(3)+event(4)+event(5))
	assert.Equal(t, goesOn.request(0).Header.Get(lastHeader), "2")
}

// TestStreamsThatCannotGoOnAreCut never ends a stream that lacks events.
func TestStreamsThatCannotGoOnAreCut(t *testing.T) {
	breaks := func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(1)+event(2))
		return false
	}
	fromStart := func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(1)+event(2)+event(3))
		chunk(w, "")
		return true
	}
	refuses := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 500, "", "no"); return true }
	cases := map[string]struct {
		route  string
		second func(w io.Writer, r *http.Request, n int) bool
	}{
		"may not be resumed":    {"stream", fromStart},
		"starts anew":           {"resume", fromStart},
		"second replica fails":  {"resume", refuses},
		"second replica breaks": {"resume", func(io.Writer, *http.Request, int) bool { return false }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t, plenty, nil, newReplica(t, "a", breaks), newReplica(t, "b", tc.second))
			_, body, cut := s.ask(t, http.MethodPost, "/"+tc.route+"/x")
			assert.Assert(t, cut)
			assert.Assert(t, strings.HasPrefix(event(1)+event(2), body))
		})
	}
}

// TestExtraAnswersReachNobody lets a replica send a second answer after the
// first: it is never taken for the answer to the next request.
func TestExtraAnswersReachNobody(t *testing.T) {
	x := newReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
		say(w, r, 200, "", "first")
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: stale\r\nContent-Length: 5\r\n\r\nstale", idHeader)
		return true
	})
	s := newSetup(t, plenty, nil, x)
	for range 20 {
		resp, body, cut := s.ask(t, http.MethodGet, "/safe/x")
		assert.Assert(t, !cut)
		if resp.StatusCode == 200 {
			assert.Equal(t, body, "first")
		}
	}
}

// TestClientGoneEndsTheRun closes the client's connection while the replica is
// at work: its connection closes soon after.
func TestClientGoneEndsTheRun(t *testing.T) {
	x := newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(1))
		return true
	})
	s := newSetup(t, plenty, nil, x)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front.Addr()+"/stream/x", strings.NewReader("b"))
	assert.NilError(t, err)
	req.Header.Set(idHeader, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_, err = io.ReadAtLeast(resp.Body, make([]byte, len(event(1))), len(event(1)))
	assert.NilError(t, err)
	cancel()
	for end := time.Now().Add(500 * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		x.mu.Lock()
		gone := x.gone
		x.mu.Unlock()
		if gone > 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the replica's connection is still open")
	}
}

// TestTimeLimitIsAnswered lets a replica say nothing: the client hears at the
// route's limit that the outcome is not known.
func TestTimeLimitIsAnswered(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	x := newReplica(t, "x", func(io.Writer, *http.Request, int) bool { <-hold; return false })
	s := newSetup(t, plenty, nil, x)
	begun := time.Now()
	resp, _, cut := s.ask(t, http.MethodPost, "/once/x")
	took := time.Since(begun)
	assert.Assert(t, !cut)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, took > 1900*time.Millisecond && took < 2500*time.Millisecond, "%s", took)
}

// TestWaitsForAnAdapter holds a request until the placer says that a replica
// holds its adapter, and asks for it meanwhile.
func TestWaitsForAnAdapter(t *testing.T) {
	x := newReplica(t, "x", fine)
	s := newSetup(t, plenty, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1})
	answered := make(chan int, 1)
	go func() {
		resp, _, _ := s.ask(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
		answered <- resp.StatusCode
	}()
	<-s.DemandSignal()
	u := s.Usage()
	assert.Equal(t, len(u.Demands), 1)
	assert.Equal(t, u.Demands[0].Weights, w)
	assert.Equal(t, u.Demands[0].Waiting, 1)
	assert.Equal(t, x.asked(), 0)
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{
		Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, ReadyAt: time.Now().Add(100 * time.Millisecond)}},
	}}})
	begun := time.Now()
	assert.Equal(t, <-answered, 200)
	assert.Assert(t, time.Since(begun) > 80*time.Millisecond)
	for _, d := range s.Usage().Demands {
		assert.Equal(t, d.Waiting, 0)
	}
	assert.Equal(t, len(s.Usage().Demands), 0)
}

// TestNobodyPlaces asks for an adapter that is not loaded while no placer has
// answered for a while: the request is refused at once, and told to come back
// when there is likely to be one again.
func TestNobodyPlaces(t *testing.T) {
	x := newReplica(t, "x", fine)
	s := newSetup(t, plenty, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	begun := time.Now()
	s.Clock = func() time.Time { return time.Now().Add(placerSilent) }
	s.balancer.ApplyAnswer(begun, placement.Answer{Fence: 1})
	resp, _, _ := s.ask(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.NotResident)))
	assert.Assert(t, time.Since(begun) < 500*time.Millisecond)
	assert.Equal(t, x.asked(), 0)
}

// TestRequestWaitsForTheRoutes asks a daemon that has just started and learns of
// the routing document a moment later: the request is served, not refused. A
// daemon that learns of none refuses it in time.
func TestRequestWaitsForTheRoutes(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		status int
	}{
		"soon":  {100 * time.Millisecond, http.StatusOK},
		"never": {time.Hour, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newReplica(t, "x", fine)
			s := newSetup(t, plenty, nil, x)
			table := s.Table()
			s.SetTable(nil)
			timer := time.AfterFunc(tc.after, func() { s.SetTable(table) })
			defer timer.Stop()
			begun := time.Now()
			resp, _, _ := s.ask(t, http.MethodGet, "/safe/x")
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Assert(t, time.Since(begun) < startMost+time.Second)
		})
	}
}

// TestMissedAdapterIsTold lets a replica deny that it holds an adapter: the
// placer is told which one.
func TestMissedAdapterIsTold(t *testing.T) {
	x := newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 421, "", ""); return true })
	s := newSetup(t, plenty, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w}}}}})
	resp, _, _ := s.ask(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
	assert.Equal(t, resp.StatusCode, 503)
	found := false
	for _, d := range s.Usage().Demands {
		found = found || d.MissingAt == "x"
	}
	assert.Assert(t, found)
}

// TestSuccessorAtTheAddress answers a replica that came back under another name
// at its address: what is sent to the old one is refused by the new one. The old
// one is left out at once, not taken for one that lost an adapter.
func TestSuccessorAtTheAddress(t *testing.T) {
	x := newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		say(w, r, 421, fromHeader+": z\r\n", "")
		return true
	})
	y := newReplica(t, "y", fine)
	s := newSetup(t, plenty, nil, x, y)
	for range 6 {
		resp, _, _ := s.ask(t, http.MethodGet, "/safe/x")
		assert.Equal(t, resp.StatusCode, 200)
	}
	assert.Equal(t, x.asked(), 1)
	assert.DeepEqual(t, s.Usage().Avoid, []ident.Upstream{"x"})
	assert.Equal(t, len(s.Usage().Demands), 0)
}

// TestOldVersionServesForAWhileOnly names a new version: after the grace no
// request goes to a replica that holds the old one.
func TestOldVersionServesForAWhileOnly(t *testing.T) {
	x := newReplica(t, "x", fine)
	s := newSetup(t, plenty, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, Version: 1}}}}})
	ask := func() int {
		resp, _, _ := s.ask(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
		return resp.StatusCode
	}
	s.SetRequiredVersions(map[placement.Weights]RequiredVersion{w: {Version: 2, Since: time.Now()}})
	assert.Equal(t, ask(), 200)
	s.SetRequiredVersions(map[placement.Weights]RequiredVersion{w: {Version: 2, Since: time.Now().Add(-graceOfVersion)}})
	assert.Equal(t, ask(), 503)
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, Version: 2}}}}})
	assert.Equal(t, ask(), 200)
	assert.Equal(t, x.request(x.asked()-1).Header.Get(wantVersion), "2")
}

func TestEvents(t *testing.T) {
	cases := map[string]struct {
		last    string
		resumed bool
		in      []string
		out     string
		end     string
		rest    int
		err     error
	}{
		"whole events":          {"", false, []string{event(1), event(2)}, event(1) + event(2), "2", 0, nil},
		"cut anywhere":          {"", false, []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, "id: 1\ndata: x\n\n", "1", 5, nil},
		"goes on":               {"7", true, []string{event(8)}, event(8), "8", 0, nil},
		"goes back":             {"7", true, []string{event(7)}, "", "7", 0, errNotNext},
		"skips":                 {"7", true, []string{event(9)}, "", "7", 0, errNotNext},
		"no number":             {"", false, []string{"data: x\n\n"}, "data: x\n\n", "", 0, nil},
		"numbers are not data":  {"", false, []string{"data: id: 9\n\n"}, "data: id: 9\n\n", "", 0, nil},
		"only the first counts": {"7", true, []string{event(8) + event(9)}, event(8) + event(9), "9", 0, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := events{last: tc.last, resumed: tc.resumed}
			var out strings.Builder
			var err error
			for _, in := range tc.in {
				var b []byte
				if b, err = e.add([]byte(in)); err != nil {
					break
				}
				out.Write(b)
			}
			assert.Assert(t, errors.Is(err, tc.err))
			assert.Equal(t, out.String(), tc.out)
			assert.Equal(t, e.last, tc.end)
			if tc.err == nil {
				assert.Equal(t, e.rest(), tc.rest)
			}
		})
	}
}

// TestBusyReplicaIsEnteredByItsDoor asks a replica that has just refused a request
// as too much: the next one is sent when the door says, refused at once if that is
// too late, and sent at once if nobody keeps the door.
func TestBusyReplicaIsEnteredByItsDoor(t *testing.T) {
	cases := map[string]struct {
		wait        time.Duration
		booked, ok  bool
		status      int
		asked       int
		least, most time.Duration
	}{
		"has room later":     {150 * time.Millisecond, true, true, 200, 2, 150 * time.Millisecond, 400 * time.Millisecond},
		"has no room":        {time.Second, false, true, 429, 1, 0, 100 * time.Millisecond},
		"nobody can be told": {0, false, false, 200, 2, 0, 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
				if n == 1 {
					say(w, r, 503, notRun+": 1\r\n", "")
					return true
				}
				return fine(w, r, n)
			})
			s := newSetup(t, balance.RetryBudget{Window: time.Minute}, nil, x)
			s.RequestAdmission = func(_ context.Context, r balance.Replica, a pace.AdmissionRequest) (pace.Reservation, bool) {
				assert.Equal(t, a.Slots, 4)
				return pace.Reservation{At: time.Now().Add(tc.wait), Reserved: tc.booked}, tc.ok
			}
			resp, _, _ := s.ask(t, http.MethodGet, "/safe/x")
			assert.Equal(t, resp.StatusCode, 503)
			begun := time.Now()
			resp, _, _ = s.ask(t, http.MethodGet, "/safe/x")
			took := time.Since(begun)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, x.asked(), tc.asked)
			assert.Assert(t, took >= tc.least && took < tc.most, "%s", took)
		})
	}
}

// Guards against requests that reach a replica long after it said that it leaves:
// one that had been chosen before may wait more than a second for its turn there.
func TestReplicaThatLeavesDuringTheWaitIsNotUsed(t *testing.T) {
	x, y := newReplica(t, "x", fine), newReplica(t, "y", fine)
	s := newSetup(t, balance.RetryBudget{Window: time.Minute}, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x, y)
	s.ReservePrefill = func(_ context.Context, r balance.Replica, _ pace.Prompt) (pace.Reservation, bool) {
		if r.Name == "x" {
			s.SetReplicas([]balance.Replica{
				{Name: "x", Incarnation: 1, Service: "s", Address: x.addr, DataCentre: "here", Slots: 4, Leaving: true},
				{Name: "y", Incarnation: 1, Service: "s", Address: y.addr, DataCentre: "here", Slots: 4},
			}, 1)
		}
		return pace.Reservation{At: time.Now().Add(100 * time.Millisecond), Reserved: true}, true
	}
	s.askFirst(t, "x", []*replica{x, y})
	resp, _, _ := s.ask(t, http.MethodPost, "/once/x", "Test-Tokens", "100")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, x.asked(), 0)
	assert.Equal(t, y.asked(), 1)
}

// Guards against a busy loop of connections to a replica that can't be reached: the
// request is refused after a few tries, long before its time is over.
func TestDeadReplicaIsTriedAFewTimes(t *testing.T) {
	s := newSetup(t, plenty, nil, &replica{name: "down", addr: "127.0.0.1:1"})
	tries := 0
	s.Log = funcr.New(func(_, line string) {
		if strings.Contains(line, `"routed"`) {
			tries++
		}
	}, funcr.Options{})
	begun := time.Now()
	resp, _, _ := s.ask(t, http.MethodPost, "/once/x")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.NoUpstream)))
	assert.Assert(t, tries > 1 && tries <= maxUnreached, "%d tries", tries)
	assert.Assert(t, time.Since(begun) < time.Second)
}

// Guards against streams that are cut because tries that reached no replica had
// used up the allowance of repeats.
func TestUnreachableReplicasUseNoAllowance(t *testing.T) {
	breaks := newReplica(t, "a", func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(1))
		return false
	})
	goesOn := newReplica(t, "z", func(w io.Writer, r *http.Request, _ int) bool {
		streamHead(w, r)
		chunk(w, event(2))
		chunk(w, "")
		return true
	})
	rs := []*replica{breaks, {name: "b", addr: "127.0.0.1:1"}, {name: "c", addr: "127.0.0.1:2"}, goesOn}
	// One repeat is allowed; half of what is stated is used.
	s := newSetup(t, balance.RetryBudget{Window: time.Minute, Extra: 2}, nil, rs...)
	s.askFirst(t, "a", rs)
	_, body, cut := s.ask(t, http.MethodPost, "/resume/x")
	assert.Assert(t, !cut)
	assert.Equal(t, body, event(1)+event(2))
}

// Guards against requests that count as in flight forever at a replica because
// their client left between two tries there.
func TestClientGoneBetweenTriesIsNotCounted(t *testing.T) {
	s := newSetup(t, plenty, nil, &replica{name: "down", addr: "127.0.0.1:1"})
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front.Addr()+"/once/x", strings.NewReader("b"))
		assert.NilError(t, err)
		_, err = http.DefaultTransport.RoundTrip(req)
		assert.Assert(t, err != nil)
		cancel()
	}
	time.Sleep(700 * time.Millisecond)
	for _, r := range s.Usage().Runs {
		assert.Equal(t, r.Running, 0)
	}
}
