package witness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

func (c *cluster) countFresh() int {
	count := 0
	for _, d := range c.names {
		if n := c.nodes[d]; n.w.FreshUntil().After(c.now) {
			count++
		}
	}
	return count
}

func TestFirstStart(t *testing.T) {
	c := newCluster(t, 11)
	c.run(2 * time.Second)
	assert.Equal(t, c.countFresh(), 0, "no daemon may be fresh before the voters form a cluster")
	c.form()
	assert.Equal(t, c.countFresh(), 11)
	assert.Equal(t, c.nodes["d00"].w.Visible(), c.lastIndex())
}

// lastIndex returns the index of the last committed entry.
func (c *cluster) lastIndex() uint64 { return uint64(len(c.log)) }

func TestChangeBecomesVisible(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	c.commit(nil, "d00")
	c.run(20 * time.Millisecond)
	assert.Equal(t, c.nodes["d00"].w.Visible(), c.lastIndex())
}

func TestMinorityStopsAndMajorityGoesOn(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	cut := map[ident.Daemon]bool{"d00": true, "d01": true, "d02": true, "d03": true, "d04": true}
	c.drop = func(p packet) bool { return cut[p.from.name] != cut[p.to] }
	c.run(2500 * time.Millisecond)
	for _, d := range c.names {
		got := c.nodes[d].w.FreshUntil().After(c.now)
		assert.Equal(t, got, !cut[d], string(d))
	}
}

// TestOffersAreNotWasted checks that a new leader sends few entries to
// witnesses that already have them or that are unreachable.
func TestOffersAreNotWasted(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	for range 50 {
		c.commit(nil, "d00")
	}
	c.run(time.Second)
	sent := map[ident.Daemon]int{}
	c.drop = func(p packet) bool {
		if p.resp == nil {
			sent[p.to] += len(p.req.Entries)
		}
		return p.from.name == "d04" || p.to == "d04"
	}
	c.step(c.nodes["d00"], witness.Leading{})
	c.step(c.nodes["d01"], witness.Leading{On: true})
	for range 10 {
		c.commit(nil, "d01")
		c.run(300 * time.Millisecond)
	}
	assert.Equal(t, c.nodes["d01"].w.Visible(), c.lastIndex())
	for d, n := range sent {
		assert.Assert(t, n <= 20, "%d entries were sent to %s, which lacked 10", n, d)
	}
}

// TestNoGapWhenWitnessesDie stops five of eleven witnesses one after another
// and checks that the others stay fresh all the time.
func TestNoGapWhenWitnessesDie(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	dead := map[ident.Daemon]bool{}
	c.drop = func(p packet) bool { return dead[p.from.name] || dead[p.to] }
	for _, d := range c.names[:5] {
		dead[d] = true
		for range 30 {
			c.run(100 * time.Millisecond)
			for _, other := range c.names[5:] {
				assert.Assert(t, c.nodes[other].w.FreshUntil().After(c.now), "%s is not fresh after the stop of %s", other, d)
			}
		}
	}
}

func TestAllRestartAtOnce(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.commit(nil, "d00")
	c.run(time.Second)
	for _, d := range c.names {
		c.start(d)
	}
	c.run(3 * time.Second)
	assert.Equal(t, c.countFresh(), 0, "no daemon may be fresh after all have lost their memory while the voters are unavailable")
	for _, d := range c.names {
		c.step(c.nodes[d], witness.Committed{Entries: c.log[:1]})
	}
	c.run(3 * time.Second)
	assert.Equal(t, c.countFresh(), 0, "no daemon may be fresh while no witness is active")
	c.catchUp("d01")
	c.answerRead("d01")
	for _, d := range c.names {
		c.answerRead(d)
	}
	c.run(2 * time.Second)
	assert.Equal(t, c.countFresh(), 5)
	assert.Equal(t, c.nodes["d04"].applied, c.lastIndex())
}

