package state

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Phase is the phase of a request in the ledger.
type Phase uint8

const (
	// Running means that an attempt was granted. It may have sent the request.
	Running Phase = iota + 1
	// Finished means that the answer is stored.
	Finished
	// Unknown means that the request may have run and that its answer is lost.
	Unknown
	// Abandoned means that no attempt has sent the request. A new attempt with
	// the same key may be granted.
	Abandoned
)

// String returns the phase as one lower-case word.
func (p Phase) String() string {
	names := [...]string{Running: "running", Finished: "finished", Unknown: "unknown", Abandoned: "abandoned"}
	if int(p) < len(names) && names[p] != "" {
		return names[p]
	}
	return "invalid"
}

// EntryKey is the key of a ledger entry.
type EntryKey struct {
	// Scope is the service or class that the key belongs to.
	Scope string
	Key   ident.Key
}

func (k EntryKey) compare(o EntryKey) int {
	return cmp.Or(strings.Compare(k.Scope, o.Scope), cmp.Compare(k.Key, o.Key))
}

// Answer is the stored answer of an upstream.
type Answer struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is true if the body was too large to store; Body is then
	// empty.
	BodyDropped bool
}

// Entry is the ledger's record of one non-idempotent request.
//
// Its phase changes from Running to Finished, Unknown or Abandoned. From
// Unknown it still changes to Finished or Abandoned on a command of the attempt
// itself, since only the attempt knows what it has sent. From Abandoned it
// changes to Running when a new attempt is granted. An Entry is immutable once
// it is in a View.
type Entry struct {
	// Key is unique in the ledger.
	Key EntryKey
	// Digest is the digest of the request's content. It is empty only if the
	// entry was created by an Abandon.
	Digest string
	// Owner and OwnerIncarnation identify the process that runs the attempt.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Attempt is the only attempt that may have sent the request, unless the
	// phase is Abandoned.
	Attempt ident.Attempt
	// Deadline is the deadline of the attempt.
	Deadline time.Time
	Phase    Phase
	// Answer is set in phase Finished.
	Answer Answer
	// NotRunIndex is the log index at which it was last decided to tell a
	// caller that its copy did not run. An attempt whose copy arrived at an
	// earlier index is not granted; this also holds for abandoned attempts
	// whose Begin is applied late.
	NotRunIndex uint64
}

// deadlineKey orders entries by deadline, in Unix nanoseconds, and then by key.
type deadlineKey struct {
	at  int64
	key EntryKey
}

func (d deadlineKey) compare(o deadlineKey) int {
	return cmp.Or(cmp.Compare(d.at, o.at), d.key.compare(o.key))
}

// runningKey orders running entries by the process that runs their attempts.
type runningKey struct {
	owner       ident.Daemon
	incarnation ident.Incarnation
	key         EntryKey
}

func (k runningKey) compare(o runningKey) int {
	return cmp.Or(
		cmp.Compare(k.owner, o.owner),
		cmp.Compare(k.incarnation, o.incarnation),
		k.key.compare(o.key),
	)
}

// Entry returns the ledger entry of a key, or nil.
func (v *View) Entry(scope string, key ident.Key) *Entry {
	e, _ := v.entries.Get(EntryKey{Scope: scope, Key: key})
	return e
}

// CountEntries returns the number of ledger entries.
func (v *View) CountEntries() int { return v.entries.Len() }

// ExpiredUntil returns the latest time to which an Expire has deleted entries.
func (v *View) ExpiredUntil() time.Time { return v.expiredUntil }

// NextExpiry returns the earliest time among the deadlines of ledger entries, the
// ends of quarantines and the times of departures, and whether there is any.
func (v *View) NextExpiry() (time.Time, bool) {
	var ends []time.Time
	if d, _, ok := v.deadlines.Min(); ok {
		ends = append(ends, time.Unix(0, d.at).UTC())
	}
	if d, _, ok := v.departuresByAge.Min(); ok {
		ends = append(ends, time.Unix(0, d.at).UTC())
	}
	if v.quarantined.Len() > 0 {
		ends = append(ends, v.QuarantinedUntil(v.earliestQuarantine()))
	}
	if len(ends) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(ends, time.Time.Compare), true
}

// AttemptOwner identifies an incarnation of a daemon that has running attempts.
type AttemptOwner struct {
	Owner       ident.Daemon
	Incarnation ident.Incarnation
}

// AttemptOwners returns the daemons that have running attempts, once for each
// incarnation, in the order of name and incarnation.
func (v *View) AttemptOwners() []AttemptOwner {
	var out []AttemptOwner
	for k := range v.running.All() {
		r := AttemptOwner{Owner: k.owner, Incarnation: k.incarnation}
		if len(out) == 0 || out[len(out)-1] != r {
			out = append(out, r)
		}
	}
	return out
}

