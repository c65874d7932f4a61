package pace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// target is within when operators want the answers.
const target = 200 * time.Millisecond

// crowd is one replica of a plain service and the daemons that send to it. The
// replica refuses what arrives while all its slots are taken; requests on new
// connections are let in before those on kept ones.
type crowd struct {
	rand    *rand.Rand
	slots   []time.Time
	service time.Duration
	door    *Door
	// pressed and busyUntil are what each daemon knows of the replica.
	pressed   []int
	busyUntil []time.Time
}

// route is a stream of requests from all daemons.
type route struct {
	rank int
	// every is the mean time between two requests.
	every time.Duration
	// fresh requests come on new connections.
	fresh bool

	asked, served, inTime int
}

// arrive sends one request through a daemon, and returns when it reaches the
// replica, if it is sent at all.
func (c *crowd) arrive(now time.Time, daemon int, r *route) (at time.Time, sent, entered bool) {
	if c.door == nil || !now.Before(c.busyUntil[daemon]) {
		return now, true, false
	}
	turn := c.door.Enter(now, AdmissionRequest{Slots: len(c.slots), Rank: r.rank, PushedBack: c.pressed[daemon], Deadline: now.Add(target / 4)})
	c.pressed[daemon] = 0
	if turn.At.After(now) {
		c.busyUntil[daemon] = now.Add(3 * time.Second)
	}
	return turn.At, turn.Reserved, true
}

// take lets the replica take a request, or refuse it.
func (c *crowd) take(s sending) {
	at, daemon, r := s.at, s.daemon, s.route
	slices.SortFunc(c.slots, time.Time.Compare)
	wait := c.slots[0].Sub(at)
	most := time.Duration(0)
	if r.fresh {
		most = 200 * time.Millisecond
	}
	if wait > most {
		if s.entered {
			c.pressed[daemon]++
		}
		c.busyUntil[daemon] = at.Add(3 * time.Second)
		return
	}
	r.served++
	took := c.service/2 + time.Duration(c.rand.Int64N(int64(c.service)))
	if s.entered && max(0, wait)+took > c.service/2+target/2 {
		c.pressed[daemon]++
	}
	if at.Sub(s.arrived)+max(0, wait)+took <= target {
		r.inTime++
	}
	c.slots[0] = latest(at, c.slots[0]).Add(took)
}

type sending struct {
	at     time.Time
	daemon int
	route  *route
	// entered is true if the door has let it in.
	entered bool
	arrived time.Time
}

// play lets daemons send for a while.
func (c *crowd) play(daemons int, d time.Duration, rs []*route) {
	c.pressed, c.busyUntil = make([]int, daemons), make([]time.Time, daemons)
	var arrivals, sent []sending
	for _, r := range rs {
		for at := start; at.Before(start.Add(d)); at = at.Add(time.Duration(c.rand.ExpFloat64() * float64(r.every))) {
			arrivals = append(arrivals, sending{at: at, daemon: c.rand.IntN(daemons), route: r})
		}
	}
	byTime := func(a, b sending) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.daemon, b.daemon)) }
	slices.SortStableFunc(arrivals, byTime)
	for _, s := range arrivals {
		for len(sent) > 0 && !sent[0].at.After(s.at) {
			c.take(sent[0])
			sent = sent[1:]
		}
		s.route.asked++
		at, ok, entered := c.arrive(s.at, s.daemon, s.route)
		if ok {
			sent = append(sent, sending{at, s.daemon, s.route, entered, s.at})
			slices.SortStableFunc(sent, byTime)
		}
	}
}

func (r *route) share() float64 { return float64(r.served) / float64(r.asked) }

// Guards against routes that are hardly ever served while a plain service has lost
// most of its replicas: 83 daemons, up to four times the load that the one that is
// left can do, and urgent requests on new connections, which it prefers.
func TestLostReplicasStarveNoRoute(t *testing.T) {
	const service, slots = 50 * time.Millisecond, 6
	capacity := float64(slots) / service.Seconds()
	cases := map[string]struct {
		load float64
	}{
		"a little too much": {1.2},
		"far too much":      {2.5},
		"four times":        {4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := &crowd{rand: rand.New(rand.NewPCG(1, 1)), slots: make([]time.Time, slots), service: service, door: &Door{}}
			each := func(share float64) time.Duration {
				return time.Duration(float64(time.Second) / (share * tc.load * capacity))
			}
			urgent := &route{rank: 1, every: each(0.55), fresh: true}
			lookup := &route{rank: 2, every: each(0.3)}
			added := &route{rank: 3, every: each(0.15)}
			rs := []*route{urgent, lookup, added}
			c.play(83, 40*time.Second, rs)
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
			assert.Assert(t, float64(served)/40 >= 0.8*capacity, "%.0f a second of %.0f", float64(served)/40, capacity)
		})
	}
}
