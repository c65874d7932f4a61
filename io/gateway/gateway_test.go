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
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/routes"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/server"
)

// Headers of the test dialect.
const (
	idHeader                = "Test-Id"
	timeLeftHeader          = "Test-Left"
	notRunHeader            = "Test-Not-Run"
	lastEventHeader         = "Test-Last"
	respondingReplicaHeader = "Test-From"
	targetReplicaHeader     = "Test-Replica"
	minVersionHeader        = "Test-Version"
	leavingHeader           = "Test-Leaving"
	quietHeader             = "Test-Quiet"
)

var testDialect = Dialect{
	Prepare: func(h http.Header, s SendInfo) {
		h.Set(targetReplicaHeader, string(s.Replica))
		h.Set(timeLeftHeader, strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
		if s.LastEventID != "" {
			h.Set(lastEventHeader, s.LastEventID)
		}
		if s.Version > 0 {
			h.Set(minVersionHeader, strconv.FormatUint(s.Version, 10))
		}
	},
	ParseHead: func(status int, h http.Header) ResponseHead {
		return ResponseHead{
			ID: h.Get(idHeader), NotRun: h.Get(notRunHeader) != "" || status == http.StatusMisdirectedRequest,
			Misdirected: status == http.StatusMisdirectedRequest, Replica: ident.Upstream(h.Get(respondingReplicaHeader)),
		}
	},
	ParseNotice: func(_ int, h http.Header, now time.Time) Notice {
		n := Notice{Leaving: h.Get(leavingHeader) != ""}
		if ms, err := strconv.Atoi(h.Get(quietHeader)); err == nil {
			n.QuietUntil = now.Add(time.Duration(ms) * time.Millisecond)
		}
		return n
	},
	WriteError: func(w http.ResponseWriter, err *result.Error, _ time.Time) {
		w.Header().Set("Test-Code", strconv.Itoa(int(err.Code())))
		w.WriteHeader(result.Lookup(err.Code()).HTTP)
	},
}

// testReplica is a replica whose responses are scripted byte by byte.
type testReplica struct {
	name ident.Upstream
	addr string
	// respond writes the response to the nth request. It returns false to close
	// the connection.
	respond func(w io.Writer, r *http.Request, n int) bool

	listener net.Listener

	mu       sync.Mutex
	requests []*http.Request
	// closedConns counts connections that the gateway closed.
	closedConns int
}

func newTestReplica(t *testing.T, name ident.Upstream, respond func(w io.Writer, r *http.Request, n int) bool) *testReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x := &testReplica{name: name, addr: l.Addr().String(), listener: l, respond: respond}
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

func (x *testReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			x.mu.Lock()
			x.closedConns++
			x.mu.Unlock()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		x.mu.Lock()
		x.requests = append(x.requests, r)
		n := len(x.requests)
		x.mu.Unlock()
		if !x.respond(c, r, n) {
			return
		}
	}
}

// end makes the replica refuse connections, as if its process had ended.
func (x *testReplica) end() { _ = x.listener.Close() }

func (x *testReplica) requestCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.requests)
}

func (x *testReplica) request(i int) *http.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.requests[i]
}

// writeResponse writes a complete response to r.
func writeResponse(w io.Writer, r *http.Request, status int, extra, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, idHeader, r.Header.Get(idHeader), extra, len(body), body)
}

// writeStreamHead writes the head of a stream of events.
func writeStreamHead(w io.Writer, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, r.Header.Get(idHeader))
}

func writeChunk(w io.Writer, s string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", n, n) }

// testGateway is a gateway with four routes to one service, and a server for
// it.
type testGateway struct {
	*Gateway
	front *server.Server
}

func newTestGateway(t *testing.T, allowance balance.RetryBudget, engine *routes.Engine, rs ...*testReplica) *testGateway {
	t.Helper()
	return newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 2}, allowance, engine, rs...)
}

