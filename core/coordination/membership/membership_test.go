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

// fleet runs daemons over a network that loses a share of the messages.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	members map[string]*Membership
	// addresses are the keys of members in order of start; dead ones stay.
	addresses []string
	// lossPercent is the share of messages lost.
	lossPercent int
	// cut tells whether messages from one address to another are lost.
	cut             func(from, to string) bool
	messages, bytes int
	probes          int
	superseded      map[string]bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(3, 4)),
		members: map[string]*Membership{}, superseded: map[string]bool{},
	}
	for i := range n {
		f.start(fmt.Sprintf("d%03d", i), fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	return f
}

func (f *fleet) start(name, address string) *Membership {
	return f.startAs(name, address, ident.Incarnation(f.now.UnixMilli())<<16)
}

func (f *fleet) startAs(name, address string, inc ident.Incarnation) *Membership {
	m := New(f.now, Config{
		Own: Daemon{
			Name: ident.Daemon(name), Version: Version{Incarnation: inc},
			Peer: address, Caller: address, Operator: address, DataCentre: "glyfada",
		},
		Seeds: []string{"127.0.0.1:1000", "127.0.0.1:1001"},
		Rand:  f.rand,
	})
	if f.members[address] == nil {
		f.addresses = append(f.addresses, address)
	}
	f.members[address] = m
	return m
}

func (f *fleet) lost(from, to string) bool {
	return f.members[to] == nil || f.rand.IntN(100) < f.lossPercent || f.cut != nil && f.cut(from, to)
}

// step gives ev to the member at address and carries out what follows.
func (f *fleet) step(address string, ev Event) []Effect {
	m := f.members[address]
	effects := m.Step(f.now, ev)
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Send:
			f.exchange(address, eff)
		case ProbeNewConnection:
			f.probes++
			f.step(address, ProbeResult{Daemon: eff.Daemon, OK: !f.lost(address, eff.Address)})
		case Superseded:
			f.superseded[address] = true
		}
	}
	return effects
}

func (f *fleet) exchange(from string, s Send) {
	f.messages++
	f.bytes += requestBytes(s.Request)
	if f.lost(from, s.Address) {
		if s.To != "" {
			f.step(from, CallFailed{Daemon: s.To})
		}
		return
	}
	for _, eff := range f.step(s.Address, RequestReceived{Request: s.Request}) {
		if reply, ok := eff.(Reply); ok && !f.lost(s.Address, from) {
			f.messages++
			f.bytes += responseBytes(reply.Response)
			f.step(from, ResponseReceived{Response: reply.Response})
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

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for _, a := range f.addresses {
			if f.members[a] != nil {
				f.step(a, Tick{})
			}
		}
	}
}

func engine(name string, sequence uint64) Upstream {
	return Upstream{
		Name: ident.Upstream(name), Version: Version{Incarnation: 1, Sequence: sequence}, Kind: Engine,
		Model: "base", Address: "127.0.0.1:9", DataCentre: "glyfada", Slots: 8, MaxBatch: 16,
	}
}

// knowing counts the members for which ok holds of the upstream's record.
func (f *fleet) knowing(name ident.Upstream, ok func(Upstream) bool) int {
	n := 0
	for _, a := range f.addresses {
		if f.members[a] == nil {
			continue
		}
		for _, u := range f.members[a].Upstreams() {
			if u.Name == name && ok(u) {
				n++
			}
		}
	}
	return n
}

func TestEverybodyKnownInTwoSeconds(t *testing.T) {
	f := newFleet(11)
	f.lossPercent = 10
	f.run(2 * time.Second)
	for _, a := range f.addresses {
		assert.Equal(t, len(f.members[a].Daemons()), 11, a)
	}
}

func TestAnnouncementAndLeavingSpread(t *testing.T) {
	for name, n := range map[string]int{"today": 11, "hundred": 100} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(n)
			f.lossPercent = 5
			f.run(4 * time.Second)
			f.step(f.addresses[3], Announce{Upstream: engine("e1", 1)})
			f.run(2 * time.Second)
			assert.Equal(t, f.knowing("e1", func(Upstream) bool { return true }), n)
			leaving := engine("e1", 2)
			leaving.Leaving = true
			f.step(f.addresses[7], Announce{Upstream: leaving})
			f.run(2 * time.Second)
			assert.Equal(t, f.knowing("e1", func(u Upstream) bool { return u.Leaving }), n)
		})
	}
}

