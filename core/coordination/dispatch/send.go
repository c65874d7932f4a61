package dispatch

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// isolates reports whether p is reserved for suspects.
func (p *replica) isolates() bool { return p.solo != nil || len(p.suspects) > 0 }

// settle sends what can be sent and refuses what has become hopeless.
func (d *Dispatcher) settle(now time.Time, p *replica) {
	d.endInheritance(now, p)
	d.send(now, p)
	d.refuseHopeless(now, p)
}

// endInheritance frees what requests of a former owner held, once the last of
// them must have ended.
func (d *Dispatcher) endInheritance(now time.Time, p *replica) {
	if p.busyUntil.IsZero() || now.Before(p.busyUntil) {
		return
	}
	p.busyUntil = time.Time{}
	p.foreign = 0
	for _, r := range p.residents {
		r.inherited = false
	}
}

func (d *Dispatcher) send(now time.Time, p *replica) {
	if !p.usable() || now.Before(p.pausedUntil) {
		return
	}
	if p.isolates() {
		d.sendAlone(now, p)
		return
	}
	for p.room() > 0 {
		r := d.next(p)
		if r == nil {
			return
		}
		p.dequeue(r)
		if d.policy.Hopeless(now, r.Request, Estimate{Start: now, End: now}) {
			d.refuse(r, result.New(result.DeadlineHopeless, "the target passed while it waited").WithRetryAfter(now.Add(time.Second)))
			continue
		}
		d.sendTo(now, p, r)
	}
}

// next returns the first request whose adapter is resident, or nil.
func (d *Dispatcher) next(p *replica) *request {
	var first *request
	for a, l := range p.lines {
		if !p.holds(a) {
			continue
		}
		if first == nil || d.policy.Compare(l.requests[0].Request, first.Request) < 0 {
			first = l.requests[0]
		}
	}
	return first
}

// sendAlone sends a suspect once the replica runs nothing else.
func (d *Dispatcher) sendAlone(now time.Time, p *replica) {
	if p.solo != nil || p.inFlight+p.foreign > 0 {
		return
	}
	for _, r := range p.suspects {
		if !p.holds(r.Adapter) {
			continue
		}
		p.dequeue(r)
		p.solo = r
		d.sendTo(now, p, r)
		return
	}
}

// sendTo sends a request that has left the queue of p.
func (d *Dispatcher) sendTo(now time.Time, p *replica, r *request) {
	r.replica = p
	r.sent = now
	r.attempts++
	p.inFlight++
	if res := p.residents[r.Adapter]; res != nil {
		res.inFlight++
		res.used = now
	}
	p.remember(r.Prefix)
	d.emit(Send{
		Request:     r.ID,
		Upstream:    p.name,
		Incarnation: p.incarnation,
		Adapter:     r.Adapter,
		Fence:       p.fence,
		Attempt:     r.attempts,
	})
}

// refuseHopeless refuses requests that would miss their deadlines if they
// went on waiting. Suspects are let through late, because an innocent one
// should not pay for its neighbour.
func (d *Dispatcher) refuseHopeless(now time.Time, p *replica) {
	var out []*request
	for a, l := range p.lines {
		start := now
		if !p.expects(a) {
			start = now.Add(d.loads.span())
		}
		for _, r := range l.requests {
			if !d.policy.Hopeless(now, r.Request, d.estimate(start, r)) {
				break
			}
			out = append(out, r)
		}
	}
	sortRequests(out)
	for _, r := range out {
		p.dequeue(r)
		d.refuse(r, hopelessError(now, p, r.Adapter))
	}
}

func hopelessError(now time.Time, p *replica, a ident.Adapter) *result.Error {
	after := now.Add(time.Second)
	if !p.expects(a) {
		return result.New(result.DeadlineHopeless, "adapter %v did not arrive in time", a).WithRetryAfter(after)
	}
	return result.New(result.DeadlineHopeless, "the batch was full for too long").WithRetryAfter(after)
}
