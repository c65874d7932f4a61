package server_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/protocol/wire"
	"papayaspoke/io/transport/server"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

func listen(t *testing.T, opts server.Options, h http.HandlerFunc) *server.Server {
	t.Helper()
	opts.Refuse = wire.Refuse
	s, err := server.Listen("127.0.0.1:0", h, opts)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, s *server.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// after returns a deadline function that adds d.
func after(d time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

// TestGoneCallerCancelsRequest checks that a disconnect cancels the context of a
// running request, which nbhttp alone would do only after the handler returns.
func TestGoneCallerCancelsRequest(t *testing.T) {
	started, cause := make(chan struct{}), make(chan error, 1)
	s := listen(t, server.Options{}, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-r.Context().Done():
			cause <- context.Cause(r.Context())
		case <-time.After(testTimeout):
			cause <- errors.New("context was not cancelled")
		}
	})
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	assert.NilError(t, c.Close())
	assert.ErrorIs(t, <-cause, server.ErrConnClosed)
}

// TestCutAnswerNeverLooksWhole guards against responses that fail midway and are
// read by the client as complete.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"cut before a byte":   func(w http.ResponseWriter, _ *http.Request) { server.Abort(w) },
		"cut after a piece":   func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "part"); server.Abort(w) },
		"panic after a piece": func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "part"); panic("fault") },
		"aborted":             func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, h := range cases {
		t.Run(name, func(t *testing.T) {
			s := listen(t, server.Options{}, h)
			resp, err := http.Get("http://" + s.Addr())
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF), "got %v", err)
		})
	}
}

func TestPanicAnswers(t *testing.T) {
	s := listen(t, server.Options{}, func(http.ResponseWriter, *http.Request) { panic("fault") })
	resp, err := http.Get("http://" + s.Addr())
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, resp.Header.Get(wire.ResultHeader), "599")
}

// TestLongAnswerOutlivesKeepalive guards against the idle deadline ending a response
// that takes longer than it.
func TestLongAnswerOutlivesKeepalive(t *testing.T) {
	const chunks = 6
	s := listen(t, server.Options{IdleDeadline: after(50 * time.Millisecond)}, func(w http.ResponseWriter, _ *http.Request) {
		for range chunks {
			time.Sleep(30 * time.Millisecond)
			fmt.Fprint(w, "piece ")
			w.(http.Flusher).Flush()
		}
	})
	c := dial(t, s)
	for range 2 {
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), strings.Repeat("piece ", chunks))
	}
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle connection must be closed")
}

func TestBadRequestsGetTheirNumber(t *testing.T) {
	big := strings.Repeat("x", 2000)
	cases := map[string]struct{ send, status, code string }{
		"large body":       {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + big, "413", "106"},
		"large unsent":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", "413", "106"},
		"large chunked":    {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + big + "\r\n0\r\n\r\n", "413", "106"},
		"both lengths":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "400", "107"},
		"both, other way":  {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "400", "107"},
		"two lengths":      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400", "107"},
		"not HTTP":         {"\x16\x03\x01 hello\r\n\r\n", "400", "101"},
		"bad length":       {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n", "400", "101"},
		"half-sent head":   {"POST / HTTP/1.1\r\nHo", "408", "116"},
		"half-sent body":   {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "408", "116"},
		"half-sent chunks": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "408", "116"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := listen(t, server.Options{MaxBody: 1000, ReceiveDeadline: after(50 * time.Millisecond)}, func(http.ResponseWriter, *http.Request) {
				t.Error("the handler was called for an invalid request")
			})
			c := dial(t, s)
			fmt.Fprint(c, tc.send)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(resp.StatusCode), tc.status)
			assert.Equal(t, resp.Header.Get(wire.ResultHeader), tc.code)
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(b), `"code":`+tc.code), "body %s", b)
		})
	}
}

// TestShutdownCutsNothing checks that a graceful shutdown delivers a response in
// flight completely, also to a slow reader.
func TestShutdownCutsNothing(t *testing.T) {
	started := make(chan struct{})
	s := listen(t, server.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "first ")
		w.(http.Flusher).Flush()
		close(started)
		time.Sleep(100 * time.Millisecond)
		_, _ = w.Write(bytes.Repeat([]byte("x"), 4<<20))
		fmt.Fprint(w, " last")
	})
	type outcome struct {
		n   int
		err error
	}
	got := make(chan outcome, 1)
	go func() {
		resp, err := http.Get("http://" + s.Addr())
		if err != nil {
			got <- outcome{0, err}
			return
		}
		time.Sleep(200 * time.Millisecond) // simulates a slow reader
		b, err := io.ReadAll(resp.Body)
		got <- outcome{len(b), err}
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	assert.NilError(t, s.Shutdown(ctx))
	o := <-got
	assert.NilError(t, o.err)
	assert.Equal(t, o.n, len("first ")+4<<20+len(" last"))
	_, err := net.DialTimeout("tcp", s.Addr(), time.Second)
	assert.Assert(t, err != nil, "new connections must be refused")
}

