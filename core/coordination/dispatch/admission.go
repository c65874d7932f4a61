package dispatch

import "time"

// retryMiss is how long a caller is asked to wait after a refused miss.
const retryMiss = 10 * time.Second

// admission turns away the share of misses that the load budget cannot serve.
type admission struct {
	// share is what the holder of the budget can serve, from 0 to 1.
	share float64
	// credit grows by share with each miss and falls by 1 with each that is
	// admitted; it stays between 0 and 2.
	credit float64
	// misses counts the misses, admitted or not.
	misses uint64
}

// miss counts a miss and reports whether it is admitted.
func (a *admission) miss() bool {
	a.misses++
	a.credit += a.share
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// admit reports whether r may wait for p. Only a request that would make a
// further load necessary can be turned away, and no suspect is.
func (d *Dispatcher) admit(p *replica, r *request) bool {
	if !d.policy.Budgeted || r.alone || p.expects(r.Adapter) || p.lines[r.Adapter] != nil {
		return true
	}
	return d.admission.miss()
}
