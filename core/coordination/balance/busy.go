package balance

import (
	"time"

	"papayaspoke/core/ident"
)

const (
	// busyFor is how long after a refusal a replica is taken to have more to do
	// than it can.
	busyFor = 3 * time.Second
	// quickestGain is by how much of a slower answer the least time is raised, so
	// that a replica that has turned slow is known after some hundred answers.
	quickestGain = 0.01
	// maxQuickest bounds the routes that are told apart at a replica.
	maxQuickest = 64
)

// RecordRefusal notes that a replica refused a request because it has too much to do;
// entered is true if its door had let the request in.
func (b *Balancer) RecordRefusal(now time.Time, name ident.Upstream, entered bool) {
	p := b.peers[name]
	if p == nil {
		return
	}
	if entered {
		p.pressed++
	}
	p.busyUntil = now.Add(busyFor)
}

// RecordLatency notes how long a good answer to a request of a route took. One that the
// door of the replica had let in, and that took longer than the quickest by most,
// had to wait for others.
func (b *Balancer) RecordLatency(name ident.Upstream, route string, took, most time.Duration, entered bool) {
	p := b.peers[name]
	if p == nil {
		return
	}
	least, known := p.quickest[route]
	if !known || took < least {
		if p.quickest == nil || len(p.quickest) >= maxQuickest {
			p.quickest = make(map[string]time.Duration)
		}
		least = took
	}
	if entered && took > least+most {
		p.pressed++
	}
	p.quickest[route] = least + time.Duration(quickestGain*float64(took-least))
}

// RecordWait notes that a request has to wait for its turn at a replica.
func (b *Balancer) RecordWait(now time.Time, name ident.Upstream) {
	if p := b.peers[name]; p != nil {
		p.busyUntil = now.Add(busyFor)
	}
}

// Busy reports whether a replica is likely to refuse requests, and how many that
// its door had let in it has refused or kept waiting since the last call.
func (b *Balancer) Busy(now time.Time, name ident.Upstream) (pressed int, busy bool) {
	p := b.peers[name]
	if p == nil || !now.Before(p.busyUntil) {
		return 0, false
	}
	pressed, p.pressed = p.pressed, 0
	return pressed, true
}
