package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/pace"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
	"papayaspoke/core/routes"
)

// Guards against answers in which a replica says something that is overlooked.
func TestNoticeInAnyAnswerCounts(t *testing.T) {
	leaving := leavingHeader + ": 1\r\n"
	cases := map[string]struct {
		path    string
		respond func(w io.Writer, r *http.Request)
	}{
		"an answer":     {"/safe/x", func(w io.Writer, r *http.Request) { writeResponse(w, r, 200, leaving, "made") }},
		"a failure":     {"/once/x", func(w io.Writer, r *http.Request) { writeResponse(w, r, 500, leaving, "") }},
		"a refusal":     {"/once/x", func(w io.Writer, r *http.Request) { writeResponse(w, r, 503, leaving+notRunHeader+": 1\r\n", "") }},
		"a misdirected": {"/once/x", func(w io.Writer, r *http.Request) { writeResponse(w, r, 421, leaving, "") }},
		"a stream": {"/stream/x", func(w io.Writer, r *http.Request) {
			writeResponse(w, r, 200, leaving+"Content-Type: text/event-stream\r\n", eventText(1))
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := newTestReplica(t, "a", func(w io.Writer, r *http.Request, _ int) bool { c.respond(w, r); return true })
			b := newTestReplica(t, "b", respondOK)
			g := newTestGateway(t, unlimitedRetries, nil, a, b)
			told := make(chan ident.Upstream, 10)
			g.ReplicaLeaves = func(name ident.Upstream, _ ident.Incarnation) { told <- name }
			for range 5 {
				g.send(t, http.MethodPost, c.path)
			}
			assert.Equal(t, a.requestCount(), 1)
			assert.Equal(t, <-told, ident.Upstream("a"))
			assert.Equal(t, len(told), 0)
		})
	}
}

// Guards against a notice of the replica that now has the address of another one.
func TestNoticeOfAnotherReplicaIsNotTaken(t *testing.T) {
	a := newTestReplica(t, "a", func(w io.Writer, r *http.Request, n int) bool {
		if n == 1 {
			writeResponse(w, r, 421, leavingHeader+": 1\r\n"+respondingReplicaHeader+": other\r\n", "")
			return true
		}
		return respondOK(w, r, n)
	})
	g := newTestGateway(t, unlimitedRetries, nil, a)
	g.send(t, http.MethodPost, "/once/x")
	resp, _, _ := g.send(t, http.MethodPost, "/once/x")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against requests that go on waiting for a replica that wants none.
func TestHundredWaitingRequestsChooseAgain(t *testing.T) {
	a := newTestReplica(t, "a", respondOK)
	b := newTestReplica(t, "b", respondOK)
	g := newTestGatewayWithLimits(t, routes.Route{Timeout: 8 * time.Second, MaxAttempts: 2}, unlimitedRetries, &routes.Engine{}, a)
	var waiting sync.WaitGroup
	waiting.Add(100)
	g.ReservePrefill = func(_ context.Context, r balance.Replica, _ pace.Prompt) (pace.Reservation, bool) {
		at := time.Now()
		if r.Name == "a" {
			waiting.Done()
			at = at.Add(3 * time.Second)
		}
		return pace.Reservation{At: at, Reserved: true}, true
	}
	holding := func(name ident.Upstream, n int) placement.Inventory {
		return placement.Inventory{Replica: name, Incarnation: 1, Number: n, Complete: true, Holdings: []placement.Holding{{Weights: placement.Weights{Model: "m"}}}}
	}
	g.ApplyPlacerAnswer(placement.Answer{Fence: 1, Revision: 1, Inventories: []placement.Inventory{holding("a", 0), holding("b", 1)}})
	var wg sync.WaitGroup
	statuses := make(chan int, 100)
	for i := range 100 {
		wg.Go(func() {
			resp, _, _ := g.send(t, http.MethodPost, "/safe/x", idHeader, fmt.Sprint(i), "Test-Model", "m", "Test-Tokens", "10")
			statuses <- resp.StatusCode
		})
	}
	waiting.Wait()
	both := []balance.Replica{
		{Name: "a", Incarnation: 1, Service: "s", Address: a.addr, DataCentre: "here", Slots: 4},
		{Name: "b", Incarnation: 1, Service: "s", Address: b.addr, DataCentre: "here", Slots: 400},
	}
	g.SetReplicas(both, 1)
	start := time.Now()
	g.Hear("a", 1, Notice{QuietUntil: start.Add(5 * time.Second)})
	wg.Wait()
	assert.Assert(t, time.Since(start) < 2*time.Second, "they waited %s more", time.Since(start))
	assert.Equal(t, a.requestCount(), 0)
	for range 100 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}
