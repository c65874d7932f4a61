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

func timeAfter(d time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

func sampleInfer() caller.InferRequest {
	x := caller.InferRequest{Adapter: letters, MaxTokens: 4, Prompt: chatPrompt()}
	x.ID = "r1"
	return x
}

// A daemon must not give up on an owner that sends keepalive comments while it
// waits for an answer longer than the idle timeout.
func TestWaitingOwnerIsNotSilent(t *testing.T) {
	cases := map[string]struct {
		keepAlive func(time.Time) time.Time
		want      result.Code
	}{
		"signs of life":    {timeAfter(20 * time.Millisecond), result.OK},
		"no signs of life": {timeAfter(time.Hour), result.StreamCut},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, &caller.Handler{Peer: true, NextKeepAlive: tc.keepAlive, Infer: func(ctx context.Context, _ caller.InferRequest) (*caller.Answer, error) {
				select {
				case <-time.After(400 * time.Millisecond):
				case <-ctx.Done():
				}
				return answerInChunks(io.EOF, "a"), nil
			}})
			f := caller.NewForwarder(client.New(), "d1", "secret").WithDeadlines(timeAfter(time.Second), timeAfter(100*time.Millisecond))
			a, err := f.Infer(t.Context(), addr, sampleInfer())
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
			if err == nil {
				text, err := readAnswer(a)
				assert.NilError(t, err)
				assert.Equal(t, text, "a")
			}
		})
	}
}

// A forwarder must accept only streams that are complete and belong to its own
// request and adapter.
func TestOnlyTheOwnWholeEventsAreTaken(t *testing.T) {
	origin := "event: origin\ndata: {\"adapter\":\"letters@3\"}\n\n"
	chunk := "data: {\"id\":\"r1\",\"choices\":[{\"text\":\"a\"}]}\n\n"
	done := "data: [DONE]\n\n"
	other := strings.Replace(chunk, "r1", "r2", 1)
	cases := map[string]struct {
		events string
		want   result.Code
	}{
		"whole":           {origin + chunk + done, result.OK},
		"with comments":   {": waiting\n\n" + origin + ": waiting\n\n" + chunk + done, result.OK},
		"other request":   {origin + other + done, result.WrongAnswer},
		"other adapter":   {strings.Replace(origin, "3", "4", 1) + chunk + done, result.WrongAnswer},
		"no origin":       {chunk + done, result.WrongAnswer},
		"origin repeated": {origin + origin + chunk + done, result.WrongAnswer},
		"not JSON":        {origin + "data: {\n\n" + done, result.WrongAnswer},
		"no end":          {origin + chunk, result.StreamCut},
		"half an end":     {origin + chunk + "data: [DONE]", result.StreamCut},
		"strange error":   {origin + "event: error\ndata: {}\n\n", result.UpstreamFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, tc.events) })
			s, err := server.Listen("127.0.0.1:0", h, server.Options{})
			assert.NilError(t, err)
			defer s.Close()
			a, err := caller.NewForwarder(client.New(), "d1", "secret").Infer(t.Context(), s.Addr(), sampleInfer())
			if err == nil {
				_, err = readAnswer(a)
				a.Close()
			}
			assert.Equal(t, result.CodeOf(err), tc.want, "%v", err)
		})
	}
}

// A pooled connection to another daemon becomes unresponsive, before the
// request arrives or before the answer. The request must be retried over a new
// connection, unless a second run is forbidden.
func TestSilentHopIsReplaced(t *testing.T) {
	cases := map[string]struct {
		// dropAnswer delivers the request and drops the answer.
		dropAnswer bool
		key        string
		second     error
		want       result.Code
		runs       int64
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
					return answerInChunks(io.EOF, "warm"), nil
				}
				if n := runs.Add(1); n == 1 && tc.dropAnswer {
					time.Sleep(20 * time.Millisecond) // lets the acknowledgement through
					r.SetOpen(relay.Drop)
				}
				if runs.Load() == 2 && tc.second != nil {
					return nil, tc.second
				}
				return answerInChunks(io.EOF, "a"), nil
			}})
			r, err := relay.Start(addr)
			assert.NilError(t, err)
			defer r.Close()
			f := caller.NewForwarder(client.New(), "d1", "secret").WithDeadlines(timeAfter(100*time.Millisecond), timeAfter(100*time.Millisecond))
			warm.Store(true)
			a, err := f.Infer(t.Context(), r.Addr(), sampleInfer())
			assert.NilError(t, err)
			_, err = readAnswer(a)
			assert.NilError(t, err)
			a.Close()
			warm.Store(false)
			if !tc.dropAnswer {
				r.SetOpen(relay.Drop)
			}
			x := sampleInfer()
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
