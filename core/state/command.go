package state

import (
	"time"

	"papayaspoke/core/ident"
)

// Command is one of the types that [State.Apply] takes: Change, Assign,
// Revoke, Yield, Release, Begin, Finish, Abandon, MarkUnknown, FormWitnesses,
// Orphan, Expire, Quarantine, PutRouting, NameVersion, AppointPlacer,
// RetirePlacer or Batch.
type Command interface {
	apply(s *State) Outcome
}

// Change is an operator's change of one object.
type Change struct {
	// ID is the same in every resend of the change.
	ID ident.Change
	// Author is free text for the history.
	Author string
	// ProposedAt is the wall time of the first proposal, for the history.
	ProposedAt time.Time
	// Expected is the version of the object that the change was decided on,
	// 0 if the object must not exist.
	Expected uint64
	// Edit is what to do.
	Edit Edit
}

// Batch is a group of commands that are committed as one entry. They are
// applied in order, each with its own outcome; a refused one does not stop
// the others. Batches do not nest.
type Batch struct {
	Commands []Command
}

// Assign makes a daemon the owner of an upstream. The fencing number is the
// index of the log entry.
type Assign struct {
	Upstream ident.Upstream
	// Incarnation is that of the upstream when the owner was chosen.
	Incarnation      ident.Incarnation
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// RevokedIndex is the index of the revocation that the proposer has waited out,
	// 0 if the upstream has no record.
	RevokedIndex uint64
}

// Revoke ends an ownership.
type Revoke struct {
	Upstream ident.Upstream
	// Fence is the fencing number of the ownership that is meant.
	Fence ident.Fence
}

// Yield ends an ownership on behalf of the owner itself, which sends nothing
// more at this fencing number. It may follow a Revoke of the same ownership.
type Yield struct {
	Upstream ident.Upstream
	// Fence is the fencing number of the ownership that is meant.
	Fence ident.Fence
}

// Release removes the record of an upstream whose last ownership was revoked
// and waited out.
type Release struct {
	Upstream ident.Upstream
	// RevokedIndex is the index of the revocation that the proposer has waited out.
	RevokedIndex uint64
}

// Begin asks for the right to send a non-idempotent request.
type Begin struct {
	// Scope is the service or class that the key belongs to.
	Scope string
	Key   ident.Key
	// Digest is that of the request's content; a key goes with one digest.
	Digest string
	// Owner is the daemon that will send the request.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Attempt is the same in every resend of this command and differs from
	// that of any other Begin.
	Attempt ident.Attempt
	// ViewIndex is the log index of the daemon's view when the request arrived. A
	// copy that arrived before another was told not run does not run.
	ViewIndex uint64
	// ProposedAt is the wall time of the first proposal.
	ProposedAt time.Time
	// Deadline is the wall time after which the request is not sent.
	Deadline time.Time
}

// Finish stores the answer to a request.
type Finish struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
	Answer  Answer
}

// Abandon gives up an attempt that has sent nothing and will send nothing.
type Abandon struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
	// Deadline is that of the attempt's Begin, which may be applied later.
	Deadline time.Time
}

// MarkUnknown tells that an attempt may have sent the request and will not
// learn the answer.
type MarkUnknown struct {
	Scope   string
	Key     ident.Key
	Attempt ident.Attempt
}

// FormWitnesses makes the first set of witnesses. It is refused once there is
// one, unless it is forced. A set that grew from a single daemon could lose its
// majority with the first VM that fails.
type FormWitnesses struct {
	// Forced replaces a set whose majority is lost, in a forced recovery: the
	// former set has no say.
	Forced bool
	// Names are from 1 to [MaxWitnesses] daemons, each once.
	Names []ident.Daemon
}

// Orphan makes the running attempts of one run of a daemon unknown.
type Orphan struct {
	Owner       ident.Daemon
	Incarnation ident.Incarnation
}

// Expire forgets what ended before a wall time: ledger entries with an earlier
// deadline and quarantines with an earlier end.
type Expire struct {
	// Until never lies after the wall time of any daemon less its clock bound.
	Until time.Time
}

// Quarantine refuses requests with a digest until a wall time.
type Quarantine struct {
	Digest string
	Until  time.Time
}
