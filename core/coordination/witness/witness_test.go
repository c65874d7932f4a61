package witness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

func (c *cluster) fresh() int {
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
	assert.Equal(t, c.fresh(), 0, "nobody may be fresh before the voters formed a cluster")
	c.form()
	assert.Equal(t, c.fresh(), 11)
	assert.Equal(t, c.nodes["d00"].w.Visible(), c.last())
}

// last returns the index of the last entry.
func (c *cluster) last() uint64 { return uint64(len(c.log)) }

func TestChangeBecomesVisible(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	c.commit(nil, "d00")
	c.run(20 * time.Millisecond)
	assert.Equal(t, c.nodes["d00"].w.Visible(), c.last())
}

func TestMinorityStopsAndMajorityGoesOn(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	cut := map[ident.Daemon]bool{"d00": true, "d01": true, "d02": true, "d03": true, "d04": true}
	c.lose = func(p packet) bool { return cut[p.from.name] != cut[p.to] }
	c.run(2500 * time.Millisecond)
	for _, d := range c.names {
		got := c.nodes[d].w.FreshUntil().After(c.now)
		assert.Equal(t, got, !cut[d], string(d))
	}
}

// TestOffersAreNotWasted counts the entries that a new leader sends to
// witnesses that have them, and those that go to one out of reach.
func TestOffersAreNotWasted(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	for range 50 {
		c.commit(nil, "d00")
	}
	c.run(time.Second)
	sent := map[ident.Daemon]int{}
	c.lose = func(p packet) bool {
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
	assert.Equal(t, c.nodes["d01"].w.Visible(), c.last())
	for d, n := range sent {
		assert.Assert(t, n <= 20, "%d entries to %s, which lacked 10", n, d)
	}
}

// TestNoGapWhenWitnessesDie ends five of eleven one after the other: the rest
// never stops being fresh.
func TestNoGapWhenWitnessesDie(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	dead := map[ident.Daemon]bool{}
	c.lose = func(p packet) bool { return dead[p.from.name] || dead[p.to] }
	for _, d := range c.names[:5] {
		dead[d] = true
		for range 30 {
			c.run(100 * time.Millisecond)
			for _, other := range c.names[5:] {
				assert.Assert(t, c.nodes[other].w.FreshUntil().After(c.now), "%s after the end of %s", other, d)
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
	assert.Equal(t, c.fresh(), 0, "no memory and no voters: nobody may take work")
	for _, d := range c.names {
		c.step(c.nodes[d], witness.Committed{Entries: c.log[:1]})
	}
	c.run(3 * time.Second)
	assert.Equal(t, c.fresh(), 0, "nobody stands, so nobody can vouch for another")
	c.catchUp("d01")
	c.read("d01")
	for _, d := range c.names {
		c.read(d)
	}
	c.run(2 * time.Second)
	assert.Equal(t, c.fresh(), 5)
	assert.Equal(t, c.nodes["d04"].applied, c.last())
}

func TestRestartWithoutVoters(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.commit(nil, "d00")
	c.run(time.Second)
	c.start("d03")
	c.start("d04")
	c.run(time.Second)
	assert.Equal(t, c.fresh(), 5)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestTooFewToRecoverFrom lets a restarted witness hear from two of five: the
// three that made an entry visible may all be others.
func TestTooFewToRecoverFrom(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.start("d04")
	c.lose = func(p packet) bool {
		return p.from.name != "d04" || p.to == "d00" || p.to == "d01"
	}
	c.run(time.Second)
	assert.Equal(t, c.nodes["d04"].applied, c.last())
	assert.Assert(t, !c.nodes["d04"].w.Active())
	c.lose = func(p packet) bool { return p.from.name != "d04" || p.to == "d00" }
	c.run(time.Second)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestRecoveryAppliesFirst lets a restarted witness hear what there is, but
// not get all of it.
func TestRecoveryAppliesFirst(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.start("d04")
	c.run(10 * time.Millisecond)
	c.step(c.nodes["d04"], witness.Committed{Entries: c.log[:1]})
	c.lose = func(p packet) bool {
		return len(p.req.Entries) > 0 || p.resp != nil && (len(p.resp.Entries) > 0 || p.resp.Snapshot.Index > 0)
	}
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes["d04"].applied, uint64(1))
	assert.Assert(t, !c.nodes["d04"].w.Active())
	c.lose = nil
	c.run(time.Second)
	assert.Assert(t, c.nodes["d04"].w.Active())
}

// TestVectorHoldsSender passes on the incarnation of a daemon that answered,
// and the floor with it.
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
	p := c.answer(packet{from: c.nodes["d01"], to: "d02", req: witness.Request{From: "d01", Incarnation: 8}})
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
	assert.Equal(t, c.nodes["d02"].applied, c.last())
	assert.Equal(t, c.fresh(), 3)
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
	assert.Assert(t, old.ended)
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

// earlierRun lets the leader d00 offer an entry, d01 answer and restart, and
// the others be out of reach of d00 while d01 recovers from them. It returns
// d01's answer and the other offers, by receiver.
func earlierRun(t *testing.T) (c *cluster, entry uint64, early packet, offers map[ident.Daemon]packet) {
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
	early = c.answer(offers["d01"])
	c.start("d01")
	entry = c.last()
	c.packets = nil
	c.lose = func(p packet) bool { return p.from.name != "d01" || p.to == "d00" }
	c.run(450 * time.Millisecond)
	c.lose = nil
	assert.Assert(t, c.nodes["d01"].w.Active())
	assert.Equal(t, c.nodes["d01"].applied, entry-1, "it recovered before the others had the entry")
	return c, entry, early, offers
}

// answer delivers a request and returns what came back.
func (c *cluster) answer(p packet) packet {
	c.packets = nil
	c.carry(p)
	for _, p := range c.packets {
		if p.resp != nil {
			return p
		}
	}
	c.t.Fatalf("no answer from %s", p.to)
	return packet{}
}

// TestAnswerOfEarlierRun pairs an answer of a run that is gone with one of a
// witness that its successor recovered from.
func TestAnswerOfEarlierRun(t *testing.T) {
	c, entry, early, offers := earlierRun(t)
	late := c.answer(offers["d02"])
	c.carry(early)
	c.carry(late)
	assert.Equal(t, c.nodes["d00"].w.Visible(), entry-1)
}

// TestReadForgetsIncarnations is the same, but that witness has restarted in
// between and stood by a read, without the note that refutes the answer.
func TestReadForgetsIncarnations(t *testing.T) {
	c, entry, early, offers := earlierRun(t)
	n := c.start("d02")
	for _, e := range []witness.Event{
		witness.Committed{Entries: c.log},
		witness.LinearizableRead{Index: c.last()},
	} {
		c.step(n, e)
	}
	assert.Assert(t, n.w.Active())
	late := c.answer(offers["d02"])
	c.carry(early)
	c.carry(late)
	assert.Equal(t, c.nodes["d00"].w.Visible(), entry-1)
	c.run(2 * time.Second)
	assert.Assert(t, c.nodes["d00"].w.Visible() > entry, "a later entry mends it")
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
	assert.Equal(t, c.fresh(), 5, "daemons that are no witnesses poll those that are")
}

// TestCost counts exchanges; the bound is what the rule needs and a quarter
// more for probes.
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
				c.read(d)
			}
			c.run(1400 * time.Millisecond)
			assert.Equal(t, c.fresh(), tc.daemons)
			c.sent = 0
			c.run(3200 * time.Millisecond) // eight polls, one of which is a probe
			perSecond := float64(c.sent) / 3.2 / float64(tc.daemons)
			t.Logf("%.1f exchanges per daemon and second, of which each witness answers %.1f",
				perSecond, float64(c.sent)/3.2/float64(tc.witnesses))
			assert.Assert(t, perSecond <= float64(tc.perPoll)*2.5*1.25, "%.1f", perSecond)
		})
	}
}
