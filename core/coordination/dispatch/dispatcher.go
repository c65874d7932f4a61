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

// Dispatcher schedules requests and adapter loads for the replicas that one
// daemon owns. It is not safe for concurrent use.
type Dispatcher struct {
	self   ident.Daemon
	policy Policy

	// replicas holds the owned replicas, sorted by name.
	replicas []*replica
	// requests holds every request that has not ended.
	requests map[ident.Request]*request
	// runTimes holds the average run time of each class seen so far.
	runTimes map[ident.Class]*movingAverage
	// loadTime is the average duration of a load.
	loadTime movingAverage

	quarantine *quarantine.List
	retries    *retry.Budget
	backoff    *retry.Backoff

	admission missAdmission
	// requestedLoads are the loads named in the newest permit request, which
	// was made at requestedAt.
	requestedLoads []budget.DesiredLoad
	requestedAt    time.Time
	// fallback is true while the fixed share is used instead of permits.
	fallback       bool
	fallbackLimits budget.Limits
	// fallbackStarts are the start times of the loads made under the fixed
	// share in the last second.
	fallbackStarts []time.Time

	// effects collects the effects of the current step.
	effects []Effect
}

// New returns a dispatcher for a daemon that does not own any replica yet.
func New(self ident.Daemon, policy Policy) *Dispatcher {
	return &Dispatcher{
		self:       self,
		policy:     policy,
		requests:   make(map[ident.Request]*request),
		runTimes:   make(map[ident.Class]*movingAverage),
		quarantine: quarantine.New(),
		retries:    retry.NewBudget(),
		backoff:    retry.NewBackoff(),
		admission:  missAdmission{share: 1, credit: 1},
	}
}

// Step applies an event and returns the effects to carry out, in order.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	d.effects = nil
	d.handle(now, ev)
	for _, p := range d.replicas {
		d.processQueues(now, p)
	}
	d.requestLoads(now)
	return d.effects
}

func (d *Dispatcher) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Acquired:
		d.onAcquired(now, ev)
	case Released:
		d.onReleased(now, ev)
	case Draining:
		d.onDraining(now, ev)
	case Arrived:
		d.onArrived(now, ev.Request)
	case Cancelled:
		d.onCancelled(ev)
	case LoadDone:
		d.onLoadDone(now, ev)
	case Unloaded:
		d.onUnloaded(now, ev)
	case Finished:
		d.onFinished(now, ev)
	case ReplicaReport:
		d.onReport(now, ev)
	case Restarted:
		d.onRestarted(now, ev)
	case PermitsGranted:
		d.onPermitsGranted(now, ev)
	case AdmissionShare:
		d.admission.share = ev.Share
	case BudgetLost:
		d.onBudgetLost(now, ev)
	case BudgetRestored:
		d.fallback = false
	case QuarantineReceived:
		d.onQuarantineReceived(now, ev)
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

func (d *Dispatcher) onAcquired(now time.Time, ev Acquired) {
	if old := d.find(ev.Upstream); old != nil {
		if old.incarnation == ev.Incarnation {
			old.fence, old.draining = ev.Fence, false
			return
		}
		d.onReleased(now, Released{Upstream: ev.Upstream})
	}
	p := &replica{
		name:               ev.Upstream,
		incarnation:        ev.Incarnation,
		model:              ev.Model,
		dataCentre:         ev.DataCentre,
		fence:              ev.Fence,
		slots:              ev.Slots,
		maxBatch:           ev.MaxBatch,
		residentsChangedAt: now,
		inheritedUntil:     ev.InheritedUntil,
		residents:          make(map[ident.Adapter]*resident),
		queues:             make(map[ident.Adapter]*queue),
		demand:             demand.NewTable(),
	}
	i, _ := slices.BinarySearchFunc(d.replicas, p.name, compareName)
	d.replicas = slices.Insert(d.replicas, i, p)
	d.emit(Announce{Upstream: p.name})
}

// onReleased removes a replica. Requests in flight there continue, and their
// results are still processed.
func (d *Dispatcher) onReleased(now time.Time, ev Released) {
	p := d.find(ev.Upstream)
	if p == nil {
		return
	}
	p.draining = true
	d.replicas = slices.DeleteFunc(d.replicas, func(q *replica) bool { return q == p })
	d.endLoad(p)
	d.reassignQueue(now, p)
}

func (d *Dispatcher) onDraining(now time.Time, ev Draining) {
	p := d.find(ev.Upstream)
	if p == nil || p.draining {
		return
	}
	p.draining = true
	d.reassignQueue(now, p)
	d.emit(Announce{Upstream: p.name})
}

// reassignQueue removes every waiting request from a replica and assigns it
// again.
func (d *Dispatcher) reassignQueue(now time.Time, p *replica) {
	waiting := p.waitingRequests()
	slices.SortFunc(waiting, func(a, b *request) int { return d.policy.Compare(a.Request, b.Request) })
	for _, r := range waiting {
		p.dequeue(r)
		d.assign(now, r)
	}
}

