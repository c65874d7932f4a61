package pace

import (
	"cmp"
	"time"

	"papayaspoke/core/ident"
)

const (
	// firstService is the time that a request is assumed to take at a replica
	// until refusals say otherwise: too short, so that no replica is left idle.
	firstService = 20 * time.Millisecond
	// judged is how long the door waits before it judges its rate by what was
	// refused or kept waiting in that time.
	judged = 100 * time.Millisecond
	// speedUp is how much faster the door gets where requests wait and none was
	// refused or kept waiting; backOff is the part of their share by which it gets
	// slower, and mostBack bounds that.
	speedUp  = 0.04
	backOff  = 0.15
	mostBack = 0.3
	// longestInterval bounds what can be learned.
	longestInterval = time.Second
	// remembered is how long a door goes by the least patient and the most
	// urgent request that it has seen.
	remembered = 5 * time.Second
)

// AdmissionRequest is a request for a replica that processes few at a time and refuses
// others.
type AdmissionRequest struct {
	// Slots is how many requests the replica processes at a time; at least 1.
	Slots int
	// Rank is that of the request; 0 is the most urgent.
	Rank int
	// PushedBack is how many of the sender's requests that the door had let in the
	// replica has refused or kept waiting since the sender asked last.
	PushedBack int
	// Deadline is when the request has to be sent at the latest.
	Deadline time.Time
}

// Door spaces the requests for a replica that refuses work, at the rate at which
// it takes them. Many senders that each see a few requests can't know when it has
// room: what they send is refused at random, or by what the replica prefers, and
// requests that come seldom, or many at a time, are hardly ever taken.
//
// All wait equally long at most, so that none is shut out by others who are more
// patient. While some are turned away, every second one of the less urgent is,
// so that urgent ones are served more often, but nobody is starved.
//
// The zero value is a door that nobody has come to.
type Door struct {
	// interval is the time between two requests; 0 until the first came.
	interval time.Duration
	// free is when the next request may be sent.
	free time.Time
	// sent and pressed count since judgeAt was set; waited is true if a request
	// had to wait since then.
	sent, pressed int
	waited        bool
	judgeAt       time.Time
	// patience is the shortest seen lately, urgent the most urgent rank.
	patience lowest[time.Duration]
	urgent   lowest[int]
	// skipped alternates for the less urgent while requests are turned away.
	skipped bool
	// fullUntil is until when requests count as being turned away.
	fullUntil time.Time
}

// Enter returns when the request may be sent.
func (d *Door) Enter(now time.Time, a AdmissionRequest) Reservation {
	if d.interval == 0 {
		d.interval = firstService / time.Duration(max(a.Slots, 1))
	}
	d.pressed += a.PushedBack
	d.judge(now)
	d.patience.see(now, a.Deadline.Sub(now))
	d.urgent.see(now, a.Rank)

	at := latest(now, d.free)
	d.waited = d.waited || at.After(now)
	if at.Sub(now) > d.patience.value {
		d.fullUntil = now.Add(remembered)
		return Reservation{At: at}
	}
	if a.Rank > d.urgent.value && at.After(now) && now.Before(d.fullUntil) {
		if d.skipped = !d.skipped; d.skipped {
			return Reservation{At: at}
		}
	}
	d.sent++
	d.free = at.Add(d.interval)
	return Reservation{At: at, Reserved: true}
}

// judge corrects the rate by what was refused or kept waiting.
func (d *Door) judge(now time.Time) {
	if now.Before(d.judgeAt) {
		return
	}
	rate := 1.0
	switch {
	case d.pressed > 0:
		rate -= min(mostBack, backOff*float64(d.pressed)/float64(max(d.sent, d.pressed)))
	case d.waited:
		rate += speedUp
	}
	d.interval = min(time.Duration(float64(d.interval)/rate), longestInterval)
	d.sent, d.pressed, d.waited, d.judgeAt = 0, 0, false, now.Add(judged)
}

// lowest is the lowest of the values seen lately.
type lowest[T cmp.Ordered] struct {
	value T
	// until is until when the value counts; later ones replace it.
	until time.Time
}

func (l *lowest[T]) see(now time.Time, v T) {
	if v <= l.value || !now.Before(l.until) {
		l.value, l.until = v, now.Add(remembered)
	}
}

// AdmissionPacers are those that one daemon keeps. They are not safe for concurrent use.
type AdmissionPacers struct{ keyed[Door] }

// Admit books at the door of a replica.
func (d *AdmissionPacers) Admit(now time.Time, name ident.Upstream, a AdmissionRequest) Reservation {
	return d.at(name).Enter(now, a)
}