// newTestGatewayWithLimits is newTestGateway with the limits of a route, which
// apply to all four.
func newTestGatewayWithLimits(t *testing.T, limits routes.Route, allowance balance.RetryBudget, engine *routes.Engine, rs ...*testReplica) *testGateway {
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
		DataCentre: "here", Client: client.NewForReplicas(netip.Addr{}), Dialect: testDialect, Log: logr.Discard(),
		RetryAllowance: allowance, Clock: time.Now, Observe: func(Observation) {},
		ReservePrefill: func(context.Context, balance.Replica, pace.Prompt) (pace.Reservation, bool) {
			return pace.Reservation{}, false
		},
		RequestAdmission: func(context.Context, balance.Replica, pace.AdmissionRequest) (pace.Reservation, bool) {
			return pace.Reservation{}, false
		},
		Probe:         func(context.Context, balance.Replica) bool { return false },
		ReplicaEnded:  refusesConnections,
		ConfirmRoutes: func(context.Context) error { return nil },
		PublishBlame:  func([]blame.Entry) {}, ReplicaLeaves: func(ident.Upstream, ident.Incarnation) {}, LeftAlone: func(string) {},
		EndedAfterAnswer: func(string) {},
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
			Header: r.Header.Clone(), Body: body, Arrival: time.Now(), LastEventID: r.Header.Get(lastEventHeader),
			PromptTokens: promptTokens(r),
			Weights:      placement.Weights{Model: ident.Model(r.Header.Get("Test-Model")), Adapter: r.Header.Get("Test-Adapter")},
		})
	}), server.Options{})
	assert.NilError(t, err)
	t.Cleanup(front.Close)
	return &testGateway{Gateway: g, front: front}
}

func refusesConnections(ctx context.Context, r balance.Replica) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", r.Address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func promptTokens(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Test-Tokens"))
	return n
}

// unlimitedRetries is an allowance that tests don't exhaust.
var unlimitedRetries = balance.RetryBudget{Window: time.Second, Extra: 1000}

// send sends one request to a route and returns the response. body is as much
// of the body as arrived, and cut is true if the response did not end properly.
func (s *testGateway) send(t *testing.T, method, path string, header ...string) (resp *http.Response, body string, cut bool) {
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

func respondOK(w io.Writer, r *http.Request, _ int) bool {
	writeResponse(w, r, 200, "Made-By: replica\r\n", "answer to "+r.Method+" "+r.RequestURI)
	return true
}

func TestPassesRequestsUnchanged(t *testing.T) {
	x := newTestReplica(t, "x", respondOK)
	s := newTestGateway(t, unlimitedRetries, nil, x)
	resp, body, cut := s.send(t, http.MethodPost, "/once/a%2fb//c?q=1&q=%20", "Some-Header", "kept")
	assert.Assert(t, !cut)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("Made-By"), "replica")
	assert.Equal(t, body, "answer to POST /once/a%2fb//c?q=1&q=%20")
	r := x.request(0)
	assert.Equal(t, r.Header.Get("Some-Header"), "kept")
	assert.Equal(t, r.Host, "h")
	assert.Equal(t, r.Header.Get(targetReplicaHeader), "x")
	left, err := strconv.Atoi(r.Header.Get(timeLeftHeader))
	assert.NilError(t, err)
	assert.Assert(t, left > 1000 && left <= 2000)
}

