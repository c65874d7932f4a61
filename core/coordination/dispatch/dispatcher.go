package dispatch

import (
	"cmp"
	"slices"
	"time"

	"papayaspoke/core/coordination/dispatch/budget"
	"papayaspoke/core/coordination/dispatch/demand"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/coordination/dispatch/retry"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Dispatcher decides for the replicas that one daemon owns. It is not safe for
// use by several goroutines.
type Dispatcher struct {
	self   ident.Daemon
	policy Policy

	// replicas are the owned ones, sorted by name.
	replicas []*replica
	// requests holds every request that has not ended.
	requests map[ident.Request]*request
	// estimates holds the run time of each class that was seen.
	estimates map[ident.Class]*average
	// loads is the time that loads take.
	loads average

	quarantine *quarantine.List
	retries    *retry.Budget
	backoff    *retry.Backoff

	admission admission
	// asked are the wants of the newest Request, and askedAt is when it was made.
	asked   []budget.DesiredLoad
	askedAt time.Time
	// fallback is true while the share stands in for permits.
	fallback bool
	share    budget.Limits
	// starts are the times of loads under the share in the last second.
	starts []time.Time

	// effects are those of the step that is being made.
	effects []Effect
}

// New returns a dispatcher of a daemon that owns no replica yet.
func New(self ident.Daemon, policy Policy) *Dispatcher {
	return &Dispatcher{
		self:       self,
		policy:     policy,
		requests:   make(map[ident.Request]*request),
		estimates:  make(map[ident.Class]*average),
		quarantine: quarantine.New(),
		retries:    retry.NewBudget(),
		backoff:    retry.NewBackoff(),
		admission:  admission{share: 1, credit: 1},
	}
}

// Step takes note of an event and returns what is to be done, in order.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	d.effects = nil
	d.note(now, ev)
	for _, p := range d.replicas {
		d.settle(now, p)
	}
	d.ask(now)
	return d.effects
}

func (d *Dispatcher) note(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Acquired:
		d.acquired(now, ev)
	case Released:
		d.released(now, ev)
	case Draining:
		d.drain(now, ev)
	case Arrived:
		d.arrived(now, ev.Request)
	case Cancelled:
		d.cancelled(ev)
	case LoadDone:
		d.loadDone(now, ev)
	case Unloaded:
		d.unloaded(now, ev)
	case Finished:
		d.finished(now, ev)
	case ReplicaReport:
		d.report(now, ev)
	case Restarted:
		d.restarted(now, ev)
	case PermitsGranted:
		d.granted(now, ev)
	case AdmissionShare:
		d.admission.share = ev.Share
	case BudgetLost:
		d.budgetLost(now, ev)
	case BudgetRestored:
		d.fallback = false
	case QuarantineReceived:
		d.convict(now, ev)
	case AnswerStarted, Tick:
	}
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Dispatcher) find(name ident.Upstream) *replica {
	i, ok := slices.BinarySearchFunc(d.replicas, name, compareName)
	if !ok {
		return nil
	}
	return d.replicas[i]
}

func compareName(p *replica, name ident.Upstream) int { return cmp.Compare(p.name, name) }

func (d *Dispatcher) acquired(now time.Time, ev Acquired) {
	if old := d.find(ev.Upstream); old != nil {
		if old.incarnation == ev.Incarnation {
			old.fence, old.draining = ev.Fence, false
			return
		}
		d.released(now, Released{Upstream: ev.Upstream})
	}
	p := &replica{
		name:        ev.Upstream,
		incarnation: ev.Incarnation,
		model:       ev.Model,
		dataCentre:  ev.DataCentre,
		fence:       ev.Fence,
		slots:       ev.Slots,
		maxBatch:    ev.MaxBatch,
		changed:     now,
		busyUntil:   ev.InheritedUntil,
		residents:   make(map[ident.Adapter]*resident),
		lines:       make(map[ident.Adapter]*line),
		demand:      demand.NewTable(),
	}
	i, _ := slices.BinarySearchFunc(d.replicas, p.name, compareName)
	d.replicas = slices.Insert(d.replicas, i, p)
	d.emit(Announce{Upstream: p.name})
}

// released gives up a replica. Requests in flight there run on; their ends
// are still noted.
func (d *Dispatcher) released(now time.Time, ev Released) {
	p := d.find(ev.Upstream)
	if p == nil {
		return
	}
	p.draining = true
	d.replicas = slices.DeleteFunc(d.replicas, func(q *replica) bool { return q == p })
	d.dropLoad(p)
	d.moveQueue(now, p)
}

func (d *Dispatcher) drain(now time.Time, ev Draining) {
	p := d.find(ev.Upstream)
	if p == nil || p.draining {
		return
	}
	p.draining = true
	d.moveQueue(now, p)
	d.emit(Announce{Upstream: p.name})
}

