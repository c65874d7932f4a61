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
	// maxAttempts limits how often one owner sends a request.
	maxAttempts = 4
	// initialBackoff is how long nothing is sent to a replica that could not be
	// reached; it doubles with each further failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

func (d *Dispatcher) onFinished(now time.Time, ev Finished) {
	r := d.requests[ev.Request]
	if r == nil || !r.inFlight() {
		return
	}
	p := r.replica
	d.removeInFlight(now, p, r)
	if ev.Outcome != NotSent && ev.Outcome != Refused {
		r.mayHaveRun = true
		p.connectFailures = 0
	}
	switch ev.Outcome {
	case Done:
		d.complete(now, r)
	case NotSent:
		d.handleNotSent(now, p, r)
	case Refused:
		d.handleRefused(now, p, r)
	case Crashed:
		d.markDown(now, p)
		d.handleCrash(now, p, r, ev.Delivered)
	case Truncated, WrongAnswer:
		d.handleBadAnswer(now, r, ev)
	}
}

// removeInFlight removes a request from those in flight at p.
func (d *Dispatcher) removeInFlight(now time.Time, p *replica, r *request) {
	p.inFlight--
	if p.runningSuspect == r {
		p.runningSuspect = nil
	}
	if res := p.residents[r.Adapter]; res != nil && res.inFlight > 0 {
		res.inFlight--
		res.lastUsed = now
	}
}

// complete ends a request whose answer was complete, and clears its body if it
// was a suspect.
func (d *Dispatcher) complete(now time.Time, r *request) {
	a := d.runTimes[r.Class]
	if a == nil {
		a = &movingAverage{}
		d.runTimes[r.Class] = a
	}
	a.add(now.Sub(r.sentAt))
	if e, ok := d.quarantine.RecordSuccess(now, r.Digest); ok {
		d.emit(PublishQuarantine{Entry: e})
	}
	delete(d.requests, r.ID)
}

// handleNotSent requeues a request that did not reach p and backs off from p.
func (d *Dispatcher) handleNotSent(now time.Time, p *replica, r *request) {
	p.connectFailures++
	p.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(p.connectFailures-1, 10)))
	d.requeue(now, r, result.New(result.NoUpstream, "upstream %s could not be reached", p.name))
}

// handleRefused requeues a request that the engine refused. Its adapter is
// not used again until the next report shows whether it is resident.
func (d *Dispatcher) handleRefused(now time.Time, p *replica, r *request) {
	if res := p.residents[r.Adapter]; res != nil && res.inFlight == 0 {
		res.evicting = true
		p.residentsChangedAt = now
	}
	d.requeue(now, r, result.New(result.NoUpstream, "upstream %s refused the request", p.name))
}

// requeue assigns a request that has not run again, if the attempt limit and
// the retry budget allow it.
func (d *Dispatcher) requeue(now time.Time, r *request, err *result.Error) {
	r.sentAt = time.Time{}
	if r.cancelled {
		delete(d.requests, r.ID)
		return
	}
	if r.attempts >= maxAttempts {
		d.refuse(r, err)
		return
	}
	if !d.retries.Take(r.Class) {
		d.refuse(r, result.New(result.RetryBudget, "the retry budget of class %s is exhausted", r.Class).WithRetryAfter(now.Add(time.Second)))
		return
	}
	d.assign(now, r)
}

// handleCrash handles a request that was in flight when its upstream crashed. A
// suspect is handed back, so that routing sends every request with the same
// body to the same owner.
func (d *Dispatcher) handleCrash(now time.Time, p *replica, r *request, delivered bool) {
	e := d.recordCrash(now, r)
	r.sentAt = time.Time{}
	err := result.New(result.UpstreamFailed, "upstream %s crashed", p.name)
	switch {
	case !r.Idempotent:
		d.fail(r, result.New(result.Unknown, "upstream %s crashed", p.name), false)
	case r.cancelled || delivered || e.Verdict == quarantine.Convicted || !d.retries.Take(r.Class):
		d.fail(r, err, false)
	case d.policy.IsolateSuspects:
		d.fail(r, err, true)
	default:
		d.requeueOrHandBack(now, r, err)
	}
}

// recordCrash records that r was in flight at a crash and publishes the
// resulting quarantine entry.
func (d *Dispatcher) recordCrash(now time.Time, r *request) quarantine.Entry {
	if !d.policy.IsolateSuspects {
		return quarantine.Entry{}
	}
	e := d.quarantine.RecordCrash(now, r.Digest, r.isolated)
	d.emit(PublishQuarantine{Entry: e})
	d.applyVerdicts(now)
	return e
}

// requeueOrHandBack assigns a request that may have run again, or hands it back
// to be sent to another owner.
func (d *Dispatcher) requeueOrHandBack(now time.Time, r *request, err *result.Error) {
	if len(d.candidates(r)) == 0 || r.attempts >= maxAttempts {
		d.fail(r, err, !r.Retried)
		return
	}
	d.assign(now, r)
}