// TestLargeAnswersStayApart guards against large writes of concurrent responses that
// share a buffer which the library has already freed.
func TestLargeAnswersStayApart(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
		b := bytes.Repeat([]byte(r.URL.Query().Get("c")), 200_000)
		for len(b) > 0 {
			n := min(len(b), 70_000)
			_, _ = w.Write(b[:n])
			b = b[n:]
		}
	})
	done := make(chan error, 8)
	for i := range 8 {
		go func() { done <- checkAnswers(s.Addr(), string(rune('a'+i))) }()
	}
	for range 8 {
		assert.NilError(t, <-done)
	}
}

// checkAnswers requests large responses of one letter and checks that they hold no
// bytes of a concurrent response.
func checkAnswers(addr, letter string) error {
	for range 10 {
		resp, err := http.Get("http://" + addr + "/?c=" + letter)
		if err != nil {
			return err
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if string(b) != strings.Repeat(letter, 200_000) {
			return fmt.Errorf("response for %s holds other bytes", letter)
		}
	}
	return nil
}

// TestStatusIsSentAsItIs checks that peers get the status that the handler set, also
// one without a name.
func TestStatusIsSentAsItIs(t *testing.T) {
	writes := map[string]func(w http.ResponseWriter){
		"no body":       func(http.ResponseWriter) {},
		"a body":        func(w http.ResponseWriter) { fmt.Fprint(w, "text") },
		"a large body":  func(w http.ResponseWriter) { fmt.Fprint(w, strings.Repeat("text", 50_000)) },
		"flushed":       func(w http.ResponseWriter) { w.(http.Flusher).Flush(); fmt.Fprint(w, "text") },
		"a second call": func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) },
	}
	for name, write := range writes {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" "+version, func(t *testing.T) {
				s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
					status, _ := strconv.Atoi(r.URL.Path[1:])
					w.WriteHeader(status)
					write(w)
				})
				c := dial(t, s)
				in := bufio.NewReader(c)
				for _, status := range []int{200, 299, 200, 207, 218, 306, 399, 404, 444, 499, 500, 520, 599, 200} {
					fmt.Fprintf(c, "GET /%d HTTP/%s\r\nHost: x\r\nConnection: keep-alive\r\n\r\n", status, version)
					resp, err := http.ReadResponse(in, nil)
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, status)
					_, err = io.ReadAll(resp.Body)
					assert.NilError(t, err)
				}
			})
		}
	}
}

// Guards against responses with status 200 of handlers that set a status that is not
// valid.
func TestInvalidStatusIsNotSent(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
		status, _ := strconv.Atoi(r.URL.Path[1:])
		w.WriteHeader(status)
		fmt.Fprint(w, "text")
	})
	for _, status := range []int{0, 20, 99, 100, 101, 199, 600, 999, 2000} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := dial(t, s)
			fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", status)
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestHeadHasNoBody(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "text") })
	c := dial(t, s)
	in := bufio.NewReader(c)
	for range 2 {
		fmt.Fprint(c, "HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
		assert.NilError(t, err)
	}
}

func TestPipelinedRequestsAnswerInOrder(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	c := dial(t, s)
	fmt.Fprint(c, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	in := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2"} {
		resp, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), want)
	}
}

// TestTooManyPipelinedRequestsEndTheConnection checks that no request is dropped
// between others: each response read belongs to its request, up to the close.
func TestTooManyPipelinedRequestsEndTheConnection(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	})
	c := dial(t, s)
	go func() {
		for i := range 500 {
			fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
		}
	}()
	in := bufio.NewReader(c)
	for i := range 500 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		b, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(b), fmt.Sprintf("/%d", i))
	}
}

// TestHTTP10ResponseIsComplete checks that a flush doesn't truncate a response
// over HTTP/1.0, which has no chunked encoding.
func TestHTTP10ResponseIsComplete(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, _ *http.Request) {
		for range 5 {
			fmt.Fprint(w, strings.Repeat("x", 20_000))
			w.(http.Flusher).Flush()
		}
	})
	c := dial(t, s)
	fmt.Fprint(c, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.ContentLength, int64(100_000))
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(b), 100_000)
}

