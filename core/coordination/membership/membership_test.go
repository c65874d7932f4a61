package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"papayaspoke/core/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testCluster simulates daemons on a network that loses a share of the
// messages.
type testCluster struct {
	now     time.Time
	rand    *rand.Rand
	members map[string]*Membership
	// addresses are the keys of members in order of start, including dead ones.
	addresses []string
	// lossPercent is the percentage of messages that are lost.
	lossPercent int
	// blocked reports whether all messages from one address to another are lost.
	blocked         func(from, to string) bool
	messages, bytes int
	probes          int
	superseded      map[string]bool
}

func newTestCluster(n int) *testCluster {
	c := &testCluster{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(3, 4)),
		members: map[string]*Membership{}, superseded: map[string]bool{},
	}
	for i := range n {
		c.start(fmt.Sprintf("d%03d", i), fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	return c
}

func (c *testCluster) start(name, address string) *Membership {
	return c.startAs(name, address, ident.Incarnation(c.now.UnixMilli())<<16)
}

func (c *testCluster) startAs(name, address string, inc ident.Incarnation) *Membership {
	m := New(c.now, Config{
		Own: Daemon{
			Name: ident.Daemon(name), Version: Version{Incarnation: inc},
			Peer: address, Caller: address, Operator: address, DataCentre: "glyfada",
		},
		Seeds: []string{"127.0.0.1:1000", "127.0.0.1:1001"},
		Rand:  c.rand,
	})
	if c.members[address] == nil {
		c.addresses = append(c.addresses, address)
	}
	c.members[address] = m
	return m
}

func (c *testCluster) dropped(from, to string) bool {
	return c.members[to] == nil || c.rand.IntN(100) < c.lossPercent || c.blocked != nil && c.blocked(from, to)
}

// step passes ev to the member at address and carries out the effects.
func (c *testCluster) step(address string, ev Event) []Effect {
	m := c.members[address]
	effects := m.Step(c.now, ev)
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Send:
			c.exchange(address, eff)
		case ProbeNewConnection:
			c.probes++
			c.step(address, ProbeResult{Daemon: eff.Daemon, OK: !c.dropped(address, eff.Address)})
		case Superseded:
			c.superseded[address] = true
		}
	}
	return effects
}

func (c *testCluster) exchange(from string, s Send) {
	c.messages++
	c.bytes += requestBytes(s.Request)
	if c.dropped(from, s.Address) {
		if s.To != "" {
			c.step(from, CallFailed{Daemon: s.To})
		}
		return
	}
	for _, eff := range c.step(s.Address, RequestReceived{Request: s.Request}) {
		if reply, ok := eff.(Reply); ok && !c.dropped(s.Address, from) {
			c.messages++
			c.bytes += responseBytes(reply.Response)
			c.step(from, ResponseReceived{Response: reply.Response})
		}
	}
}

func requestBytes(r Request) int {
	return messageBytes + recordBytes(r.Records) + versionBytes*len(r.Versions) + 2*len(r.Buckets) + 24*len(r.Suspicions)
}

func responseBytes(r Response) int {
	return messageBytes + recordBytes(r.Records) + 8*len(r.Sums) + 20*len(r.Want) + 24*len(r.Suspicions)
}

func recordBytes(rs []Record) int {
	n := 0
	for _, r := range rs {
		n += r.size()
	}
	return n
}

func (c *testCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50 * time.Millisecond) {
		for _, a := range c.addresses {
			if c.members[a] != nil {
				c.step(a, Tick{})
			}
		}
	}
}

func newEngine(name string, sequence uint64) Upstream {
	return Upstream{
		Name: ident.Upstream(name), Version: Version{Incarnation: 1, Sequence: sequence}, Kind: Engine,
		Model: "base", Address: "127.0.0.1:9", DataCentre: "glyfada", Slots: 8, MaxBatch: 16,
	}
}

// countRecords returns how many members have a record of the upstream for which
// ok holds.
func (c *testCluster) countRecords(name ident.Upstream, ok func(Upstream) bool) int {
	n := 0
	for _, a := range c.addresses {
		if c.members[a] == nil {
			continue
		}
		for _, u := range c.members[a].Upstreams() {
			if u.Name == name && ok(u) {
				n++
			}
		}
	}
	return n
}

