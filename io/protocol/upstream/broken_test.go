package upstream_test

import (
	"context"
	"fmt"
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