func TestRestartWithoutVoters(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.commit(nil, "d00")
	c.run(time.Second)
	c.start("d03")
	c.start("d04")
	c.run(time.Second)
	assert.Equal(t, c.countFresh(), 5)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestTooFewToRecoverFrom guards against a restarted witness that becomes
// active after two of five responses: the majority of three that made an entry
// visible may consist of other witnesses.
func TestTooFewToRecoverFrom(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.start("d04")
	c.drop = func(p packet) bool {
		return p.from.name != "d04" || p.to == "d00" || p.to == "d01"
	}
	c.run(time.Second)
	assert.Equal(t, c.nodes["d04"].applied, c.lastIndex())
	assert.Assert(t, !c.nodes["d04"].w.Active())
	c.drop = func(p packet) bool { return p.from.name != "d04" || p.to == "d00" }
	c.run(time.Second)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestRecoveryAppliesFirst guards against a restarted witness that becomes
// active when it has learned which entries exist but has not applied all of
// them.
func TestRecoveryAppliesFirst(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.start("d04")
	c.run(10 * time.Millisecond)
	c.step(c.nodes["d04"], witness.Committed{Entries: c.log[:1]})
	c.drop = func(p packet) bool {
		return len(p.req.Entries) > 0 || p.resp != nil && (len(p.resp.Entries) > 0 || p.resp.Snapshot.Index > 0)
	}
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes["d04"].applied, uint64(1))
	assert.Assert(t, !c.nodes["d04"].w.Active())
	c.drop = nil
	c.run(time.Second)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestVectorHoldsSender checks that a daemon passes on the incarnations of the
// daemons that responded to it, and their floor.
func TestVectorHoldsSender(t *testing.T) {
	c := newCluster(t, 3)
	n := c.start("d02")
	c.step(n, witness.Committed{Entries: []entry.Entry{{Index: 1, Term: 1, Kind: entry.Command, Data: []byte("d00 d01 d02")}}})
	for range 10 {
		c.now = c.now.Add(50 * time.Millisecond)
		c.step(n, witness.Tick{})
	}
	round := c.packets[len(c.packets)-1].req.Round
	for d, inc := range map[ident.Daemon]ident.Incarnation{"d00": 7, "d01": 8} {
		c.step(n, witness.ResponseReceived{Response: witness.Response{
			From: d, Incarnation: inc, Round: round, Active: true, Applied: 1, Floor: uint64(inc),
		}})
	}
	assert.Assert(t, n.w.Active())
	p := c.exchange(packet{from: c.nodes["d01"], to: "d02", req: witness.Request{From: "d01", Incarnation: 8}})
	assert.Equal(t, p.resp.Vector["d00"], ident.Incarnation(7))
	assert.Equal(t, p.resp.Vector["d01"], ident.Incarnation(8))
	assert.Equal(t, p.resp.Vector["d02"], n.w.Incarnation())
	assert.Equal(t, p.resp.Floor, uint64(8))
}

func TestFarBehindGetsSnapshot(t *testing.T) {
	c := newCluster(t, 3)
	c.form()
	for range 3000 {
		c.commit(nil)
	}
	c.catchUp("d00")
	c.run(time.Second)
	assert.Equal(t, c.nodes["d02"].applied, c.lastIndex())
	assert.Equal(t, c.countFresh(), 3)
}

func TestLaterProcessOfTheSameName(t *testing.T) {
	c := newCluster(t, 3)
	c.form()
	old := c.nodes["d02"]
	c.start("d02")
	c.run(time.Second)
	later := c.nodes["d02"]
	c.nodes["d02"] = old
	c.run(time.Second)
	assert.Assert(t, old.superseded)
	assert.Assert(t, !old.w.FreshUntil().After(c.now))
	c.nodes["d02"] = later
	assert.Assert(t, later.w.Active())
}

func TestClockRanBackwards(t *testing.T) {
	c := newCluster(t, 3)
	c.form()
	first := c.nodes["d02"].w.Incarnation()
	c.now = c.now.Add(-time.Hour)
	n := c.start("d02")
	c.now = c.now.Add(time.Hour)
	c.run(time.Second)
	assert.Assert(t, n.w.Active())
	assert.Assert(t, n.w.Incarnation() > first)
}

// restartAfterAck makes the leader d00 offer an entry, and d01 acknowledge it
// and restart. While d01 recovers from the others, they are unreachable for
// d00. It returns the acknowledgement of d01 and all offers, by receiver.
func restartAfterAck(t *testing.T) (c *cluster, entry uint64, staleAck packet, offers map[ident.Daemon]packet) {
	c = newCluster(t, 5)
	c.form()
	c.packets = nil
	c.commit(nil, "d00")
	offers = map[ident.Daemon]packet{}
	for _, p := range c.packets {
		if len(p.req.Entries) > 0 {
			offers[p.to] = p
		}
	}
	staleAck = c.exchange(offers["d01"])
	c.start("d01")
	entry = c.lastIndex()
	c.packets = nil
	c.drop = func(p packet) bool { return p.from.name != "d01" || p.to == "d00" }
	c.run(450 * time.Millisecond)
	c.drop = nil
	assert.Assert(t, c.nodes["d01"].w.Active())
	assert.Equal(t, c.nodes["d01"].applied, entry-1, "d01 must recover before the other witnesses have the entry")
	return c, entry, staleAck, offers
}

// exchange delivers a request and returns the response.
func (c *cluster) exchange(p packet) packet {
	c.packets = nil
	c.transmit(p)
	for _, p := range c.packets {
		if p.resp != nil {
			return p
		}
	}
	c.t.Fatalf("no response from %s", p.to)
	return packet{}
}

// TestAnswerOfEarlierRun guards against combining a response of an earlier run
// with one of a witness that the later run recovered from.
func TestAnswerOfEarlierRun(t *testing.T) {
	c, entry, staleAck, offers := restartAfterAck(t)
	response := c.exchange(offers["d02"])
	c.transmit(staleAck)
	c.transmit(response)
	assert.Equal(t, c.nodes["d00"].w.Visible(), entry-1)
}

// TestReadForgetsIncarnations is the same, except that this witness has
// restarted in between and become active by a read, so it lacks the vector that
// invalidates the response.
func TestReadForgetsIncarnations(t *testing.T) {
	c, entry, staleAck, offers := restartAfterAck(t)
	n := c.start("d02")
	for _, e := range []witness.Event{
		witness.Committed{Entries: c.log},
		witness.LinearizableRead{Index: c.lastIndex()},
	} {
		c.step(n, e)
	}
	assert.Assert(t, n.w.Active())
	response := c.exchange(offers["d02"])
	c.transmit(staleAck)
	c.transmit(response)
	assert.Equal(t, c.nodes["d00"].w.Visible(), entry-1)
	c.run(2 * time.Second)
	assert.Assert(t, c.nodes["d00"].w.Visible() > entry, "the entry must become visible together with a later one")
}

func TestSetChange(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.commit([]ident.Daemon{"d00", "d01", "d02", "d03"}, "d00")
	c.run(time.Second)
	assert.Assert(t, c.nodes["d00"].w.Settled())
	c.commit([]ident.Daemon{"d00", "d01", "d02"}, "d00")
	c.run(time.Second)
	assert.Assert(t, c.nodes["d04"].w.Settled())
	assert.Equal(t, c.countFresh(), 5, "daemons that are not witnesses must be fresh as well")
}

// TestCost limits the number of exchanges to what the rule requires, plus a
// quarter for polls of all witnesses.
func TestCost(t *testing.T) {
	cases := map[string]struct {
		daemons, witnesses int
		perPoll            int
	}{
		"today":  {daemons: 11, witnesses: 11, perPoll: 5},
		"target": {daemons: 520, witnesses: 11, perPoll: 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, tc.daemons)
			c.commit(c.names[:tc.witnesses], "d00")
			c.step(c.nodes["d00"], witness.Leading{On: true})
			c.run(600 * time.Millisecond)
			for _, d := range c.names {
				c.answerRead(d)
			}
			c.run(1400 * time.Millisecond)
			assert.Equal(t, c.countFresh(), tc.daemons)
			c.sent = 0
			c.run(3200 * time.Millisecond) // eight polls, one of which goes to all witnesses
			perSecond := float64(c.sent) / 3.2 / float64(tc.daemons)
			t.Logf("%.1f exchanges per daemon and second; each witness answers %.1f",
				perSecond, float64(c.sent)/3.2/float64(tc.witnesses))
			assert.Assert(t, perSecond <= float64(tc.perPoll)*2.5*1.25, "%.1f", perSecond)
		})
	}
}
