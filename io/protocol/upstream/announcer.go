package upstream

import (
	"context"
	"sync"
	"time"
)

const (
	// refreshEvery is the time between two reports to one daemon.
	refreshEvery = 500 * time.Millisecond
	// tellWithin bounds one message to a daemon.
	tellWithin = time.Second
	// targets is how many daemons an upstream reports to at a time.
	targets = 2
)

// Announcer tells daemons of an upstream until it leaves. It moves on to
// another daemon when one does not answer.
type Announcer struct {
	client *Client
	self   Announcement
	report func(now time.Time) Report

	mu sync.Mutex
	// known holds the addresses given and learned, without duplicates.
	known []string
	// used counts the daemons that are reported to now, by address.
	used map[string]bool
	// next is the index in known to try next.
	next int
	// owner is the address of the daemon that owns this upstream, or empty.
	// One loop reports to it as soon as it is known.
	owner string
}

// NewAnnouncer returns an announcer of self to the daemons, whose list is not
// empty. The report is asked for each time one is sent.
func NewAnnouncer(c *Client, self Announcement, daemons []string, report func(now time.Time) Report) *Announcer {
	a := &Announcer{client: c, self: self, report: report, used: make(map[string]bool)}
	a.learn(daemons)
	return a
}

// Run announces and refreshes until ctx ends, then says that the upstream
// leaves.
func (a *Announcer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range targets {
		wg.Go(func() { a.serve(ctx) })
	}
	wg.Wait()
}

func (a *Announcer) learn(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := make(map[string]bool, len(a.known))
	for _, k := range a.known {
		have[k] = true
	}
	for _, x := range addrs {
		if !have[x] {
			have[x] = true
			a.known = append(a.known, x)
		}
	}
}

// pick reserves the next daemon that no other loop uses, or returns the empty
// string.
func (a *Announcer) pick() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner != "" && !a.used[a.owner] {
		addr := a.owner
		a.used[addr] = true
		// If it does not answer, the next try is another daemon, which will
		// name the owner of that time.
		a.owner = ""
		return addr
	}
	for range a.known {
		addr := a.known[a.next%len(a.known)]
		a.next++
		if !a.used[addr] {
			a.used[addr] = true
			return addr
		}
	}
	return ""
}

// follow notes the owner and reports whether the loop at addr should move on
// to it.
func (a *Announcer) follow(addr, owner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if owner == "" || owner == addr || a.used[owner] {
		return false
	}
	a.owner = owner
	return true
}

func (a *Announcer) release(addr string) {
	a.mu.Lock()
	delete(a.used, addr)
	a.mu.Unlock()
}

// serve keeps one daemon informed, and another one when that fails.
func (a *Announcer) serve(ctx context.Context) {
	tick := time.NewTicker(refreshEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		if addr := a.pick(); addr != "" {
			a.keep(ctx, addr, tick)
			a.release(addr)
		}
		wait(ctx, tick)
	}
}

// keep informs one daemon until it fails or ctx ends.
func (a *Announcer) keep(ctx context.Context, addr string, tick *time.Ticker) {
	known := false
	for ctx.Err() == nil {
		w, err := a.tell(ctx, addr, known)
		if err != nil && ctx.Err() == nil {
			return
		}
		a.learn(w.Daemons)
		if a.follow(addr, w.Owner) {
			return
		}
		again := known && !w.Known
		known = w.Known || !known
		if again {
			known = false
			continue
		}
		wait(ctx, tick)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellWithin)
	defer cancel()
	_, _ = a.client.Leave(ctx, addr, Leaving{Name: a.self.Name, Incarnation: a.self.Incarnation})
}

func (a *Announcer) tell(ctx context.Context, addr string, known bool) (DaemonReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tellWithin)
	defer cancel()
	if known {
		return a.client.Refresh(ctx, addr, a.report(time.Now()))
	}
	return a.client.Announce(ctx, addr, a.self)
}

func wait(ctx context.Context, tick *time.Ticker) {
	select {
	case <-ctx.Done():
	case <-tick.C:
	}
}
