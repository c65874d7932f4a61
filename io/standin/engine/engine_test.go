package engine_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/upstream"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/transport/client"
)

var letters = ident.Adapter{Name: "letters", Version: "3"}

func start(t *testing.T, change func(*engine.Options)) (*engine.Engine, *upstream.Client) {
	t.Helper()
	opts := engine.Options{MaxChunks: 8}
	opts.Self = upstream.Announcement{
		Name: "e1", Incarnation: 7, Model: "base", DataCentre: "a", Slots: 2, MaxBatch: 2, HonoursFence: true, Resumes: true,
	}
	if change != nil {
		change(&opts)
	}
	e, err := engine.Start("127.0.0.1:0", opts)
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	return e, upstream.NewClient(client.New())
}

func ask(r string) upstream.GenerateRequest {
	return upstream.GenerateRequest{
		Request: ident.Request(r), Model: "base", Adapter: letters, Prompt: prompt.Text("hello"),
		MaxTokens: 5, Fence: 1, Incarnation: 7, Resumes: true,
	}
}

func load(t *testing.T, c *upstream.Client, addr string, a ident.Adapter) {
	t.Helper()
	_, err := c.Load(t.Context(), addr, upstream.LoadOrder{Order: upstream.Order{ID: "o" + a.Name, Fence: 1, Incarnation: 7}, Adapter: a})
	assert.NilError(t, err)
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

func TestEngineGeneratesOnLoadedAdapter(t *testing.T) {
	e, c := start(t, nil)
	_, err := c.Generate(t.Context(), e.Addr(), ask("r1"))
	assert.Equal(t, result.CodeOf(err), result.NotResident)
	load(t, c, e.Addr(), letters)
	s, err := c.Generate(t.Context(), e.Addr(), ask("r2"))
	assert.NilError(t, err)
	defer s.Close()
	text, err := readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, text, engine.Expected(letters, prompt.Text("hello"), 5))
}

func TestEngineRefusesOrders(t *testing.T) {
	order := func(f ident.Fence, i ident.Incarnation) upstream.LoadOrder {
		return upstream.LoadOrder{Order: upstream.Order{ID: "x", Fence: f, Incarnation: i}, Adapter: letters}
	}
	cases := map[string]struct {
		ignore bool
		load   upstream.LoadOrder
		want   result.Code
	}{
		"old fence":         {false, order(1, 7), result.Deposed},
		"old fence ignored": {true, order(1, 7), result.OK},
		"other incarnation": {false, order(5, 6), result.Restarted},
		"current":           {false, order(5, 7), result.OK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e, c := start(t, func(o *engine.Options) { o.Self.HonoursFence = !tc.ignore })
			_, err := c.SetRole(t.Context(), e.Addr(), upstream.SetRoleOrder{Order: upstream.Order{ID: "r", Fence: 5, Incarnation: 7}, Role: "x"})
			assert.NilError(t, err)
			_, err = c.Load(t.Context(), e.Addr(), tc.load)
			assert.Equal(t, result.CodeOf(err), tc.want)
		})
	}
}

func TestEngineKeepsPinnedAdapter(t *testing.T) {
	e, c := start(t, func(o *engine.Options) { o.NextChunkAt = engine.After(20 * time.Millisecond) })
	load(t, c, e.Addr(), letters)
	s, err := c.Generate(t.Context(), e.Addr(), ask("r"))
	assert.NilError(t, err)
	defer s.Close()
	_, err = s.Next()
	assert.NilError(t, err)
	_, err = c.Unload(t.Context(), e.Addr(), upstream.UnloadOrder{Order: upstream.Order{ID: "u", Fence: 1, Incarnation: 7}, Adapter: letters})
	assert.Equal(t, result.CodeOf(err), result.Pinned)
}

func TestEngineStopFinishesInFlight(t *testing.T) {
	e, c := start(t, func(o *engine.Options) { o.NextChunkAt = engine.After(20 * time.Millisecond) })
	load(t, c, e.Addr(), letters)
	s, err := c.Generate(t.Context(), e.Addr(), ask("r"))
	assert.NilError(t, err)
	defer s.Close()
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- e.Stop(ctx)
	}()
	text, err := readAll(s)
	assert.NilError(t, err)
	assert.Equal(t, text, engine.Expected(letters, prompt.Text("hello"), 5))
	assert.NilError(t, <-done)
}