// TestWhatMayBeSentAgain lets the first replica fail in many ways. Requests
// that may run only once reach a second replica only if the first provably did
// not run them; no response says "not run" of a request that may have run.
func TestWhatMayBeSentAgain(t *testing.T) {
	noResponse := func(w io.Writer, r *http.Request, _ int) bool { return false }
	partial := func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 100\r\n\r\npart", idHeader)
		return false
	}
	foreign := func(w io.Writer, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 2\r\n\r\nno", idHeader)
		return true
	}
	garbage := func(w io.Writer, _ *http.Request, _ int) bool { fmt.Fprint(w, "no http at all\r\n\r\n"); return false }
	full := func(w io.Writer, r *http.Request, _ int) bool {
		writeResponse(w, r, 503, notRunHeader+": 1\r\n", "")
		return true
	}
	broken := func(w io.Writer, r *http.Request, _ int) bool { writeResponse(w, r, 500, "", "failed"); return true }
	cases := map[string]struct {
		first func(w io.Writer, r *http.Request, n int) bool
		route string
		// second is true if the second replica may receive the request.
		second bool
		status int
	}{
		"safe, connection closed":      {noResponse, "safe", true, 200},
		"once, connection closed":      {noResponse, "once", false, 502},
		"stream, connection closed":    {noResponse, "stream", false, 502},
		"resumable, connection closed": {noResponse, "resume", true, 200},
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
			first, second := newTestReplica(t, "a", tc.first), newTestReplica(t, "b", respondOK)
			s := newTestGateway(t, unlimitedRetries, nil, first, second)
			method := http.MethodPost
			if tc.route == "safe" {
				method = http.MethodGet
			}
			resp, _, cut := s.send(t, method, "/"+tc.route+"/x")
			assert.Assert(t, !cut)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, first.requestCount(), 1)
			assert.Equal(t, second.requestCount() > 0, tc.second)
		})
	}
}

func TestRefusals(t *testing.T) {
	down := &testReplica{name: "down", addr: "127.0.0.1:1"}
	cases := map[string]struct {
		path string
		rs   []*testReplica
		code result.Code
	}{
		"no route":             {"/none/", nil, result.NoRoute},
		"no replica":           {"/safe/x", nil, result.NoUpstream},
		"replica can't be met": {"/once/x", []*testReplica{down}, result.NoUpstream},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestGateway(t, unlimitedRetries, nil, tc.rs...)
			resp, _, _ := s.send(t, http.MethodPost, tc.path)
			assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(tc.code)))
			assert.Assert(t, result.Lookup(tc.code).NotRun)
		})
	}
	s := newTestGateway(t, unlimitedRetries, nil)
	s.table.Store(nil)
	resp, _, _ := s.send(t, http.MethodGet, "/safe/x")
	assert.Equal(t, resp.StatusCode, 503)
	s = newTestGateway(t, unlimitedRetries, nil)
	s.Drain()
	resp, _, _ = s.send(t, http.MethodGet, "/safe/x")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.Draining)))
}

// TestRepeatsEndWithTheAllowance lets every replica reject all requests: once
// the retry allowance is exhausted, each request is sent once only.
func TestRepeatsEndWithTheAllowance(t *testing.T) {
	full := func(w io.Writer, r *http.Request, _ int) bool {
		writeResponse(w, r, 503, notRunHeader+": 1\r\n", "")
		return true
	}
	a, b := newTestReplica(t, "a", full), newTestReplica(t, "b", full)
	s := newTestGateway(t, balance.RetryBudget{Window: time.Minute, Extra: 6}, nil, a, b)
	for range 20 {
		resp, _, _ := s.send(t, http.MethodGet, "/safe/x")
		assert.Equal(t, resp.StatusCode, 503)
	}
	assert.Equal(t, a.requestCount()+b.requestCount(), 23)
}

// TestStreamGoesOnAtAnotherReplica cuts a stream in the middle of an event: the
// client receives one stream without a gap, with the head of the first
// replica's response.
func TestStreamGoesOnAtAnotherReplica(t *testing.T) {
	breaks := newTestReplica(t, "a", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(1)+eventText(2)+"id: 3\nda")
		return false
	})
	resuming := newTestReplica(t, "b", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		from, _ := strconv.Atoi(r.Header.Get(lastEventHeader))
		for i := from + 1; i <= 5; i++ {
			writeChunk(w, eventText(i))
		}
		writeChunk(w, "")
		return true
	})
	s := newTestGateway(t, unlimitedRetries, nil, breaks, resuming)
	_, body, cut := s.send(t, http.MethodPost, "/resume/x")
	assert.Assert(t, !cut)
	assert.Equal(t, body, eventText(1)+eventText(2)+eventText(3)+eventText(4)+eventText(5))
	assert.Equal(t, resuming.request(0).Header.Get(lastEventHeader), "2")
}

