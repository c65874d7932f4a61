package balance

import (
	"time"

	"papayaspoke/core/ident"
)

const (
	// busyDuration is how long a replica counts as overloaded after a
	// refusal or a wait for admission.
	busyDuration = 3 * time.Second
	// minLatencyGain is the share of the difference by which a slower answer
	// raises the minimum latency, so that a replica that became slower is
	// recognised after some hundred answers.
	minLatencyGain = 0.01
	// maxRoutes limits the routes that are tracked separately at a replica.
	maxRoutes = 64
)

// RecordRefusal records that an overloaded replica refused a request; admitted is
// true if its pacer had admitted the request.
func (b *Balancer) RecordRefusal(now time.Time, name ident.Upstream, admitted bool) {
	p := b.replicas[name]
	if p == nil {
		return
	}
	if admitted {
		p.pushedBack++
	}
	p.busyUntil = now.Add(busyDuration)
}

// RecordLatency records the latency of a good answer on a route. An admitted
// request that took longer than the minimum latency by more than maxDelay had
// to wait for others.
func (b *Balancer) RecordLatency(name ident.Upstream, route string, took, maxDelay time.Duration, admitted bool) {
	p := b.replicas[name]
	if p == nil {
		return
	}
	lowest, known := p.minLatency[route]
	if !known || took < lowest {
		if p.minLatency == nil || len(p.minLatency) >= maxRoutes {
			p.minLatency = make(map[string]time.Duration)
		}
		lowest = took
	}
	if admitted && took > lowest+maxDelay {
		p.pushedBack++
	}
	p.minLatency[route] = lowest + time.Duration(minLatencyGain*float64(took-lowest))
}

// RecordWait records that a request has to wait for admission to a replica.
func (b *Balancer) RecordWait(now time.Time, name ident.Upstream) {
	if p := b.replicas[name]; p != nil {
		p.busyUntil = now.Add(busyDuration)
	}
}

// Busy reports whether a replica is likely to refuse requests, and how many
// admitted requests it has refused or delayed since the last call.
func (b *Balancer) Busy(now time.Time, name ident.Upstream) (pushedBack int, busy bool) {
	p := b.replicas[name]
	if p == nil || !now.Before(p.busyUntil) {
		return 0, false
	}
	pushedBack, p.pushedBack = p.pushedBack, 0
	return pushedBack, true
}
