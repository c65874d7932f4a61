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
	// maxRoutes and maxReplicas limit the label values of metrics. Further
	// routes and replicas are counted under otherName.
	maxRoutes   = 64
	maxReplicas = 256
	otherName   = "other"
)

// routedMeter records the number and duration of requests by route, result and
// replica. It is safe for concurrent use.
type routedMeter struct {
	scope tally.Scope

	mu sync.Mutex
	// routes holds at most maxRoutes+1 entries, replicas maxReplicas+1.
	routes   map[string]*routeMeter
	replicas map[ident.Upstream]*replicaMeter
}

// replicaMeter records the answers of a replica and the time to their first
// byte.
type replicaMeter struct {
	answers   tally.Counter
	firstByte tally.Histogram
}

// routeMeter records the requests of a route.
type routeMeter struct {
	scope            tally.Scope
	results          map[result.Code]tally.Counter
	firstByte, total tally.Histogram
	retries          tally.Counter
	// endsInFlight counts replicas that ended before they had answered a request, or
	// with an answer that ended with its connection.
	endsInFlight tally.Counter
}

func newRoutedMeter(s tally.Scope) *routedMeter {
	return &routedMeter{scope: s, routes: make(map[string]*routeMeter), replicas: make(map[ident.Upstream]*replicaMeter)}
}

// observe records a finished request.
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
	r.total.RecordDuration(o.TotalTime)
	if o.TimeToFirstByte > 0 {
		r.firstByte.RecordDuration(o.TimeToFirstByte)
	}
	if o.Sends > 1 {
		r.retries.Inc(int64(o.Sends - 1))
	}
	r.endsInFlight.Inc(int64(o.EndsInFlight))
	for _, by := range o.StreamEnds {
		r.scope.Tagged(map[string]string{"by": by.String()}).Counter("streams_ended").Inc(1)
	}
	if o.Replica != "" {
		r := m.replica(o.Replica)
		r.answers.Inc(1)
		if o.TimeToFirstByte > 0 {
			r.firstByte.RecordDuration(o.TimeToFirstByte)
		}
	}
}

// countEndedAfterAnswer counts a request whose replica ended with its answer.
func (m *routedMeter) countEndedAfterAnswer(route string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.route(route).endsInFlight.Inc(1)
}

// countLeftAlone counts a replica that is left alone since it has said so.
func (m *routedMeter) countLeftAlone(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("left_alone").Inc(1)
}

// route returns the meter of a route.
func (m *routedMeter) route(name string) *routeMeter {
	if name == "" || m.routes[name] == nil && len(m.routes) >= maxRoutes {
		name = otherName
	}
	r := m.routes[name]
	if r == nil {
		s := m.scope.Tagged(map[string]string{"route": name})
		r = &routeMeter{
			scope: s, results: make(map[result.Code]tally.Counter), retries: s.Counter("repeats"), endsInFlight: s.Counter("ended_under"),
			firstByte: s.Histogram("first", answerBuckets), total: s.Histogram("whole", answerBuckets),
		}
		m.routes[name] = r
	}
	return r
}

// replica returns the meter of a replica.
func (m *routedMeter) replica(name ident.Upstream) *replicaMeter {
	if m.replicas[name] == nil && len(m.replicas) >= maxReplicas {
		name = otherName
	}
	c := m.replicas[name]
	if c == nil {
		s := m.scope.Tagged(map[string]string{"replica": string(name)})
		c = &replicaMeter{answers: s.Counter("answers"), firstByte: s.Histogram("replica_first", answerBuckets)}
		m.replicas[name] = c
	}
	return c
}

// updateGatewayGauges updates the gauges of routing and placement that alarms
// are based on.
func (p *Platform) updateGatewayGauges(s tally.Scope, now time.Time) {
	g := p.gateway.State()
	s.Gauge("routing").Update(float64(g.RoutingVersion))
	s.Gauge("waiting_weights").Update(float64(g.WaitingRequests))
	s.Gauge("ejected").Update(float64(len(g.Ejected)))
	s.Gauge("alone").Update(float64(len(g.LeftAlone)))
	s.Gauge("blamed").Update(float64(len(g.Blamed)))
	age := -1.0
	if !g.PlacerAnsweredAt.IsZero() {
		age = now.Sub(g.PlacerAnsweredAt).Seconds()
	}
	s.Gauge("placer_age").Update(age)
	for name, n := range g.RetriesLeft {
		s.Tagged(map[string]string{"service": string(name)}).Gauge("retries_left").Update(float64(n))
	}
	if x := p.d.ctl.placementState.placer; x != nil {
		s.Gauge("transit").Update(float64(x.TransitCount(now)))
	}
	s.Gauge("places").Update(boolGauge(p.d.ctl.placementState.placer != nil))
	s.Gauge("disk_failed").Update(boolGauge(p.d.diskFailed.Load()))
}
