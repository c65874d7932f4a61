package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/standin/service"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/relay"
	"papayaspoke/io/transport/server"
)

var letters = ident.Adapter{Name: "letters", Version: "3"}

func soon(d time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

func newClient() *upstream.Client {
	return upstream.NewClient(client.New(), upstream.WithIdleDeadline(soon(400*time.Millisecond)), upstream.WithHeadDeadline(soon(500*time.Millisecond)))
}

func ask() upstream.GenerateRequest {
	return upstream.GenerateRequest{
		Request: "r1", Model: "base", Adapter: letters, Prompt: prompt.Text("hello"),
		MaxTokens: 5, Fence: 1, Incarnation: 7,
	}
}

// fake serves an engine whose every answer is made by run.
func fake(t *testing.T, run upstream.RunFunc) string {
	t.Helper()
	e := &upstream.Engine{
		Generate: func(context.Context, upstream.GenerateRequest) (upstream.RunFunc, error) { return run, nil },
		Cancel:   func(context.Context, upstream.CancelRequest) error { return nil },
	}
	s, err := server.Listen("127.0.0.1:0", e, server.Options{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s.Addr()
}

func readAll(s *upstream.Stream) (string, error) {
	var b strings.Builder
	for {
		text, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		b.WriteString(text)
	}
}

func line(offset int, change func(*upstream.Line)) upstream.Line {
	l := upstream.Line{Request: "r1", Adapter: letters, Incarnation: 7, Offset: offset, Text: "x"}
	if change != nil {
		change(&l)
	}
	return l
}

func TestOnlyTheOwnWholeAnswerIsTaken(t *testing.T) {
	cases := map[string]struct {
		second upstream.Line
		err    error
		text   string
		want   result.Code
	}{
		"whole":             {line(1, func(l *upstream.Line) { l.Done = true }), nil, "x", result.OK},
		"other request":     {line(1, func(l *upstream.Line) { l.Request = "r2" }), nil, "x", result.WrongAnswer},
		"other adapter":     {line(1, func(l *upstream.Line) { l.Adapter.Name = "notes" }), nil, "x", result.WrongAnswer},
		"other version":     {line(1, func(l *upstream.Line) { l.Adapter.Version = "4" }), nil, "x", result.WrongAnswer},
		"no adapter":        {line(1, func(l *upstream.Line) { l.Adapter = ident.Adapter{} }), nil, "x", result.WrongAnswer},
		"other incarnation": {line(1, func(l *upstream.Line) { l.Incarnation = 8 }), nil, "x", result.WrongAnswer},
		"repeated":          {line(0, nil), nil, "x", result.WrongAnswer},
		"gap":               {line(2, nil), nil, "x", result.WrongAnswer},
		"wrong last line":   {line(1, func(l *upstream.Line) { l.Done, l.Request = true, "r2" }), nil, "x", result.WrongAnswer},
		"no last line":      {line(1, nil), nil, "xx", result.StreamCut},
		"engine's error":    {line(1, nil), result.New(result.LoadFailed, "fault"), "xx", result.LoadFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := fake(t, func(_ context.Context, emit func(upstream.Line) error) error {
				return errors.Join(emit(line(0, nil)), emit(tc.second), tc.err)
			})
			s, err := newClient().Generate(t.Context(), addr, ask())
			assert.NilError(t, err)
			defer s.Close()
			text, err := readAll(s)
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			assert.Equal(t, text, tc.text)
		})
	}
}

func startEngine(t *testing.T, addr string, change func(*engine.Options)) *engine.Engine {
	t.Helper()
	opts := engine.Options{MaxChunks: 8, NextChunkAt: soon(20 * time.Millisecond)}
	opts.Self = upstream.Announcement{Name: "e1", Incarnation: 7, Model: "base", DataCentre: "a", Slots: 2, MaxBatch: 2, Resumes: true}
	if change != nil {
		change(&opts)
	}
	e, err := engine.Start(addr, opts)
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	return e
}

func loadOn(t *testing.T, e *engine.Engine) {
	t.Helper()
	o := upstream.Order{ID: "o", Fence: 1, Incarnation: e.Self().Incarnation}
	_, err := newClient().Load(t.Context(), e.Addr(), upstream.LoadOrder{Order: o, Adapter: letters})
	assert.NilError(t, err)
}

func TestSilentStreamIsResumedOrCut(t *testing.T) {
	cases := map[string]struct {
		resumes bool
		during  func(t *testing.T, e *engine.Engine, r *relay.Relay)
		want    result.Code
	}{
		"resumed":        {true, func(_ *testing.T, _ *engine.Engine, r *relay.Relay) { r.SetOpen(relay.Drop) }, result.OK},
		"cut, resumed":   {true, func(_ *testing.T, _ *engine.Engine, r *relay.Relay) { r.SetOpen(relay.Close) }, result.OK},
		"cannot resume":  {false, func(_ *testing.T, _ *engine.Engine, r *relay.Relay) { r.SetOpen(relay.Drop) }, result.StreamCut},
		"new ones fail":  {true, func(_ *testing.T, _ *engine.Engine, r *relay.Relay) { r.SetNew(relay.Close); r.SetOpen(relay.Close) }, result.StreamCut},
		"engine restart": {true, restart, result.StreamCut},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, "127.0.0.1:0", func(o *engine.Options) { o.Self.Resumes = tc.resumes })
			loadOn(t, e)
			r, err := relay.Start(e.Addr())
			assert.NilError(t, err)
			defer r.Close()
			g := ask()
			g.Resumes = tc.resumes
			s, err := newClient().Generate(t.Context(), r.Addr(), g)
			assert.NilError(t, err)
			defer s.Close()
			first, err := s.Next()
			assert.NilError(t, err)
			tc.during(t, e, r)
			rest, err := readAll(s)
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			if tc.want == result.OK {
				assert.Equal(t, first+rest, engine.Expected(letters, g.Prompt, 5))
			}
		})
	}
}

