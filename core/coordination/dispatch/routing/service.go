package routing

import (
	"cmp"
	"slices"

	"papayaspoke/core/ident"
)

// spill is the number of outstanding requests by which the replicas of the
// own data centre may be busier than others before requests leave it.
const spill = 4

// ServiceReplica is a replica of a plain service.
type ServiceReplica struct {
	// Upstream names the replica.
	Upstream ident.Upstream
	// Service is the service that it belongs to.
	Service ident.Service
	// DataCentre is where the replica is.
	DataCentre ident.DataCentre
	// Closed is true if the replica takes no new work.
	Closed bool
}

type serviceEntry struct {
	ServiceReplica
	// outstanding counts the requests of this daemon.
	outstanding int
}

// Services holds the announced replicas of plain services and the requests
// that this daemon has outstanding at each. It is not safe for use by several
// goroutines.
type Services struct {
	centre   ident.DataCentre
	replicas map[ident.Upstream]*serviceEntry
	// byName holds the replicas of each service, sorted by name.
	byName map[ident.Service][]*serviceEntry
}

// NewServices returns an empty set for a daemon in the given data centre.
func NewServices(centre ident.DataCentre) *Services {
	return &Services{
		centre:   centre,
		replicas: make(map[ident.Upstream]*serviceEntry),
		byName:   make(map[ident.Service][]*serviceEntry),
	}
}

// Put adds a replica or replaces its record; its outstanding requests stay.
func (s *Services) Put(r ServiceReplica) {
	if e := s.replicas[r.Upstream]; e != nil && e.Service == r.Service {
		e.ServiceReplica = r
		return
	}
	s.Remove(r.Upstream)
	e := &serviceEntry{ServiceReplica: r}
	s.replicas[r.Upstream] = e
	es := s.byName[r.Service]
	i, _ := slices.BinarySearchFunc(es, r.Upstream, compareService)
	s.byName[r.Service] = slices.Insert(es, i, e)
}

func compareService(e *serviceEntry, name ident.Upstream) int { return cmp.Compare(e.Upstream, name) }

// Remove forgets a replica.
func (s *Services) Remove(name ident.Upstream) {
	e := s.replicas[name]
	if e == nil {
		return
	}
	delete(s.replicas, name)
	rest := slices.DeleteFunc(s.byName[e.Service], func(x *serviceEntry) bool { return x == e })
	if len(rest) == 0 {
		delete(s.byName, e.Service)
		return
	}
	s.byName[e.Service] = rest
}

// Known reports whether any replica of the service is announced.
func (s *Services) Known(name ident.Service) bool { return len(s.byName[name]) > 0 }

// Pick returns the replica with the fewest outstanding requests that is not
// excluded, own data centre first.
func (s *Services) Pick(name ident.Service, exclude ...ident.Upstream) (ident.Upstream, bool) {
	var best *serviceEntry
	for _, e := range s.byName[name] {
		if e.Closed || slices.Contains(exclude, e.Upstream) {
			continue
		}
		if best == nil || s.cost(e) < s.cost(best) {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	return best.Upstream, true
}

func (s *Services) cost(e *serviceEntry) int {
	if e.DataCentre == s.centre {
		return e.outstanding
	}
	return e.outstanding + spill
}

// RecordSent notes a request sent to a replica.
func (s *Services) RecordSent(name ident.Upstream) {
	if e := s.replicas[name]; e != nil {
		e.outstanding++
	}
}

// RecordFinished notes the end of a request sent to a replica.
func (s *Services) RecordFinished(name ident.Upstream) {
	if e := s.replicas[name]; e != nil && e.outstanding > 0 {
		e.outstanding--
	}
}

// Outstanding returns the number of requests that this daemon has outstanding
// at a replica.
func (s *Services) Outstanding(name ident.Upstream) int {
	if e := s.replicas[name]; e != nil {
		return e.outstanding
	}
	return 0
}
