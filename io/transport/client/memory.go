package client

import (
	"errors"
	"sync"
)

const (
	// DefaultMemory is the limit of a [Memory] in bytes if nothing else is known.
	DefaultMemory = 64 << 20
	// smallResponse is how many bytes of a response aren't counted.
	smallResponse = 16 << 10
)

// ErrNoMemory is the error of a response that is given up, since all responses together
// hold too much memory and this one holds most of it.
var ErrNoMemory = errors.New("the response takes too much memory")

// Memory limits what incomplete responses hold in memory, over all exchanges of the
// clients that share it. If there is no room, the response that holds most is given up:
// what a faulty server sends without end grows beyond all others. It is safe for
// concurrent use.
type Memory struct {
	mu sync.Mutex
	// free is how many bytes are left; it is never negative.
	free int
	// holds has the responses that hold some.
	holds map[*hold]struct{}
}

// NewMemory returns a memory of limit bytes.
func NewMemory(limit int) *Memory { return &Memory{free: limit, holds: make(map[*hold]struct{})} }

// hold is what one response holds.
type hold struct {
	memory *Memory
	// giveUp ends the exchange.
	giveUp func()

	// size and lost are guarded by memory.mu. lost is true once the response was given
	// up; size is 0 then.
	size int
	lost bool
}

// set changes how many bytes a response holds.
func (h *hold) set(size int) error {
	if size <= smallResponse {
		size = 0
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.lost {
		return ErrNoMemory
	}
	for size-h.size > m.free {
		largest := m.largest()
		if largest == nil || largest.size <= size {
			return ErrNoMemory
		}
		m.resize(largest, 0)
		largest.lost = true
		go largest.giveUp()
	}
	m.resize(h, size)
	return nil
}

// resize sets the size of h; m.mu must be held.
func (m *Memory) resize(h *hold, size int) {
	m.free -= size - h.size
	h.size = size
	if size == 0 {
		delete(m.holds, h)
		return
	}
	m.holds[h] = struct{}{}
}

// largest returns what holds most, nil if nothing does; m.mu must be held.
func (m *Memory) largest() *hold {
	var largest *hold
	for h := range m.holds {
		if largest == nil || h.size > largest.size {
			largest = h
		}
	}
	return largest
}

// release returns what the response holds.
func (h *hold) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.resize(h, 0)
}

func (h *hold) isLost() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.lost
}
