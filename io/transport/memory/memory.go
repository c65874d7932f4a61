package memory

import (
	"errors"
	"sync"
)

const (
	// DefaultLimit is the limit of a budget in bytes if nothing else is known.
	DefaultLimit = 64 << 20
	// smallMessage is the size up to which a message may use the whole budget. Larger
	// ones leave a part of it.
	smallMessage = 64 << 10
	// reserveShare divides a budget for the part that large messages leave.
	reserveShare = 4
)

// ErrFull is the error of a message for which there is no room, or which was given up
// to make room for others.
var ErrFull = errors.New("the message takes too much memory")

// Budget limits what messages hold together. If there is no room, the largest message
// that may be given up is: what a faulty peer sends without end grows beyond all others,
// and what it never ends keeps no room from smaller ones. It is safe for concurrent use.
type Budget struct {
	limit   int
	reserve int

	mu sync.Mutex
	// free is how many bytes are left; it is never negative.
	free int
	// kept is how many bytes are held by messages that may not be given up.
	kept int
	// holds has the messages that hold some and may be given up.
	holds map[*Hold]struct{}
}

// NewBudget returns a budget of limit bytes that large messages may use up.
func NewBudget(limit int) *Budget {
	return &Budget{limit: limit, free: limit, holds: make(map[*Hold]struct{})}
}

// NewReservedBudget returns a budget of limit bytes, a part of which is left to small
// messages.
func NewReservedBudget(limit int) *Budget {
	b := NewBudget(limit)
	b.reserve = limit / reserveShare
	return b
}

// Hold is what one message holds.
type Hold struct {
	budget *Budget
	// giveUp drops the message.
	giveUp func()

	// The other fields are guarded by budget.mu. size is 0 if the message was lost, that
	// is, given up.
	size       int
	kept, lost bool
}

// Hold returns a hold of no bytes. If its message must be given up, giveUp is called on
// a goroutine of its own.
func (b *Budget) Hold(giveUp func()) *Hold { return &Hold{budget: b, giveUp: giveUp} }

// Largest returns the size of the largest message that may have room.
func (b *Budget) Largest() int { return b.limit - b.reserve }

// Fits reports whether a message of size bytes would have room if all were given up that
// may be.
func (b *Budget) Fits(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return size <= b.limit-b.kept-b.reserveFor(size)
}

// reserveFor returns what a message of size bytes must leave.
func (b *Budget) reserveFor(size int) int {
	if size <= smallMessage {
		return 0
	}
	return b.reserve
}

// Resize changes how many bytes a message holds. It fails with [ErrFull] if there is no
// room, or the message was given up.
func (h *Hold) Resize(size int) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.lost {
		return ErrFull
	}
	for size > h.size && size-h.size > b.free-b.reserveFor(size) {
		largest := b.largest()
		if largest == nil || largest == h || largest.size <= size {
			return ErrFull
		}
		b.resize(largest, 0)
		largest.lost = true
		go largest.giveUp()
	}
	b.resize(h, size)
	return nil
}

// Keep makes the message one that is not given up any more. It fails with [ErrFull] if
// it was given up already.
func (h *Hold) Keep() error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.lost {
		return ErrFull
	}
	if !h.kept {
		h.kept = true
		b.kept += h.size
		delete(b.holds, h)
	}
	return nil
}

// resize sets the size of h; b.mu must be held.
func (b *Budget) resize(h *Hold, size int) {
	b.free -= size - h.size
	if h.kept {
		b.kept += size - h.size
	}
	h.size = size
	if size == 0 || h.kept {
		delete(b.holds, h)
		return
	}
	b.holds[h] = struct{}{}
}

// largest returns what holds most of what may be given up, nil if nothing does; b.mu
// must be held.
func (b *Budget) largest() *Hold {
	var largest *Hold
	for h := range b.holds {
		if largest == nil || h.size > largest.size {
			largest = h
		}
	}
	return largest
}

// Release returns what the message holds.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.resize(h, 0)
}

// Lost reports whether the message was given up.
func (h *Hold) Lost() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.lost
}
