package ledger

import (
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// Event is an input of [Request.Step]. The implementations follow.
type Event interface {
	apply(r *Request, s *step)
}

// Start starts the attempt.
type Start struct{}

// Tick drives the timers; it is due at [Request.Next].
type Tick struct{}

// BeginOutcome delivers the outcome of a committed Begin.
type BeginOutcome struct {
	Outcome state.Outcome
}

// BeginRefused reports that a proposed Begin has not entered and will not enter the
// log.
type BeginRefused struct {
	// Code is the reason, a result that promises not run.
	Code result.Code
	// Entry is the key's entry in the daemon's own view, nil if there is none.
	Entry *state.Entry
	// Fresh is true if a majority of witnesses has confirmed that view. A fresh
	// view without an entry implies that no other attempt has sent anything,
	// because the outcome of a Begin is only delivered once it is visible, which
	// is before its attempt sends anything.
	Fresh bool
}

// WriteRequested asks for permission to write the first byte now. It is granted if the
// effects say so.
type WriteRequested struct{}

// NotSent reports that the permitted write provably sent nothing.
type NotSent struct{}

// GiveUp ends an attempt that has sent nothing.
type GiveUp struct {
	// Code is the reason, a result that promises not run.
	Code result.Code
}

// Answered delivers the upstream's complete answer.
type Answered struct {
	Answer state.Answer
}

// AnswerLost reports that bytes may have been sent and no answer is expected.
type AnswerLost struct{}

// FinalOutcome delivers the outcome of a committed Finish, MarkUnknown or Abandon.
type FinalOutcome struct {
	Outcome state.Outcome
}

// Reply is the reply to the caller.
type Reply struct {
	// Code is OK if Answer holds the upstream's answer.
	Code   result.Code
	Answer state.Answer
}

// Effects lists what the daemon must do after a step.
type Effects struct {
	// Propose holds commands to propose.
	Propose []state.Command
	// Route is true if the attempt may look for an upstream to write to.
	Route bool
	// Write is true if the request may be written now. It is only set in response
	// to a request for permission to write.
	Write bool
	// Reply is set at most once during a request's lifetime.
	Reply *Reply
}
