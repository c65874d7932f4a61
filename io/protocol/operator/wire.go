package operator

// Change is the wire form of an operator's change.
type Change struct {
	// ID is unique to this change; a retry carries the same id.
	ID string `json:"id"`
	// Kind is one of the kinds listed in docs/INTERFACES.md.
	Kind string `json:"kind"`
	// Name is the object's name: a class, model, adapter@version or daemon.
	Name string `json:"name"`
	// Expect is the version that the operator saw; 0 to create.
	Expect uint64 `json:"expect"`
	// Author is free text for the history.
	Author string `json:"author,omitempty"`
	// Target is the latency target of a class in milliseconds.
	Target uint64 `json:"target,omitempty"`
	// Model is the base model of an adapter.
	Model string `json:"model,omitempty"`
	// Loads is the number of adapter loads per second that the store allows.
	Loads uint32 `json:"loads,omitempty"`
	// Transit is the number of concurrent loads that the store serves at full
	// speed.
	Transit uint32 `json:"transit,omitempty"`
}

// Answer is the wire form of the outcome of a change.
type Answer struct {
	// Code is a result code; 0 means accepted.
	Code int `json:"code"`
	// Status is "accepted", "pending" or "refused".
	Status string `json:"status"`
	// Version is the object's version after the change, or its current one
	// after a conflict.
	Version uint64 `json:"version"`
	// Index is the position of the change in the replicated log.
	Index uint64 `json:"index,omitempty"`
	// Detail explains a refusal.
	Detail string `json:"detail,omitempty"`
	// Advice says what the operator can do.
	Advice string `json:"advice,omitempty"`
}

// Table is a list of objects, formatted for printing.
type Table struct {
	// Index is the log index of the state that the rows show.
	Index uint64 `json:"index"`
	// Columns holds the names of the columns.
	Columns []string `json:"columns"`
	// Rows holds the rows, each with one value per column.
	Rows [][]string `json:"rows"`
}
