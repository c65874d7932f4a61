package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/standin/broken"
	"papayaspoke/io/transport/client"
)

// Guards against answers of services that are not valid or were cut and that callers
// get as complete ones.
func TestBrokenAnswerOfServiceIsNone(t *testing.T) {
	// More than the kernel buffers for a service that doesn't read.
	upload := make([]byte, 8<<20)
	const rest = "Content-Length: 4\r\n\r\nmade"
	cases := map[string]struct {
		answer string
		body   []byte
	}{
		"status 000":          {"HTTP/1.1 000 X\r\n" + rest, nil},
		"status 600":          {"HTTP/1.1 600 X\r\n" + rest, nil},
		"other protocol":      {"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", nil},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX A: b\r\n" + rest, nil},
		"blank after length":  {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nmade, and more", nil},
		"tab before a name":   {"HTTP/1.1 200 OK\r\nX-A: b\r\n\tX-B: c\r\n" + rest, nil},
		"NUL in a name":       {"HTTP/1.1 200 OK\r\nX\x00A: b\r\n" + rest, nil},
		"reset in the upload": {"HTTP/1.1 200 OK\r\n\r\npart", upload},
	}
	for name, tc := range cases {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %t", name, idempotent), func(t *testing.T) {
				t.Parallel()
				u, err := broken.Start(func(*http.Request) string { return tc.answer }, broken.Reset)
				assert.NilError(t, err)
				defer u.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				a, err := upstream.NewClient(client.New()).Call(ctx, u.Addr(), upstream.ServiceCall{
					Method: http.MethodPost, Path: "/turns", Body: tc.body, Idempotent: idempotent,
				})
				assert.Assert(t, err != nil, "%+v", a)
				want := result.Unknown
				if idempotent {
					want = result.UpstreamFailed
				}
				assert.Equal(t, result.CodeOf(err), want, "%v", err)
			})
		}
	}
}

// Guards against streams of engines, and acknowledgements of orders, whose head is not
// valid.
func TestBrokenAnswerOfEngineIsNone(t *testing.T) {
	const ack = `{"id":"o1","incarnation":7}`
	answers := map[string]string{
		"status line":   "HTTP/2.0 200 OK\r\n\r\n" + ack,
		"two spaces":    "HTTP/1.1  200 OK\r\n\r\n" + ack,
		"name of field": "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n" + ack,
		"interim":       "HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + ack,
		"framing":       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\n" + ack + "\r\n0\r\n\r\n",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			u, err := broken.Start(func(*http.Request) string { return answer }, func(*net.TCPConn) {})
			assert.NilError(t, err)
			defer u.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err = newClient().Generate(ctx, u.Addr(), sampleGenerate())
			assert.Check(t, result.CodeOf(err) == result.UpstreamFailed, "%v", err)
			_, err = newClient().Load(ctx, u.Addr(), upstream.LoadOrder{Order: upstream.Order{ID: "o1", Incarnation: 7}, Adapter: letters})
			assert.Check(t, result.CodeOf(err) == result.UpstreamFailed, "%v", err)
		})
	}
}