func TestJoinCompletesInTwoSeconds(t *testing.T) {
	c := newTestCluster(11)
	c.lossPercent = 10
	c.run(2 * time.Second)
	for _, a := range c.addresses {
		assert.Equal(t, len(c.members[a].Daemons()), 11, a)
	}
}

func TestAnnouncementAndLeavingSpread(t *testing.T) {
	for name, n := range map[string]int{"today": 11, "hundred": 100} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(n)
			c.lossPercent = 5
			c.run(4 * time.Second)
			c.step(c.addresses[3], Announce{Upstream: newEngine("e1", 1)})
			c.run(2 * time.Second)
			assert.Equal(t, c.countRecords("e1", func(Upstream) bool { return true }), n)
			leaving := newEngine("e1", 2)
			leaving.Leaving = true
			c.step(c.addresses[7], Announce{Upstream: leaving})
			c.run(2 * time.Second)
			assert.Equal(t, c.countRecords("e1", func(u Upstream) bool { return u.Leaving }), n)
		})
	}
}

func TestUnrefreshedUpstreamExpires(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	c.step(c.addresses[0], Announce{Upstream: newEngine("e1", 1)})
	c.run(2 * time.Second)
	assert.Equal(t, c.countRecords("e1", func(Upstream) bool { return true }), 5)
	c.run(12 * time.Second)
	assert.Equal(t, c.countRecords("e1", func(Upstream) bool { return true }), 0)
}

func TestLoadChangesAreDeferred(t *testing.T) {
	c := newTestCluster(3)
	c.run(2 * time.Second)
	c.step(c.addresses[0], Announce{Upstream: newEngine("e1", 1)})
	busy := newEngine("e1", 2)
	busy.InFlight = 7
	c.step(c.addresses[0], Announce{Upstream: busy})
	isBusy := func(u Upstream) bool { return u.InFlight == 7 }
	assert.Equal(t, c.countRecords("e1", isBusy), 1, "the daemon that received the announcement uses it at once")
	c.run(3 * time.Second)
	assert.Equal(t, c.countRecords("e1", isBusy), 3)
}

func TestClockRanBackwards(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	m := c.startAs("d004", "127.0.0.1:1004", 1)
	before, _ := c.members[c.addresses[0]].Daemon("d004")
	c.run(2 * time.Second)
	after, _ := c.members[c.addresses[0]].Daemon("d004")
	assert.Assert(t, after.Version.Incarnation > before.Version.Incarnation)
	assert.Equal(t, after.Version.Incarnation, m.Own().Version.Incarnation)
	assert.Assert(t, !c.superseded["127.0.0.1:1004"])
}

// TestLeavingIsNotUndone checks that the older record of a leaving upstream
// does not return with a daemon that was partitioned during the announcement.
func TestLeavingIsNotUndone(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	c.step(c.addresses[0], Announce{Upstream: newEngine("e1", 1)})
	c.run(2 * time.Second)
	c.blocked = func(from, to string) bool { return from == c.addresses[4] || to == c.addresses[4] }
	leaving := newEngine("e1", 2)
	leaving.Leaving = true
	c.step(c.addresses[0], Announce{Upstream: leaving})
	c.run(time.Second)
	c.blocked = nil
	c.run(3 * time.Second)
	assert.Equal(t, c.countRecords("e1", func(u Upstream) bool { return u.Leaving }), 5)
}

func TestLaterRunOfTheSameNameWins(t *testing.T) {
	c := newTestCluster(5)
	c.run(predecessorWindow + 2*time.Second)
	c.start("d004", "127.0.0.1:2000")
	c.run(2 * time.Second)
	assert.Assert(t, c.superseded["127.0.0.1:1004"])
	for _, a := range c.addresses[:4] {
		d, ok := c.members[a].Daemon("d004")
		assert.Assert(t, ok)
		assert.Equal(t, d.Peer, "127.0.0.1:2000")
	}
}

func TestSilenceIsNotDeath(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	c.step(c.addresses[0], CallFailed{Daemon: "d004"})
	assert.Equal(t, c.probes, 1)
	assert.Equal(t, len(c.members[c.addresses[0]].AdvertisedDaemons()), 5, "a daemon that answered over a new connection is excluded")
}