// handleBadAnswer handles an answer that was truncated or did not match the
// request.
func (d *Dispatcher) handleBadAnswer(now time.Time, r *request, ev Finished) {
	code := result.StreamCut
	if ev.Outcome == WrongAnswer {
		code = result.WrongAnswer
	}
	r.sentAt = time.Time{}
	switch {
	case !r.Idempotent:
		d.fail(r, result.New(result.Unknown, "the request was sent, but its answer was lost"), false)
	case r.cancelled || ev.Delivered || r.attempts >= maxAttempts || !d.retries.Take(r.Class):
		d.fail(r, result.New(code, "after %d attempts", r.attempts), false)
	default:
		d.requeueOrHandBack(now, r, result.New(code, "after %d attempts", r.attempts))
	}
}

// markDown stops the use of a replica until it reports or restarts.
func (d *Dispatcher) markDown(now time.Time, p *replica) {
	if p.down {
		return
	}
	p.down = true
	p.residentsChangedAt = now
	d.emit(Announce{Upstream: p.name})
	d.reassignQueue(now, p)
}

func (d *Dispatcher) onRestarted(now time.Time, ev Restarted) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation == ev.Incarnation {
		return
	}
	d.endLoad(p)
	lost := d.inFlightAt(p)
	p.incarnation = ev.Incarnation
	p.reset()
	p.residentsKnown, p.down = true, false
	p.backoffUntil, p.connectFailures = time.Time{}, 0
	p.residentsChangedAt = now
	for _, r := range lost {
		d.removeInFlight(now, p, r)
		r.mayHaveRun = true
		d.handleCrash(now, p, r, false)
	}
	d.emit(Announce{Upstream: p.name})
}

// inFlightAt returns the requests in flight at p, sorted by ID.
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

// onQuarantineReceived merges quarantine entries and applies them to the waiting
// requests.
func (d *Dispatcher) onQuarantineReceived(now time.Time, ev QuarantineReceived) {
	for _, e := range ev.Entries {
		d.quarantine.Merge(now, e)
	}
	d.applyVerdicts(now)
}

// applyVerdicts applies the current verdicts to all waiting requests.
func (d *Dispatcher) applyVerdicts(now time.Time) {
	for _, p := range d.replicas {
		waiting := p.waitingRequests()
		sortRequests(waiting)
		for _, r := range waiting {
			d.applyVerdict(now, p, r)
		}
	}
}

// applyVerdict applies the current verdict to a request that waits for p.
func (d *Dispatcher) applyVerdict(now time.Time, p *replica, r *request) {
	switch d.verdict(now, r) {
	case quarantine.Convicted:
		p.dequeue(r)
		d.refuse(r, result.New(result.Quarantined, "the request crashed two upstreams").WithRetryAfter(d.quarantine.Expiry(r.Digest)))
	case quarantine.Suspect:
		if !r.isolated {
			p.dequeue(r)
			r.isolated = true
			p.enqueue(r, d.policy.Compare)
		}
	case quarantine.Clear:
	}
}

// onReport updates the state of a replica from its report. A report that was
// made before the newest order or answer is outdated and ignored.
func (d *Dispatcher) onReport(now time.Time, ev ReplicaReport) {
	p := d.find(ev.Upstream)
	if p == nil || p.incarnation != ev.Incarnation || !ev.MadeAt.After(p.residentsChangedAt) {
		return
	}
	if p.down {
		p.down = false
		d.emit(Announce{Upstream: p.name})
	}
	first := !p.residentsKnown
	p.residentsKnown = true
	if first {
		p.inheritedInFlight = ev.InFlight
	}
	p.inheritedInFlight = min(p.inheritedInFlight, ev.InFlight)
	if p.load == nil {
		d.updateResidents(now, p, ev, first)
	}
	if first {
		d.emit(Announce{Upstream: p.name})
	}
}

// updateResidents replaces the residents with the reported ones. With the first
// report after a takeover, they may be in use by requests of a former owner.
func (d *Dispatcher) updateResidents(now time.Time, p *replica, ev ReplicaReport, first bool) {
	reported := make(map[ident.Adapter]bool, len(ev.Residents))
	for _, a := range ev.Residents {
		reported[a] = true
		r := p.residents[a]
		if r == nil {
			r = &resident{lastUsed: now, inherited: first && now.Before(p.inheritedUntil)}
			p.residents[a] = r
		}
		r.evicting = false
	}
	for a, r := range p.residents {
		if !reported[a] && r.inFlight == 0 {
			delete(p.residents, a)
		}
	}
	for _, a := range ev.Idle {
		if r := p.residents[a]; r != nil {
			r.inherited = false
		}
	}
}
