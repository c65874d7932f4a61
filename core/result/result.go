package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is the number of a result. Codes are stable: a number never gets another
// meaning.
type Code int

// Codes 1xx concern the request itself, 2xx capacity and reachability, 3xx
// the outcome of work that may have run, 4xx configuration changes and 5xx
// the local process and its disk.
const (
	OK Code = 0

	Malformed         Code = 101
	UnknownClass      Code = 102
	UnknownAdapter    Code = 103
	UnknownModel      Code = 104
	UnknownService    Code = 105
	TooLarge          Code = 106
	LengthConflict    Code = 107
	WrongToken        Code = 108
	KeyMissing        Code = 109
	KeyReused         Code = 110
	KeyExpired        Code = 111
	DeadlineMissing   Code = 112
	Quarantined       Code = 113
	NotFound          Code = 114
	DeadlineTooFar    Code = 115
	RequestIncomplete Code = 116
	NoRoute           Code = 117
	HeadTooLarge      Code = 118

	Overloaded       Code = 201
	DeadlineHopeless Code = 202
	NoUpstream       Code = 203
	NotFresh         Code = 204
	Draining         Code = 205
	NoLeader         Code = 206
	RetryBudget      Code = 207
	LoadFailed       Code = 208
	OwnerUnreachable Code = 209
	Deposed          Code = 210
	Restarted        Code = 211
	NotResident      Code = 212
	Pinned           Code = 213
	Superseded       Code = 214
	NoRouting        Code = 215
	Suspended        Code = 216
	OutOfMemory      Code = 217

	Unknown        Code = 301
	StillRunning   Code = 302
	UpstreamFailed Code = 303
	StreamCut      Code = 304
	TimedOut       Code = 305
	WrongAnswer    Code = 306
	Unconfirmed    Code = 307

	VersionConflict Code = 401
	Pending         Code = 402
	ChangeInvalid   Code = 403
	ChangeRefused   Code = 404
	ChangeIDReused  Code = 405

	SettingsInvalid Code = 501
	DiskDamaged     Code = 502
	DiskForeign     Code = 503
	Unreachable     Code = 504
	Internal        Code = 599
)

// Info describes a result code and what its receiver may rely on.
type Info struct {
	// Code is unique in the table.
	Code Code
	// Name is a lower-case identifier, unique in the table.
	Name string
	// Title is a short sentence without a full stop.
	Title string
	// Advice tells the reader of the error what to do.
	Advice string
	// HTTP is the HTTP status of a response with this code.
	HTTP int
	// NotRun is true only if the request provably did not run.
	NotRun bool
	// Retry is true if the same request may succeed later.
	Retry bool
}

// Lookup returns the row of the table for c, or the row of [Internal] if c is
// not in the table.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// All returns a copy of the table in ascending order of code.
func All() []Info { return append([]Info(nil), table...) }

// Exit returns the exit status of a process that ends with c: 0 for OK, else the
// hundreds digit of the code.
func Exit(c Code) int { return int(c) / 100 }

// Error is an error with a result code.
type Error struct {
	code       Code
	detail     string
	retryAfter time.Time
	cause      error
}

// New returns an error with code c. The detail is formatted by [fmt.Errorf], so
// %w wraps a cause.
func New(c Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{code: c, detail: err.Error(), cause: errors.Unwrap(err)}
}

// WithRetryAfter returns a copy of e that asks the receiver not to retry before
// t.
func (e *Error) WithRetryAfter(t time.Time) *Error {
	c := *e
	c.retryAfter = t
	return &c
}

// Code returns the result code.
func (e *Error) Code() Code { return e.code }

// Detail returns the text that was formatted by [New].
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns the time from which a retry may succeed, or the zero time
// if it is not known.
func (e *Error) RetryAfter() time.Time { return e.retryAfter }

// Unwrap returns the wrapped cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the code, its title and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("P%03d %s: %s", int(e.code), Lookup(e.code).Title, e.detail)
}

// CodeOf returns the code of the first [Error] in err's chain, OK for nil and
// [Internal] for any other error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return Internal
}

// From returns the first [Error] in err's chain, or err wrapped as
// [Internal]. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%w", err)
}
