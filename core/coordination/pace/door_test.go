package pace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// target is the latency target of the requests.
const target = 200 * time.Millisecond

// overload simulates one replica of a plain service and the daemons that send
// to it. The replica refuses requests that arrive while all its slots are
// taken. Requests on new connections may wait for a slot, those on kept
// connections may not.
type overload struct {
	rand    *rand.Rand
	slots   []time.Time
	service time.Duration
	pacer   *AdmissionPacer
	// pushedBack and busyUntil are each daemon's view of the replica.
	pushedBack []int
	busyUntil  []time.Time
}

// route is the request stream of one route from all daemons.
type route struct {
	rank int
	// every is the mean time between two requests.
	every time.Duration
	// fresh requests use new connections.
	fresh bool

	asked, served, inTime int
}

// arrive passes one request through a daemon, and returns when it reaches the
// replica, if it is sent at all.
func (c *overload) arrive(now time.Time, daemon int, r *route) (at time.Time, sent, admitted bool) {
	if c.pacer == nil || !now.Before(c.busyUntil[daemon]) {
		return now, true, false
	}
	reservation := c.pacer.Admit(now, AdmissionRequest{Slots: len(c.slots), Rank: r.rank, PushedBack: c.pushedBack[daemon], Deadline: now.Add(target / 4)})
	c.pushedBack[daemon] = 0
	if reservation.At.After(now) {
		c.busyUntil[daemon] = now.Add(3 * time.Second)
	}
	return reservation.At, reservation.Reserved, true
}

// deliver makes the replica serve or refuse a request.
func (c *overload) deliver(s delivery) {
	at, daemon, r := s.at, s.daemon, s.route
	slices.SortFunc(c.slots, time.Time.Compare)
	wait := c.slots[0].Sub(at)
	maxWait := time.Duration(0)
	if r.fresh {
		maxWait = 200 * time.Millisecond
	}
	if wait > maxWait {
		if s.admitted {
			c.pushedBack[daemon]++
		}
		c.busyUntil[daemon] = at.Add(3 * time.Second)
		return
	}
	r.served++
	took := c.service/2 + time.Duration(c.rand.Int64N(int64(c.service)))
	if s.admitted && max(0, wait)+took > c.service/2+target/2 {
		c.pushedBack[daemon]++
	}
	if at.Sub(s.arrived)+max(0, wait)+took <= target {
		r.inTime++
	}
	c.slots[0] = latest(at, c.slots[0]).Add(took)
}

type delivery struct {
	at     time.Time
	daemon int
	route  *route
	// admitted is true if the pacer has admitted it.
	admitted bool
	arrived  time.Time
}

// run simulates the daemons for a duration.
func (c *overload) run(daemons int, d time.Duration, rs []*route) {
	c.pushedBack, c.busyUntil = make([]int, daemons), make([]time.Time, daemons)
	var arrivals, sent []delivery
	for _, r := range rs {
		for at := start; at.Before(start.Add(d)); at = at.Add(time.Duration(c.rand.ExpFloat64() * float64(r.every))) {
			arrivals = append(arrivals, delivery{at: at, daemon: c.rand.IntN(daemons), route: r})
		}
	}
	byTime := func(a, b delivery) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.daemon, b.daemon)) }
	slices.SortStableFunc(arrivals, byTime)
	for _, s := range arrivals {
		for len(sent) > 0 && !sent[0].at.After(s.at) {
			c.deliver(sent[0])
			sent = sent[1:]
		}
		s.route.asked++
		at, ok, admitted := c.arrive(s.at, s.daemon, s.route)
		if ok {
			sent = append(sent, delivery{at, s.daemon, s.route, admitted, s.at})
			slices.SortStableFunc(sent, byTime)
		}
	}
}

func (r *route) share() float64 { return float64(r.served) / float64(r.asked) }

// Guards against routes that are hardly ever served after a plain service has
// lost most of its replicas: 83 daemons send up to four times the load that the
// remaining replica can serve, and urgent requests use new connections, which
// the replica prefers.
func TestLostReplicasStarveNoRoute(t *testing.T) {
	const service, slots = 50 * time.Millisecond, 6
	capacity := float64(slots) / service.Seconds()
	cases := map[string]struct {
		load float64
	}{
		"1.2 times the capacity": {1.2},
		"2.5 times the capacity": {2.5},
		"4 times the capacity":   {4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := &overload{rand: rand.New(rand.NewPCG(1, 1)), slots: make([]time.Time, slots), service: service, pacer: &AdmissionPacer{}}
			each := func(share float64) time.Duration {
				return time.Duration(float64(time.Second) / (share * tc.load * capacity))
			}
			urgent := &route{rank: 1, every: each(0.55), fresh: true}
			lookup := &route{rank: 2, every: each(0.3)}
			added := &route{rank: 3, every: each(0.15)}
			rs := []*route{urgent, lookup, added}
			c.run(83, 40*time.Second, rs)
			served, asked, inTime := 0, 0, 0
			for _, r := range rs {
				served, asked, inTime = served+r.served, asked+r.asked, inTime+r.inTime
			}
			all := float64(served) / float64(asked)
			t.Logf("served %.2f: urgent %.2f, lookups %.2f, added %.2f, of capacity %.2f, in time %.2f", all, urgent.share(), lookup.share(), added.share(), float64(served)/40/capacity, float64(inTime)/float64(served))
			for _, r := range []*route{lookup, added} {
				assert.Assert(t, r.share() >= urgent.share()/4, "rank %d is served %.2f, the most urgent %.2f", r.rank, r.share(), urgent.share())
				assert.Assert(t, r.share() <= urgent.share()+0.05, "rank %d is served %.2f, the most urgent %.2f", r.rank, r.share(), urgent.share())
			}
			assert.Assert(t, float64(served)/40 >= 0.8*capacity, "%.0f requests a second of %.0f", float64(served)/40, capacity)
		})
	}
}
