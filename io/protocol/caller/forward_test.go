package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/relay"
	"papayaspoke/io/transport/server"
)

func after(d time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

func forwarded() caller.InferRequest {
	x := caller.InferRequest{Adapter: letters, MaxTokens: 4, Prompt: prompted()}
	x.ID = "r1"
	return x
}

func TestWaitingOwnerIsNotSilent(t *testing.T) {
	cases := map[string]struct {
		alive func(time.Time) time.Time
		want  result.Code
	}{
		"signs of life":    {after(20 * time.Millisecond), result.OK},
		"no signs of life": {after(time.Hour), result.StreamCut},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, &caller.Handler{Peer: true, NextKeepAlive: tc.alive, Infer: func(ctx context.Context, _ caller.InferRequest) (*caller.Answer, error) {
				select {
				case <-time.After(400 * time.Millisecond):
				case <-ctx.Done():
				}
				return pieces(io.EOF, "a"), nil
			}})
			f := caller.NewForwarder(client.New(), "d1", "secret").WithDeadlines(after(time.Second), after(100*time.Millisecond))
			a, err := f.Infer(t.Context(), addr, forwarded())
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			if err == nil {
				text, err := readAnswer(a)
				assert.NilError(t, err)
				assert.Equal(t, text, "a")
			}
		})
	}
}

func TestOnlyTheOwnWholeEventsAreTaken(t *testing.T) {
	origin := "event: origin\ndata: {\"adapter\":\"letters@3\"}\n\n"
	piece := "data: {\"id\":\"r1\",\"choices\":[{\"text\":\"a\"}]}\n\n"
	done := "data: [DONE]\n\n"
	other := strings.Replace(piece, "r1", "r2", 1)
	cases := map[string]struct {
		events string
		want   result.Code
	}{
		"whole":           {origin + piece + done, result.OK},
		"with comments":   {": waiting\n\n" + origin + ": waiting\n\n" + piece + done, result.OK},
		"other request":   {origin + other + done, result.WrongAnswer},
		"other adapter":   {strings.Replace(origin, "3", "4", 1) + piece + done, result.WrongAnswer},
		"no origin":       {piece + done, result.WrongAnswer},
		"origin repeated": {origin + origin + piece + done, result.WrongAnswer},
		"not JSON":        {origin + "data: {\n\n" + done, result.WrongAnswer},
		"no end":          {origin + piece, result.StreamCut},
		"half an end":     {origin + piece + "data: [DONE]", result.StreamCut},
		"strange error":   {origin + "event: error\ndata: {}\n\n", result.UpstreamFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, tc.events) })
			s, err := server.Listen("127.0.0.1:0", h, server.Options{})
			assert.NilError(t, err)
			defer s.Close()
			a, err := caller.NewForwarder(client.New(), "d1", "secret").Infer(t.Context(), s.Addr(), forwarded())
			if err == nil {
				_, err = readAnswer(a)
				a.Close()
			}
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
		})
	}
}

func TestSilentHopIsReplaced(t *testing.T) {
	cases := map[string]struct {
		// lateSilence lets the request through and loses the answer.
		lateSilence bool
		key         string
		second      error
		want        result.Code
		runs        int64
	}{
		"request lost":            {false, "", nil, result.OK, 1},
		"answer lost":             {true, "", nil, result.OK, 2},
		"answer lost, then no":    {true, "", result.New(result.Overloaded, "full"), result.UpstreamFailed, 2},
		"answer lost, not again":  {true, "k", nil, result.StreamCut, 1},
		"request lost, not again": {false, "k", nil, result.OK, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var r *relay.Relay
			var runs atomic.Int64
			warm := atomic.Bool{}
			addr := serve(t, &caller.Handler{Peer: true, Infer: func(context.Context, caller.InferRequest) (*caller.Answer, error) {
				if warm.Load() {
					return pieces(io.EOF, "warm"), nil
				}
				if n := runs.Add(1); n == 1 && tc.lateSilence {
					time.Sleep(20 * time.Millisecond) // the acknowledgement passes
					r.SetOpen(relay.Drop)
				}
				if runs.Load() == 2 && tc.second != nil {
					return nil, tc.second
				}
				return pieces(io.EOF, "a"), nil
			}})
			r, err := relay.Start(addr)
			assert.NilError(t, err)
			defer r.Close()
			f := caller.NewForwarder(client.New(), "d1", "secret").WithDeadlines(after(100*time.Millisecond), after(100*time.Millisecond))
			warm.Store(true)
			a, err := f.Infer(t.Context(), r.Addr(), forwarded())
			assert.NilError(t, err)
			_, err = readAnswer(a)
			assert.NilError(t, err)
			a.Close()
			warm.Store(false)
			if !tc.lateSilence {
				r.SetOpen(relay.Drop)
			}
			x := forwarded()
			x.Key = "k"
			if tc.key == "" {
				x.Key = ""
			}
			a, err = f.Infer(t.Context(), r.Addr(), x)
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			if err == nil {
				text, err := readAnswer(a)
				assert.NilError(t, err)
				assert.Equal(t, text, "a")
			}
			assert.Equal(t, runs.Load(), tc.runs)
		})
	}
}
