package operator_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/standin/broken"
)

// Guards against operators who see a change as accepted, or a state as read, because
// of a response that is not valid HTTP/1.1.
func TestInvalidResponses(t *testing.T) {
	cases := map[string]string{
		"status 000":     "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
		"status 600":     "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
		"other protocol": "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n{}",
		"name of field":  "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\n{}",
		"version":        "HTTP/2.0 200 X\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			u, err := broken.Start(func(*http.Request) string { return answer }, func(*net.TCPConn) {})
			assert.NilError(t, err)
			defer u.Close()
			c := operator.NewClient([]string{u.Addr()}, "secret")
			_, err = c.Change(t.Context(), operator.Change{})
			assert.Check(t, result.CodeOf(err) == result.Unreachable, "%v", err)
			_, err = c.Get(t.Context(), "/v1/state")
			assert.Check(t, result.CodeOf(err) == result.Unreachable, "%v", err)
		})
	}
}
