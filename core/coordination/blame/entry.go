package blame

import "time"

// Entry is evidence or a verdict as daemons exchange it: Ended, Answered or
// Convicted.
type Entry interface{ entry() }

// Ended is evidence against a request: it was in flight when a replica ended.
type Ended struct {
	// End identifies the end of the replica. It is the same at every daemon.
	End Key
	Suspect
	// PartsBefore is how many parts of the evidence come before the first of Parts.
	// It is not 0 if the evidence is split.
	PartsBefore int
	// Answered has a bit for each of Parts that the daemon has seen answered in the
	// minutes before the end.
	Answered uint32
	// Trial says whether the request was suspected when the daemon sent it.
	Trial Trial
	// At is the wall time at which the daemon noticed the end.
	At time.Time
}

// Trial tells how a request was sent.
type Trial uint8

const (
	// NoTrial requests were not suspected.
	NoTrial Trial = iota
	// EarlyTrial requests had just become suspected.
	EarlyTrial
	// LateTrial requests had been suspected for lateTrialAfter.
	LateTrial
)

// Answered clears a key: a replica has answered a request with it in full, or other
// keys explain all evidence against it.
type Answered struct {
	Key Key
	// At is the wall time of the answer or of that finding.
	At time.Time
}

// Convicted makes daemons refuse requests that have all of some keys.
type Convicted struct {
	// Keys is not empty.
	Keys []Key
	// Until is the wall time at which the conviction expires.
	Until time.Time
}

func (Ended) entry()     {}
func (Answered) entry()  {}
func (Convicted) entry() {}

// Expires returns when an entry may be forgotten.
func Expires(e Entry) time.Time {
	switch e := e.(type) {
	case Ended:
		return e.At.Add(evidenceTTL)
	case Answered:
		return e.At.Add(evidenceTTL)
	case Convicted:
		return e.Until
	}
	return time.Time{}
}

// EndedThatExpires returns evidence with At set by the time at which it expires;
// it is the inverse of Expires.
func EndedThatExpires(at time.Time, e Ended) Ended {
	e.At = at.Add(-evidenceTTL)
	return e
}

// AnsweredThatExpires returns a clearance by the time at which it expires.
func AnsweredThatExpires(at time.Time, k Key) Answered {
	return Answered{Key: k, At: at.Add(-evidenceTTL)}
}

// madeAt returns when an entry was made.
func madeAt(e Entry) time.Time {
	switch e := e.(type) {
	case Ended:
		return e.At
	case Answered:
		return e.At
	case Convicted:
		return e.Until.Add(-convictionTTL)
	}
	return time.Time{}
}
