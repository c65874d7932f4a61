package state

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Limits of the replicated state. They keep the snapshot small enough for a
// small VM, whatever operators and callers send. MaxName, MaxAuthor, MaxKey and
// MaxDigest are in bytes, the others count objects unless noted.
const (
	MaxName         = 64
	MaxAuthor       = 256
	MaxKey          = 256
	MaxDigest       = 128
	MaxClasses      = 256
	MaxModels       = 64
	MaxAdapters     = 200_000
	MaxDrained      = 256
	MaxWitnesses    = 11
	MaxChanges      = 4096
	MaxQuarantined  = 1024
	MaxStoreTransit = 10_000
	// MaxStoreLoads is in thousandths of a load per second.
	MaxStoreLoads = 10_000_000
	// MaxEntries is the maximum number of ledger entries; a full ledger refuses
	// new keys.
	MaxEntries = 200_000
	// MaxAnswerBody is the largest answer body, in bytes, that the ledger
	// stores.
	MaxAnswerBody = 8 << 10
	// MaxAnswerBodies is the maximum size of all stored answer bodies together,
	// in bytes.
	MaxAnswerBodies = 64 << 20
	// MaxDeadlineAhead is how far a deadline may lie after the proposal. It
	// equals MaxTarget, so that it admits the deadline of any class.
	MaxDeadlineAhead = 24 * time.Hour
)

// Limits of a class target in milliseconds.
const (
	MinTarget = 50
	MaxTarget = 24 * 60 * 60 * 1000
)

// Target is the latency target of a class: the time from the arrival of a
// request within which its answer is due.
type Target struct {
	// ms is between MinTarget and MaxTarget in an applied class.
	ms int64
}

// Milliseconds returns a target of ms milliseconds.
func Milliseconds(ms int64) Target { return Target{ms: ms} }

// Milliseconds returns the target in milliseconds.
func (t Target) Milliseconds() int64 { return t.ms }

// Equal reports whether t and o are the same target.
func (t Target) Equal(o Target) bool { return t == o }

// Deadline returns when the answer to a request that came in at arrival is due.
func (t Target) Deadline(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(t.ms) * time.Millisecond)
}

func (t Target) check() *result.Error {
	if t.ms < MinTarget || t.ms > MaxTarget {
		return result.New(result.ChangeInvalid, "target is %d ms; want %d to %d", t.ms, MinTarget, MaxTarget)
	}
	return nil
}

func firstError(errs ...*result.Error) *result.Error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkAdapter(a ident.Adapter) *result.Error {
	return firstError(checkName("adapter", a.Name), checkName("adapter version", a.Version))
}

func checkName(what, s string) *result.Error {
	if s == "" || len(s) > MaxName {
		return result.New(result.ChangeInvalid, "%s name has %d characters; want 1 to %d", what, len(s), MaxName)
	}
	for i := range len(s) {
		if !isNameByte(s[i]) {
			return result.New(result.ChangeInvalid, "%s name %q has a character other than letters, digits, '.', '_' and '-'", what, s)
		}
	}
	return nil
}

func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-'
}

func checkSize(code result.Code, what, s string, limit int) *result.Error {
	if s == "" || len(s) > limit {
		return result.New(code, "%s has %d bytes; want 1 to %d", what, len(s), limit)
	}
	return nil
}
