package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/ident"
	"papayaspoke/core/routes"
)

// TestStalledStreamGoesOnElsewhere lets a replica stop responding, or send a
// byte now and then that completes no event, in the middle of a stream: where
// the stream may be resumed, another replica continues it before the client
// gives up. A stream that is only slow is left alone.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	cases := map[string]struct {
		stall   func(w io.Writer)
		resumed bool
	}{
		"dark":                  {func(io.Writer) { time.Sleep(1800 * time.Millisecond) }, true},
		"a byte now and then":   {func(w io.Writer) { writeTrickle(w, 1800*time.Millisecond) }, true},
		"slow, but events come": {func(w io.Writer) { writeEventsSlowly(w, 3, 6) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				writeStreamHead(w, r)
				writeChunk(w, eventText(1)+eventText(2))
				tc.stall(w)
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			y := newTestReplica(t, "y", func(w io.Writer, r *http.Request, _ int) bool {
				writeStreamHead(w, r)
				for n := 3; n <= 6; n++ {
					writeChunk(w, eventText(n))
				}
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			s := newTestGateway(t, unlimitedRetries, nil, x, y)
			s.sendNextTo(t, "x", []*testReplica{x, y})
			start := time.Now()
			resp, body, cut := s.send(t, http.MethodPost, "/resume/x")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Assert(t, !cut)
			assert.Equal(t, body, eventText(1)+eventText(2)+eventText(3)+eventText(4)+eventText(5)+eventText(6))
			assert.Equal(t, y.requestCount() > 0, tc.resumed)
			assert.Assert(t, time.Since(start) < 1700*time.Millisecond)
		})
	}
}

// writeTrickle writes a chunk of one byte every 100 ms.
func writeTrickle(w io.Writer, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		writeChunk(w, "d")
	}
}

// writeEventsSlowly writes events with pauses that are long but regular.
func writeEventsSlowly(w io.Writer, from, to int) {
	for n := from; n <= to; n++ {
		time.Sleep(300 * time.Millisecond)
		writeChunk(w, eventText(n))
	}
}

// generationLimits are the limits of a route whose clients wait four seconds
// for the next event.
var generationLimits = routes.Route{Timeout: 8 * time.Second, FirstByteTarget: time.Second, MaxPause: 300 * time.Millisecond, MaxAttempts: 2}

// Guards against cutting a stream whose replica preempted the request for a
// while: idleness does not show whether the stream will continue.
func TestPausedStreamIsNotCut(t *testing.T) {
	full := func(w io.Writer, r *http.Request, _ int) bool {
		writeResponse(w, r, 503, notRunHeader+": 1\r\n", "")
		return true
	}
	absent := func(w io.Writer, r *http.Request, _ int) bool { writeResponse(w, r, 421, "", ""); return true }
	cases := map[string]struct {
		pause time.Duration
		// responsive is the result of a probe of the replica.
		responsive bool
		allowance  balance.RetryBudget
		second     func(w io.Writer, r *http.Request, n int) bool
	}{
		"no other replica":              {3 * time.Second, false, unlimitedRetries, nil},
		"the other one is full":         {1500 * time.Millisecond, false, unlimitedRetries, full},
		"the other one lacks it":        {3 * time.Second, true, unlimitedRetries, absent},
		"no repeat is allowed":          {3 * time.Second, false, balance.RetryBudget{Window: time.Minute}, respondOK},
		"the other one has broken down": {3 * time.Second, true, unlimitedRetries, func(io.Writer, *http.Request, int) bool { return false }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rs := []*testReplica{newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				writeStreamHead(w, r)
				writeChunk(w, eventText(1)+eventText(2))
				time.Sleep(tc.pause)
				writeChunk(w, eventText(3))
				writeChunk(w, "")
				return true
			})}
			if tc.second != nil {
				rs = append(rs, newTestReplica(t, "y", tc.second))
			}
			s := newTestGatewayWithLimits(t, generationLimits, tc.allowance, nil, rs...)
			s.Probe = func(context.Context, balance.Replica) bool { return tc.responsive }
			s.sendNextTo(t, "x", rs)
			_, body, cut := s.send(t, http.MethodPost, "/resume/x")
			assert.Assert(t, !cut)
			assert.Equal(t, body, eventText(1)+eventText(2)+eventText(3))
		})
	}
}

// sendNextTo makes name the replica that the next request goes to: each of the
// others gets a request in flight.
func (s *testGateway) sendNextTo(t *testing.T, name ident.Upstream, rs []*testReplica) {
	t.Helper()
	for _, r := range rs {
		if r.name == name {
			continue
		}
		_, m, _ := s.balancer.Pick(time.Now(), balance.Query{Service: "s", Exclude: []ident.Upstream{name}})
		assert.Equal(t, m, balance.Found)
	}
}

// TestEndOfStreamIsTold ends streams in several ways: the log names the cause
// of each.
func TestEndOfStreamIsTold(t *testing.T) {
	cases := map[string]struct {
		end  func(w io.Writer)
		want EndedBy
	}{
		"closed":    {func(io.Writer) {}, EndedByReplica},
		"reset":     {func(w io.Writer) { _ = w.(*net.TCPConn).SetLinger(0) }, EndedByReset},
		"too large": {func(w io.Writer) { writeChunk(w, strings.Repeat("x", maxEventSize+1)) }, EndedByInvalidEvent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newTestReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				writeStreamHead(w, r)
				writeChunk(w, eventText(1)+eventText(2))
				time.Sleep(50 * time.Millisecond)
				tc.end(w)
				return false
			})
			s := newTestGateway(t, unlimitedRetries, nil, x)
			lines := make(chan string, 16)
			s.Log = funcr.New(func(_, line string) { lines <- line }, funcr.Options{})
			_, _, cut := s.send(t, http.MethodPost, "/stream/x")
			assert.Assert(t, cut)
			for {
				line := waitLine(t, lines)
				if !strings.Contains(line, `"stream ended early"`) {
					continue
				}
				assert.Assert(t, strings.Contains(line, fmt.Sprintf(`"by"=%q`, tc.want)), line)
				assert.Assert(t, strings.Contains(line, `"last"="2"`), line)
				return
			}
		})
	}
}

func waitLine(t *testing.T, lines <-chan string) string {
	t.Helper()
	select {
	case line := <-lines:
		return line
	case <-time.After(5 * time.Second):
		t.Fatal("no matching log line within 5 s")
		return ""
	}
}

// TestEventsWithoutIDsEnd guards against replicas that send bytes without end which only
// look like events.
func TestEventsWithoutIDsEnd(t *testing.T) {
	line := strings.Repeat("x", 1000)
	cases := map[string]struct {
		event string
		want  error
	}{
		"comments": {":" + line + "\n\n", errUnnumbered},
		"data":     {"data: " + line + "\n\n", errUnnumbered},
		"ids":      {"id: 5\ndata: " + line + "\n\n", nil},
		"signs":    {":\n\n", nil},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := eventParser{}
			var err error
			for range 200 {
				if _, err = e.add([]byte(tc.event)); err != nil {
					break
				}
			}
			assert.Equal(t, err, tc.want)
		})
	}
}
