package peer_test

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/io/protocol/peer"
	"papayaspoke/io/standin/broken"
	"papayaspoke/io/transport/client"
)

// TestBrokenAnswerOfPeerIsNone checks answers of daemons to each other, an empty message
// each. The sound one shows that only the head is at fault.
func TestBrokenAnswerOfPeerIsNone(t *testing.T) {
	const rest = "Content-Type: application/proto\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		answer string
		sound  bool
	}{
		"sound":         {"HTTP/1.1 200 OK\r\n" + rest, true},
		"status line":   {"HTTP/2.0 200 OK\r\n" + rest, false},
		"name of field": {"HTTP/1.1 200 OK\r\nX A: b\r\n" + rest, false},
		"interim":       {"HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			u, err := broken.Start(func(*http.Request) string { return tc.answer }, func(*net.TCPConn) {})
			assert.NilError(t, err)
			defer u.Close()
			_, _, err = peer.NewClient(client.New().HTTP(), "secret").ReadIndex(t.Context(), u.Addr(), "d1")
			assert.Check(t, (err == nil) == tc.sound, "%v", err)
		})
	}
}