// TestStreamsThatCannotGoOnAreCut checks that a stream that lacks events is cut
// and never ends properly.
func TestStreamsThatCannotGoOnAreCut(t *testing.T) {
	breaks := func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(1)+eventText(2))
		return false
	}
	fromStart := func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(1)+eventText(2)+eventText(3))
		writeChunk(w, "")
		return true
	}
	refuses := func(w io.Writer, r *http.Request, _ int) bool { writeResponse(w, r, 500, "", "no"); return true }
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
			s := newTestGateway(t, unlimitedRetries, nil, newTestReplica(t, "a", breaks), newTestReplica(t, "b", tc.second))
			_, body, cut := s.send(t, http.MethodPost, "/"+tc.route+"/x")
			assert.Assert(t, cut)
			assert.Assert(t, strings.HasPrefix(eventText(1)+eventText(2), body))
		})
	}
}

// TestExtraAnswersReachNobody lets a replica send a second response after the
// first: it is never taken for the response to the next request.
func TestExtraAnswersReachNobody(t *testing.T) {
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
		writeResponse(w, r, 200, "", "first")
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: stale\r\nContent-Length: 5\r\n\r\nstale", idHeader)
		return true
	})
	s := newTestGateway(t, unlimitedRetries, nil, x)
	for range 20 {
		resp, body, cut := s.send(t, http.MethodGet, "/safe/x")
		assert.Assert(t, !cut)
		if resp.StatusCode == 200 {
			assert.Equal(t, body, "first")
		}
	}
}

// TestClientGoneEndsTheRun closes the client's connection while the replica
// sends a stream: the connection to the replica is closed soon after.
func TestClientGoneEndsTheRun(t *testing.T) {
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(1))
		return true
	})
	s := newTestGateway(t, unlimitedRetries, nil, x)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front.Addr()+"/stream/x", strings.NewReader("b"))
	assert.NilError(t, err)
	req.Header.Set(idHeader, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	_, err = io.ReadAtLeast(resp.Body, make([]byte, len(eventText(1))), len(eventText(1)))
	assert.NilError(t, err)
	cancel()
	for end := time.Now().Add(500 * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		x.mu.Lock()
		closedConns := x.closedConns
		x.mu.Unlock()
		if closedConns > 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "the connection to the replica is still open")
	}
}

// TestRouteTimeoutGetsError sends a request to a replica that does not respond:
// at the route's timeout the client gets an error that leaves the outcome open.
func TestRouteTimeoutGetsError(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	x := newTestReplica(t, "x", func(io.Writer, *http.Request, int) bool { <-hold; return false })
	s := newTestGateway(t, unlimitedRetries, nil, x)
	start := time.Now()
	resp, _, cut := s.send(t, http.MethodPost, "/once/x")
	took := time.Since(start)
	assert.Assert(t, !cut)
	assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
	assert.Assert(t, took > 1900*time.Millisecond && took < 2500*time.Millisecond, "%s", took)
}

