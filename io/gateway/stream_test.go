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

// TestStalledStreamGoesOnElsewhere answers replicas that go dark, or send a byte
// now and then that completes no event, in the middle of a stream: where it may
// be resumed it goes on at another replica before the client gives up. A stream
// that is only slow is left alone.
func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	cases := map[string]struct {
		stall   func(w io.Writer)
		resumed bool
	}{
		"dark":                  {func(io.Writer) { time.Sleep(1800 * time.Millisecond) }, true},
		"a byte now and then":   {func(w io.Writer) { drip(w, 1800*time.Millisecond) }, true},
		"slow, but events come": {func(w io.Writer) { slowly(w, 3, 6) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				streamHead(w, r)
				chunk(w, event(1)+event(2))
				tc.stall(w)
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			y := newReplica(t, "y", func(w io.Writer, r *http.Request, _ int) bool {
				streamHead(w, r)
				for n := 3; n <= 6; n++ {
					chunk(w, event(n))
				}
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			s := newSetup(t, plenty, nil, x, y)
			s.askFirst(t, "x", []*replica{x, y})
			begun := time.Now()
			resp, body, cut := s.ask(t, http.MethodPost, "/resume/x")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Assert(t, !cut)
			assert.Equal(t, body, event(1)+event(2)+event(3)+event(4)+event(5)+event(6))
			assert.Equal(t, y.asked() > 0, tc.resumed)
			assert.Assert(t, time.Since(begun) < 1700*time.Millisecond)
		})
	}
}

// drip writes a chunk of one byte now and then.
func drip(w io.Writer, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		chunk(w, "d")
	}
}

// slowly writes events with pauses that are long but sound.
func slowly(w io.Writer, from, to int) {
	for n := from; n <= to; n++ {
		time.Sleep(300 * time.Millisecond)
		chunk(w, event(n))
	}
}

// generation has the limits of a route whose clients wait four seconds for the
// next event.
var generation = routes.Route{Timeout: 8 * time.Second, FirstByteTarget: time.Second, MaxPause: 300 * time.Millisecond, MaxAttempts: 2}

// Guards against cutting an answer because its replica had put the request back
// for a while: silence says nothing of whether the stream goes on.
func TestPausedStreamIsNotCut(t *testing.T) {
	full := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 503, notRun+": 1\r\n", ""); return true }
	absent := func(w io.Writer, r *http.Request, _ int) bool { say(w, r, 421, "", ""); return true }
	cases := map[string]struct {
		pause time.Duration
		// answers is what the replica does when asked for a sign of life.
		answers   bool
		allowance balance.RetryBudget
		second    func(w io.Writer, r *http.Request, n int) bool
	}{
		"no other replica":              {3 * time.Second, false, plenty, nil},
		"the other one is full":         {1500 * time.Millisecond, false, plenty, full},
		"the other one lacks it":        {3 * time.Second, true, plenty, absent},
		"no repeat is allowed":          {3 * time.Second, false, balance.RetryBudget{Window: time.Minute}, fine},
		"the other one has broken down": {3 * time.Second, true, plenty, func(io.Writer, *http.Request, int) bool { return false }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rs := []*replica{newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				streamHead(w, r)
				chunk(w, event(1)+event(2))
				time.Sleep(tc.pause)
				chunk(w, event(3))
				chunk(w, "")
				return true
			})}
			if tc.second != nil {
				rs = append(rs, newReplica(t, "y", tc.second))
			}
			s := newSetupOf(t, generation, tc.allowance, nil, rs...)
			s.Probe = func(context.Context, balance.Replica) bool { return tc.answers }
			s.askFirst(t, "x", rs)
			_, body, cut := s.ask(t, http.MethodPost, "/resume/x")
			assert.Assert(t, !cut)
			assert.Equal(t, body, event(1)+event(2)+event(3))
		})
	}
}

// askFirst makes name the replica that the next request goes to.
func (s *setup) askFirst(t *testing.T, name ident.Upstream, rs []*replica) {
	t.Helper()
	for _, r := range rs {
		if r.name == name {
			continue
		}
		_, m, _ := s.balancer.Pick(time.Now(), balance.Query{Service: "s", Exclude: []ident.Upstream{name}})
		assert.Equal(t, m, balance.Found)
	}
}

// TestEndOfStreamIsTold breaks streams in several ways: the log names who ended
// each.
func TestEndOfStreamIsTold(t *testing.T) {
	cases := map[string]struct {
		end  func(w io.Writer)
		told EndedBy
	}{
		"closed":    {func(io.Writer) {}, ByReplica},
		"reset":     {func(w io.Writer) { _ = w.(*net.TCPConn).SetLinger(0) }, ByReset},
		"too large": {func(w io.Writer) { chunk(w, strings.Repeat("x", maxEvent+1)) }, ByContent},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			x := newReplica(t, "x", func(w io.Writer, r *http.Request, _ int) bool {
				streamHead(w, r)
				chunk(w, event(1)+event(2))
				time.Sleep(50 * time.Millisecond)
				tc.end(w)
				return false
			})
			s := newSetup(t, plenty, nil, x)
			lines := make(chan string, 16)
			s.Log = funcr.New(func(_, line string) { lines <- line }, funcr.Options{})
			_, _, cut := s.ask(t, http.MethodPost, "/stream/x")
			assert.Assert(t, cut)
			for {
				line := waitLine(t, lines)
				if !strings.Contains(line, `"stream ended early"`) {
					continue
				}
				assert.Assert(t, strings.Contains(line, fmt.Sprintf(`"by"=%q`, tc.told)), line)
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
		t.Fatal("no such line")
		return ""
	}
}
