// Package entry defines the entries of the replicated log, which the voters'
// consensus commits and the witnesses pass on.
package entry

// Kind tells what an entry's data is.
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
	// Index is one more than that of the entry before; the first is 1.
	Index uint64
	// Term is that of the leader that made the entry; it never falls with
	// growing index.
	Term uint64
	// Kind tells how Data is read.
	Kind Kind
	// Data is not changed once the entry is made.
	Data []byte
}
