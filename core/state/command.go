package state

import (
	"time"

	"papayaspoke/core/ident"
)

// Command is one of the types that [State.Apply] accepts: Change, Assign,
// Revoke, Yield, Release, Begin, Finish, Abandon, MarkUnknown, FormWitnesses,
// Orphan, Expire, Quarantine, PutRouting, NameVersion, AppointPlacer,
// RetirePlacer, Depart, Readmit or Batch.
type Command interface {
	apply(s *State) Outcome
}

// Change is an operator's conditional change of one object.
type Change struct {
	// ID is the same in every resend of the change.
	ID ident.Change
	// Author is free text that is shown in the history.
	Author string
	// ProposedAt is the wall time of the first proposal; it is shown in the
	// history.
	ProposedAt time.Time
	// Expected is the version that the object must have, 0 if it must not
	// exist.
	Expected uint64
	// Edit is the operation on the object.
	Edit Edit
}

// Batch is a group of commands that are committed as one log entry. They are
// applied in order, each with its own outcome; a refused command does not stop
// the others. Batches do not nest.
type Batch struct {
	Commands []Command
}

// Assign makes a daemon the owner of an upstream. The fencing number is the
// index of the log entry.
type Assign struct {
	Upstream ident.Upstream
	// Incarnation is the upstream's incarnation when the owner was chosen.
	Incarnation      ident.Incarnation
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// RevokedIndex is the log index of the revocation that the proposer has
	// waited out, 0 if the upstream has no ownership record.
	RevokedIndex uint64
}

// Revoke ends an ownership.
type Revoke struct {
	Upstream ident.Upstream
	// Fence is the fencing number of the ownership to end.
	Fence ident.Fence
}

// Yield ends an ownership at the request of the owner itself, which sends
// nothing more with this fencing number. It may follow a Revoke of the same
// ownership.
type Yield struct {
	Upstream ident.Upstream
	// Fence is the fencing number of the ownership to end.
	Fence ident.Fence
}

// Release removes the ownership record of an upstream after its last ownership
// was revoked and the revocation was waited out.
type Release struct {
	Upstream ident.Upstream
	// RevokedIndex is the log index of the revocation that the proposer has
	// waited out.
	RevokedIndex uint64
}

// Begin asks for permission to send a non-idempotent request.
type Begin struct {
	// Scope is the service or class that the key belongs to.
	Scope string
	Key   ident.Key
	// Digest is the digest of the request's content. A key must not be used
	// with more than one digest.
	Digest string
	// Owner is the daemon that will send the request.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Attempt is the same in every resend of this command and differs from
	// the attempt of any other Begin.
	Attempt ident.Attempt
	// ViewIndex is the log index of the daemon's view when the request arrived.
	// A copy of a request is not granted if it arrived before the caller was
	// told that another copy with the same key did not run.
	ViewIndex uint64
	// ProposedAt is the wall time of the first proposal.
	ProposedAt time.Time
	// Deadline is the wall time after which the request is not sent.
	Deadline time.Time
}

// Finish stores the upstream's answer to a request.
type Finish struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
	Answer  Answer
}

// Abandon ends an attempt that has sent nothing and will send nothing.
type Abandon struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
	// Deadline is the deadline of the attempt's Begin, which may be applied
	// after the Abandon.
	Deadline time.Time
}

// MarkUnknown records that an attempt may have sent the request and will not
// receive the answer.
type MarkUnknown struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
}

// FormWitnesses creates the first set of witnesses. It is refused if there is a
// set already, unless it is forced. The first set is created whole, because a
// set that grew from a single daemon could lose its majority with the first VM
// that fails.
type FormWitnesses struct {
	// Forced replaces a set that has lost its majority, in a forced recovery.
	// The former set is not asked.
	Forced bool
	// Names holds 1 to [MaxWitnesses] daemons, each once.
	Names []ident.Daemon
}

// Orphan moves the running attempts of one incarnation of a daemon to the phase
// Unknown.
type Orphan struct {
	Owner       ident.Daemon
	Incarnation ident.Incarnation
}

// Expire deletes ledger entries whose deadline is at or before a wall time,
// quarantines that end by then, and departures up to it.
type Expire struct {
	// Until is never later than the wall time of any daemon minus its clock
	// bound.
	Until time.Time
}

// Quarantine makes daemons refuse requests with a digest until a wall time.
type Quarantine struct {
	Digest string
	Until  time.Time
}
