package routing

import (
	"cmp"
	"slices"

	"papayaspoke/core/ident"
)

// localPreference is the number of outstanding requests that a replica in the
// daemon's own data centre may have beyond one in another data centre before
// the other is chosen.
const localPreference = 4

// ServiceReplica is a replica of a plain service.
type ServiceReplica struct {
	// Upstream is the name of the replica.
	Upstream ident.Upstream
	// Service is the service that it belongs to.
	Service ident.Service
	// DataCentre is the data centre of the replica.
	DataCentre ident.DataCentre
	// Closed is true if the replica accepts no new requests.
	Closed bool
}

// serviceEntry is a replica in Services.
type serviceEntry struct {
	ServiceReplica
	// outstanding counts the outstanding requests of this daemon.
	outstanding int
}

// Services holds the announced replicas of plain services and the requests
// that this daemon has outstanding at each. It is not safe for concurrent use.
type Services struct {
	dataCentre ident.DataCentre
	replicas   map[ident.Upstream]*serviceEntry
	// byService holds the replicas of each service, sorted by name.
	byService map[ident.Service][]*serviceEntry
}

// NewServices returns an empty set for a daemon in the given data centre.
func NewServices(dataCentre ident.DataCentre) *Services {
	return &Services{
		dataCentre: dataCentre,
		replicas:   make(map[ident.Upstream]*serviceEntry),
		byService:  make(map[ident.Service][]*serviceEntry),
	}
}

// Put adds a replica or replaces its record. The count of its outstanding
// requests is kept.
func (s *Services) Put(r ServiceReplica) {
	if e := s.replicas[r.Upstream]; e != nil && e.Service == r.Service {
		e.ServiceReplica = r
		return
	}
	s.Remove(r.Upstream)
	e := &serviceEntry{ServiceReplica: r}
	s.replicas[r.Upstream] = e
	es := s.byService[r.Service]
	i, _ := slices.BinarySearchFunc(es, r.Upstream, compareService)
	s.byService[r.Service] = slices.Insert(es, i, e)
}

func compareService(e *serviceEntry, name ident.Upstream) int { return cmp.Compare(e.Upstream, name) }

// Remove removes a replica.
func (s *Services) Remove(name ident.Upstream) {
	e := s.replicas[name]
	if e == nil {
		return
	}
	delete(s.replicas, name)
	rest := slices.DeleteFunc(s.byService[e.Service], func(x *serviceEntry) bool { return x == e })
	if len(rest) == 0 {
		delete(s.byService, e.Service)
		return
	}
	s.byService[e.Service] = rest
}

// Known reports whether any replica of the service is announced.
func (s *Services) Known(name ident.Service) bool { return len(s.byService[name]) > 0 }

// Pick returns the replica with the fewest outstanding requests that is neither
// closed nor excluded. It prefers replicas in the daemon's own data centre.
func (s *Services) Pick(name ident.Service, exclude ...ident.Upstream) (ident.Upstream, bool) {
	var best *serviceEntry
	for _, e := range s.byService[name] {
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
	if e.DataCentre == s.dataCentre {
		return e.outstanding
	}
	return e.outstanding + localPreference
}

// RecordSent records that a request was sent to a replica.
func (s *Services) RecordSent(name ident.Upstream) {
	if e := s.replicas[name]; e != nil {
		e.outstanding++
	}
}

// RecordFinished records the end of a request sent to a replica.
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
