package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/routes"
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
