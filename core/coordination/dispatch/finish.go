package dispatch

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

const (
	// maxAttempts bounds the sends of one request at one owner.
	maxAttempts = 4
	// firstPause is how long a replica that could not be reached is left
	// alone; the pause doubles up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = 5 * time.Second
)

func (d *Dispatcher) finished(now time.Time, ev Finished) {
	r := d.requests[ev.Request]
	if r == nil || !r.inFlight() {
		return
	}
	p := r.replica
	d.leave(now, p, r)
	if ev.Outcome != NotSent && ev.Outcome != Refused {
		r.ran = true
		p.unreached = 0
	}
	switch ev.Outcome {
	case Done:
		d.done(now, r)
	case NotSent:
		d.notSent(now, p, r)
	case Refused:
		d.engineRefused(now, p, r)
	case Crashed:
		d.wentDown(now, p)
		d.crashed(now, p, r, ev.Delivered)
	case Truncated, WrongAnswer:
		d.broken(now, r, ev)
	}
}

// leave takes a request from those in flight at p.
func (d *Dispatcher) leave(now time.Time, p *replica, r *request) {
	p.inFlight--
	if p.solo == r {
		p.solo = nil
	}
	if res := p.residents[r.Adapter]; res != nil && res.inFlight > 0 {
		res.inFlight--
		res.used = now
	}
}

func (d *Dispatcher) done(now time.Time, r *request) {
	a := d.estimates[r.Class]
	if a == nil {
		a = &average{}
		d.estimates[r.Class] = a
	}
	a.add(now.Sub(r.sent))
	if e, ok := d.quarantine.Finished(now, r.Digest); ok {
		d.emit(PublishQuarantine{Entry: e})
	}
	delete(d.requests, r.ID)
}

// notSent lets a request that did not reach p wait again.
func (d *Dispatcher) notSent(now time.Time, p *replica, r *request) {
	p.unreached++
	p.pausedUntil = now.Add(min(maxPause, firstPause<<min(p.unreached-1, 10)))
	d.again(now, r, result.New(result.NoUpstream, "upstream %s was not reached", p.name))
}

// engineRefused lets a request wait again that the engine refused. What is
// resident is known again with the next report.
func (d *Dispatcher) engineRefused(now time.Time, p *replica, r *request) {
	if res := p.residents[r.Adapter]; res != nil && res.inFlight == 0 {
		res.leaving = true
		p.changed = now
	}
	d.again(now, r, result.New(result.NoUpstream, "upstream %s refused it", p.name))
}

// again places a request anew, if its attempts and the retry budget allow.
func (d *Dispatcher) again(now time.Time, r *request, err *result.Error) {
	r.sent = time.Time{}
	if r.cancelled {
		delete(d.requests, r.ID)
		return
	}
	if r.attempts >= maxAttempts {
		d.refuse(r, err)
		return
	}
	if !d.retries.Take(r.Class) {
		d.refuse(r, result.New(result.RetryBudget, "class %s", r.Class).WithRetryAfter(now.Add(time.Second)))
		return
	}
	d.place(now, r)
}

// crashed deals with a request that was in flight when its upstream died. A
// suspect is handed back, so that routing sends every copy of its body to the
// same owner.
func (d *Dispatcher) crashed(now time.Time, p *replica, r *request, delivered bool) {
	e := d.suspect(now, r)
	r.sent = time.Time{}
	err := result.New(result.UpstreamFailed, "upstream %s crashed", p.name)
	switch {
	case !r.Idempotent:
		d.fail(r, result.New(result.Unknown, "upstream %s crashed", p.name), false)
	case r.cancelled || delivered || e.Verdict == quarantine.Convicted || !d.retries.Take(r.Class):
		d.fail(r, err, false)
	case d.policy.Isolates:
		d.fail(r, err, true)
	default:
		d.retryElsewhere(now, r, err)
	}
}

// suspect notes that r was in flight at a crash and spreads what follows.
func (d *Dispatcher) suspect(now time.Time, r *request) quarantine.Entry {
	if !d.policy.Isolates {
		return quarantine.Entry{}
	}
	e := d.quarantine.Crashed(now, r.Digest, r.alone)
	d.emit(PublishQuarantine{Entry: e})
	d.judgeAll(now)
	return e
}

// retryElsewhere places a request that may have run, or hands it back to be
// sent to another owner.
func (d *Dispatcher) retryElsewhere(now time.Time, r *request, err *result.Error) {
	if len(d.candidates(r)) == 0 || r.attempts >= maxAttempts {
		d.fail(r, err, !r.Retried)
		return
	}
	d.place(now, r)
}