func (d *Dispatcher) onArrived(now time.Time, req Request) {
	if d.requests[req.ID] != nil {
		return
	}
	r := &request{Request: req, mayHaveRun: req.Retried}
	d.requests[req.ID] = r
	if !req.Retried {
		d.retries.RecordRequest(req.Class)
	}
	if req.Suspect {
		d.quarantine.AddSuspect(now, req.Digest)
	}
	d.assign(now, r)
}

// verdict returns the quarantine verdict on the body of r.
func (d *Dispatcher) verdict(now time.Time, r *request) quarantine.Verdict {
	if !d.policy.IsolateSuspects {
		return quarantine.Clear
	}
	return d.quarantine.Verdict(now, r.Digest)
}

// Verdict returns the quarantine verdict on a body at now, for routing.
func (d *Dispatcher) Verdict(now time.Time, body quarantine.Digest) quarantine.Verdict {
	return d.quarantine.Verdict(now, body)
}

// assign queues a request at one of the replicas. It refuses the request if
// its body is quarantined, no replica accepts it, it would miss its deadline or
// its adapter cannot be loaded.
func (d *Dispatcher) assign(now time.Time, r *request) {
	switch d.verdict(now, r) {
	case quarantine.Convicted:
		err := result.New(result.Quarantined, "the request crashed two upstreams")
		d.refuse(r, err.WithRetryAfter(d.quarantine.Expiry(r.Digest)))
		return
	case quarantine.Suspect:
		r.isolated = true
	case quarantine.Clear:
	}
	cs := d.candidates(r)
	if len(cs) == 0 {
		d.refuse(r, result.New(result.NoUpstream, "no replica of this owner accepts the request"))
		return
	}
	p := d.find(cs[d.policy.ChooseReplica(r.Request, cs)].Upstream)
	wait := d.expectedQueueTime(p, r)
	if !r.isolated && !d.canRunNow(p, r) && d.policy.MissesDeadline(now, r.Request, d.estimate(now.Add(wait), r)) {
		err := result.New(result.Overloaded, "the expected wait exceeds the target latency")
		d.refuse(r, err.WithRetryAfter(now.Add(max(wait, time.Second))))
		return
	}
	if !d.canLoad() && !p.residentOrLoading(r.Adapter) {
		d.refuse(r, result.New(result.NoUpstream, "this owner may not load adapters while the budget holder is unreachable"))
		return
	}
	if !d.admitMiss(now, p, r) {
		err := result.New(result.Overloaded, "more adapter loads are requested than the load budget allows")
		d.refuse(r, err.WithRetryAfter(now.Add(missRetryAfter)))
		return
	}
	if r.isolated && !p.isolating() {
		d.emit(Announce{Upstream: p.name})
	}
	p.enqueue(r, d.policy.Compare)
	p.demand.Add(now, r.Adapter, 1)
}

// candidates returns the replicas that r may wait for. Replicas that isolate a
// suspect are used for other requests only if there is no other replica.
func (d *Dispatcher) candidates(r *request) []Candidate {
	var normal, isolating []Candidate
	for _, p := range d.replicas {
		if p.model != r.Model || !p.acceptsWork() || p.down {
			continue
		}
		c := Candidate{
			Upstream: p.name,
			Resident: p.residentOrLoading(r.Adapter),
			InFlight: p.inFlight + p.inheritedInFlight,
			Waiting:  p.waiting,
			MaxBatch: p.maxBatch,
			Routed:   p.name == r.Upstream,
			Prefix:   r.Prefix != 0 && slices.Contains(p.recentPrefixes, r.Prefix),
		}
		if p.isolating() && !r.isolated {
			isolating = append(isolating, c)
			continue
		}
		normal = append(normal, c)
	}
	if len(normal) > 0 {
		return normal
	}
	return isolating
}

func (d *Dispatcher) onCancelled(ev Cancelled) {
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

// refuse ends a request that is no longer queued. A request that may have run
// fails instead.
func (d *Dispatcher) refuse(r *request, err *result.Error) {
	delete(d.requests, r.ID)
	if r.cancelled {
		return
	}
	if r.mayHaveRun {
		retryable := r.Idempotent && err.Code() == result.NoUpstream
		d.emit(Fail{Request: r.ID, Err: mayHaveRunError(r, err), Retry: retryable})
		return
	}
	d.emit(Refuse{Request: r.ID, Err: err})
}

// mayHaveRunError returns the error for a request that may have run and is not
// run again.
func mayHaveRunError(r *request, cause *result.Error) *result.Error {
	if !r.Idempotent {
		return result.New(result.Unknown, "the request may have run: %w", cause)
	}
	return result.New(result.UpstreamFailed, "the request may have run and was not retried: %w", cause)
}

func (d *Dispatcher) fail(r *request, err *result.Error, retryable bool) {
	delete(d.requests, r.ID)
	if r.cancelled {
		return
	}
	d.emit(Fail{Request: r.ID, Err: err, Retry: retryable})
}
