package witness_test

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fataler is the common interface of *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one process run of a daemon. Its state machine holds only the witness
// set.
type node struct {
	w          *witness.Witness
	name       ident.Daemon
	applied    uint64
	witnesses  witness.Witnesses
	wantsRead  bool
	wantsNoop  bool
	superseded bool
}

// packet is a request or response in transit. The response goes back to the run
// that sent the request.
type packet struct {
	from *node
	to   ident.Daemon
	req  witness.Request
	resp *witness.Response
	// due is when run delivers it.
	due time.Time
}

// cluster runs daemons over a simulated network.
type cluster struct {
	t       fataler
	now     time.Time
	rand    *rand.Rand
	names   []ident.Daemon
	nodes   map[ident.Daemon]*node
	log     []entry.Entry
	packets []packet
	// visible records the highest index that any run has found visible, and
	// when.
	visible   []visibleAt
	sent      int
	answering packet
	// drop reports whether a packet is lost; nil loses none.
	drop func(packet) bool
	// delay returns how long a packet is in transit; nil makes it 0.
	delay func(now time.Time, p packet) time.Duration
	// follows reports whether a daemon is a follower; nil makes none a
	// follower.
	follows func(ident.Daemon) bool
}

type visibleAt struct {
	at    time.Time
	index uint64
}

func newCluster(t fataler, n int) *cluster { return newClusterOf(t, n, nil) }

// newClusterOf returns a cluster in which some daemons are followers.
func newClusterOf(t fataler, n int, follows func(ident.Daemon) bool) *cluster {
	c := &cluster{
		follows: follows,
		t:       t, now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(1, 2)),
		nodes: map[ident.Daemon]*node{},
	}
	for i := range n {
		c.names = append(c.names, daemonName(i))
	}
	for _, d := range c.names {
		c.start(d)
	}
	return c
}

func daemonName(i int) ident.Daemon { return ident.Daemon(fmt.Sprintf("d%02d", i)) }

// start begins a new run of d with empty memory.
func (c *cluster) start(d ident.Daemon) *node {
	c.now = c.now.Add(time.Millisecond)
	n := &node{name: d}
	n.w = witness.New(c.now, witness.Config{
		Self: d, Incarnation: ident.Incarnation(c.now.UnixMilli()) << 16, Rand: c.rand,
		Follower: c.follows != nil && c.follows(d),
	})
	c.nodes[d] = n
	c.step(n, witness.Peers{Daemons: c.names})
	return n
}

func (c *cluster) step(n *node, ev witness.Event) {
	c.t.Helper()
	if c.nodes[n.name] != n || n.superseded {
		return
	}
	before := n.w.Applied()
	for _, eff := range n.w.Step(c.now, ev) {
		c.applyEffect(n, eff)
	}
	if n.w.Applied() < before {
		c.t.Fatalf("%s: applied index fell from %d to %d", n.name, before, n.w.Applied())
	}
	c.checkFreshness(n)
	c.checkConfirmation(n)
}

func (c *cluster) applyEffect(n *node, eff witness.Effect) {
	switch eff := eff.(type) {
	case witness.Send:
		c.sent++
		c.post(packet{from: n, to: eff.To, req: eff.Request})
	case witness.Reply:
		resp := eff.Response
		if eff.WithSnapshot {
			resp.Snapshot = witness.Snapshot{Index: n.applied}
		}
		p := c.answering
		p.resp = &resp
		c.post(p)
	case witness.Apply:
		for _, e := range eff.Entries {
			if e.Index != n.applied+1 {
				c.t.Fatalf("%s: applied entry %d after %d", n.name, e.Index, n.applied)
			}
			n.apply(e)
		}
		c.step(n, witness.Applied{Index: n.applied, Witnesses: n.witnesses})
	case witness.Install:
		n.applied, n.witnesses = 0, witness.Witnesses{}
		for _, e := range c.log[:eff.Snapshot.Index] {
			n.apply(e)
		}
		c.step(n, witness.Applied{Index: n.applied, Witnesses: n.witnesses})
	case witness.Visible:
		if len(c.visible) == 0 || c.visible[len(c.visible)-1].index < eff.Index {
			c.visible = append(c.visible, visibleAt{c.now, eff.Index})
		}
	case witness.ReadWanted:
		n.wantsRead = true
	case witness.NoopWanted:
		n.wantsNoop = true
	case witness.Superseded:
		n.superseded = true
	}
}

// post adds a packet to the network.
func (c *cluster) post(p packet) {
	p.due = c.now
	if c.delay != nil {
		p.due = c.now.Add(c.delay(c.now, p))
	}
	c.packets = append(c.packets, p)
}