// moveQueue takes every waiting request from a replica and places it anew.
func (d *Dispatcher) moveQueue(now time.Time, p *replica) {
	waiting := p.queued()
	slices.SortFunc(waiting, func(a, b *request) int { return d.policy.Compare(a.Request, b.Request) })
	for _, r := range waiting {
		p.dequeue(r)
		d.place(now, r)
	}
}

func (d *Dispatcher) arrived(now time.Time, req Request) {
	if d.requests[req.ID] != nil {
		return
	}
	r := &request{Request: req, ran: req.Retried}
	d.requests[req.ID] = r
	if !req.Retried {
		d.retries.Arrived(req.Class)
	}
	if req.Suspect {
		d.quarantine.Suspect(now, req.Digest)
	}
	d.place(now, r)
}

// verdict returns what is known of the body of r.
func (d *Dispatcher) verdict(now time.Time, r *request) quarantine.Verdict {
	if !d.policy.Isolates {
		return quarantine.Clear
	}
	return d.quarantine.Verdict(now, r.Digest)
}

// Verdict returns what is known of a body at now, for routing.
func (d *Dispatcher) Verdict(now time.Time, body quarantine.Digest) quarantine.Verdict {
	return d.quarantine.Verdict(now, body)
}

// place lets a request wait for one of the replicas, or ends it if its body is
// in quarantine or there is none.
func (d *Dispatcher) place(now time.Time, r *request) {
	switch d.verdict(now, r) {
	case quarantine.Convicted:
		err := result.New(result.Quarantined, "it crashed two upstreams")
		d.refuse(r, err.WithRetryAfter(d.quarantine.Until(r.Digest)))
		return
	case quarantine.Suspect:
		r.alone = true
	case quarantine.Clear:
	}
	cs := d.candidates(r)
	if len(cs) == 0 {
		d.refuse(r, result.New(result.NoUpstream, "no replica of this owner takes it"))
		return
	}
	p := d.find(cs[d.policy.Choose(r.Request, cs)].Upstream)
	wait := d.queueTime(p, r)
	if !r.alone && !d.runsNow(p, r) && d.policy.Hopeless(now, r.Request, d.estimate(now.Add(wait), r)) {
		err := result.New(result.Overloaded, "the wait is longer than the target")
		d.refuse(r, err.WithRetryAfter(now.Add(max(wait, time.Second))))
		return
	}
	if !d.mayLoad() && !p.expects(r.Adapter) {
		d.refuse(r, result.New(result.NoUpstream, "this owner may not load without the budget's holder"))
		return
	}
	if !d.admit(now, p, r) {
		err := result.New(result.Overloaded, "more adapters are asked for than can be loaded")
		d.refuse(r, err.WithRetryAfter(now.Add(retryMiss)))
		return
	}
	if r.alone && !p.isolates() {
		d.emit(Announce{Upstream: p.name})
	}
	p.enqueue(r, d.policy.Compare)
	p.demand.Add(now, r.Adapter, 1)
}

// candidates returns the replicas that r may wait for. Replicas that run
// suspects alone are left out if there are others.
func (d *Dispatcher) candidates(r *request) []Candidate {
	var open, held []Candidate
	for _, p := range d.replicas {
		if p.model != r.Model || !p.accepts() || p.down {
			continue
		}
		c := Candidate{
			Upstream: p.name,
			Resident: p.expects(r.Adapter),
			InFlight: p.inFlight + p.foreign,
			Waiting:  p.waiting,
			MaxBatch: p.maxBatch,
			Routed:   p.name == r.Upstream,
			Prefix:   r.Prefix != 0 && slices.Contains(p.recent, r.Prefix),
		}
		if p.isolates() && !r.alone {
			held = append(held, c)
			continue
		}
		open = append(open, c)
	}
	if len(open) > 0 {
		return open
	}
	return held
}

func (d *Dispatcher) cancelled(ev Cancelled) {
	r := d.requests[ev.Request]
	if r == nil {
		return
	}
	if r.inFlight() {
		r.cancelled = true
		return
	}
	r.replica.dequeue(r)
	delete(d.requests, r.ID)
}

// refuse ends a request that does not wait any more. A request that may have
// run fails instead.
func (d *Dispatcher) refuse(r *request, err *result.Error) {
	delete(d.requests, r.ID)
	if r.cancelled {
		return
	}
	if r.ran {
		again := r.Idempotent && err.Code() == result.NoUpstream
		d.emit(Fail{Request: r.ID, Err: ranError(r, err), Retry: again})
		return
	}
	d.emit(Refuse{Request: r.ID, Err: err})
}

// ranError says why a request that may have run is not run again.
func ranError(r *request, cause *result.Error) *result.Error {
	if !r.Idempotent {
		return result.New(result.Unknown, "it may have run: %w", cause)
	}
	return result.New(result.UpstreamFailed, "not run again: %w", cause)
}

func (d *Dispatcher) fail(r *request, err *result.Error, again bool) {
	delete(d.requests, r.ID)
	if r.cancelled {
		return
	}
	d.emit(Fail{Request: r.ID, Err: err, Retry: again})
}
