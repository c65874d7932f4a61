package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Outcome is the result of applying a command.
type Outcome struct {
	// Code is OK if the command was applied. A Begin that was not granted has
	// code OK only if Entry holds the stored answer.
	Code result.Code
	// Detail is a human-readable text; empty if Code is OK.
	Detail string
	// Version is the version of the object after a Change, or its current
	// version if that is not the expected one; 0 if the object does not exist.
	Version uint64
	// Fence is the fencing number of the ownership or placer that an Assign,
	// Revoke, Yield, AppointPlacer or RetirePlacer concerns.
	Fence ident.Fence
	// Granted is true only for a Begin whose attempt may send the request.
	Granted bool
	// Entry is the ledger entry after a ledger command, nil if there is none.
	// It is immutable.
	Entry *Entry
	// Batch has one outcome for each command of a Batch, in order.
	Batch []Outcome
}

// Err returns nil if the code is OK, else an error with the code and detail.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return result.New(o.Code, "%s", o.Detail)
}

func errorOutcome(err *result.Error) Outcome {
	return Outcome{Code: err.Code(), Detail: err.Detail()}
}