// TestRequestWaitsForAdapter holds a request until the placer reports that a
// replica holds its adapter, and reports the demand meanwhile.
func TestRequestWaitsForAdapter(t *testing.T) {
	x := newTestReplica(t, "x", respondOK)
	s := newTestGateway(t, unlimitedRetries, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1})
	answered := make(chan int, 1)
	go func() {
		resp, _, _ := s.send(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
		answered <- resp.StatusCode
	}()
	<-s.DemandSignal()
	u := s.Usage()
	assert.Equal(t, len(u.Demands), 1)
	assert.Equal(t, u.Demands[0].Weights, w)
	assert.Equal(t, u.Demands[0].Waiting, 1)
	assert.Equal(t, x.requestCount(), 0)
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{
		Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, ReadyAt: time.Now().Add(100 * time.Millisecond)}},
	}}})
	start := time.Now()
	assert.Equal(t, <-answered, 200)
	assert.Assert(t, time.Since(start) > 80*time.Millisecond)
	for _, d := range s.Usage().Demands {
		assert.Equal(t, d.Waiting, 0)
	}
	assert.Equal(t, len(s.Usage().Demands), 0)
}

// TestRefusedWhilePlacerUnresponsive requests an adapter that is not loaded
// while no placer has responded for a while: the request is refused at once.
func TestRefusedWhilePlacerUnresponsive(t *testing.T) {
	x := newTestReplica(t, "x", respondOK)
	s := newTestGateway(t, unlimitedRetries, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	start := time.Now()
	s.Clock = func() time.Time { return time.Now().Add(placerTimeout) }
	s.balancer.ApplyAnswer(start, placement.Answer{Fence: 1})
	resp, _, _ := s.send(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.NotResident)))
	assert.Assert(t, time.Since(start) < 500*time.Millisecond)
	assert.Equal(t, x.requestCount(), 0)
}

// TestRequestWaitsForRoutingDocument sends a request to a daemon that has just
// started. If it receives the routing document a moment later the request is
// served, if it receives none the request is refused in time.
func TestRequestWaitsForRoutingDocument(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		status int
	}{
		"soon":  {100 * time.Millisecond, http.StatusOK},
		"never": {time.Hour, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newTestReplica(t, "x", respondOK)
			s := newTestGateway(t, unlimitedRetries, nil, x)
			table := s.Table()
			s.SetTable(nil)
			timer := time.AfterFunc(tc.after, func() { s.SetTable(table) })
			defer timer.Stop()
			start := time.Now()
			resp, _, _ := s.send(t, http.MethodGet, "/safe/x")
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Assert(t, time.Since(start) < maxRoutingWait+time.Second)
		})
	}
}

// TestMissingAdapterIsReported lets a replica respond that it does not hold an
// adapter that it was reported to hold: the placer receives its name.
func TestMissingAdapterIsReported(t *testing.T) {
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool { writeResponse(w, r, 421, "", ""); return true })
	s := newTestGateway(t, unlimitedRetries, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w}}}}})
	resp, _, _ := s.send(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
	assert.Equal(t, resp.StatusCode, 503)
	found := false
	for _, d := range s.Usage().Demands {
		found = found || d.MissingAt == "x"
	}
	assert.Assert(t, found)
}

// TestSuccessorAtTheAddress replaces a replica by one with another name at the
// same address, which rejects requests for the old one. The old one is ejected
// at once; it is not reported as missing an adapter.
func TestSuccessorAtTheAddress(t *testing.T) {
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		writeResponse(w, r, 421, respondingReplicaHeader+": z\r\n", "")
		return true
	})
	y := newTestReplica(t, "y", respondOK)
	s := newTestGateway(t, unlimitedRetries, nil, x, y)
	for range 6 {
		resp, _, _ := s.send(t, http.MethodGet, "/safe/x")
		assert.Equal(t, resp.StatusCode, 200)
	}
	assert.Equal(t, x.requestCount(), 1)
	assert.DeepEqual(t, s.Usage().Avoid, []ident.Upstream{"x"})
	assert.Equal(t, len(s.Usage().Demands), 0)
}

