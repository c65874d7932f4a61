package upstream

import (
	"context"
	"sync"
	"time"
)

const (
	// refreshInterval is the interval of reports to one daemon.
	refreshInterval = 500 * time.Millisecond
	// messageTimeout bounds one message to a daemon.
	messageTimeout = time.Second
	// reportTargets is how many daemons an upstream reports to concurrently.
	reportTargets = 2
)

// Announcer announces an upstream to daemons and reports its state until it
// leaves. It switches to another daemon when one does not answer.
type Announcer struct {
	client *Client
	self   Announcement
	report func(now time.Time) Report

	mu sync.Mutex
	// known holds the configured addresses and those received from daemons,
	// without duplicates.
	known []string
	// inUse holds the addresses of the daemons that are being reported to.
	inUse map[string]bool
	// next is the index in known of the address to try next.
	next int
	// owner is the address of the daemon that owns this upstream, or empty.
	// One report loop switches to it as soon as it is known.
	owner string
}

// NewAnnouncer returns an announcer of self to the daemons, of which there must
// be at least one. It calls report for each report that it sends.
func NewAnnouncer(c *Client, self Announcement, daemons []string, report func(now time.Time) Report) *Announcer {
	a := &Announcer{client: c, self: self, report: report, inUse: make(map[string]bool)}
	a.addKnown(daemons)
	return a
}

// Run announces the upstream and sends reports until ctx ends, then tells the
// daemons that the upstream leaves.
func (a *Announcer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range reportTargets {
		wg.Go(func() { a.reportLoop(ctx) })
	}
	wg.Wait()
}

func (a *Announcer) addKnown(addrs []string) {
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

// pick reserves the next daemon that no other report loop uses. It returns the
// empty string if there is none.
func (a *Announcer) pick() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner != "" && !a.inUse[a.owner] {
		addr := a.owner
		a.inUse[addr] = true
		// If the owner does not answer, the loop tries another daemon next,
		// which will name the current owner.
		a.owner = ""
		return addr
	}
	for range a.known {
		addr := a.known[a.next%len(a.known)]
		a.next++
		if !a.inUse[addr] {
			a.inUse[addr] = true
			return addr
		}
	}
	return ""
}

// switchToOwner records the owner and reports whether the loop that reports to
// addr should switch to it.
func (a *Announcer) switchToOwner(addr, owner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if owner == "" || owner == addr || a.inUse[owner] {
		return false
	}
	a.owner = owner
	return true
}

func (a *Announcer) release(addr string) {
	a.mu.Lock()
	delete(a.inUse, addr)
	a.mu.Unlock()
}

// reportLoop reports to one daemon, and to another one when that fails.
func (a *Announcer) reportLoop(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		if addr := a.pick(); addr != "" {
			a.reportTo(ctx, addr, tick)
			a.release(addr)
		}
		wait(ctx, tick)
	}
}

// reportTo announces the upstream to one daemon and sends it reports until the
// daemon fails, the owner is to be reported to instead, or ctx ends.
func (a *Announcer) reportTo(ctx context.Context, addr string, tick *time.Ticker) {
	known := false
	for ctx.Err() == nil {
		w, err := a.send(ctx, addr, known)
		if err != nil && ctx.Err() == nil {
			return
		}
		a.addKnown(w.Daemons)
		if a.switchToOwner(addr, w.Owner) {
			return
		}
		forgotten := known && !w.Known
		known = w.Known || !known
		if forgotten {
			known = false
			continue
		}
		wait(ctx, tick)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTimeout)
	defer cancel()
	_, _ = a.client.Leave(ctx, addr, Leaving{Name: a.self.Name, Incarnation: a.self.Incarnation})
}

func (a *Announcer) send(ctx context.Context, addr string, known bool) (DaemonReply, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
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
