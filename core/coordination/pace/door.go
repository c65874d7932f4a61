package pace

import (
	"cmp"
	"time"

	"papayaspoke/core/ident"
)

const (
	// initialServiceTime is the processing time assumed for a request until
	// refusals correct it. It is an underestimate so that no replica is left
	// idle.
	initialServiceTime = 20 * time.Millisecond
	// adjustInterval is the time between two corrections of the rate.
	adjustInterval = 100 * time.Millisecond
	// rateIncrease is the relative increase of the rate while requests wait and
	// the replica refuses or delays none. rateDecrease is multiplied by the
	// share of requests that it refused or delayed to get the relative
	// decrease; maxRateDecrease limits that.
	rateIncrease    = 0.04
	rateDecrease    = 0.15
	maxRateDecrease = 0.3
	// maxInterval limits the estimated interval.
	maxInterval = time.Second
	// recentWindow is how long the shortest patience and the most urgent rank
	// seen stay in effect.
	recentWindow = 5 * time.Second
)

// AdmissionRequest describes a request to a replica that processes few requests
// at a time and refuses others.
type AdmissionRequest struct {
	// Slots is the number of requests that the replica processes concurrently;
	// at least 1.
	Slots int
	// Rank is the request's rank; 0 is the most urgent.
	Rank int
	// PushedBack is the number of the sender's admitted requests that the replica
	// has refused or delayed since the sender's last call.
	PushedBack int
	// Deadline is the latest time to send the request.
	Deadline time.Time
}

// AdmissionPacer spaces the requests to an overloaded replica at the rate at
// which it accepts them. Many senders that each see only a few requests can't
// know when the replica has capacity: it would refuse their requests at random
// or by its own preference, and rare or bursty request streams would hardly
// ever get through.
//
// All requests have the same maximum wait, so that patient ones can't displace
// the others. While some are rejected, every second one of the less urgent is
// rejected too: urgent requests are served more often, but no rank is starved.
//
// The zero value is ready to use.
type AdmissionPacer struct {
	// interval is the time between two requests; 0 until the first request.
	interval time.Duration
	// nextFree is when the next request may be sent.
	nextFree time.Time
	// admitted and pushedBack count since the last correction of the rate;
	// delayed is true if a request had to wait since then.
	admitted, pushedBack int
	delayed              bool
	adjustAt             time.Time
	// minPatience is the shortest recent patience, minRank the most urgent
	// recent rank.
	minPatience recentMin[time.Duration]
	minRank     recentMin[int]
	// skipped alternates for the less urgent requests during overload.
	skipped bool
	// overloadedUntil is the end of the period in which requests count as being
	// rejected.
	overloadedUntil time.Time
}

// Admit returns when the request may be sent, if at all.
func (p *AdmissionPacer) Admit(now time.Time, a AdmissionRequest) Reservation {
	if p.interval == 0 {
		p.interval = initialServiceTime / time.Duration(max(a.Slots, 1))
	}
	p.pushedBack += a.PushedBack
	p.adjustRate(now)
	p.minPatience.observe(now, a.Deadline.Sub(now))
	p.minRank.observe(now, a.Rank)

	at := latest(now, p.nextFree)
	p.delayed = p.delayed || at.After(now)
	if at.Sub(now) > p.minPatience.value {
		p.overloadedUntil = now.Add(recentWindow)
		return Reservation{At: at}
	}
	if a.Rank > p.minRank.value && at.After(now) && now.Before(p.overloadedUntil) {
		if p.skipped = !p.skipped; p.skipped {
			return Reservation{At: at}
		}
	}
	p.admitted++
	p.nextFree = at.Add(p.interval)
	return Reservation{At: at, Reserved: true}
}

// adjustRate corrects the rate by the requests that were refused or delayed.
func (p *AdmissionPacer) adjustRate(now time.Time) {
	if now.Before(p.adjustAt) {
		return
	}
	rate := 1.0
	switch {
	case p.pushedBack > 0:
		rate -= min(maxRateDecrease, rateDecrease*float64(p.pushedBack)/float64(max(p.admitted, p.pushedBack)))
	case p.delayed:
		rate += rateIncrease
	}
	p.interval = min(time.Duration(float64(p.interval)/rate), maxInterval)
	p.admitted, p.pushedBack, p.delayed, p.adjustAt = 0, 0, false, now.Add(adjustInterval)
}

// recentMin is the minimum of recent values.
type recentMin[T cmp.Ordered] struct {
	value T
	// expiresAt is when any next value replaces this one.
	expiresAt time.Time
}

func (m *recentMin[T]) observe(now time.Time, v T) {
	if v <= m.value || !now.Before(m.expiresAt) {
		m.value, m.expiresAt = v, now.Add(recentWindow)
	}
}

// AdmissionPacers holds the admission pacers that one daemon hosts. It is not
// safe for concurrent use.
type AdmissionPacers struct{ perReplica[AdmissionPacer] }

// Admit requests admission at the pacer of a replica.
func (p *AdmissionPacers) Admit(now time.Time, name ident.Upstream, a AdmissionRequest) Reservation {
	return p.get(name).Admit(now, a)
}
