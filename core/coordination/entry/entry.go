// Package entry defines the entries of the replicated log. The voters commit
// them by consensus and the witnesses forward them.
package entry

// Kind is the kind of an entry's data.
type Kind uint8

const (
	// Noop carries no data; a new leader commits one of its own term.
	Noop Kind = iota + 1
	// Command carries an encoded command of the replicated state machine.
	Command
	// Voters carries an encoded set of voters and learners.
	Voters
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Index is one more than the index of the previous entry; the first is 1.
	Index uint64
	// Term is the term of the leader that created the entry; it never decreases
	// with increasing index.
	Term uint64
	// Kind determines how Data is decoded.
	Kind Kind
	// Data is immutable once the entry is created.
	Data []byte
}