// putEntry stores e and updates the indexes of the ledger.
func (v *View) putEntry(e *Entry) {
	v.deleteEntry(e.Key)
	v.entries = v.entries.Put(e.Key, e)
	v.deadlines = v.deadlines.Put(deadlineKey{at: e.Deadline.UnixNano(), key: e.Key}, struct{}{})
	v.bodyBytes += len(e.Answer.Body)
	if e.Phase == Running {
		v.running = v.running.Put(e.runningKey(), struct{}{})
	}
}

// deleteEntry removes the entry at k, if any, and updates the indexes.
func (v *View) deleteEntry(k EntryKey) {
	e, ok := v.entries.Get(k)
	if !ok {
		return
	}
	v.entries = v.entries.Delete(k)
	v.deadlines = v.deadlines.Delete(deadlineKey{at: e.Deadline.UnixNano(), key: k})
	v.running = v.running.Delete(e.runningKey())
	v.bodyBytes -= len(e.Answer.Body)
}

func (e *Entry) runningKey() runningKey {
	return runningKey{owner: e.Owner, incarnation: e.OwnerIncarnation, key: e.Key}
}

func (c Begin) apply(s *State) Outcome {
	if err := c.check(); err != nil {
		return errorOutcome(err)
	}
	k := EntryKey{Scope: c.Scope, Key: c.Key}
	old, ok := s.view.entries.Get(k)
	if !ok {
		return s.view.grant(c, Entry{})
	}
	if old.Digest != "" && old.Digest != c.Digest {
		return errorOutcome(result.New(result.KeyReused, "key %q", c.Key))
	}
	return s.view.beginExisting(c, old)
}

func (c Begin) check() *result.Error {
	return firstError(
		checkSize(result.Malformed, "scope", c.Scope, MaxName),
		checkSize(result.KeyMissing, "key", string(c.Key), MaxKey),
		checkSize(result.Malformed, "digest", c.Digest, MaxDigest),
		checkSize(result.Malformed, "owner", string(c.Owner), MaxName),
		checkSize(result.Malformed, "attempt", string(c.Attempt), MaxName),
	)
}

// grant stores a running entry for the attempt of c. old is the key's abandoned
// entry, or a zero Entry.
func (v *View) grant(c Begin, old Entry) Outcome {
	if err := v.checkAdmission(c); err != nil {
		return errorOutcome(err)
	}
	e := &Entry{
		Key:              EntryKey{Scope: c.Scope, Key: c.Key},
		Digest:           c.Digest,
		Owner:            c.Owner,
		OwnerIncarnation: c.OwnerIncarnation,
		Attempt:          c.Attempt,
		Deadline:         c.Deadline,
		Phase:            Running,
		NotRunIndex:      old.NotRunIndex,
	}
	v.putEntry(e)
	return Outcome{Granted: true, Entry: e}
}

// checkAdmission returns an error if c has no usable deadline or the ledger is
// full.
func (v *View) checkAdmission(c Begin) *result.Error {
	if !c.Deadline.After(v.expiredUntil) {
		return result.New(result.KeyExpired, "key %q", c.Key)
	}
	if !c.Deadline.After(c.ProposedAt) {
		return result.New(result.DeadlineHopeless, "deadline of key %q has passed", c.Key)
	}
	if c.Deadline.After(c.ProposedAt.Add(MaxDeadlineAhead)) {
		return result.New(result.DeadlineTooFar, "deadline may be at most %v ahead", MaxDeadlineAhead)
	}
	if !v.entries.Has(EntryKey{Scope: c.Scope, Key: c.Key}) && v.entries.Len() >= MaxEntries {
		return result.New(result.Overloaded, "ledger is full")
	}
	return nil
}

// beginExisting applies a Begin to a key that has an entry.
func (v *View) beginExisting(c Begin, old *Entry) Outcome {
	switch old.Phase {
	case Finished:
		return Outcome{Entry: old}
	case Unknown:
		out := errorOutcome(result.New(result.Unknown, "key %q", c.Key))
		out.Entry = old
		return out
	case Abandoned:
		return v.beginAbandoned(c, old)
	}
	if old.Attempt == c.Attempt {
		return Outcome{Granted: true, Entry: old}
	}
	out := errorOutcome(result.New(result.StillRunning, "key %q is running at daemon %q", c.Key, old.Owner))
	out.Entry = old
	return out
}

// beginAbandoned applies a Begin to a key whose entry is abandoned.
func (v *View) beginAbandoned(c Begin, old *Entry) Outcome {
	if c.ViewIndex < old.NotRunIndex {
		e := *old
		e.NotRunIndex = v.index
		v.putEntry(&e)
		out := errorOutcome(result.New(result.Superseded, "a copy of key %q was reported as not run at index %d", c.Key, old.NotRunIndex))
		out.Entry = &e
		return out
	}
	return v.grant(c, *old)
}