// TestOldVersionServesForAWhileOnly names a new version: after the grace period
// no request goes to a replica that holds the old one.
func TestOldVersionServesForAWhileOnly(t *testing.T) {
	x := newTestReplica(t, "x", respondOK)
	s := newTestGateway(t, unlimitedRetries, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x)
	w := placement.Weights{Model: "m", Adapter: "a1"}
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, Version: 1}}}}})
	send := func() int {
		resp, _, _ := s.send(t, http.MethodGet, "/safe/x", "Test-Model", "m", "Test-Adapter", "a1")
		return resp.StatusCode
	}
	s.SetRequiredVersions(map[placement.Weights]RequiredVersion{w: {Version: 2, Since: time.Now()}})
	assert.Equal(t, send(), 200)
	s.SetRequiredVersions(map[placement.Weights]RequiredVersion{w: {Version: 2, Since: time.Now().Add(-versionGracePeriod)}})
	assert.Equal(t, send(), 503)
	s.ApplyPlacerAnswer(placement.Answer{Fence: 1, Inventories: []placement.Inventory{{Replica: "x", Incarnation: 1, Complete: true, Holdings: []placement.Holding{{Weights: w, Version: 2}}}}})
	assert.Equal(t, send(), 200)
	assert.Equal(t, x.request(x.requestCount()-1).Header.Get(minVersionHeader), "2")
}

func TestEvents(t *testing.T) {
	cases := map[string]struct {
		lastEventID string
		resumed     bool
		in          []string
		out         string
		end         string
		rest        int
		err         error
	}{
		"whole events":          {"", false, []string{eventText(1), eventText(2)}, eventText(1) + eventText(2), "2", 0, nil},
		"cut anywhere":          {"", false, []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, "id: 1\ndata: x\n\n", "1", 5, nil},
		"goes on":               {"7", true, []string{eventText(8)}, eventText(8), "8", 0, nil},
		"goes back":             {"7", true, []string{eventText(7)}, "", "7", 0, errNotConsecutive},
		"skips":                 {"7", true, []string{eventText(9)}, "", "7", 0, errNotConsecutive},
		"no number":             {"", false, []string{"data: x\n\n"}, "data: x\n\n", "", 0, nil},
		"numbers are not data":  {"", false, []string{"data: id: 9\n\n"}, "data: id: 9\n\n", "", 0, nil},
		"only the first counts": {"7", true, []string{eventText(8) + eventText(9)}, eventText(8) + eventText(9), "9", 0, nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := eventParser{lastEventID: tc.lastEventID, resumed: tc.resumed}
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
			assert.Equal(t, e.lastEventID, tc.end)
			if tc.err == nil {
				assert.Equal(t, e.rest(), tc.rest)
			}
		})
	}
}

// TestBusyReplicaIsEnteredByItsDoor sends a request to a replica that has just
// rejected one as overloaded: it is sent when the admission pacer says, refused
// at once if that is too late, and sent at once if no pacer can be reached.
func TestBusyReplicaIsEnteredByItsDoor(t *testing.T) {
	cases := map[string]struct {
		wait             time.Duration
		reserved, ok     bool
		status           int
		requestCount     int
		minTime, maxTime time.Duration
	}{
		"has room later":     {150 * time.Millisecond, true, true, 200, 2, 150 * time.Millisecond, 400 * time.Millisecond},
		"has no room":        {time.Second, false, true, 429, 1, 0, 100 * time.Millisecond},
		"nobody can be told": {0, false, false, 200, 2, 0, 100 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
				if n == 1 {
					writeResponse(w, r, 503, notRunHeader+": 1\r\n", "")
					return true
				}
				return respondOK(w, r, n)
			})
			s := newTestGateway(t, balance.RetryBudget{Window: time.Minute}, nil, x)
			s.RequestAdmission = func(_ context.Context, r balance.Replica, a pace.AdmissionRequest) (pace.Reservation, bool) {
				assert.Equal(t, a.Slots, 4)
				return pace.Reservation{At: time.Now().Add(tc.wait), Reserved: tc.reserved}, tc.ok
			}
			resp, _, _ := s.send(t, http.MethodGet, "/safe/x")
			assert.Equal(t, resp.StatusCode, 503)
			start := time.Now()
			resp, _, _ = s.send(t, http.MethodGet, "/safe/x")
			took := time.Since(start)
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, x.requestCount(), tc.requestCount)
			assert.Assert(t, took >= tc.minTime && took < tc.maxTime, "%s", took)
		})
	}
}

