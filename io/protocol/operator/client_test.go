package operator_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
)

// startServer returns the address of a server that sends answer to each request and
// closes the connection.
func startServer(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

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
			c := operator.NewClient([]string{startServer(t, answer)}, "secret")
			_, err := c.Change(t.Context(), operator.Change{})
			assert.Check(t, result.CodeOf(err) == result.Unreachable, "%v", err)
			_, err = c.Get(t.Context(), "/v1/state")
			assert.Check(t, result.CodeOf(err) == result.Unreachable, "%v", err)
		})
	}
}
