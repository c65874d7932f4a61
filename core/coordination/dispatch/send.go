package dispatch

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// isolating reports whether p is running a suspect or reserved for one.
func (p *replica) isolating() bool { return p.runningSuspect != nil || len(p.suspects) > 0 }

// processQueues sends the requests that can run now and refuses those that can
// no longer meet their deadlines.
func (d *Dispatcher) processQueues(now time.Time, p *replica) {
	d.clearInherited(now, p)
	d.sendReady(now, p)
	d.refuseLate(now, p)
}

// clearInherited releases the capacity and adapters held for requests of a
// former owner, once the deadline of the last of them has passed.
func (d *Dispatcher) clearInherited(now time.Time, p *replica) {
	if p.inheritedUntil.IsZero() || now.Before(p.inheritedUntil) {
		return
	}
	p.inheritedUntil = time.Time{}
	p.inheritedInFlight = 0
	for _, r := range p.residents {
		r.inherited = false
	}
}

// sendReady sends waiting requests while p has free capacity.
func (d *Dispatcher) sendReady(now time.Time, p *replica) {
	if !p.usable() || now.Before(p.backoffUntil) {
		return
	}
	if p.isolating() {
		d.sendSuspect(now, p)
		return
	}
	for p.freeCapacity() > 0 {
		r := d.nextReady(p)
		if r == nil {
			return
		}
		p.dequeue(r)
		if d.policy.MissesDeadline(now, r.Request, Estimate{Start: now, End: now}) {
			d.refuse(r, result.New(result.DeadlineHopeless, "the deadline passed while the request was queued").WithRetryAfter(now.Add(time.Second)))
			continue
		}
		d.sendTo(now, p, r)
	}
}

// nextReady returns the first waiting request whose adapter is resident, or
// nil.
func (d *Dispatcher) nextReady(p *replica) *request {
	var first *request
	for a, q := range p.queues {
		if !p.canServe(a) {
			continue
		}
		if first == nil || d.policy.Compare(q.requests[0].Request, first.Request) < 0 {
			first = q.requests[0]
		}
	}
	return first
}

// sendSuspect sends one suspect once the replica runs no other request.
func (d *Dispatcher) sendSuspect(now time.Time, p *replica) {
	if p.runningSuspect != nil || p.inFlight+p.inheritedInFlight > 0 {
		return
	}
	for _, r := range p.suspects {
		if !p.canServe(r.Adapter) {
			continue
		}
		p.dequeue(r)
		p.runningSuspect = r
		d.sendTo(now, p, r)
		return
	}
}

// sendTo sends a request that has been removed from the queue of p.
func (d *Dispatcher) sendTo(now time.Time, p *replica, r *request) {
	r.replica = p
	r.sentAt = now
	r.attempts++
	p.inFlight++
	if res := p.residents[r.Adapter]; res != nil {
		res.inFlight++
		res.lastUsed = now
	}
	p.rememberPrefix(r.Prefix)
	d.emit(Send{
		Request:     r.ID,
		Upstream:    p.name,
		Incarnation: p.incarnation,
		Adapter:     r.Adapter,
		Fence:       p.fence,
		Attempt:     r.attempts,
	})
}

// refuseLate refuses requests that would miss their deadlines if they kept
// waiting. Suspects are sent even if they are late: most of them are harmless
// and were delayed only because they were in flight when another request
// crashed the upstream.
func (d *Dispatcher) refuseLate(now time.Time, p *replica) {
	var out []*request
	for a, q := range p.queues {
		start := now
		if !p.residentOrLoading(a) {
			start = now.Add(d.loadTime.value())
		}
		for _, r := range q.requests {
			if !d.policy.MissesDeadline(now, r.Request, d.estimate(start, r)) {
				break
			}
			out = append(out, r)
		}
	}
	sortRequests(out)
	for _, r := range out {
		p.dequeue(r)
		d.refuse(r, lateError(now, p, r.Adapter))
	}
}

func lateError(now time.Time, p *replica, a ident.Adapter) *result.Error {
	after := now.Add(time.Second)
	if !p.residentOrLoading(a) {
		return result.New(result.DeadlineHopeless, "adapter %v was not loaded in time", a).WithRetryAfter(after)
	}
	return result.New(result.DeadlineHopeless, "no batch slot became free in time").WithRetryAfter(after)
}
