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

// daemon answers as the stand-in engine does; every wrongth answer is that of
// another prompt, and every refusedth request is refused.
func daemon(t *testing.T, wrong, refused int) string {
	t.Helper()
	asked := make(chan int, 1)
	asked <- 0
	h := &caller.Handler{}
	h.Infer = func(_ context.Context, x caller.InferRequest) (*caller.Answer, error) {
		n := <-asked + 1
		asked <- n
		if refused > 0 && n%refused == 0 {
			return nil, result.New(result.UpstreamFailed, "fault")
		}
		p := x.Prompt
		if wrong > 0 && n%wrong == 0 {
			p = prompt.Text("another")
		}
		i := 0
		return caller.NewAnswer(x.Adapter, "", "e", func() (string, error) {
			if i++; i > 3 {
				return "", io.EOF
			}
			return engine.Piece(x.Adapter, p, i-1), nil
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
		Name:     func(i int) ident.Adapter { return ident.Adapter{Name: fmt.Sprintf("a%d", i), Version: "1"} },
		DueAt:    func(start time.Time, i int) time.Time { return start.Add(time.Duration(i) * time.Millisecond) },
		EndAt:    engine.After(5 * time.Second),
		GiveUpAt: engine.After(2 * time.Second),
		Mix:      []load.Share{{Class: "urgent", Weight: 1}, {Class: "letters", Weight: 3}},
		Verify:   engine.Verify,
	}
}

func TestEveryAnswerIsChecked(t *testing.T) {
	cases := map[string]struct {
		wrong, refused           int
		wantWrong, wantUnhandled int
	}{
		"all right":      {0, 0, 0, 0},
		"some wrong":     {10, 0, 6, 0},
		"some fail":      {0, 20, 0, 3},
		"wrong and fail": {30, 20, 1, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s, err := load.Run(t.Context(), options(daemon(t, tc.wrong, tc.refused)))
			assert.NilError(t, err)
			assert.Equal(t, s.Wrong(), tc.wantWrong)
			assert.Equal(t, s.Failed()[result.UpstreamFailed], tc.wantUnhandled)
			assert.Equal(t, s.Right(), 60-tc.wantWrong-tc.wantUnhandled)
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
		"no mix":      func(o *load.Options) { o.Mix = nil },
		"no weight":   func(o *load.Options) { o.Mix = []load.Share{{Class: "x"}} },
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
