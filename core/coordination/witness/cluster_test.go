package witness_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
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

// fataler is what *testing.T and *rapid.T have in common.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one run of a daemon with a state machine that keeps only the set
// of witnesses.
type node struct {
	w         *witness.Witness
	name      ident.Daemon
	applied   uint64
	witnesses witness.Witnesses
	wantsRead bool
	wantsNoop bool
	ended     bool
}

// packet is an exchange under way. It goes from a run to a daemon and back to
// the same run.
type packet struct {
	from *node
	to   ident.Daemon
	req  witness.Request
	resp *witness.Response
}

// cluster drives witnesses over a network that the test controls.
type cluster struct {
	t       fataler
	now     time.Time
	rand    *rand.Rand
	names   []ident.Daemon
	nodes   map[ident.Daemon]*node
	log     []entry.Entry
	packets []packet
	// accepted is the greatest index that any run found visible, by time.
	accepted []acceptance
	sent     int
	replying packet
	// lose tells which packets are lost; nil for none.
	lose func(packet) bool
	// follows tells which daemons are content to follow; nil for none.
	follows func(ident.Daemon) bool
}

type acceptance struct {
	at    time.Time
	index uint64
}

func newCluster(t fataler, n int) *cluster { return newClusterOf(t, n, nil) }

// newClusterOf is newCluster with daemons that follow.
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

// start begins a new run of d, with an empty memory.
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
	if c.nodes[n.name] != n || n.ended {
		return
	}
	before := n.w.Applied()
	for _, eff := range n.w.Step(c.now, ev) {
		c.carryOut(n, eff)
	}
	if n.w.Applied() < before {
		c.t.Fatalf("%s: applied fell from %d to %d", n.name, before, n.w.Applied())
	}
	c.check(n)
}

func (c *cluster) carryOut(n *node, eff witness.Effect) {
	switch eff := eff.(type) {
	case witness.Send:
		c.sent++
		c.packets = append(c.packets, packet{from: n, to: eff.To, req: eff.Request})
	case witness.Reply:
		resp := eff.Response
		if eff.WithSnapshot {
			resp.Snapshot = witness.Snapshot{Index: n.applied}
		}
		p := c.replying
		p.resp = &resp
		c.packets = append(c.packets, p)
	case witness.Apply:
		for _, e := range eff.Entries {
			if e.Index != n.applied+1 {
				c.t.Fatalf("%s: entry %d after %d", n.name, e.Index, n.applied)
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
		if len(c.accepted) == 0 || c.accepted[len(c.accepted)-1].index < eff.Index {
			c.accepted = append(c.accepted, acceptance{c.now, eff.Index})
		}
	case witness.ReadWanted:
		n.wantsRead = true
	case witness.NoopWanted:
		n.wantsNoop = true
	case witness.Superseded:
		n.ended = true
	}
}

func (n *node) apply(e entry.Entry) {
	n.applied = e.Index
	if len(e.Data) == 0 {
		return
	}
	var set []ident.Daemon
	for _, d := range strings.Split(string(e.Data), " ") {
		set = append(set, ident.Daemon(d))
	}
	n.witnesses = witness.NewWitnesses(n.witnesses.Current(), set, e.Index)
}

// check fails if n takes work without something that was accepted before the
// question that its freshness rests on was sent.
func (c *cluster) check(n *node) {
	c.t.Helper()
	if !n.w.FreshUntil().After(c.now) {
		return
	}
	asked := n.w.FreshUntil().Add(-witness.FreshFor)
	for _, a := range c.accepted {
		if a.at.Before(asked) && n.applied < a.index {
			c.t.Fatalf("%s is fresh with index %d, but %d was accepted before it asked", n.name, n.applied, a.index)
		}
	}
}

// commit appends an entry, which changes the set of witnesses if any are
// given, and tells it to the daemons at.
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

// catchUp tells the daemon whatever consensus has committed.
func (c *cluster) catchUp(d ident.Daemon) {
	n := c.nodes[d]
	c.step(n, witness.Committed{Entries: c.log[n.applied:]})
}

// read answers the daemon's wish for a linearizable read.
func (c *cluster) read(d ident.Daemon) {
	n := c.nodes[d]
	if n.wantsRead {
		n.wantsRead = false
		c.step(n, witness.LinearizableRead{Index: uint64(len(c.log))})
	}
}

// noop commits an entry if d wants one.
func (c *cluster) noop(d ident.Daemon) {
	if n := c.nodes[d]; n.wantsNoop {
		n.wantsNoop = false
		c.commit(nil, d)
	}
}

// deliver carries packet i one way and drops it, unless keep is set.
func (c *cluster) deliver(i int, keep bool) {
	p := c.packets[i]
	if !keep {
		c.packets = append(c.packets[:i:i], c.packets[i+1:]...)
	}
	c.carry(p)
}

// carry brings p one way.
func (c *cluster) carry(p packet) {
	if c.lose != nil && c.lose(p) {
		return
	}
	if p.resp != nil {
		c.step(p.from, witness.ResponseReceived{Response: *p.resp})
		return
	}
	if to := c.nodes[p.to]; to != nil {
		c.replying = p
		c.step(to, witness.RequestReceived{Request: p.req})
	}
}

// run lets d pass on a network without faults; voters answer reads.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		for _, name := range c.names {
			c.step(c.nodes[name], witness.Tick{})
			c.noop(name)
		}
		for range 4 {
			packets := c.packets
			c.packets = nil
			for _, p := range packets {
				c.carry(p)
			}
		}
	}
}

// form brings all daemons up with all of them as witnesses; the first leads.
func (c *cluster) form() {
	c.commit(c.names, c.names[0])
	c.step(c.nodes[c.names[0]], witness.Leading{On: true})
	c.run(600 * time.Millisecond)
	for _, d := range c.names {
		c.read(d)
	}
	c.run(1400 * time.Millisecond)
}
