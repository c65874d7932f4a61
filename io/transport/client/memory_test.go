package client_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/io/transport/client"
	"papayaspoke/io/transport/memory"
	"papayaspoke/io/transport/server"
)

// TestLargestResponseIsGivenUp guards against responses without end that leave no
// memory for sound ones.
func TestLargestResponseIsGivenUp(t *testing.T) {
	const limit, soundSize, sound = 1 << 20, 100 << 10, 5
	begun := make(chan struct{})
	s, err := server.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sound" {
			<-begun
			fmt.Fprint(w, strings.Repeat("x", soundSize))
			return
		}
		var once sync.Once
		for n := 0; r.Context().Err() == nil && n < 64<<20; n += 1000 {
			fmt.Fprint(w, strings.Repeat("x", 1000))
			w.(http.Flusher).Flush()
			if n > 2*soundSize {
				once.Do(func() { close(begun) })
			}
		}
	}), server.Options{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	c := client.New().WithMemory(memory.NewBudget(limit))
	get := func(path string) ([]byte, error) {
		a, err := c.Send(t.Context(), client.Exchange{Method: http.MethodGet, URL: "http://" + s.Addr() + path, Idempotent: true})
		assert.NilError(t, err)
		defer a.Discard()
		return a.ReadAll(32 << 20)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := get("/endless")
		assert.Check(t, err != nil)
		assert.ErrorIs(t, err, memory.ErrFull)
	})
	for range sound {
		wg.Go(func() {
			b, err := get("/sound")
			assert.Check(t, err == nil, "%v", err)
			assert.Check(t, len(b) == soundSize, "%d bytes", len(b))
		})
	}
	wg.Wait()
	// All of it is free again.
	for range 3 * limit / soundSize {
		b, err := get("/sound")
		assert.NilError(t, err)
		assert.Equal(t, len(b), soundSize)
	}
}
