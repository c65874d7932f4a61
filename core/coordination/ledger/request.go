package ledger

import (
	"time"

	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

const (
	// ProposalRetry is how long after a proposal without an outcome it is made
	// again. It is longer than one proposal takes with the proposer's own
	// retries, so that a request whose proposals were all refused knows that none
	// is in flight.
	ProposalRetry = 2500 * time.Millisecond
	// LedgerTimeout is how long a caller waits for an unreachable ledger, not
	// counting the time that the proposal then in flight takes to end.
	LedgerTimeout = 4 * time.Second
	// Retention is how long a key is remembered after its deadline.
	Retention = time.Hour
	// MaxClockSkew is the maximum difference between the wall clocks of two
	// daemons.
	MaxClockSkew = time.Minute
)

// phase is the state of a request.
type phase uint8

const (
	created phase = iota
	// beginning: a Begin has been proposed.
	beginning
	// granted: this attempt may run; nothing has been sent.
	granted
	// sending: bytes may have been sent.
	sending
	// abandoning: nothing was or will be sent; an Abandon has been proposed.
	abandoning
	// storing: a Finish or MarkUnknown has been proposed.
	storing
	done
)

// Request is one attempt at a non-idempotent request.
type Request struct {
	begin state.Begin
	phase phase
	// proposed counts the proposed Begins; rejected counts those of them that
	// never enter the log.
	proposed, rejected int
	// finalCommand is the command that is proposed again in the phases abandoning
	// and storing.
	finalCommand state.Command
	// retryAt is when the next proposal is due.
	retryAt time.Time
	// replyDeadline is when the request stops waiting for the ledger, so that the
	// caller gets a reply.
	replyDeadline time.Time
	// reason is the result for the caller once the Abandon is committed.
	reason  result.Code
	replied bool
}

// step collects the effects of one step.
type step struct {
	now     time.Time
	effects Effects
}

// New returns the attempt that b describes.
func New(b state.Begin) *Request { return &Request{begin: b} }

// Step processes an event. Now is the wall clock, because the deadline is given
// by the caller.
func (r *Request) Step(now time.Time, e Event) Effects {
	s := &step{now: now}
	e.apply(r, s)
	return s.effects
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
	return r.retryAt
}

func (Start) apply(r *Request, s *step) {
	if r.phase != created {
		return
	}
	r.phase = beginning
	r.replyDeadline = s.now.Add(LedgerTimeout)
	r.propose(s, r.begin)
	r.proposed++
}

func (Tick) apply(r *Request, s *step) {
	late := !s.now.Before(r.begin.Deadline)
	switch r.phase {
	case beginning:
		if late {
			r.abandon(s, result.DeadlineHopeless)
			return
		}
		// If no Begin can be in the log, the next refusal ends the request.
		if r.rejected < r.proposed && !s.now.Before(r.replyDeadline) {
			r.abandon(s, result.NoLeader)
			return
		}
		if r.retryDue(s) {
			r.propose(s, r.begin)
			r.proposed++
		}
	case granted:
		if late {
			r.abandon(s, result.DeadlineHopeless)
		}
	case sending:
		if late {
			r.markUnknown(s)
		}
	case abandoning, storing:
		r.retryFinal(s)
	}
}

// retryFinal proposes the final command again until the ledger no longer
// remembers the key.
func (r *Request) retryFinal(s *step) {
	if r.phase == abandoning && !s.now.Before(r.replyDeadline) {
		r.reply(s, Reply{Code: result.Unconfirmed})
	}
	if !s.now.Before(r.begin.Deadline.Add(Retention)) {
		r.phase = done
		return
	}
	if r.retryDue(s) {
		r.propose(s, r.finalCommand)
	}
}

func (e BeginOutcome) apply(r *Request, s *step) {
	if r.phase != beginning {
		return
	}
	if e.Outcome.Granted {
		r.phase = granted
		if !s.now.Before(r.begin.Deadline) {
			r.abandon(s, result.DeadlineHopeless)
			return
		}
		s.effects.Route = true
		return
	}
	r.reply(s, outcomeReply(e.Outcome))
	if r.proposed-r.rejected == 1 {
		r.phase = done
		return
	}
	// Another copy of the Begin may still enter the log and be granted. Without an
	// Abandon the key would then be held by an attempt that nothing drives.
	r.abandon(s, e.Outcome.Code)
}

func (e BeginRefused) apply(r *Request, s *step) {
	if r.phase != beginning {
		return
	}
	r.rejected++
	if s.now.Before(r.replyDeadline) {
		return
	}
	if r.rejected < r.proposed {
		r.abandon(s, notRunCode(e.Code))
		return
	}
	r.reply(s, e.reply())
	r.phase = done
}

// reply returns the reply, based on the daemon's own view, for a key whose
// Begin never entered the log.
func (e BeginRefused) reply() Reply {
	if e.Entry != nil && e.Entry.Phase != state.Abandoned {
		return entryReply(e.Entry)
	}
	if e.Fresh {
		return Reply{Code: notRunCode(e.Code)}
	}
	return Reply{Code: result.Unconfirmed}
}

func (WriteRequested) apply(r *Request, s *step) {
	if r.phase != granted {
		return
	}
	if !s.now.Before(r.begin.Deadline) {
		r.abandon(s, result.DeadlineHopeless)
		return
	}
	r.phase = sending
	s.effects.Write = true
}

func (NotSent) apply(r *Request, s *step) {
	if r.phase != sending {
		return
	}
	r.phase = granted
	if !s.now.Before(r.begin.Deadline) {
		r.abandon(s, result.DeadlineHopeless)
		return
	}
	s.effects.Route = true
}

func (e GiveUp) apply(r *Request, s *step) {
	if r.phase == beginning || r.phase == granted {
		r.abandon(s, notRunCode(e.Code))
	}
}

func (e Answered) apply(r *Request, s *step) {
	_, unknown := r.finalCommand.(state.MarkUnknown)
	if r.phase != sending && !(r.phase == storing && unknown) {
		return
	}
	r.reply(s, Reply{Answer: e.Answer})
	r.proposeFinal(s, state.Finish{Scope: r.begin.Scope, Key: r.begin.Key, Attempt: r.begin.Attempt, Answer: e.Answer})
}

func (AnswerLost) apply(r *Request, s *step) {
	if r.phase == sending {
		r.markUnknown(s)
	}
}

func (e FinalOutcome) apply(r *Request, s *step) {
	switch r.phase {
	case abandoning:
		r.reply(s, r.abandonReply(e.Outcome))
		r.phase = done
	case storing:
		if !r.supersededByFinish(e.Outcome) {
			r.phase = done
		}
	}
}

// supersededByFinish reports whether an outcome belongs to a MarkUnknown
// although a Finish has been proposed since.
func (r *Request) supersededByFinish(o state.Outcome) bool {
	_, finish := r.finalCommand.(state.Finish)
	return finish && o.Entry != nil && o.Entry.Phase == state.Unknown
}

// abandonReply returns the reply after a committed Abandon.
func (r *Request) abandonReply(o state.Outcome) Reply {
	if o.Entry != nil && o.Entry.Phase != state.Abandoned {
		return entryReply(o.Entry)
	}
	return Reply{Code: r.reason}
}

// abandon gives up before anything was sent and proposes an Abandon.
func (r *Request) abandon(s *step, reason result.Code) {
	r.phase = abandoning
	r.reason = reason
	r.replyDeadline = s.now.Add(LedgerTimeout)
	r.finalCommand = state.Abandon{
		Scope:    r.begin.Scope,
		Key:      r.begin.Key,
		Attempt:  r.begin.Attempt,
		Deadline: r.begin.Deadline,
	}
	r.propose(s, r.finalCommand)
}

// markUnknown stops waiting for an answer after bytes may have been sent.
func (r *Request) markUnknown(s *step) {
	r.reply(s, Reply{Code: result.Unknown})
	r.proposeFinal(s, state.MarkUnknown{Scope: r.begin.Scope, Key: r.begin.Key, Attempt: r.begin.Attempt})
}

func (r *Request) proposeFinal(s *step, c state.Command) {
	r.phase = storing
	r.finalCommand = c
	r.propose(s, c)
}

func (r *Request) propose(s *step, c state.Command) {
	r.retryAt = s.now.Add(ProposalRetry)
	s.effects.Propose = append(s.effects.Propose, c)
}

func (r *Request) retryDue(s *step) bool { return !s.now.Before(r.retryAt) }

// reply sets the reply to the caller unless there was one already.
func (r *Request) reply(s *step, reply Reply) {
	if r.replied {
		return
	}
	r.replied = true
	s.effects.Reply = &reply
}

// outcomeReply returns the reply for a Begin that was not granted.
func outcomeReply(o state.Outcome) Reply {
	if o.Entry != nil && o.Entry.Phase != state.Abandoned {
		return entryReply(o.Entry)
	}
	return Reply{Code: o.Code}
}

// entryReply returns the reply for a key that another attempt holds.
func entryReply(e *state.Entry) Reply {
	switch e.Phase {
	case state.Finished:
		return Reply{Answer: e.Answer}
	case state.Running:
		return Reply{Code: result.StillRunning}
	}
	return Reply{Code: result.Unknown}
}

// notRunCode returns c if its result promises not run, and otherwise the code
// for no available upstream.
func notRunCode(c result.Code) result.Code {
	if result.Lookup(c).NotRun {
		return c
	}
	return result.NoUpstream
}