func TestDeadDaemonIsDetectedByAll(t *testing.T) {
	c := newTestCluster(11)
	c.run(3 * time.Second)
	c.members["127.0.0.1:1010"] = nil
	c.run(3 * time.Second)
	for _, a := range c.addresses[:10] {
		assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 10, a)
	}
	c.start("d010", "127.0.0.1:1010")
	c.run(3 * time.Second)
	for _, a := range c.addresses {
		assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 11, a)
	}
}

func TestOneSidedFaultConvincesNobodyElse(t *testing.T) {
	c := newTestCluster(5)
	c.run(3 * time.Second)
	c.blocked = func(from, to string) bool { return from == c.addresses[0] && to == c.addresses[4] }
	for range 60 {
		c.run(50 * time.Millisecond)
		for _, a := range c.addresses[1:] {
			assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 5, a)
		}
	}
}

func TestShortPartitionHeals(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	c.blocked = func(from, to string) bool { return from == c.addresses[4] || to == c.addresses[4] }
	c.run(2 * time.Second)
	assert.Equal(t, len(c.members[c.addresses[0]].AdvertisedDaemons()), 4)
	c.blocked = nil
	c.run(3 * time.Second)
	for _, a := range c.addresses {
		assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 5, a)
	}
}

func TestExpiredRecordIsRejected(t *testing.T) {
	c := newTestCluster(2)
	u := newEngine("e1", 1)
	u.Deadline = c.now
	c.step(c.addresses[0], RequestReceived{Request: Request{From: "d001", Incarnation: 1, Records: []Record{{Upstream: &u}}}})
	assert.Equal(t, len(c.members[c.addresses[0]].Upstreams()), 0)
}

func TestMessagesAreBounded(t *testing.T) {
	c := newTestCluster(2)
	c.run(2 * time.Second)
	for i := range 200 {
		c.step(c.addresses[0], Announce{Upstream: newEngine(fmt.Sprintf("e%03d", i), 1)})
	}
	sent := 0
	for range 20 {
		for _, eff := range c.step(c.addresses[0], Tick{}) {
			if s, ok := eff.(Send); ok {
				sent += len(s.Request.Records)
				assert.Assert(t, recordBytes(s.Request.Records) <= batchBytes)
			}
		}
		c.now = c.now.Add(50 * time.Millisecond)
	}
	assert.Assert(t, sent >= 200)
}

func TestDrainingIsExcludedFromAddresses(t *testing.T) {
	c := newTestCluster(5)
	c.run(2 * time.Second)
	c.step(c.addresses[2], Drain{ReachableUntil: c.now.Add(time.Minute)})
	c.run(2 * time.Second)
	for _, a := range c.addresses {
		assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 4, a)
		assert.Equal(t, len(c.members[a].Daemons()), 5, a)
	}
}

// TestPartitionHeals partitions the cluster until the records of the other side
// have expired on both sides. The configured seeds then rejoin the two sides.
func TestPartitionHeals(t *testing.T) {
	c := newTestCluster(6)
	c.run(2 * time.Second)
	side := func(a string) bool { return a < "127.0.0.1:1001" || a > "127.0.0.1:1004" }
	c.blocked = func(from, to string) bool { return side(from) != side(to) }
	c.run(30 * time.Second)
	assert.Equal(t, len(c.members[c.addresses[0]].Daemons()), 2)
	c.blocked = nil
	c.run(3 * time.Second)
	for _, a := range c.addresses {
		assert.Equal(t, len(c.members[a].AdvertisedDaemons()), 6, a)
	}
}

// recordAt identifies an upstream's record at one run of a daemon.
type recordAt struct {
	member *Membership
	name   ident.Upstream
}

func (c *testCluster) versions() map[recordAt]Version {
	out := map[recordAt]Version{}
	for _, a := range c.addresses {
		for _, u := range c.members[a].Upstreams() {
			out[recordAt{c.members[a], u.Name}] = u.Version
		}
	}
	return out
}