// Guards against requests that reach a replica long after it announced that it
// leaves: a request whose replica was picked before may wait more than a second
// for prefill capacity there.
func TestReplicaThatLeavesDuringTheWaitIsNotUsed(t *testing.T) {
	x, y := newTestReplica(t, "x", respondOK), newTestReplica(t, "y", respondOK)
	s := newTestGateway(t, balance.RetryBudget{Window: time.Minute}, &routes.Engine{MaxBatch: 4, AdapterSlots: 4}, x, y)
	s.ReservePrefill = func(_ context.Context, r balance.Replica, _ pace.Prompt) (pace.Reservation, bool) {
		if r.Name == "x" {
			s.SetReplicas([]balance.Replica{
				{Name: "x", Incarnation: 1, Service: "s", Address: x.addr, DataCentre: "here", Slots: 4, Leaving: true},
				{Name: "y", Incarnation: 1, Service: "s", Address: y.addr, DataCentre: "here", Slots: 4},
			}, 1)
		}
		return pace.Reservation{At: time.Now().Add(100 * time.Millisecond), Reserved: true}, true
	}
	s.sendNextTo(t, "x", []*testReplica{x, y})
	resp, _, _ := s.send(t, http.MethodPost, "/once/x", "Test-Tokens", "100")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, x.requestCount(), 0)
	assert.Equal(t, y.requestCount(), 1)
}

// Guards against a busy loop of connections to an unreachable replica: the
// request is refused after a few attempts, long before its deadline.
func TestConnectFailuresAreBounded(t *testing.T) {
	s := newTestGateway(t, unlimitedRetries, nil, &testReplica{name: "down", addr: "127.0.0.1:1"})
	tries := 0
	s.Log = funcr.New(func(_, line string) {
		if strings.Contains(line, `"routed"`) {
			tries++
		}
	}, funcr.Options{})
	start := time.Now()
	resp, _, _ := s.send(t, http.MethodPost, "/once/x")
	assert.Equal(t, resp.Header.Get("Test-Code"), strconv.Itoa(int(result.NoUpstream)))
	assert.Assert(t, tries > 1 && tries <= maxConnectFailures, "%d tries", tries)
	assert.Assert(t, time.Since(start) < time.Second)
}

// Guards against streams that are cut because attempts that reached no replica
// had exhausted the retry allowance.
func TestUnreachableReplicasUseNoRetryAllowance(t *testing.T) {
	breaks := newTestReplica(t, "a", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(1))
		return false
	})
	resuming := newTestReplica(t, "z", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		writeChunk(w, eventText(2))
		writeChunk(w, "")
		return true
	})
	rs := []*testReplica{breaks, {name: "b", addr: "127.0.0.1:1"}, {name: "c", addr: "127.0.0.1:2"}, resuming}
	// One retry is allowed: the gateway uses half of the stated allowance.
	s := newTestGateway(t, balance.RetryBudget{Window: time.Minute, Extra: 2}, nil, rs...)
	s.sendNextTo(t, "a", rs)
	_, body, cut := s.send(t, http.MethodPost, "/resume/x")
	assert.Assert(t, !cut)
	assert.Equal(t, body, eventText(1)+eventText(2))
}

// Guards against requests that count as in flight at a replica forever because
// their client disconnected between two attempts there.
func TestClientGoneBetweenAttemptsIsNotInFlight(t *testing.T) {
	s := newTestGateway(t, unlimitedRetries, nil, &testReplica{name: "down", addr: "127.0.0.1:1"})
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
