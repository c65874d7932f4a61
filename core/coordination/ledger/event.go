package ledger

import (
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// Event is one of the types that [Request.Step] takes: Start, Tick, BeginOutcome,
// Refused, WriteRequested, NotSent, GiveUp, Answered, AnswerLost or FinalOutcome.
type Event interface {
	on(r *Request, s *step)
}

// Start begins the attempt.
type Start struct{}

// Tick tells that time has passed; see [Request.Next].
type Tick struct{}

// BeginOutcome brings the outcome of a Begin.
type BeginOutcome struct {
	Outcome state.Outcome
}

// BeginRefused tells that the last proposal did not and will not enter the log.
type BeginRefused struct {
	// Code says why; its row promises not run.
	Code result.Code
	// Entry is the key's entry in the daemon's own view, nil if there is none.
	Entry *state.Entry
	// Fresh is true if a majority of witnesses has confirmed that view. This
	// tells something of other attempts only because the outcome of a Begin is
	// given out once it is visible, hence before the attempt sends anything.
	Fresh bool
}

// WriteRequested asks to write the first byte now. The write happens only if the
// effects say so.
type WriteRequested struct{}

// NotSent tells that the write that was allowed provably sent nothing.
type NotSent struct{}

// GiveUp ends an attempt that has sent nothing.
type GiveUp struct {
	// Code says why; its row promises not run.
	Code result.Code
}

// Answered brings the upstream's whole answer.
type Answered struct {
	Answer state.Answer
}

// AnswerLost tells that bytes may have been sent and no answer will come.
type AnswerLost struct{}

// FinalOutcome brings the outcome of a Finish, MarkUnknown or Abandon.
type FinalOutcome struct {
	Outcome state.Outcome
}

// Reply is what the caller is told.
type Reply struct {
	// Code is OK if Answer holds the upstream's answer.
	Code   result.Code
	Answer state.Answer
}

// Effects is what the daemon does after a step.
type Effects struct {
	// Propose holds commands to propose.
	Propose []state.Command
	// Route is true if the attempt may look for an upstream to write to.
	Route bool
	// Write is true, in answer to WriteRequested only, if the request may be written
	// now.
	Write bool
	// Reply is set at most once in a request's life.
	Reply *Reply
}