func (n *node) apply(e entry.Entry) {
	n.applied = e.Index
	if len(e.Data) == 0 || e.Data[0] == 0 {
		return
	}
	var set []ident.Daemon
	for _, d := range strings.Split(string(e.Data), " ") {
		set = append(set, ident.Daemon(d))
	}
	n.witnesses = witness.NewWitnesses(n.witnesses.Current(), set, e.Index)
}

// checkFreshness fails if n takes work without having applied an entry that was
// visible before the poll that confirmed its freshness was sent.
func (c *cluster) checkFreshness(n *node) {
	c.t.Helper()
	if !n.w.FreshUntil().After(c.now) {
		return
	}
	polledAt := n.w.FreshUntil().Add(-witness.FreshFor)
	for _, a := range c.visible {
		if a.at.Before(polledAt) && n.applied < a.index {
			c.t.Fatalf("%s is fresh with applied index %d, but %d was visible before it polled", n.name, n.applied, a.index)
		}
	}
}

// checkConfirmation fails if n lacks an entry that was visible before its
// confirmation.
func (c *cluster) checkConfirmation(n *node) {
	c.t.Helper()
	i, _ := slices.BinarySearchFunc(c.visible, n.applied+1, func(v visibleAt, index uint64) int { return cmp.Compare(v.index, index) })
	if i == len(c.visible) {
		return
	}
	if at := n.w.ConfirmedAt(c.now); c.visible[i].at.Before(at) {
		c.t.Fatalf("%s is confirmed at %s with applied index %d, but %d was visible at %s", n.name, at, n.applied, c.visible[i].index, c.visible[i].at)
	}
}

// commit appends an entry, which changes the witness set if one is given, and
// delivers it to the daemons in at.
func (c *cluster) commit(set []ident.Daemon, at ...ident.Daemon) {
	var data []string
	for _, d := range set {
		data = append(data, string(d))
	}
	c.log = append(c.log, entry.Entry{
		Index: uint64(len(c.log) + 1), Term: 1, Kind: entry.Command, Data: []byte(strings.Join(data, " ")),
	})
	for _, d := range at {
		c.catchUp(d)
	}
}

// commitBytes appends an entry of that size, which changes no witness, and delivers it
// to the daemons in at.
func (c *cluster) commitBytes(size int, at ...ident.Daemon) {
	c.log = append(c.log, entry.Entry{Index: uint64(len(c.log) + 1), Term: 1, Kind: entry.Command, Data: make([]byte, size)})
	for _, d := range at {
		c.catchUp(d)
	}
}

// catchUp delivers all committed entries to the daemon.
func (c *cluster) catchUp(d ident.Daemon) {
	n := c.nodes[d]
	c.step(n, witness.Committed{Entries: c.log[n.applied:]})
}

// answerRead answers a linearizable read that the daemon has requested.
func (c *cluster) answerRead(d ident.Daemon) {
	n := c.nodes[d]
	if n.wantsRead {
		n.wantsRead = false
		c.step(n, witness.LinearizableRead{Index: uint64(len(c.log))})
	}
}

// answerNoop commits an entry if d has requested a no-op.
func (c *cluster) answerNoop(d ident.Daemon) {
	if n := c.nodes[d]; n.wantsNoop {
		n.wantsNoop = false
		c.commit(nil, d)
	}
}

// deliver transmits packet i and removes it from the network, unless keep is
// set.
func (c *cluster) deliver(i int, keep bool) {
	p := c.packets[i]
	if !keep {
		c.packets = append(c.packets[:i:i], c.packets[i+1:]...)
	}
	c.transmit(p)
}

// transmit delivers p to its receiver, unless it is dropped.
func (c *cluster) transmit(p packet) {
	if c.drop != nil && c.drop(p) {
		return
	}
	if p.resp != nil {
		c.step(p.from, witness.ResponseReceived{Response: *p.resp})
		return
	}
	if to := c.nodes[p.to]; to != nil {
		c.answering = p
		c.step(to, witness.RequestReceived{Request: p.req})
	}
}

// run advances the time by d and delivers the packets that are due. No-op requests
// are answered.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		for _, name := range c.names {
			c.step(c.nodes[name], witness.Tick{})
			c.answerNoop(name)
		}
		for range 4 {
			packets := c.packets
			c.packets = nil
			for _, p := range packets {
				if p.due.After(c.now) {
					c.packets = append(c.packets, p)
					continue
				}
				c.transmit(p)
			}
		}
	}
}

// form starts a cluster in which all daemons are witnesses and the first one is
// the leader.
func (c *cluster) form() {
	c.commit(c.names, c.names[0])
	c.step(c.nodes[c.names[0]], witness.Leading{On: true})
	c.run(600 * time.Millisecond)
	for _, d := range c.names {
		c.answerRead(d)
	}
	c.run(1400 * time.Millisecond)
}
