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
