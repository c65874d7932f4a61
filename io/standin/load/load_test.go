package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/standin/load"
	"papayaspoke/io/transport/server"
)

// startDaemon starts a server that answers like a daemon in front of a stand-in
// engine, and returns its address. Each wrongEvery-th answer is that of another
// prompt, and each failEvery-th request fails; zero means none.
func startDaemon(t *testing.T, wrongEvery, failEvery int) string {
	t.Helper()
	requests := make(chan int, 1)
	requests <- 0
	h := &caller.Handler{}
	h.Infer = func(_ context.Context, x caller.InferRequest) (*caller.Answer, error) {
		n := <-requests + 1
		requests <- n
		if failEvery > 0 && n%failEvery == 0 {
			return nil, result.New(result.UpstreamFailed, "fault")
		}
		p := x.Prompt
		if wrongEvery > 0 && n%wrongEvery == 0 {
			p = prompt.Text("another")
		}
		chunks := 0
		return caller.NewAnswer(x.Adapter, "", "e", func() (string, error) {
			if chunks++; chunks > 3 {
				return "", io.EOF
			}
			return engine.Chunk(x.Adapter, p, chunks-1), nil
		}, func() {}), nil
	}
	s, err := server.Listen("127.0.0.1:0", h, server.Options{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	h.Addresses = func(caller.DirectoryQuery) (caller.Directory, error) {
		return caller.Directory{Addresses: []string{s.Addr()}, ExpiresAt: time.Now().Add(time.Second)}, nil
	}
	return s.Addr()
}

func options(addr string) load.Options {
	return load.Options{
		Daemons: []string{addr}, Adapters: 50, Skew: 1.2, Seed: 3, Requests: 60, Workers: 4, MaxTokens: 3,
		Name:       func(i int) ident.Adapter { return ident.Adapter{Name: fmt.Sprintf("a%d", i), Version: "1"} },
		DueAt:      func(start time.Time, i int) time.Time { return start.Add(time.Duration(i) * time.Millisecond) },
		StopAt:     engine.After(5 * time.Second),
		DeadlineAt: engine.After(2 * time.Second),
		Mix:        []load.ClassShare{{Class: "urgent", Weight: 1}, {Class: "letters", Weight: 3}},
		Verify:     engine.Verify,
	}
}

func TestEveryAnswerIsChecked(t *testing.T) {
	cases := map[string]struct {
		wrongEvery, failEvery int
		wantWrong, wantFailed int
	}{
		"all correct":    {0, 0, 0, 0},
		"some wrong":     {10, 0, 6, 0},
		"some fail":      {0, 20, 0, 3},
		"wrong and fail": {30, 20, 1, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := load.Run(t.Context(), options(startDaemon(t, tc.wrongEvery, tc.failEvery)))
			assert.NilError(t, err)
			assert.Equal(t, s.Wrong(), tc.wantWrong)
			assert.Equal(t, s.Failed()[result.UpstreamFailed], tc.wantFailed)
			assert.Equal(t, s.Right(), 60-tc.wantWrong-tc.wantFailed)
			var table, raw strings.Builder
			assert.NilError(t, s.WriteTable(&table))
			assert.Assert(t, strings.Contains(table.String(), "urgent"))
			assert.NilError(t, s.WriteJSON(&raw))
			assert.Assert(t, json.Valid([]byte(raw.String())))
		})
	}
}

func TestOptionsAreChecked(t *testing.T) {
	cases := map[string]func(*load.Options){
		"no daemon":   func(o *load.Options) { o.Daemons = nil },
		"no requests": func(o *load.Options) { o.Requests = 0 },
		"flat":        func(o *load.Options) { o.Skew = 1 },
		"empty mix":   func(o *load.Options) { o.Mix = nil },
		"zero weight": func(o *load.Options) { o.Mix = []load.ClassShare{{Class: "x"}} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			o := options("127.0.0.1:1")
			change(&o)
			_, err := load.Run(t.Context(), o)
			assert.Assert(t, err != nil)
		})
	}
}
