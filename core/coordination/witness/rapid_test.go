package witness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

// TestFreshDaemonsLackNothing runs a small cluster with packet loss,
// duplication, reordering, restarts and changes of the leader and of the
// witness set. Each step checks that no daemon is fresh without an entry that
// was visible before it polled, and that nothing applied is reverted.
func TestFreshDaemonsLackNothing(t *testing.T) {
	visible, fresh := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "daemons"))
		c.form()
		for range 400 {
			c.randomAction(rapid.IntRange(0, 99).Draw(t, "act"), rapid.IntRange(0, 1<<16).Draw(t, "pick"))
			fresh += c.countFresh()
		}
		visible += len(c.visible)
	})
	t.Logf("%d indices became visible, %d fresh daemons seen", visible, fresh)
	if visible < 200 || fresh < 10_000 {
		t.Fatalf("too little coverage: %d indices became visible, %d fresh daemons seen", visible, fresh)
	}
}

// randomAction performs the action selected by what, mostly on the daemon
// selected by pick.
func (c *cluster) randomAction(what, pick int) {
	d := c.names[pick%len(c.names)]
	n := c.nodes[d]
	switch {
	case what < 20:
		c.now = c.now.Add(time.Duration(pick%200) * time.Millisecond)
		c.step(n, witness.Tick{})
	case what < 70:
		if len(c.packets) > 0 {
			c.deliver(pick%len(c.packets), what < 25)
		}
	case what < 75:
		if len(c.packets) > 0 {
			i := pick % len(c.packets)
			c.packets = append(c.packets[:i:i], c.packets[i+1:]...)
		}
	case what < 85:
		c.commit(nil, d)
	case what < 88:
		if n.w.Settled() && n.applied == uint64(len(c.log)) {
			c.commit(c.subset(pick/len(c.names)), d)
		}
	case what < 93:
		c.start(d)
	case what < 95:
		c.catchUp(d)
		c.answerRead(d)
		c.answerNoop(d)
	case what < 98:
		for _, name := range c.names {
			c.step(c.nodes[name], witness.Leading{On: name == d})
		}
	default:
		c.run(300 * time.Millisecond)
	}
}

// subset returns all daemons, or all but one.
func (c *cluster) subset(pick int) []ident.Daemon {
	var set []ident.Daemon
	for i, d := range c.names {
		if i != pick%(len(c.names)+1) {
			set = append(set, d)
		}
	}
	return set
}
