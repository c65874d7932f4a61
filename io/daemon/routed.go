package daemon

import (
	"strconv"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/gateway"
)

const (
	// maxRoutes and maxReplicas bound the names that metrics tell apart; what
	// comes later counts as otherName.
	maxRoutes   = 64
	maxReplicas = 256
	otherName   = "other"
)

// routedMeter counts and times requests by route, result and replica. It is
// safe for concurrent use.
type routedMeter struct {
	scope tally.Scope

	mu sync.Mutex
	// routes holds at most maxRoutes+1 entries, replicas maxReplicas+1.
	routes   map[string]*routeMeter
	replicas map[ident.Upstream]*replicaMeter
}

// replicaMeter counts the answers of a replica and times their first byte.
type replicaMeter struct {
	answers tally.Counter
	first   tally.Histogram
}

type routeMeter struct {
	scope        tally.Scope
	results      map[result.Code]tally.Counter
	first, whole tally.Histogram
	repeats      tally.Counter
}

func newRoutedMeter(s tally.Scope) *routedMeter {
	return &routedMeter{scope: s, routes: make(map[string]*routeMeter), replicas: make(map[ident.Upstream]*replicaMeter)}
}

// observe counts a finished request.
func (m *routedMeter) observe(o gateway.Observation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.route(o.Route)
	c := r.results[o.Code]
	if c == nil {
		c = r.scope.Tagged(map[string]string{"result": strconv.Itoa(int(o.Code))}).Counter("routed")
		r.results[o.Code] = c
	}
	c.Inc(1)
	r.whole.RecordDuration(o.TotalTime)
	if o.TimeToFirstByte > 0 {
		r.first.RecordDuration(o.TimeToFirstByte)
	}
	if o.Sends > 1 {
		r.repeats.Inc(int64(o.Sends - 1))
	}
	for _, by := range o.StreamEnds {
		r.scope.Tagged(map[string]string{"by": by.String()}).Counter("streams_ended").Inc(1)
	}
	if o.Replica != "" {
		r := m.replica(o.Replica)
		r.answers.Inc(1)
		if o.TimeToFirstByte > 0 {
			r.first.RecordDuration(o.TimeToFirstByte)
		}
	}
}

func (m *routedMeter) route(name string) *routeMeter {
	if name == "" || m.routes[name] == nil && len(m.routes) >= maxRoutes {
		name = otherName
	}
	r := m.routes[name]
	if r == nil {
		s := m.scope.Tagged(map[string]string{"route": name})
		r = &routeMeter{
			scope: s, results: make(map[result.Code]tally.Counter), repeats: s.Counter("repeats"),
			first: s.Histogram("first", answerBuckets), whole: s.Histogram("whole", answerBuckets),
		}
		m.routes[name] = r
	}
	return r
}

func (m *routedMeter) replica(name ident.Upstream) *replicaMeter {
	if m.replicas[name] == nil && len(m.replicas) >= maxReplicas {
		name = otherName
	}
	c := m.replicas[name]
	if c == nil {
		s := m.scope.Tagged(map[string]string{"replica": string(name)})
		c = &replicaMeter{answers: s.Counter("answers"), first: s.Histogram("replica_first", answerBuckets)}
		m.replicas[name] = c
	}
	return c
}

// gaugeRouted shows the state of routing and placement that alarms look at.
func (p *Platform) gaugeRouted(s tally.Scope, now time.Time) {
	g := p.gateway.State()
	s.Gauge("routing").Update(float64(g.RoutingVersion))
	s.Gauge("waiting_weights").Update(float64(g.WaitingRequests))
	s.Gauge("ejected").Update(float64(len(g.Ejected)))
	age := -1.0
	if !g.PlacerAnsweredAt.IsZero() {
		age = now.Sub(g.PlacerAnsweredAt).Seconds()
	}
	s.Gauge("placer_age").Update(age)
	for name, n := range g.RetriesLeft {
		s.Tagged(map[string]string{"service": string(name)}).Gauge("retries_left").Update(float64(n))
	}
	if x := p.d.ctl.placing.placer; x != nil {
		s.Gauge("transit").Update(float64(x.TransitCount(now)))
	}
	s.Gauge("places").Update(flag(p.d.ctl.placing.placer != nil))
	s.Gauge("disk_failed").Update(flag(p.d.diskFailed.Load()))
}