// TestNewestVersionWins compares the tables with a map that keeps the greatest
// version of each upstream. Announcements arrive in any order, messages are
// lost and daemons restart.
func TestNewestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(4)
		c.lossPercent = rapid.IntRange(0, 40).Draw(t, "loss")
		want := map[ident.Upstream]Version{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			u := newEngine(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "name")), rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			u.Version.Incarnation = ident.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
			u.Leaving = rapid.Bool().Draw(t, "leaving")
			u.Deadline = c.now.Add(time.Hour)
			if u.Version.Compare(want[u.Name]) > 0 {
				want[u.Name] = u.Version
			}
			c.step(rapid.SampledFrom(c.addresses).Draw(t, "at"), Announce{Upstream: u})
			before := c.versions()
			c.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			for at, v := range c.versions() {
				assert.Assert(t, v.Compare(before[at]) >= 0, "%v went back to an older version", at)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, 3).Draw(t, "who")
				c.now = c.now.Add(time.Millisecond)
				c.start(fmt.Sprintf("d%03d", i), c.addresses[i])
			}
		}
		c.lossPercent = 0
		for name, v := range want {
			// The upstream announces itself again, since the last announcement may
			// have reached only a daemon that restarted.
			u := newEngine(string(name), v.Sequence+1)
			u.Version.Incarnation = v.Incarnation
			u.Deadline = c.now.Add(time.Hour)
			want[name] = u.Version
			c.step(c.addresses[0], Announce{Upstream: u})
		}
		c.run(5 * time.Second)
		for _, a := range c.addresses {
			for _, u := range c.members[a].Upstreams() {
				assert.Equal(t, u.Version, want[u.Name], "%s at %s", u.Name, a)
			}
			assert.Equal(t, len(c.members[a].Upstreams()), len(want))
		}
	})
}

// shareAllRecords gives all members the records of all others, with refreshes
// spread as in the steady state.
func (c *testCluster) shareAllRecords() {
	for _, a := range c.addresses {
		m := c.members[a]
		for _, b := range c.addresses {
			own := c.members[b].own
			own.Deadline = c.now.Add(time.Hour)
			m.merge(c.now, Record{Daemon: &own})
		}
		for _, it := range m.table.items {
			it.sendsLeft = 0
		}
		m.table.rumours = nil
		m.refreshAt = c.now.Add(time.Duration(c.rand.Int64N(int64(m.refreshInterval()))))
	}
}

// TestCost measures what a daemon sends in the steady state for growing numbers
// of daemons. The limit on bytes is half of a node's budget for all control
// traffic.
func TestCost(t *testing.T) {
	for name, n := range map[string]int{"11": 11, "100": 100, "520": 520} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(n)
			c.shareAllRecords()
			c.run(2 * time.Second)
			c.messages, c.bytes = 0, 0
			c.run(4 * time.Second)
			messages := float64(c.messages) / 4 / float64(n)
			bytes := float64(c.bytes) / 4 / float64(n)
			t.Logf("%.1f messages and %.0f bytes a second per daemon", messages, bytes)
			assert.Assert(t, messages <= 22, "%.1f", messages)
			assert.Assert(t, bytes <= 7_000, "%.0f", bytes)
		})
	}
}

// TestLateJoinerSyncsAtOnce restarts a daemon of a large cluster, which may be
// the placer. With rumours alone it would work with an incomplete table for
// seconds, so it must get the whole table from its peers at once.
func TestLateJoinerSyncsAtOnce(t *testing.T) {
	c := newTestCluster(100)
	for i := range 150 {
		u := Upstream{
			Name: ident.Upstream(fmt.Sprintf("u%03d", i)), Version: Version{Incarnation: 1, Sequence: 1}, Kind: Routed,
			Service: "s", Address: fmt.Sprintf("127.0.0.2:%d", 1000+i), DataCentre: "glyfada", Deadline: c.now.Add(time.Hour),
		}
		c.step(c.addresses[i%len(c.addresses)], Announce{Upstream: u})
	}
	run := func(d time.Duration) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.now = c.now.Add(25 * time.Millisecond)
			for _, a := range c.addresses {
				c.step(a, Tick{})
			}
		}
	}
	run(30 * time.Second)
	m := c.start("d050", "127.0.0.1:1050")
	run(700 * time.Millisecond)
	assert.Assert(t, len(m.Daemons()) >= 95, "knows %d daemons", len(m.Daemons()))
	assert.Assert(t, len(m.Upstreams()) >= 145, "knows %d upstreams", len(m.Upstreams()))
}
