package dispatch

import "time"

// missRetryAfter is how long a caller is asked to wait after a request for a
// non-resident adapter was refused.
const missRetryAfter = 10 * time.Second

// popularDemand is the demand from which an adapter counts as recently
// requested.
const popularDemand = 2

// patientSlack is the time left to the deadline from which a request is assumed
// to be able to wait until an excess of misses is over.
const patientSlack = 20 * time.Second

// missAdmission refuses the share of misses that the load budget cannot serve.
// A miss is a request whose adapter must be loaded.
type missAdmission struct {
	// share is the part of the misses that the budget can serve, from 0 to 1.
	share float64
	// credit grows by share with each miss and falls by 1 with each admitted
	// miss; it stays between -10 and 2.
	credit float64
	// misses counts the misses, admitted or not.
	misses uint64
}

// admit counts a miss and reports whether it is admitted. A favoured miss is
// always admitted, at the expense of the others.
func (a *missAdmission) admit(favoured bool) bool {
	a.misses++
	a.credit = min(a.credit+a.share, 2)
	if a.credit < 1 && !favoured {
		return false
	}
	a.credit = max(a.credit-1, -10)
	return true
}

// admitMiss reports whether r may wait for p. Only a request that requires a
// further load can be refused, and suspects never are. Requests for recently
// requested adapters are favoured, because such adapters are likely to be
// requested again, as are requests whose deadline is far off.
func (d *Dispatcher) admitMiss(now time.Time, p *replica, r *request) bool {
	if !d.policy.NeedsPermits || r.isolated || p.residentOrLoading(r.Adapter) || p.queues[r.Adapter] != nil {
		return true
	}
	known := p.demand.At(now, r.Adapter) >= popularDemand
	return d.admission.admit(known || r.Deadline.Sub(now) > patientSlack)
}
