package dispatch

import "time"

// retryMiss is how long a caller is asked to wait after a refused miss.
const retryMiss = 10 * time.Second

// knownDemand is the demand from which an adapter counts as asked for lately.
const knownDemand = 2

// outlast is the time to its deadline with which a request can wait until an
// excess of misses is over.
const outlast = 20 * time.Second

// admission turns away the share of misses that the load budget cannot serve.
type admission struct {
	// share is what the holder of the budget can serve, from 0 to 1.
	share float64
	// credit grows by share with each miss and falls by 1 with each that is
	// admitted; it stays between -10 and 2.
	credit float64
	// misses counts the misses, admitted or not.
	misses uint64
}

// miss counts a miss and reports whether it is admitted. One that is favoured
// is always admitted, at the expense of the others.
func (a *admission) miss(favoured bool) bool {
	a.misses++
	a.credit = min(a.credit+a.share, 2)
	if a.credit < 1 && !favoured {
		return false
	}
	a.credit = max(a.credit-1, -10)
	return true
}

// admit reports whether r may wait for p. Only a request that would make a
// further load necessary can be turned away, and no suspect is. Favoured are
// adapters that were asked for lately, because they are likely to be asked for
// again, and requests that can wait.
func (d *Dispatcher) admit(now time.Time, p *replica, r *request) bool {
	if !d.policy.Budgeted || r.alone || p.expects(r.Adapter) || p.lines[r.Adapter] != nil {
		return true
	}
	known := p.demand.At(now, r.Adapter) >= knownDemand
	return d.admission.miss(known || r.Deadline.Sub(now) > outlast)
}
