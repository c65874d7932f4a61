package memory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/io/transport/memory"
)

const kib = 1 << 10

// TestWhoGivesWay checks which message is given up when another one grows.
func TestWhoGivesWay(t *testing.T) {
	tests := map[string]struct {
		// kept and held are the sizes of messages that may not and may be given up.
		kept, held []int
		size       int
		// lost is the index in held of the message given up, -1 for none.
		lost int
		fits bool
	}{
		"room":                         {nil, []int{100 * kib}, 100 * kib, -1, true},
		"the largest":                  {nil, []int{100 * kib, 600 * kib, 60 * kib}, 200 * kib, 1, true},
		"not for a larger one":         {nil, []int{600 * kib}, 700 * kib, -1, false},
		"what is kept stays":           {[]int{700 * kib}, []int{40 * kib}, 100 * kib, -1, false},
		"small ones use the reserve":   {[]int{760 * kib}, nil, 64 * kib, -1, true},
		"large ones leave the reserve": {[]int{760 * kib}, nil, 65 * kib, -1, false},
		"small ones displace":          {[]int{700 * kib}, []int{64 * kib, 60 * kib, 60 * kib, 60 * kib, 60 * kib}, 50 * kib, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := memory.NewReservedBudget(1024 * kib)
			for _, size := range tt.kept {
				h := b.Hold(func() { t.Error("a kept message was given up") })
				assert.NilError(t, h.Resize(size))
				assert.NilError(t, h.Keep())
			}
			given := make(chan int, len(tt.held))
			var held []*memory.Hold
			for i, size := range tt.held {
				h := b.Hold(func() { given <- i })
				// Held messages may fill the reserve bit by bit.
				assert.NilError(t, h.Resize(min(size, 64*kib)))
				if size > 64*kib {
					assert.NilError(t, h.Resize(size))
				}
				held = append(held, h)
			}
			err := b.Hold(func() {}).Resize(tt.size)
			assert.Equal(t, err == nil, tt.fits, "%v", err)
			if tt.lost >= 0 {
				assert.Equal(t, <-given, tt.lost)
				assert.ErrorIs(t, held[tt.lost].Resize(1), memory.ErrFull)
				assert.ErrorIs(t, held[tt.lost].Keep(), memory.ErrFull)
			}
			for i, h := range held {
				assert.Equal(t, h.Lost(), i == tt.lost)
			}
		})
	}
}

// TestReleasedBytesAreFree checks that nothing leaks from a budget.
func TestReleasedBytesAreFree(t *testing.T) {
	b := memory.NewBudget(1024 * kib)
	for _, end := range []func(h *memory.Hold){
		func(h *memory.Hold) { h.Release() },
		func(h *memory.Hold) { assert.NilError(t, h.Keep()); h.Release(); h.Release() },
		func(h *memory.Hold) { assert.NilError(t, h.Keep()); assert.NilError(t, h.Resize(0)) },
	} {
		h := b.Hold(func() {})
		assert.NilError(t, h.Resize(1000*kib))
		end(h)
		assert.NilError(t, h.Resize(0))
		assert.Check(t, b.Fits(1024*kib))
	}
}

// TestGivenUpOnAnotherGoroutine guards against a deadlock if a message is given up that
// waits for the one that grows.
func TestGivenUpOnAnotherGoroutine(t *testing.T) {
	b := memory.NewBudget(1024 * kib)
	grown := make(chan struct{})
	h := b.Hold(func() { <-grown })
	assert.NilError(t, h.Resize(1000*kib))
	assert.NilError(t, b.Hold(func() {}).Resize(100*kib))
	select {
	case grown <- struct{}{}:
	case <-time.After(5 * time.Second):
		t.Fatal("the message was not given up")
	}
}
