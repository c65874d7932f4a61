package state

import (
	"cmp"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Phase is how far the request of a ledger entry has come.
type Phase uint8

const (
	// Running: an attempt was granted; it may or may not have sent.
	Running Phase = iota + 1
	// Finished: the answer is stored.
	Finished
	// Unknown: it may have run, and nobody will learn the answer.
	Unknown
	// Abandoned: no attempt has sent anything; the key may run anew.
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

// Answer is what an upstream answered.
type Answer struct {
	// Status is the HTTP status.
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is true if the body was too large to keep; Body is then empty.
	BodyDropped bool
}

// Entry is the ledger's record of one non-idempotent request. It moves from
// Running to Finished, Unknown or Abandoned; from Unknown it still moves to
// Finished or Abandoned if the attempt itself says so, as only the attempt
// knows what it sent; from Abandoned it moves to Running under a new attempt.
// An Entry is never changed once it is in a View.
type Entry struct {
	// Key is unique in the ledger.
	Key EntryKey
	// Digest is that of the request's content, empty only if the entry was
	// made by an Abandon.
	Digest string
	// Owner and OwnerIncarnation name the process that holds the attempt.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Attempt is the only one that may have sent the request, if the phase is
	// not Abandoned.
	Attempt ident.Attempt
	// Deadline is that of the attempt.
	Deadline time.Time
	Phase    Phase
	// Answer is set in phase Finished.
	Answer Answer
	// NotRunIndex is the index at which a copy was last told not run. An attempt
	// whose copy arrived before that is not granted, hence neither is one that
	// was abandoned.
	NotRunIndex uint64
}

// due orders entries by their deadline.
type due struct {
	at  int64
	key EntryKey
}

func (d due) compare(o due) int {
	return cmp.Or(cmp.Compare(d.at, o.at), d.key.compare(o.key))
}

// ownerKey orders running entries by the process that runs them.
type ownerKey struct {
	owner       ident.Daemon
	incarnation ident.Incarnation
	key         EntryKey
}

func (k ownerKey) compare(o ownerKey) int {
	return cmp.Or(
		cmp.Compare(k.owner, o.owner),
		cmp.Compare(k.incarnation, o.incarnation),
		k.key.compare(o.key),
	)
}

// Entry returns a ledger entry, or nil.
func (v *View) Entry(scope string, key ident.Key) *Entry {
	e, _ := v.entries.Get(EntryKey{Scope: scope, Key: key})
	return e
}

// CountEntries returns the number of ledger entries.
func (v *View) CountEntries() int { return v.entries.Len() }

// ExpiredUntil returns the latest Until of any Expire.
func (v *View) ExpiredUntil() time.Time { return v.expired }

// NextExpiry returns the earliest deadline of a ledger entry or end of a
// quarantine, and whether there is any.
func (v *View) NextExpiry() (time.Time, bool) {
	d, _, ok := v.deadlines.Min()
	at := time.Unix(0, d.at).UTC()
	if v.quarantined.Len() == 0 {
		return at, ok
	}
	end := v.QuarantinedUntil(v.soonest())
	if ok && at.Before(end) {
		return at, true
	}
	return end, true
}

// AttemptOwner names one run of a daemon that has running attempts.
type AttemptOwner struct {
	Owner       ident.Daemon
	Incarnation ident.Incarnation
}

// AttemptOwners returns the runs of daemons that have running attempts, in order.
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

// put stores e and keeps the indexes of the ledger in step.
func (v *View) put(e *Entry) {
	v.drop(e.Key)
	v.entries = v.entries.Put(e.Key, e)
	v.deadlines = v.deadlines.Put(due{at: e.Deadline.UnixNano(), key: e.Key}, struct{}{})
	v.bodies += len(e.Answer.Body)
	if e.Phase == Running {
		v.running = v.running.Put(e.runner(), struct{}{})
	}
}

// drop removes the entry at k, if any.
func (v *View) drop(k EntryKey) {
	e, ok := v.entries.Get(k)
	if !ok {
		return
	}
	v.entries = v.entries.Delete(k)
	v.deadlines = v.deadlines.Delete(due{at: e.Deadline.UnixNano(), key: k})
	v.running = v.running.Delete(e.runner())
	v.bodies -= len(e.Answer.Body)
}

func (e *Entry) runner() ownerKey {
	return ownerKey{owner: e.Owner, incarnation: e.OwnerIncarnation, key: e.Key}
}

func (c Begin) apply(s *State) Outcome {
	if err := c.check(); err != nil {
		return failed(err)
	}
	k := EntryKey{Scope: c.Scope, Key: c.Key}
	old, ok := s.v.entries.Get(k)
	if !ok {
		return s.v.grant(c, Entry{})
	}
	if old.Digest != "" && old.Digest != c.Digest {
		return failed(result.New(result.KeyReused, "key %q", c.Key))
	}
	return s.v.resume(c, old)
}

func (c Begin) check() *result.Error {
	return first(
		checkSize(result.Malformed, "scope", c.Scope, MaxName),
		checkSize(result.KeyMissing, "key", string(c.Key), MaxKey),
		checkSize(result.Malformed, "digest", c.Digest, MaxDigest),
		checkSize(result.Malformed, "owner", string(c.Owner), MaxName),
		checkSize(result.Malformed, "attempt", string(c.Attempt), MaxName),
	)
}

// grant lets an attempt run; old is the key's abandoned entry, if any.
func (v *View) grant(c Begin, old Entry) Outcome {
	if err := v.admit(c); err != nil {
		return failed(err)
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
	v.put(e)
	return Outcome{Granted: true, Entry: e}
}

func (v *View) admit(c Begin) *result.Error {
	if !c.Deadline.After(v.expired) {
		return result.New(result.KeyExpired, "key %q", c.Key)
	}
	if !c.Deadline.After(c.ProposedAt) {
		return result.New(result.DeadlineHopeless, "deadline of key %q has passed", c.Key)
	}
	if c.Deadline.After(c.ProposedAt.Add(MaxDeadlineAhead)) {
		return result.New(result.DeadlineTooFar, "deadline may be at most %v away", MaxDeadlineAhead)
	}
	if !v.entries.Has(EntryKey{Scope: c.Scope, Key: c.Key}) && v.entries.Len() >= MaxEntries {
		return result.New(result.Overloaded, "ledger is full")
	}
	return nil
}

// resume answers a Begin for a key that has an entry.
func (v *View) resume(c Begin, old *Entry) Outcome {
	switch old.Phase {
	case Finished:
		return Outcome{Entry: old}
	case Unknown:
		out := failed(result.New(result.Unknown, "key %q", c.Key))
		out.Entry = old
		return out
	case Abandoned:
		return v.restart(c, old)
	}
	if old.Attempt == c.Attempt {
		return Outcome{Granted: true, Entry: old}
	}
	out := failed(result.New(result.StillRunning, "key %q runs at %q", c.Key, old.Owner))
	out.Entry = old
	return out
}

// restart answers a Begin for a key whose entry is abandoned.
func (v *View) restart(c Begin, old *Entry) Outcome {
	if c.ViewIndex < old.NotRunIndex {
		e := *old
		e.NotRunIndex = v.index
		v.put(&e)
		out := failed(result.New(result.Superseded, "key %q was told not run at %d", c.Key, old.NotRunIndex))
		out.Entry = &e
		return out
	}
	return v.grant(c, *old)
}

func (c Finish) apply(s *State) Outcome {
	return s.v.settle(EntryKey{Scope: c.Scope, Key: c.Key}, c.Attempt, func(e *Entry) {
		e.Phase = Finished
		e.Answer = s.v.keep(c.Answer)
	})
}

// keep drops the body of an answer that there is no room for.
func (v *View) keep(a Answer) Answer {
	if len(a.Body) <= MaxAnswerBody && v.bodies+len(a.Body) <= MaxAnswerBodies {
		return a
	}
	a.Body, a.BodyDropped = nil, true
	return a
}

func (c MarkUnknown) apply(s *State) Outcome {
	return s.v.settle(EntryKey{Scope: c.Scope, Key: c.Key}, c.Attempt, func(e *Entry) { e.Phase = Unknown })
}

// settle changes an entry on behalf of its attempt, unless it is finished or
// abandoned.
func (v *View) settle(k EntryKey, a ident.Attempt, change func(*Entry)) Outcome {
	old, ok := v.entries.Get(k)
	if !ok || old.Attempt != a || old.Phase == Abandoned {
		return failed(result.New(result.ChangeRefused, "key %q is not held by this attempt", k.Key))
	}
	if old.Phase == Finished {
		return Outcome{Entry: old}
	}
	e := *old
	change(&e)
	v.put(&e)
	return Outcome{Entry: &e}
}

func (c Abandon) apply(s *State) Outcome {
	k := EntryKey{Scope: c.Scope, Key: c.Key}
	old, ok := s.v.entries.Get(k)
	if !ok {
		return s.v.bury(k, c)
	}
	if old.Attempt == c.Attempt && old.Phase == Finished {
		return failed(result.New(result.ChangeRefused, "key %q is finished", c.Key))
	}
	e := *old
	if old.Attempt == c.Attempt {
		e.Phase = Abandoned
	}
	if e.Phase == Abandoned {
		e.NotRunIndex = s.v.index
	}
	s.v.put(&e)
	return Outcome{Entry: &e}
}

// bury remembers an attempt that was abandoned before its Begin was applied.
func (v *View) bury(k EntryKey, c Abandon) Outcome {
	if !c.Deadline.After(v.expired) || v.entries.Len() >= MaxEntries {
		return Outcome{}
	}
	e := &Entry{Key: k, Attempt: c.Attempt, Deadline: c.Deadline, Phase: Abandoned, NotRunIndex: v.index}
	v.put(e)
	return Outcome{Entry: e}
}

func (c Orphan) apply(s *State) Outcome {
	from := ownerKey{owner: c.Owner, incarnation: c.Incarnation}
	for k := range s.v.running.From(from) {
		if k.owner != c.Owner || k.incarnation != c.Incarnation {
			break
		}
		old, _ := s.v.entries.Get(k.key)
		e := *old
		e.Phase = Unknown
		s.v.put(&e)
	}
	return Outcome{}
}

func (c Expire) apply(s *State) Outcome {
	v := &s.v
	if c.Until.After(v.expired) {
		v.expired = c.Until
	}
	for {
		d, _, ok := v.deadlines.Min()
		if !ok || d.at > v.expired.UnixNano() {
			break
		}
		v.drop(d.key)
	}
	for digest, until := range v.quarantined.All() {
		if !until.After(v.expired) {
			v.quarantined = v.quarantined.Delete(digest)
		}
	}
	return Outcome{}
}

func (c Quarantine) apply(s *State) Outcome {
	v := &s.v
	if err := checkSize(result.Malformed, "digest", c.Digest, MaxDigest); err != nil {
		return failed(err)
	}
	if !c.Until.After(v.expired) || !c.Until.After(v.QuarantinedUntil(c.Digest)) {
		return Outcome{}
	}
	v.quarantined = v.quarantined.Put(c.Digest, c.Until)
	if v.quarantined.Len() > MaxQuarantined {
		v.quarantined = v.quarantined.Delete(v.soonest())
	}
	return Outcome{}
}

// soonest returns the digest whose quarantine ends first.
func (v *View) soonest() string {
	digest, end, _ := v.quarantined.Min()
	for d, until := range v.quarantined.All() {
		if until.Before(end) {
			digest, end = d, until
		}
	}
	return digest
}
