package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/ident"
	"papayaspoke/core/routes"
)

// unmarkedHead returns a head that states neither a length nor chunks.
func unmarkedHead(r *http.Request, protocol, contentType string) string {
	return fmt.Sprintf("%s 200 OK\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", protocol, idHeader, r.Header.Get(idHeader), contentType)
}

// Guards against requests that end replicas and are taken for answered, since the
// answers of these replicas end with their connections. Nothing is suspected at
// first.
func TestAnswerThatEndsItsReplicaIsNoAnswer(t *testing.T) {
	cases := map[string]struct {
		path, protocol string
		// events is how many events a replica sends before it ends.
		events int
		// outlives is how long the process goes on after its connection.
		outlives time.Duration
	}{
		"after the first event":       {"/stream/x", "HTTP/1.1", 1, 0},
		"after some events":           {"/stream/x", "HTTP/1.1", 5, 0},
		"after the first, resumable":  {"/resume/x", "HTTP/1.1", 1, 0},
		"HTTP/1.0":                    {"/stream/x", "HTTP/1.0", 1, 0},
		"a while after the answer":    {"/stream/x", "HTTP/1.1", 1, 150 * time.Millisecond},
		"no stream":                   {"/safe/x", "HTTP/1.1", 0, 0},
		"no stream, runs once":        {"/once/x", "HTTP/1.0", 0, 0},
		"no stream, a while after it": {"/safe/x", "HTTP/1.1", 0, 150 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var replicas []*testReplica
			for i := range 7 {
				var x *testReplica
				x = newTestReplica(t, ident.Upstream(fmt.Sprint("r", i)), func(w io.Writer, r *http.Request, _ int) bool {
					contentType := "text/event-stream"
					if c.events == 0 {
						contentType = "text/plain"
					}
					_, _ = io.WriteString(w, unmarkedHead(r, c.protocol, contentType))
					first, _ := strconv.Atoi(r.Header.Get(lastEventHeader))
					for n := range c.events {
						_, _ = io.WriteString(w, eventText(first+n+1))
					}
					if r.URL.Path == c.path {
						time.AfterFunc(c.outlives, x.end)
						time.Sleep(time.Millisecond)
					}
					return false
				})
				replicas = append(replicas, x)
			}
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: 6 * time.Second, MaxAttempts: 2}, unlimitedRetries, nil, replicas...)
			var counted atomic.Int64
			g.EndedAfterAnswer = func(string) { counted.Add(1) }
			sound := func() int {
				resp, _, _ := g.send(t, http.MethodPost, c.path+"/sound")
				return resp.StatusCode
			}
			status := 0
			for range 6 {
				resp, _, _ := g.send(t, http.MethodPost, c.path)
				status = resp.StatusCode
				assert.Equal(t, sound(), http.StatusOK)
				time.Sleep(signCheckDelay / 2)
				assert.Equal(t, sound(), http.StatusOK)
				time.Sleep(signCheckDelay)
			}
			assert.Equal(t, status, http.StatusServiceUnavailable)
			ended := 0
			for _, x := range replicas {
				if refusesConnections(t.Context(), balance.Replica{Address: x.addr}) {
					ended++
				}
			}
			assert.Assert(t, ended >= 3 && ended <= 4, "%d replicas ended", ended)
			assert.Equal(t, sound(), http.StatusOK)
			assert.Assert(t, counted.Load() > 0)
		})
	}
}

// TestSoundUnmarkedAnswersCostFewProbes checks that answers that end with their
// connections are vouched for by later ones of the same replica.
func TestSoundUnmarkedAnswersCostFewProbes(t *testing.T) {
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		_, _ = io.WriteString(w, unmarkedHead(r, "HTTP/1.1", "text/plain"))
		return false
	})
	g := newTestGatewayWithLimits(t, routes.Route{Timeout: time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
	var probes atomic.Int64
	g.ReplicaEnded = func(context.Context, balance.Replica) bool {
		probes.Add(1)
		return false
	}
	const requests = 60
	for range requests {
		start := time.Now()
		resp, _, _ := g.send(t, http.MethodPost, "/safe/x")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Assert(t, time.Since(start) < signAfter, "the answer waited for a sign of life")
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(2 * signCheckDelay)
	assert.Equal(t, g.unmarked.Load(), int64(0))
	// Only the last answers have no later one.
	assert.Assert(t, probes.Load() >= 1 && probes.Load() <= requests/3, "%d probes", probes.Load())
}
