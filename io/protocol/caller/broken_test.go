package caller_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/standin/broken"
	"papayaspoke/io/transport/client"
)

// Guards against answers of other daemons that are passed on although their head is not
// valid.
func TestBrokenAnswerOfDaemonIsNone(t *testing.T) {
	const body = "event: origin\ndata: {\"adapter\":\"letters@3\"}\n\n" +
		"data: {\"id\":\"r1\",\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
	answers := map[string]string{
		"status line":   "HTTP/2.0 200 OK\r\n\r\n" + body,
		"name of field": "HTTP/1.1 200 OK\r\nX A: b\r\n\r\n" + body,
		"interim":       "HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + body,
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			u, err := broken.Start(func(*http.Request) string { return answer }, func(*net.TCPConn) {})
			assert.NilError(t, err)
			defer u.Close()
			f := caller.NewForwarder(client.New(), "d1", "secret")
			_, err = f.Infer(t.Context(), u.Addr(), sampleInfer())
			assert.Check(t, result.CodeOf(err) == result.Unknown, "%v", err)
			_, err = f.Call(t.Context(), u.Addr(), caller.ServiceRequest{Service: "booking", Method: http.MethodPost, Path: "/turns"})
			assert.Check(t, result.CodeOf(err) == result.Unknown, "%v", err)
		})
	}
}
