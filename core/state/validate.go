package state

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Bounds of the replicated state. They keep the snapshot small enough for a
// small VM whatever operators and callers send.
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
	// MaxStoreLoads is in thousandths of a load a second.
	MaxStoreLoads = 10_000_000
	// MaxEntries bounds the ledger; a full ledger refuses new keys.
	MaxEntries = 200_000
	// MaxAnswerBody is the largest answer, in bytes, that the ledger stores.
	MaxAnswerBody = 8 << 10
	// MaxAnswerBodies bounds all stored answers together, in bytes.
	MaxAnswerBodies = 64 << 20
	// MaxDeadlineAhead is how far a deadline may lie after the proposal: as far as
	// that of any class.
	MaxDeadlineAhead = 24 * time.Hour
)

// Bounds of a class target in milliseconds.
const (
	MinTarget = 50
	MaxTarget = 24 * 60 * 60 * 1000
)

// Target is how soon after arrival an answer must come.
type Target struct {
	// ms is at least MinTarget and at most MaxTarget in an applied class.
	ms int64
}

// Milliseconds returns a target of ms milliseconds.
func Milliseconds(ms int64) Target { return Target{ms: ms} }

// Milliseconds returns the target in milliseconds.
func (t Target) Milliseconds() int64 { return t.ms }

// Equal reports whether two targets are the same.
func (t Target) Equal(o Target) bool { return t == o }

// Deadline returns when the answer to a request that arrived then is due.
func (t Target) Deadline(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(t.ms) * time.Millisecond)
}

func (t Target) check() *result.Error {
	if t.ms < MinTarget || t.ms > MaxTarget {
		return result.New(result.ChangeInvalid, "target is %d ms; want %d to %d", t.ms, MinTarget, MaxTarget)
	}
	return nil
}

func first(errs ...*result.Error) *result.Error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkAdapter(a ident.Adapter) *result.Error {
	return first(checkName("adapter", a.Name), checkName("adapter version", a.Version))
}

func checkName(what, s string) *result.Error {
	if s == "" || len(s) > MaxName {
		return result.New(result.ChangeInvalid, "%s name has %d characters; want 1 to %d", what, len(s), MaxName)
	}
	for i := range len(s) {
		if !nameByte(s[i]) {
			return result.New(result.ChangeInvalid, "%s name %q may hold letters, digits, '.', '_' and '-'", what, s)
		}
	}
	return nil
}

func nameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '.' || b == '_' || b == '-'
}

func checkSize(code result.Code, what, s string, most int) *result.Error {
	if s == "" || len(s) > most {
		return result.New(code, "%s has %d bytes; want 1 to %d", what, len(s), most)
	}
	return nil
}