func TestUnrefreshedUpstreamExpires(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	f.step(f.addresses[0], Announce{Upstream: engine("e1", 1)})
	f.run(2 * time.Second)
	assert.Equal(t, f.knowing("e1", func(Upstream) bool { return true }), 5)
	f.run(12 * time.Second)
	assert.Equal(t, f.knowing("e1", func(Upstream) bool { return true }), 0)
}

func TestLoadIsHeldBackAndSpreadLater(t *testing.T) {
	f := newFleet(3)
	f.run(2 * time.Second)
	f.step(f.addresses[0], Announce{Upstream: engine("e1", 1)})
	busy := engine("e1", 2)
	busy.InFlight = 7
	f.step(f.addresses[0], Announce{Upstream: busy})
	isBusy := func(u Upstream) bool { return u.InFlight == 7 }
	assert.Equal(t, f.knowing("e1", isBusy), 1, "the daemon that heard it uses it at once")
	f.run(3 * time.Second)
	assert.Equal(t, f.knowing("e1", isBusy), 3)
}

func TestClockRanBackwards(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	m := f.startAs("d004", "127.0.0.1:1004", 1)
	before, _ := f.members[f.addresses[0]].Daemon("d004")
	f.run(2 * time.Second)
	after, _ := f.members[f.addresses[0]].Daemon("d004")
	assert.Assert(t, after.Version.Incarnation > before.Version.Incarnation)
	assert.Equal(t, after.Version.Incarnation, m.Own().Version.Incarnation)
	assert.Assert(t, !f.superseded["127.0.0.1:1004"])
}

// TestLeavingIsNotUndone has a daemon miss that an upstream leaves, and come
// back with its older record.
func TestLeavingIsNotUndone(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	f.step(f.addresses[0], Announce{Upstream: engine("e1", 1)})
	f.run(2 * time.Second)
	f.cut = func(from, to string) bool { return from == f.addresses[4] || to == f.addresses[4] }
	leaving := engine("e1", 2)
	leaving.Leaving = true
	f.step(f.addresses[0], Announce{Upstream: leaving})
	f.run(time.Second)
	f.cut = nil
	f.run(3 * time.Second)
	assert.Equal(t, f.knowing("e1", func(u Upstream) bool { return u.Leaving }), 5)
}

func TestLaterRunOfTheSameNameWins(t *testing.T) {
	f := newFleet(5)
	f.run(settleTime + 2*time.Second)
	f.start("d004", "127.0.0.1:2000")
	f.run(2 * time.Second)
	assert.Assert(t, f.superseded["127.0.0.1:1004"])
	for _, a := range f.addresses[:4] {
		d, ok := f.members[a].Daemon("d004")
		assert.Assert(t, ok)
		assert.Equal(t, d.Peer, "127.0.0.1:2000")
	}
}

func TestSilenceIsNotDeath(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	f.step(f.addresses[0], CallFailed{Daemon: "d004"})
	assert.Equal(t, f.probes, 1)
	assert.Equal(t, len(f.members[f.addresses[0]].AdvertisedDaemons()), 5, "the new connection worked")
}

func TestDeadDaemonIsFoundByAll(t *testing.T) {
	f := newFleet(11)
	f.run(3 * time.Second)
	f.members["127.0.0.1:1010"] = nil
	f.run(3 * time.Second)
	for _, a := range f.addresses[:10] {
		assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 10, a)
	}
	f.start("d010", "127.0.0.1:1010")
	f.run(3 * time.Second)
	for _, a := range f.addresses {
		assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 11, a)
	}
}