// restart replaces the engine by another incarnation that holds the adapter.
func restart(t *testing.T, e *engine.Engine, _ *relay.Relay) {
	addr := e.Addr()
	e.Kill()
	loadOn(t, startEngine(t, addr, func(o *engine.Options) { o.Self.Incarnation = 8 }))
}

func TestSilentPooledConnectionDoesNotLoseARequest(t *testing.T) {
	e := startEngine(t, "127.0.0.1:0", nil)
	loadOn(t, e)
	r, err := relay.Start(e.Addr())
	assert.NilError(t, err)
	defer r.Close()
	c := newClient()
	for i, id := range []ident.Request{"a", "b"} {
		if i == 1 {
			r.SetOpen(relay.Drop)
		}
		g := ask()
		g.Request = id
		s, err := c.Generate(t.Context(), r.Addr(), g)
		assert.NilError(t, err)
		_, err = readAll(s)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
	}
	assert.Equal(t, r.Opened(), 2)
}

func TestRefusalAfterALostAnswerPromisesNothing(t *testing.T) {
	// The pool may drop the first connection; then the second request takes a
	// new one, which is not the case to be tested.
	for range 20 {
		calls, err := refuseAfterLostAnswer(t)
		if calls == 3 {
			assert.Equal(t, result.CodeOf(err), result.UpstreamFailed, "%v", err)
			return
		}
		assert.Equal(t, calls, int64(2))
	}
	t.Fatal("the pooled connection was never used again")
}

// refuseAfterLostAnswer sends a request over a pooled connection that goes
// silent when the engine has taken it; the engine refuses it the next time.
func refuseAfterLostAnswer(t *testing.T) (int64, error) {
	t.Helper()
	var r *relay.Relay
	var calls atomic.Int64
	e := &upstream.Engine{
		Cancel: func(context.Context, upstream.CancelRequest) error { return nil },
		Generate: func(context.Context, upstream.GenerateRequest) (upstream.RunFunc, error) {
			switch calls.Add(1) {
			case 2:
				r.SetOpen(relay.Drop)
			case 3:
				return nil, result.New(result.NotResident, "gone")
			}
			return func(_ context.Context, emit func(upstream.Line) error) error {
				return emit(line(0, func(l *upstream.Line) { l.Done = true }))
			}, nil
		},
	}
	srv, err := server.Listen("127.0.0.1:0", e, server.Options{})
	assert.NilError(t, err)
	defer srv.Close()
	r, err = relay.Start(srv.Addr())
	assert.NilError(t, err)
	defer r.Close()
	c := newClient()
	s, err := c.Generate(t.Context(), r.Addr(), ask())
	assert.NilError(t, err)
	_, err = readAll(s)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	_, err = c.Generate(t.Context(), r.Addr(), ask())
	return calls.Load(), err
}

func TestClosedStreamStopsTheEngine(t *testing.T) {
	for name, resumes := range map[string]bool{"resumes": true, "cannot resume": false} {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, "127.0.0.1:0", func(o *engine.Options) { o.Self.Resumes = resumes; o.NextChunkAt = soon(60 * time.Millisecond) })
			loadOn(t, e)
			s, err := newClient().Generate(t.Context(), e.Addr(), ask())
			assert.NilError(t, err)
			_, err = s.Next()
			assert.NilError(t, err)
			assert.NilError(t, s.Close())
			eventually(t, func() bool { return len(e.Records()) == 1 })
			assert.Assert(t, !e.Records()[0].Complete)
		})
	}
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "condition not met in time")
	}
}

func TestCallTellsWhatMayHaveRun(t *testing.T) {
	cases := map[string]struct {
		target func(t *testing.T, s *service.Service) string
		body   string
		idem   bool
		want   result.Code
		runs   int
	}{
		"runs":              {direct, "book", false, result.OK, 1},
		"nobody listens":    {nobody, "book", false, result.NoUpstream, 0},
		"crash after run":   {direct, "crash", false, result.Unknown, 1},
		"idempotent, crash": {direct, "crash", true, result.UpstreamFailed, 1},
		"silent":            {silent, "book", false, result.Unknown, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var s *service.Service
			opts := service.Options{CrashWord: "crash", Crash: func() { s.Kill() }}
			opts.Self = upstream.Announcement{Name: "b1", Service: "booking", DataCentre: "a"}
			s, err := service.Start("127.0.0.1:0", opts)
			assert.NilError(t, err)
			t.Cleanup(s.Kill)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			a, err := newClient().Call(ctx, tc.target(t, s), upstream.ServiceCall{
				Method: http.MethodPost, Path: "/turns?day=1", Body: []byte(tc.body), Key: "k1", Idempotent: tc.idem,
			})
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			assert.Equal(t, s.Runs().ByKey["k1"], tc.runs)
			if err == nil {
				assert.Equal(t, a.Status, http.StatusOK)
			}
		})
	}
}

func direct(_ *testing.T, s *service.Service) string { return s.Addr() }

func nobody(t *testing.T, _ *service.Service) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func silent(t *testing.T, s *service.Service) string {
	r, err := relay.Start(s.Addr())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	r.SetNew(relay.Drop)
	return r.Addr()
}
