package ledger

import (
	"time"

	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

const (
	// ProposalRetry is when a proposal without an outcome is made again. It is
	// longer than one proposal takes with the proposer's own retries, so that a
	// request whose proposals were all refused knows that none is under way.
	ProposalRetry = 2500 * time.Millisecond
	// Patience is how long a caller waits for a ledger that cannot be reached,
	// before the proposal that is then under way ends.
	Patience = 4 * time.Second
	// Retention is how long after its deadline a key is remembered.
	Retention = time.Hour
	// ClockBound is how far the wall clocks of two daemons may differ.
	ClockBound = time.Minute
)

// phase is how far a request has come.
type phase uint8

const (
	created phase = iota
	// beginning: a Begin is proposed.
	beginning
	// granted: it may run here; nothing is sent.
	granted
	// sending: bytes may have been sent.
	sending
	// abandoning: nothing was sent or will be; an Abandon is proposed.
	abandoning
	// storing: the Finish or MarkUnknown is proposed.
	storing
	done
)

// Request is one attempt at a non-idempotent request.
type Request struct {
	begin state.Begin
	phase phase
	// proposed counts Begins; refused those that never enter the log.
	proposed, refused int
	// last is what Tick proposes again in phases abandoning and storing.
	last state.Command
	// retry is when the next proposal is due.
	retry time.Time
	// patience is when the caller is told something in any case.
	patience time.Time
	// reason is what the caller is told once the Abandon is committed.
	reason  result.Code
	replied bool
}

// step collects the effects of one step.
type step struct {
	now time.Time
	out Effects
}

// New returns the attempt that b describes.
func New(b state.Begin) *Request { return &Request{begin: b} }

// Step takes an event. Time is the wall clock's, as the deadline is the
// caller's.
func (r *Request) Step(now time.Time, e Event) Effects {
	s := &step{now: now}
	e.on(r, s)
	return s.out
}

// Done reports whether the request needs no further steps.
func (r *Request) Done() bool { return r.phase == done }

// Next returns when the next Tick is due, or the zero time.
func (r *Request) Next() time.Time {
	switch r.phase {
	case created, done:
		return time.Time{}
	case granted, sending:
		return r.begin.Deadline
	}
	return r.retry
}

func (Start) on(r *Request, s *step) {
	if r.phase != created {
		return
	}
	r.phase = beginning
	r.patience = s.now.Add(Patience)
	r.propose(s, r.begin)
	r.proposed++
}

func (Tick) on(r *Request, s *step) {
	late := !s.now.Before(r.begin.Deadline)
	switch r.phase {
	case beginning:
		if late {
			r.abandon(s, result.DeadlineHopeless)
			return
		}
		// If no Begin can be in the log, the next BeginRefused ends the request.
		if r.refused < r.proposed && !s.now.Before(r.patience) {
			r.abandon(s, result.NoLeader)
			return
		}
		if r.due(s) {
			r.propose(s, r.begin)
			r.proposed++
		}
	case granted:
		if late {
			r.abandon(s, result.DeadlineHopeless)
		}
	case sending:
		if late {
			r.lose(s)
		}
	case abandoning, storing:
		r.tickLast(s)
	}
}

// tickLast proposes again what ends the request, until nobody remembers the
// key.
func (r *Request) tickLast(s *step) {
	if r.phase == abandoning && !s.now.Before(r.patience) {
		r.reply(s, Reply{Code: result.Unconfirmed})
	}
	if !s.now.Before(r.begin.Deadline.Add(Retention)) {
		r.phase = done
		return
	}
	if r.due(s) {
		r.propose(s, r.last)
	}
}

func (e BeginOutcome) on(r *Request, s *step) {
	if r.phase != beginning {
		return
	}
	if e.Outcome.Granted {
		r.phase = granted
		if !s.now.Before(r.begin.Deadline) {
			r.abandon(s, result.DeadlineHopeless)
			return
		}
		s.out.Route = true
		return
	}
	r.reply(s, outcomeReply(e.Outcome))
	if r.proposed-r.refused == 1 {
		r.phase = done
		return
	}
	// Another copy of the Begin may still enter the log and be granted, and
	// the key would be held by an attempt that nobody drives.
	r.abandon(s, e.Outcome.Code)
}

func (e BeginRefused) on(r *Request, s *step) {
	if r.phase != beginning {
		return
	}
	r.refused++
	if s.now.Before(r.patience) {
		return
	}
	if r.refused < r.proposed {
		r.abandon(s, notRun(e.Code))
		return
	}
	r.reply(s, e.reply())
	r.phase = done
}

// reply returns what the daemon's own view tells of a key that it never
// proposed.
func (e BeginRefused) reply() Reply {
	if e.Entry != nil && e.Entry.Phase != state.Abandoned {
		return entryReply(e.Entry)
	}
	if e.Fresh {
		return Reply{Code: notRun(e.Code)}
	}
	return Reply{Code: result.Unconfirmed}
}

func (WriteRequested) on(r *Request, s *step) {
	if r.phase != granted {
		return
	}
	if !s.now.Before(r.begin.Deadline) {
		r.abandon(s, result.DeadlineHopeless)
		return
	}
	r.phase = sending
	s.out.Write = true
}

func (NotSent) on(r *Request, s *step) {
	if r.phase != sending {
		return
	}
	r.phase = granted
	if !s.now.Before(r.begin.Deadline) {
		r.abandon(s, result.DeadlineHopeless)
		return
	}
	s.out.Route = true
}

func (e GiveUp) on(r *Request, s *step) {
	if r.phase == beginning || r.phase == granted {
		r.abandon(s, notRun(e.Code))
	}
}

func (e Answered) on(r *Request, s *step) {
	_, unknown := r.last.(state.MarkUnknown)
	if r.phase != sending && !(r.phase == storing && unknown) {
		return
	}
	r.reply(s, Reply{Answer: e.Answer})
	r.store(s, state.Finish{Scope: r.begin.Scope, Key: r.begin.Key, Attempt: r.begin.Attempt, Answer: e.Answer})
}

func (AnswerLost) on(r *Request, s *step) {
	if r.phase == sending {
		r.lose(s)
	}
}

func (e FinalOutcome) on(r *Request, s *step) {
	switch r.phase {
	case abandoning:
		r.reply(s, r.abandoned(e.Outcome))
		r.phase = done
	case storing:
		if !r.stale(e.Outcome) {
			r.phase = done
		}
	}
}

// stale reports whether an outcome is that of a MarkUnknown although a Finish
// was proposed since.
func (r *Request) stale(o state.Outcome) bool {
	_, finish := r.last.(state.Finish)
	return finish && o.Entry != nil && o.Entry.Phase == state.Unknown
}

// abandoned returns what the caller is told after a committed Abandon.
func (r *Request) abandoned(o state.Outcome) Reply {
	if o.Entry != nil && o.Entry.Phase != state.Abandoned {
		return entryReply(o.Entry)
	}
	return Reply{Code: r.reason}
}

func (r *Request) abandon(s *step, reason result.Code) {
	r.phase = abandoning
	r.reason = reason
	r.patience = s.now.Add(Patience)
	r.last = state.Abandon{
		Scope:    r.begin.Scope,
		Key:      r.begin.Key,
		Attempt:  r.begin.Attempt,
		Deadline: r.begin.Deadline,
	}
	r.propose(s, r.last)
}

// lose gives up on an answer after bytes may have been sent.
func (r *Request) lose(s *step) {
	r.reply(s, Reply{Code: result.Unknown})
	r.store(s, state.MarkUnknown{Scope: r.begin.Scope, Key: r.begin.Key, Attempt: r.begin.Attempt})
}

func (r *Request) store(s *step, c state.Command) {
	r.phase = storing
	r.last = c
	r.propose(s, c)
}

func (r *Request) propose(s *step, c state.Command) {
	r.retry = s.now.Add(ProposalRetry)
	s.out.Propose = append(s.out.Propose, c)
}

func (r *Request) due(s *step) bool { return !s.now.Before(r.retry) }

func (r *Request) reply(s *step, reply Reply) {
	if r.replied {
		return
	}
	r.replied = true
	s.out.Reply = &reply
}

func outcomeReply(o state.Outcome) Reply {
	if o.Entry != nil && o.Entry.Phase != state.Abandoned {
		return entryReply(o.Entry)
	}
	return Reply{Code: o.Code}
}

// entryReply returns what an entry that another attempt holds tells a caller.
func entryReply(e *state.Entry) Reply {
	switch e.Phase {
	case state.Finished:
		return Reply{Answer: e.Answer}
	case state.Running:
		return Reply{Code: result.StillRunning}
	}
	return Reply{Code: result.Unknown}
}

// notRun returns c if its row promises not run, and otherwise a code that says
// that no upstream took the request.
func notRun(c result.Code) result.Code {
	if result.Lookup(c).NotRun {
		return c
	}
	return result.NoUpstream
}
