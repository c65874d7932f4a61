package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Outcome is the answer to a command.
type Outcome struct {
	// Code is OK if the command was applied. A Begin that was not granted has
	// code OK only if Entry holds the stored answer.
	Code result.Code
	// Detail is a text for people; empty if Code is OK.
	Detail string
	// Version is the version of the object after a ChangeRecord, and the current
	// version if the ChangeRecord met a conflict; 0 if there is no such object.
	Version uint64
	// Fence is the fencing number that an Assign gave.
	Fence ident.Fence
	// Granted is true only for a Begin whose attempt may send the request.
	Granted bool
	// Entry is the ledger's entry after a ledger command, nil if there is
	// none. It is not changed once set.
	Entry *Entry
	// Batch has one outcome for each command of a Batch, in order.
	Batch []Outcome
}

// Err returns nil if the code is OK, else an error with code and detail.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return result.New(o.Code, "%s", o.Detail)
}

func failed(err *result.Error) Outcome {
	return Outcome{Code: err.Code(), Detail: err.Detail()}
}