func TestOneSidedFaultConvincesNobodyElse(t *testing.T) {
	f := newFleet(5)
	f.run(3 * time.Second)
	f.cut = func(from, to string) bool { return from == f.addresses[0] && to == f.addresses[4] }
	for range 60 {
		f.run(50 * time.Millisecond)
		for _, a := range f.addresses[1:] {
			assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 5, a)
		}
	}
}

func TestShortCutHeals(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	f.cut = func(from, to string) bool { return from == f.addresses[4] || to == f.addresses[4] }
	f.run(2 * time.Second)
	assert.Equal(t, len(f.members[f.addresses[0]].AdvertisedDaemons()), 4)
	f.cut = nil
	f.run(3 * time.Second)
	for _, a := range f.addresses {
		assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 5, a)
	}
}

func TestExpiredIsNotTaken(t *testing.T) {
	f := newFleet(2)
	u := engine("e1", 1)
	u.Deadline = f.now
	f.step(f.addresses[0], RequestReceived{Request: Request{From: "d001", Incarnation: 1, Records: []Record{{Upstream: &u}}}})
	assert.Equal(t, len(f.members[f.addresses[0]].Upstreams()), 0)
}

func TestMessagesAreBounded(t *testing.T) {
	f := newFleet(2)
	f.run(2 * time.Second)
	for i := range 200 {
		f.step(f.addresses[0], Announce{Upstream: engine(fmt.Sprintf("e%03d", i), 1)})
	}
	sent := 0
	for range 20 {
		for _, eff := range f.step(f.addresses[0], Tick{}) {
			if s, ok := eff.(Send); ok {
				sent += len(s.Request.Records)
				assert.Assert(t, recordBytes(s.Request.Records) <= batchBytes)
			}
		}
		f.now = f.now.Add(50 * time.Millisecond)
	}
	assert.Assert(t, sent >= 200)
}

func TestDrainingIsLeftOutOfAddresses(t *testing.T) {
	f := newFleet(5)
	f.run(2 * time.Second)
	f.step(f.addresses[2], Drain{ReachableUntil: f.now.Add(time.Minute)})
	f.run(2 * time.Second)
	for _, a := range f.addresses {
		assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 4, a)
		assert.Equal(t, len(f.members[a].Daemons()), 5, a)
	}
}

// TestPartitionHeals cuts the fleet in two until each half has forgotten the
// other, as far as records go; the addresses of the settings mend it.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(6)
	f.run(2 * time.Second)
	half := func(a string) bool { return a < "127.0.0.1:1001" || a > "127.0.0.1:1004" }
	f.cut = func(from, to string) bool { return half(from) != half(to) }
	f.run(30 * time.Second)
	assert.Equal(t, len(f.members[f.addresses[0]].Daemons()), 2)
	f.cut = nil
	f.run(3 * time.Second)
	for _, a := range f.addresses {
		assert.Equal(t, len(f.members[a].AdvertisedDaemons()), 6, a)
	}
}

// known names an upstream's record at one run of a daemon.
type known struct {
	at   *Membership
	name ident.Upstream
}

func (f *fleet) versions() map[known]Version {
	out := map[known]Version{}
	for _, a := range f.addresses {
		for _, u := range f.members[a].Upstreams() {
			out[known{f.members[a], u.Name}] = u.Version
		}
	}
	return out
}