func TestExpectContinue(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c := dial(t, s)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 100)
	fmt.Fprint(c, "body")
	resp, err = http.ReadResponse(in, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "body")
}

func TestShutdownWaitsForIncompleteRequest(t *testing.T) {
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c := dial(t, s)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
	for s.Connections() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	down := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		down <- s.Shutdown(ctx)
	}()
	time.Sleep(50 * time.Millisecond)
	fmt.Fprint(c, "dy")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close, "the response must ask the client to close")
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "body")
	assert.NilError(t, <-down)
}

// TestShutdownAnswersWhatCrosses guards against a shutdown under load that closes
// connections with requests in transit. A request may reach the server after the
// shutdown has begun, on a connection that was idle or had just been opened.
func TestShutdownAnswersWhatCrosses(t *testing.T) {
	cases := map[string]func(t *testing.T, c net.Conn){
		"idle connection": func(t *testing.T, c net.Conn) {
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
		},
		"new connection": func(*testing.T, net.Conn) {},
	}
	for name, before := range cases {
		t.Run(name, func(t *testing.T) {
			s := listen(t, server.Options{}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })
			c := dial(t, s)
			before(t, c)
			down := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				down <- s.Shutdown(ctx)
			}()
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Assert(t, resp.Close, "the response must ask the client to close")
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "answer")
			assert.NilError(t, <-down)
		})
	}
}

func TestListenOnUsedAddressFails(t *testing.T) {
	s := listen(t, server.Options{}, func(http.ResponseWriter, *http.Request) {})
	_, err := server.Listen(s.Addr(), http.NotFoundHandler(), server.Options{})
	assert.ErrorContains(t, err, "address already in use")
}

// TestSlowPeerHoldsTheWriterUp guards against streams that are kept in memory, since
// their peer takes them more slowly than they come.
func TestSlowPeerHoldsTheWriterUp(t *testing.T) {
	const total = 64 << 20
	written, ended := make(chan int, 1), make(chan error, 1)
	s := listen(t, server.Options{}, func(w http.ResponseWriter, r *http.Request) {
		n := 0
		var err error
		for ctx := r.Context(); n < total && err == nil; err = server.AwaitRoom(ctx, w) {
			m, _ := w.Write(make([]byte, 8<<10))
			w.(http.Flusher).Flush()
			n += m
			select {
			case <-written:
			default:
			}
			written <- n
		}
		ended <- err
	})
	c := dial(t, s)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(500 * time.Millisecond)
	n := <-written
	// The kernels of both ends buffer up to 6 MiB, and 4 MiB.
	assert.Assert(t, n < 12<<20, "%d bytes were taken for a peer that reads none", n)
	assert.NilError(t, c.Close())
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(testTimeout):
		t.Fatal("the handler still waits for a peer that is gone")
	}
}

// TestOddLimitsCutNothing guards against limits that are negative, or so large that sums
// with them overflow.
func TestOddLimitsCutNothing(t *testing.T) {
	for name, l := range map[string]server.Limits{
		"negative": {HeadBytes: -1, BodyBytes: math.MinInt, HeadTimeout: -1, IdleTimeout: math.MinInt64},
		"largest":  {HeadBytes: math.MaxInt, BodyBytes: math.MaxInt, HeadTimeout: math.MaxInt64, IdleTimeout: math.MaxInt64},
	} {
		t.Run(name, func(t *testing.T) {
			s := listen(t, server.Options{Limits: func() server.Limits { return l }}, func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, r.URL.Path)
			})
			c := dial(t, s)
			for range 2 {
				fmt.Fprint(c, "GET /x HTTP/1.1\r\nHo")
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(c, "st: x\r\n\r\n")
				checkAnswer(t, c, "/x")
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestIdleTimeoutSparesAnArrivingRequest guards against the end of a connection in the
// middle of a request, because it was idle before.
func TestIdleTimeoutSparesAnArrivingRequest(t *testing.T) {
	const idle = 300 * time.Millisecond
	limits := func() server.Limits { return server.Limits{IdleTimeout: idle} }
	s := listen(t, server.Options{Limits: limits}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c := dial(t, s)
	sendLength(c, 1, 1)
	checkAnswer(t, c, "b")
	sendLength(c, 2, 1)
	time.Sleep(2 * idle)
	fmt.Fprint(c, "b")
	checkAnswer(t, c, "bb")
}
