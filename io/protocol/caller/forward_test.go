package caller_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/relay"
)

func after(d time.Duration) func(time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

func forwarded() caller.Infer {
	x := caller.Infer{Adapter: letters, MaxTokens: 4, Prompt: prompted()}
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
			addr := serve(t, &caller.Handler{Peer: true, AliveAt: tc.alive, Infer: func(ctx context.Context, _ caller.Infer) (*caller.Answer, error) {
				select {
				case <-time.After(400 * time.Millisecond):
				case <-ctx.Done():
				}
				return pieces(io.EOF, "a"), nil
			}})
			f := caller.NewForwarder(client.New(), "d1", "secret").WithPatience(after(time.Second), after(100*time.Millisecond))
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
			addr := serve(t, &caller.Handler{Peer: true, Infer: func(context.Context, caller.Infer) (*caller.Answer, error) {
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
			f := caller.NewForwarder(client.New(), "d1", "secret").WithPatience(after(100*time.Millisecond), after(100*time.Millisecond))
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
