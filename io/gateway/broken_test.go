package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/routes"
	"papayaspoke/io/standin/broken"
)

// brokenAnswerPaths has a path on each kind of route.
var brokenAnswerPaths = []string{"/safe/x", "/once/x", "/stream/x", "/resume/x"}

// reachesNoClient checks that clients get an error of the gateway in place of an answer.
// {id} in the answer stands for the header with the request's id.
func reachesNoClient(t *testing.T, answer string) {
	t.Helper()
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		id := fmt.Sprintf("%s: %s\r\n", idHeader, r.Header.Get(idHeader))
		_, _ = io.WriteString(w, strings.ReplaceAll(answer, "{id}", id))
		return false
	})
	g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
	for _, path := range brokenAnswerPaths {
		resp, body, cut := g.send(t, http.MethodPost, path)
		assert.Assert(t, resp != nil && !cut, "%s: the connection was closed", path)
		assert.Check(t, resp.StatusCode == http.StatusBadGateway && resp.Header.Get("Test-Code") != "",
			"%s: status %d, headers %v, body %q", path, resp.StatusCode, resp.Header, body)
	}
}

// Guards against answers whose status is none of HTTP and that clients get with another
// one.
func TestInvalidStatusReachesNoClient(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "600", "700", "999", "+20", "-00", "20", "2000", "2x0", "0x1", "101", " 200"} {
		for name, framing := range map[string]string{
			"with a length": "Content-Length: 4\r\n\r\nmade",
			"chunked":       "Transfer-Encoding: chunked\r\n\r\n4\r\nmade\r\n0\r\n\r\n",
			"no length":     "\r\nmade",
			"no body":       "Content-Length: 0\r\n\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				reachesNoClient(t, "HTTP/1.1 "+status+" X\r\n{id}"+framing)
			})
		}
	}
}

// TestStatusIsPassedOn checks that clients get the status that the replica sent, also
// one without a name.
func TestStatusIsPassedOn(t *testing.T) {
	for _, status := range []int{200, 203, 218, 299, 302, 306, 399, 400, 404, 419, 444, 499, 500, 520, 599} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				writeResponse(w, r, status, "", "made")
				return true
			})
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
			for _, path := range brokenAnswerPaths {
				resp, body, cut := g.send(t, http.MethodPost, path)
				assert.Assert(t, resp != nil && !cut)
				assert.Check(t, resp.StatusCode == status && body == "made", "%s: status %d, body %q", path, resp.StatusCode, body)
			}
		})
	}
}

// Guards against parts of an answer that clients get as a complete one, since the
// replica reset its connection while the request was being written.
func TestResetDuringUploadReachesNoClient(t *testing.T) {
	// More than the kernel buffers for a replica that doesn't read.
	upload := strings.Repeat("x", 4<<20)
	cases := map[string]struct{ head, body string }{
		"a body":   {"", "part"},
		"no body":  {"", ""},
		"a stream": {"Content-Type: text/event-stream\r\n", eventText(1)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u, err := broken.Start(func(r *http.Request) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", idHeader, r.Header.Get(idHeader), tc.head, tc.body)
			}, broken.Reset)
			assert.NilError(t, err)
			t.Cleanup(u.Close)
			x := &testReplica{name: "x", addr: u.Addr()}
			g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
			for _, path := range brokenAnswerPaths {
				for range 5 {
					// The replica is ejected after its first failure.
					g.SetReplicas(nil, 1)
					g.SetReplicas([]balance.Replica{{Name: x.name, Incarnation: 1, Service: "s", Address: x.addr, DataCentre: "here", Slots: 4}}, 1)
					req, err := http.NewRequest(http.MethodPost, "http://"+g.front.Addr()+path, strings.NewReader(upload))
					assert.NilError(t, err)
					req.Header.Set(idHeader, "r1")
					resp, err := http.DefaultTransport.RoundTrip(req)
					assert.NilError(t, err)
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					assert.Check(t, err != nil || resp.StatusCode == http.StatusBadGateway, "%s: status %d, %q", path, resp.StatusCode, body)
				}
			}
		})
	}
}

// Guards against answers with a field that is not valid, which clients get with that
// field, or with another body than the replica's.
func TestInvalidFieldReachesNoClient(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	answers := map[string]string{
		"blank in a name":       "{id}X A: b\r\n" + length + "\r\nmade",
		"blank before a colon":  "{id}X-A : b\r\n" + length + "\r\nmade",
		"blank after a length":  "{id}Content-Length : 4\r\n\r\nmade, and bytes of no answer",
		"blank after chunked":   "{id}Transfer-Encoding : chunked\r\n\r\n4\r\nmade\r\n0\r\n\r\n",
		"blank before a length": "{id} Content-Length: 4\r\n\r\nmade, and bytes of no answer",
		"tab before a name":     "{id}X-A: b\r\n\tX-B: c\r\n" + length + "\r\nmade",
		"tab in a name":         "{id}X\tA: b\r\n" + length + "\r\nmade",
		"NUL in a name":         "{id}X\x00A: b\r\n" + length + "\r\nmade",
		"CR in a name":          "{id}X\rA: b\r\n" + length + "\r\nmade",
		"escape before a colon": "{id}X-A\x1b: b\r\n" + length + "\r\nmade",
		"blank in a stream":     "{id}Content-Type: text/event-stream\r\nX A: b\r\n\r\n" + eventText(1),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reachesNoClient(t, "HTTP/1.1 200 OK\r\n"+answer)
			reachesNoClient(t, "HTTP/1.1 500 X\r\n"+answer)
		})
	}
}

// Guards against answers with ambiguous framing, whose body clients get as net/http
// understands it.
func TestInvalidFramingReachesNoClient(t *testing.T) {
	const chunks = "\r\n4\r\nmade\r\n0\r\n\r\n"
	answers := map[string]string{
		"length and chunks":  "HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\n{id}Transfer-Encoding: chunked\r\n" + chunks,
		"body of 204":        "HTTP/1.1 204 X\r\n{id}Content-Length: 4\r\n\r\nmade",
		"body of interim":    "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nmade",
		"events in HTTP/1.0": "HTTP/1.0 200 OK\r\n{id}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + eventText(1) + "\r\n0\r\n\r\n",
		"chunk too long":     "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n3\r\nmade\r\n0\r\n\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reachesNoClient(t, answer)
		})
	}
}

// Guards against answers that clients get as complete although a trailer field is invalid.
func TestInvalidTrailerReachesNoClient(t *testing.T) {
	const end = "\r\n0\r\nX A: b\r\n\r\n"
	reachesNoClient(t, "HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n4\r\nmade"+end)
	x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
		writeStreamHead(w, r)
		fmt.Fprintf(w, "%x\r\n%s%s", len(eventText(1)), eventText(1), end)
		return false
	})
	g := newTestGatewayWithLimits(t, routes.Route{Timeout: 2 * time.Second, MaxAttempts: 1}, unlimitedRetries, nil, x)
	for _, path := range []string{"/stream/x", "/resume/x"} {
		_, body, cut := g.send(t, http.MethodPost, path)
		assert.Check(t, cut, "%s: the stream ended as if it were complete: %q", path, body)
	}
}
