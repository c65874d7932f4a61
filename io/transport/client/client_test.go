package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/relay"
	"papayaspoke/io/transport/server"
)

func behindRelay(t *testing.T, h http.HandlerFunc) *relay.Relay {
	t.Helper()
	s, err := server.Listen("127.0.0.1:0", h, server.Options{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	r, err := relay.Start(s.Addr())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func get(addr string) client.Exchange {
	return client.Exchange{Method: http.MethodGet, URL: "http://" + addr + "/", Idempotent: true}
}

func drain(t *testing.T, a *client.Answer) string {
	t.Helper()
	b, err := a.ReadAll(1 << 20)
	assert.NilError(t, err)
	assert.NilError(t, a.Body().Close())
	return string(b)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	r := behindRelay(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	c := client.New()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := c.Do(ctx, get(r.Addr()))
	assert.NilError(t, err)
	assert.Equal(t, drain(t, a), "ok")
	r.SetOpen(relay.Drop)
	x := get(r.Addr())
	x.HeadDeadline = time.Now().Add(50 * time.Millisecond)
	a, err = c.Do(ctx, x)
	assert.NilError(t, err)
	assert.Equal(t, drain(t, a), "ok")
	assert.Equal(t, r.Opened(), 2)
}

func TestOnceGoesOverANewConnection(t *testing.T) {
	r := behindRelay(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	c := client.New()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	a, err := c.Do(ctx, get(r.Addr()))
	assert.NilError(t, err)
	drain(t, a)
	r.SetOpen(relay.Drop)
	a, err = c.Do(ctx, client.Exchange{Method: http.MethodPost, URL: "http://" + r.Addr() + "/", Body: []byte("x")})
	assert.NilError(t, err)
	assert.Equal(t, drain(t, a), "ok")
}

func TestNoCompressionIsAskedFor(t *testing.T) {
	r := behindRelay(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Header.Get("Accept-Encoding")) })
	a, err := client.New().Do(t.Context(), get(r.Addr()))
	assert.NilError(t, err)
	assert.Equal(t, drain(t, a), "")
}

func TestSilenceOfNewConnectionsIsTold(t *testing.T) {
	cases := map[string]func(x *client.Exchange) time.Duration{
		"until the deadline": func(*client.Exchange) time.Duration { return 100 * time.Millisecond },
		"until its own bound": func(x *client.Exchange) time.Duration {
			x.FreshHeadDeadline = time.Now().Add(100 * time.Millisecond)
			return time.Minute
		},
	}
	for name, limit := range cases {
		t.Run(name, func(t *testing.T) {
			r := behindRelay(t, func(http.ResponseWriter, *http.Request) {})
			r.SetNew(relay.Drop)
			x := get(r.Addr())
			ctx, cancel := context.WithTimeout(t.Context(), limit(&x))
			defer cancel()
			_, err := client.New().Do(ctx, x)
			var f *client.Failure
			assert.Assert(t, errors.As(err, &f))
			assert.Assert(t, f.OverFresh())
			assert.Assert(t, f.MaybeSent())
		})
	}
}

func TestNothingIsSentTwiceUnlessAllowed(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		body       string
		want       int64
	}{
		"idempotent":         {true, "body", 2},
		"once":               {false, "body", 1},
		"once without body":  {false, "", 1},
		"again without body": {true, "", 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			var cut atomic.Bool
			s, err := server.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if cut.Load() {
					runs.Add(1)
					server.Abort(w)
				}
			}), server.Options{})
			assert.NilError(t, err)
			defer s.Close()
			c := client.New()
			a, err := c.Do(t.Context(), get(s.Addr()))
			assert.NilError(t, err)
			drain(t, a)
			cut.Store(true)
			_, err = c.Do(t.Context(), client.Exchange{
				Method: http.MethodPost, URL: "http://" + s.Addr() + "/", Body: []byte(tc.body),
				Header: http.Header{"Idempotency-Key": {"k"}}, Idempotent: tc.idempotent,
			})
			assert.Assert(t, client.MaybeSent(err))
			assert.Assert(t, !errors.Is(err, io.EOF), "an early end looks like a regular one: %v", err)
			assert.Equal(t, runs.Load(), tc.want)
		})
	}
}

func TestRefusedConnectionProvesNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	for name, idempotent := range map[string]bool{"once": false, "idempotent": true} {
		t.Run(name, func(t *testing.T) {
			x := get(addr)
			x.Idempotent = idempotent
			_, err := client.New().Do(t.Context(), x)
			assert.Assert(t, err != nil)
			assert.Assert(t, !client.MaybeSent(err))
		})
	}
}

func TestBodiesThatEndEarlyAreErrors(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		silent  bool
	}{
		"cut": {func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "part")
			w.(http.Flusher).Flush()
			server.Abort(w)
		}, false},
		"silent": {func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, "part")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := behindRelay(t, tc.handler)
			a, err := client.New().Do(t.Context(), get(r.Addr()))
			assert.NilError(t, err)
			defer a.Body().Close()
			a.SetIdleDeadline(func(now time.Time) time.Time { return now.Add(50 * time.Millisecond) })
			b, err := io.ReadAll(a.Body())
			assert.Equal(t, string(b), "part")
			assert.Assert(t, err != nil)
			assert.Equal(t, client.Silent(err), tc.silent)
		})
	}
}

// TestEndlessBytesAreCutOff answers servers in trouble that send bytes without
// end, in a head or in a body: the exchange ends after a bounded number of them,
// long before its time is over.
func TestEndlessBytesAreCutOff(t *testing.T) {
	// The kernel takes up to 6 MiB for a reader, and up to 1 MiB of a body is
	// read.
	const enough = 8 << 20
	line := strings.Repeat("x", 1000)
	cases := map[string]struct{ begin, more string }{
		"no answer at all": {"", line},
		"a status line":    {"HTTP/1.1 200 ", line},
		"headers":          {"HTTP/1.1 200 OK\r\n", "X-More: " + line + "\r\n"},
		"one header":       {"HTTP/1.1 200 OK\r\nX-More: ", line},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nX-More: " + line + "\r\n\r\n"},
		"a body":           {"HTTP/1.1 200 OK\r\n\r\n", line},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"a chunk's length": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", line},
		"a chunk's extras": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", line},
		"trailers":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line + "\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				n := 0
				defer func() { sent <- n }()
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = fmt.Fprint(conn, tc.begin)
				for n < 64<<20 {
					m, err := fmt.Fprint(conn, tc.more)
					n += m
					if err != nil {
						return
					}
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			a, err := client.NewForReplicas(netip.Addr{}).Send(ctx, client.Exchange{Method: http.MethodGet, URL: "http://" + l.Addr().String() + "/"})
			if err == nil {
				_, err = a.ReadAll(1 << 20)
				a.Discard()
			}
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
			n := <-sent
			assert.Assert(t, n < enough, "%d bytes were taken", n)
		})
	}
}
