package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/routes"
)

// Guards against requests that are taken for not run, and are sent again, since a
// replica wrote an earlier refusal once more on a kept connection.
func TestEarlierRefusalIsNoPromise(t *testing.T) {
	refusal := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 X\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", id, notRunHeader)
	}
	cases := map[string]string{
		"with its own id": idHeader + ": earlier\r\n",
		"without an id":   "",
	}
	for name, id := range cases {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			kept := make(map[io.Writer]bool)
			runs := make(map[string]int)
			x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
				mu.Lock()
				defer mu.Unlock()
				if n == 1 {
					// The refusal of the first request is sound.
					writeResponse(w, r, 503, notRunHeader+": 1\r\n", "")
					kept[w] = true
					return true
				}
				if kept[w] {
					_, _ = io.WriteString(w, refusal(id))
				}
				kept[w] = true
				runs[r.Header.Get(idHeader)]++
				writeResponse(w, r, 200, "", "made")
				return true
			})
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
			for i, path := range []string{"/safe/x", "/once/x", "/safe/x", "/safe/x", "/once/x", "/safe/x"} {
				resp, _, cut := g.send(t, http.MethodPost, path, idHeader, fmt.Sprint("r", i))
				assert.Assert(t, !cut)
				promise := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
				assert.Check(t, !promise, "%s: status %d although the replica ran it", path, resp.StatusCode)
			}
			mu.Lock()
			defer mu.Unlock()
			for request, n := range runs {
				assert.Check(t, n == 1, "%s ran %d times, one attempt is allowed", request, n)
			}
		})
	}
}

// Guards against the text of an error in the middle of a stream, and against
// streams that end as if they were complete after it.
func TestErrorAfterABrokenStreamReachesNobody(t *testing.T) {
	whole := func(status int, header, body string) func(w io.Writer, r *http.Request) {
		return func(w io.Writer, r *http.Request) { writeResponse(w, r, status, header, body) }
	}
	const events = "Content-Type: text/event-stream\r\n"
	cases := map[string]func(w io.Writer, r *http.Request){
		"500":                       whole(500, "", "failed badly"),
		"500 as a stream":           whole(500, events, "data: failed badly\n\n"),
		"502 with a head as text":   whole(502, events, "HTTP/1.1 500 failed badly\r\n\r\n\n\n"),
		"503, not run":              whole(503, notRunHeader+": 1\r\n", "failed badly"),
		"421":                       whole(421, "", "failed badly"),
		"404":                       whole(404, "", "failed badly"),
		"200, no stream":            whole(200, "", "failed badly"),
		"200, an event without id":  whole(200, events, "data: failed badly\n\n"),
		"200, a head as an event":   whole(200, events, "HTTP/1.1 500 X\nfailed badly\n\n"),
		"200, then the right event": whole(200, events, "event: error\ndata: failed badly\n\n"+eventText(3)),
		"200, an invalid field":     whole(200, events+"X A: b\r\n", eventText(3)),
		"status 000": func(w io.Writer, r *http.Request) {
			fmt.Fprintf(w, "HTTP/1.1 000 X\r\n%s: %s\r\n%s\r\n%s", idHeader, r.Header.Get(idHeader), events, eventText(3))
		},
		"200, half an event": whole(200, events, "id: 3\ndata: failed badly"),
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			begin := func(w io.Writer, r *http.Request, _ int) bool {
				if r.Header.Get(lastEventHeader) != "" {
					respond(w, r)
					return false
				}
				writeStreamHead(w, r)
				writeChunk(w, eventText(1)+eventText(2))
				return false
			}
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: time.Second, MaxAttempts: 2}, unlimitedRetries, nil,
				newTestReplica(t, "a", begin), newTestReplica(t, "b", begin))
			_, body, cut := g.send(t, http.MethodPost, "/resume/x")
			assert.Equal(t, body, eventText(1)+eventText(2))
			assert.Assert(t, cut, "the stream ended as if it were complete")
		})
	}
}

// Guards against requests that are lost on a kept connection that has gone silent,
// while new connections to the replica work.
func TestSilentKeptConnectionLosesNoRequest(t *testing.T) {
	var mu sync.Mutex
	used := make(map[io.Writer]bool)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, n int) bool {
		mu.Lock()
		silent := used[w]
		used[w] = true
		mu.Unlock()
		if silent {
			<-hold
			return false
		}
		return respondOK(w, r, n)
	})
	g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 2}, unlimitedRetries, nil, x)
	for range 2 {
		resp, _, cut := g.send(t, http.MethodPost, "/safe/x")
		assert.Assert(t, !cut)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against answers whose head was cut and that reach clients as whole ones.
func TestCutHeadReachesNoClient(t *testing.T) {
	heads := map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n",
		"with a length": "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 7\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resume/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				cut := 0
				x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
					whole := fmt.Sprintf(head, idHeader, r.Header.Get(idHeader))
					_, _ = io.WriteString(w, whole[:min(cut, len(whole)-1)])
					return false
				})
				g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
				for ; cut < len(head)+len(idHeader); cut += 3 {
					resp, body, _ := g.send(t, http.MethodPost, path)
					assert.Check(t, resp.StatusCode >= http.StatusInternalServerError, "cut after %d: %d %q", cut, resp.StatusCode, body)
				}
			})
		}
	}
}

// Guards against requests that run at most once and that the end of the process
// would cut.
func TestEndOfTheProcessCutsNothingThatRunsOnce(t *testing.T) {
	cases := map[string]struct {
		path string
		left time.Duration
		want int
	}{
		"ends in time":         {"/once/x", 3 * time.Second, http.StatusOK},
		"may not end in time":  {"/once/x", time.Second, http.StatusServiceUnavailable},
		"may be repeated":      {"/safe/x", time.Second, http.StatusOK},
		"a stream goes on too": {"/resume/x", time.Second, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := newTestReplica(t, "x", respondOK)
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
			g.EndBy(time.Now().Add(c.left))
			resp, _, _ := g.send(t, http.MethodPost, c.path)
			assert.Equal(t, resp.StatusCode, c.want)
			assert.Equal(t, x.requestCount() == 0, c.want != http.StatusOK)
		})
	}
}