func (c Finish) apply(s *State) Outcome {
	return s.view.updateAttempt(EntryKey{Scope: c.Scope, Key: c.Key}, c.Attempt, func(e *Entry) {
		e.Phase = Finished
		e.Answer = s.view.limitBody(c.Answer)
	})
}

// limitBody returns a without its body if the body, or all stored bodies
// together, would exceed the limit.
func (v *View) limitBody(a Answer) Answer {
	if len(a.Body) <= MaxAnswerBody && v.bodyBytes+len(a.Body) <= MaxAnswerBodies {
		return a
	}
	a.Body, a.BodyDropped = nil, true
	return a
}

func (c MarkUnknown) apply(s *State) Outcome {
	return s.view.updateAttempt(EntryKey{Scope: c.Scope, Key: c.Key}, c.Attempt, func(e *Entry) { e.Phase = Unknown })
}

// updateAttempt applies change to the entry at k if a is its current attempt. A
// finished entry is returned as it is; an abandoned one is refused.
func (v *View) updateAttempt(k EntryKey, a ident.Attempt, change func(*Entry)) Outcome {
	old, ok := v.entries.Get(k)
	if !ok || old.Attempt != a || old.Phase == Abandoned {
		return errorOutcome(result.New(result.ChangeRefused, "key %q belongs to another attempt or is abandoned", k.Key))
	}
	if old.Phase == Finished {
		return Outcome{Entry: old}
	}
	e := *old
	change(&e)
	v.putEntry(&e)
	return Outcome{Entry: &e}
}

func (c Abandon) apply(s *State) Outcome {
	k := EntryKey{Scope: c.Scope, Key: c.Key}
	old, ok := s.view.entries.Get(k)
	if !ok {
		return s.view.recordAbandoned(k, c)
	}
	if old.Attempt == c.Attempt && old.Phase == Finished {
		return errorOutcome(result.New(result.ChangeRefused, "key %q is finished", c.Key))
	}
	e := *old
	if old.Attempt == c.Attempt {
		e.Phase = Abandoned
	}
	if e.Phase == Abandoned {
		e.NotRunIndex = s.view.index
	}
	s.view.putEntry(&e)
	return Outcome{Entry: &e}
}

// recordAbandoned stores an entry for an attempt whose Abandon is applied before
// its Begin, so that the Begin is refused when it arrives.
func (v *View) recordAbandoned(k EntryKey, c Abandon) Outcome {
	if !c.Deadline.After(v.expiredUntil) || v.entries.Len() >= MaxEntries {
		return Outcome{}
	}
	e := &Entry{Key: k, Attempt: c.Attempt, Deadline: c.Deadline, Phase: Abandoned, NotRunIndex: v.index}
	v.putEntry(e)
	return Outcome{Entry: e}
}

func (c Orphan) apply(s *State) Outcome {
	from := runningKey{owner: c.Owner, incarnation: c.Incarnation}
	for k := range s.view.running.From(from) {
		if k.owner != c.Owner || k.incarnation != c.Incarnation {
			break
		}
		old, _ := s.view.entries.Get(k.key)
		e := *old
		e.Phase = Unknown
		s.view.putEntry(&e)
	}
	return Outcome{}
}

func (c Expire) apply(s *State) Outcome {
	v := &s.view
	if c.Until.After(v.expiredUntil) {
		v.expiredUntil = c.Until
	}
	for {
		d, _, ok := v.deadlines.Min()
		if !ok || d.at > v.expiredUntil.UnixNano() {
			break
		}
		v.deleteEntry(d.key)
	}
	for digest, until := range v.quarantined.All() {
		if !until.After(v.expiredUntil) {
			v.quarantined = v.quarantined.Delete(digest)
		}
	}
	v.expireDepartures()
	return Outcome{}
}

func (c Quarantine) apply(s *State) Outcome {
	v := &s.view
	if err := checkSize(result.Malformed, "digest", c.Digest, MaxDigest); err != nil {
		return errorOutcome(err)
	}
	if !c.Until.After(v.expiredUntil) || !c.Until.After(v.QuarantinedUntil(c.Digest)) {
		return Outcome{}
	}
	v.quarantined = v.quarantined.Put(c.Digest, c.Until)
	if v.quarantined.Len() > MaxQuarantined {
		v.quarantined = v.quarantined.Delete(v.earliestQuarantine())
	}
	return Outcome{}
}

// earliestQuarantine returns the digest whose quarantine ends first.
func (v *View) earliestQuarantine() string {
	digest, end, _ := v.quarantined.Min()
	for d, until := range v.quarantined.All() {
		if until.Before(end) {
			digest, end = d, until
		}
	}
	return digest
}
