package dispatch

import (
	"time"
)

// average is a moving average of spans of time, in seconds. The zero value
// knows nothing.
type average struct {
	// seconds is never negative.
	seconds float64
	// samples counts the spans that were added.
	samples int
}

// weight is that of the newest sample once there are many.
const weight = 0.05

func (a *average) add(span time.Duration) {
	a.samples++
	w := max(weight, 1/float64(a.samples))
	a.seconds += w * (span.Seconds() - a.seconds)
}

func (a *average) span() time.Duration { return time.Duration(a.seconds * float64(time.Second)) }

// runTime returns how long r runs once it is sent. It is capped at half of
// the time that the class allows: an average from a bad spell would otherwise
// refuse all requests, and there would be no new samples to mend it.
func (d *Dispatcher) runTime(r *request) time.Duration {
	a := d.estimates[r.Class]
	if a == nil {
		return 0
	}
	return min(a.span(), r.Deadline.Sub(r.Arrived)/2)
}

// estimate returns what r has before it if it is sent at start.
func (d *Dispatcher) estimate(start time.Time, r *request) Estimate {
	return Estimate{Start: start, End: start.Add(d.runTime(r))}
}

// queueTime returns how long the requests that go before r keep p busy.
func (d *Dispatcher) queueTime(p *replica, r *request) time.Duration {
	a := d.estimates[r.Class]
	if a == nil {
		return 0
	}
	ahead := p.inFlight + p.foreign - p.maxBatch + 1
	for _, l := range p.lines {
		if p.holds(l.adapter) {
			ahead += before(l.requests, r, d.policy.Compare)
		}
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(p.maxBatch) * float64(a.span()))
}

// before returns how many of the sorted requests go before r.
func before(rs []*request, r *request, compare func(a, b Request) int) int {
	low, high := 0, len(rs)
	for low < high {
		mid := (low + high) / 2
		if compare(rs[mid].Request, r.Request) < 0 {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// runsNow reports whether r could be sent to p at once.
func (d *Dispatcher) runsNow(p *replica, r *request) bool {
	return p.usable() && p.holds(r.Adapter) && p.room() > 0 && !p.isolates()
}
