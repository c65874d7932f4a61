package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/transport/server"
)

// TestLongestWaitGivesWay guards against clients that hold connections until there are
// none for others, and against the end of a connection with a request in flight.
func TestLongestWaitGivesWay(t *testing.T) {
	const limit = 4
	release := make(chan struct{})
	s := listen(t, server.Options{Connections: server.NewConnLimit(limit)}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	})
	slow := dial(t, s)
	fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	for end := time.Now().Add(testTimeout); s.InFlight() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	kept := dial(t, s)
	ask(t, kept, "/kept")
	dripping := dial(t, s)
	fmt.Fprint(dripping, "GET / HTTP/1.1\r\n")
	time.Sleep(20 * time.Millisecond)
	ask(t, kept, "/again")
	for n := range 2 * limit {
		ask(t, dial(t, s), fmt.Sprint("/", n))
	}
	for _, c := range []net.Conn{dripping, kept} {
		_, err := c.Read(make([]byte, 1))
		assert.Check(t, err != nil, "the connection was not closed")
		assert.Check(t, !isTimeout(err), "the connection was not closed")
	}
	close(release)
	checkAnswer(t, slow, "/slow")
	assert.Check(t, s.Connections() <= limit+1, "%d connections", s.Connections())
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// ask sends a request and checks its answer.
func ask(t *testing.T, c net.Conn, path string) {
	t.Helper()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
	checkAnswer(t, c, path)
}

func checkAnswer(t *testing.T, c net.Conn, want string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), want)
}

// TestNoConnectionWithoutRoom checks that a new connection is closed if all others have
// requests in flight.
func TestNoConnectionWithoutRoom(t *testing.T) {
	release := make(chan struct{})
	s := listen(t, server.Options{Connections: server.NewConnLimit(1)}, func(w http.ResponseWriter, r *http.Request) {
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	first := dial(t, s)
	fmt.Fprint(first, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
	for end := time.Now().Add(testTimeout); s.InFlight() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	_, err := dial(t, s).Read(make([]byte, 1))
	assert.Check(t, err != nil && !isTimeout(err), "%v", err)
	close(release)
	checkAnswer(t, first, "/first")
	// The first connection waits for its peer soon after its answer was written.
	for end := time.Now().Add(testTimeout); ; {
		next := dial(t, s)
		fmt.Fprint(next, "GET /next HTTP/1.1\r\nHost: x\r\n\r\n")
		if _, err := next.Read(make([]byte, 1)); err == nil {
			return
		}
		assert.Assert(t, time.Now().Before(end))
	}
}
