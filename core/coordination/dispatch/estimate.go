package dispatch

import (
	"time"
)

// movingAverage is a moving average of durations. The zero value has no
// samples and a value of zero.
type movingAverage struct {
	// seconds is the current average; it is never negative.
	seconds float64
	// samples counts the durations that were added.
	samples int
}

// minWeight is the weight of the newest sample once there are 20 samples;
// earlier samples are averaged evenly.
const minWeight = 0.05

func (a *movingAverage) add(d time.Duration) {
	a.samples++
	w := max(minWeight, 1/float64(a.samples))
	a.seconds += w * (d.Seconds() - a.seconds)
}

func (a *movingAverage) value() time.Duration { return time.Duration(a.seconds * float64(time.Second)) }

// expectedRunTime returns how long r is expected to run once it is sent. It is
// capped at half of the time that the class allows: otherwise an average taken
// while the replicas were slow would cause every request to be refused, and no
// new samples would correct it.
func (d *Dispatcher) expectedRunTime(r *request) time.Duration {
	a := d.runTimes[r.Class]
	if a == nil {
		return 0
	}
	return min(a.value(), r.Deadline.Sub(r.Arrived)/2)
}

// estimate returns the expected start and end of r if it is sent at start.
func (d *Dispatcher) estimate(start time.Time, r *request) Estimate {
	return Estimate{Start: start, End: start.Add(d.expectedRunTime(r))}
}

// expectedQueueTime returns how long r is expected to wait at p for the
// requests in flight and those queued before it.
func (d *Dispatcher) expectedQueueTime(p *replica, r *request) time.Duration {
	a := d.runTimes[r.Class]
	if a == nil {
		return 0
	}
	ahead := p.inFlight + p.inheritedInFlight - p.maxBatch + 1
	for _, q := range p.queues {
		if p.canServe(q.adapter) {
			ahead += countAhead(q.requests, r, d.policy.Compare)
		}
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(p.maxBatch) * float64(a.value()))
}

// countAhead returns how many of the sorted requests are ordered before r.
func countAhead(rs []*request, r *request, compare func(a, b Request) int) int {
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

// canRunNow reports whether r could be sent to p immediately.
func (d *Dispatcher) canRunNow(p *replica, r *request) bool {
	return p.usable() && p.canServe(r.Adapter) && p.freeCapacity() > 0 && !p.isolating()
}