// broken deals with an answer that was cut or did not match.
func (d *Dispatcher) broken(now time.Time, r *request, ev Finished) {
	code := result.StreamCut
	if ev.Outcome == WrongAnswer {
		code = result.WrongAnswer
	}
	r.sent = time.Time{}
	switch {
	case !r.Idempotent:
		d.fail(r, result.New(result.Unknown, "answer was lost"), false)
	case r.cancelled || ev.Delivered || r.attempts >= maxAttempts || !d.retries.Take(r.Class):
		d.fail(r, result.New(code, "after %d attempts", r.attempts), false)
	default:
		d.retryElsewhere(now, r, result.New(code, "after %d attempts", r.attempts))
	}
}

// wentDown stops the use of a replica until it shows a sign of life.
func (d *Dispatcher) wentDown(now time.Time, p *replica) {
	if p.down {
		return
	}
	p.down = true
	p.changed = now
	d.emit(Announce{Upstream: p.name})
	d.moveQueue(now, p)
}

func (d *Dispatcher) restarted(now time.Time, ev Restarted) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation == ev.Incarnation {
		return
	}
	d.dropLoad(p)
	lost := d.inFlightAt(p)
	p.incarnation = ev.Incarnation
	p.forget()
	p.known, p.down = true, false
	p.pausedUntil, p.unreached = time.Time{}, 0
	p.changed = now
	for _, r := range lost {
		d.leave(now, p, r)
		r.ran = true
		d.crashed(now, p, r, false)
	}
	d.emit(Announce{Upstream: p.name})
}

// inFlightAt returns the requests in flight at p, by id.
func (d *Dispatcher) inFlightAt(p *replica) []*request {
	var out []*request
	for _, r := range d.requests {
		if r.replica == p && r.inFlight() {
			out = append(out, r)
		}
	}
	sortRequests(out)
	return out
}

func sortRequests(rs []*request) {
	slices.SortFunc(rs, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
}

// convict takes over quarantine entries and applies them to what waits.
func (d *Dispatcher) convict(now time.Time, ev QuarantineReceived) {
	for _, e := range ev.Entries {
		d.quarantine.Merge(now, e)
	}
	d.judgeAll(now)
}

// judgeAll applies the verdicts to everything that waits.
func (d *Dispatcher) judgeAll(now time.Time) {
	for _, p := range d.replicas {
		waiting := p.queued()
		sortRequests(waiting)
		for _, r := range waiting {
			d.judge(now, p, r)
		}
	}
}

// judge applies the verdict on a request that waits for p.
func (d *Dispatcher) judge(now time.Time, p *replica, r *request) {
	switch d.verdict(now, r) {
	case quarantine.Convicted:
		p.dequeue(r)
		d.refuse(r, result.New(result.Quarantined, "it crashed two upstreams").WithRetryAfter(d.quarantine.Until(r.Digest)))
	case quarantine.Suspect:
		if !r.alone {
			p.dequeue(r)
			r.alone = true
			p.enqueue(r, d.policy.Compare)
		}
	case quarantine.Clear:
	}
}

// report corrects what is known of a replica. A report that was made before
// the newest order or answer says nothing about the residents.
func (d *Dispatcher) report(now time.Time, ev ReplicaReport) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation != ev.Incarnation || !ev.MadeAt.After(p.changed) {
		return
	}
	if p.down {
		p.down = false
		d.emit(Announce{Upstream: p.name})
	}
	first := !p.known
	p.known = true
	if first {
		p.foreign = ev.InFlight
	}
	p.foreign = min(p.foreign, ev.InFlight)
	if p.load == nil {
		d.takeResidents(now, p, ev, first)
	}
	if first {
		d.emit(Announce{Upstream: p.name})
	}
}

func (d *Dispatcher) takeResidents(now time.Time, p *replica, ev ReplicaReport, first bool) {
	there := make(map[ident.Adapter]bool, len(ev.Residents))
	for _, a := range ev.Residents {
		there[a] = true
		r := p.residents[a]
		if r == nil {
			r = &resident{used: now, inherited: first && now.Before(p.busyUntil)}
			p.residents[a] = r
		}
		r.leaving = false
	}
	for a, r := range p.residents {
		if !there[a] && r.inFlight == 0 {
			delete(p.residents, a)
		}
	}
	for _, a := range ev.Idle {
		if r := p.residents[a]; r != nil {
			r.inherited = false
		}
	}
}