// TestNewestVersionWins compares tables with a map that keeps the greatest
// version, whatever order announcements come in and whatever is lost.
func TestNewestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		f.lossPercent = rapid.IntRange(0, 40).Draw(t, "loss")
		want := map[ident.Upstream]Version{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			u := engine(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "name")), rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			u.Version.Incarnation = ident.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
			u.Leaving = rapid.Bool().Draw(t, "leaving")
			u.Deadline = f.now.Add(time.Hour)
			if u.Version.Compare(want[u.Name]) > 0 {
				want[u.Name] = u.Version
			}
			f.step(rapid.SampledFrom(f.addresses).Draw(t, "at"), Announce{Upstream: u})
			before := f.versions()
			f.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			for at, v := range f.versions() {
				assert.Assert(t, v.Compare(before[at]) >= 0, "%v went back", at)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, 3).Draw(t, "who")
				f.now = f.now.Add(time.Millisecond)
				f.start(fmt.Sprintf("d%03d", i), f.addresses[i])
			}
		}
		f.lossPercent = 0
		for name, v := range want {
			// What only a daemon that restarted had heard, the upstream repeats.
			u := engine(string(name), v.Sequence+1)
			u.Version.Incarnation = v.Incarnation
			u.Deadline = f.now.Add(time.Hour)
			want[name] = u.Version
			f.step(f.addresses[0], Announce{Upstream: u})
		}
		f.run(5 * time.Second)
		for _, a := range f.addresses {
			for _, u := range f.members[a].Upstreams() {
				assert.Equal(t, u.Version, want[u.Name], "%s at %s", u.Name, a)
			}
			assert.Equal(t, len(f.members[a].Upstreams()), len(want))
		}
	})
}

// acquaint lets all know all, with refreshes spread as after a long run.
func (f *fleet) acquaint() {
	for _, a := range f.addresses {
		m := f.members[a]
		for _, b := range f.addresses {
			own := f.members[b].own
			own.Deadline = f.now.Add(time.Hour)
			m.put(f.now, Record{Daemon: &own})
		}
		for _, it := range m.table.items {
			it.sends = 0
		}
		m.table.rumours = nil
		m.refreshAt = f.now.Add(time.Duration(f.rand.Int64N(int64(m.refresh()))))
	}
}

// TestCost counts what a daemon sends in the steady state, as daemons grow.
// The bound on bytes is half of a node's budget for all of control.
func TestCost(t *testing.T) {
	for name, n := range map[string]int{"11": 11, "100": 100, "520": 520} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(n)
			f.acquaint()
			f.run(2 * time.Second)
			f.messages, f.bytes = 0, 0
			f.run(4 * time.Second)
			messages := float64(f.messages) / 4 / float64(n)
			bytes := float64(f.bytes) / 4 / float64(n)
			t.Logf("%.1f messages and %.0f bytes a second per daemon", messages, bytes)
			assert.Assert(t, messages <= 22, "%.1f", messages)
			assert.Assert(t, bytes <= 7_000, "%.0f", bytes)
		})
	}
}

// TestLateJoinerLearnsAtOnce answers a daemon of a large fleet that was killed
// and comes back, such as the placer: it must not work for seconds with what
// rumours happen to bring.
func TestLateJoinerLearnsAtOnce(t *testing.T) {
	f := newFleet(100)
	for i := range 150 {
		u := Upstream{
			Name: ident.Upstream(fmt.Sprintf("u%03d", i)), Version: Version{Incarnation: 1, Sequence: 1}, Kind: Routed,
			Service: "s", Address: fmt.Sprintf("127.0.0.2:%d", 1000+i), DataCentre: "glyfada", Deadline: f.now.Add(time.Hour),
		}
		f.step(f.addresses[i%len(f.addresses)], Announce{Upstream: u})
	}
	run := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.now = f.now.Add(25 * time.Millisecond)
			for _, a := range f.addresses {
				f.step(a, Tick{})
			}
		}
	}
	run(30 * time.Second)
	m := f.start("d050", "127.0.0.1:1050")
	run(700 * time.Millisecond)
	assert.Assert(t, len(m.Daemons()) >= 95, "knows %d daemons", len(m.Daemons()))
	assert.Assert(t, len(m.Upstreams()) >= 145, "knows %d upstreams", len(m.Upstreams()))
}
