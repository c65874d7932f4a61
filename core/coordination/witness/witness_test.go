package witness_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
	assert.Equal(t, c.nodes["d00"].w.Visible(), uint64(1))
}

func TestChangeBecomesVisible(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	c.commit(nil, "d00")
	c.run(20 * time.Millisecond)
	assert.Equal(t, c.nodes["d00"].w.Visible(), uint64(2))
}

func TestMinorityStopsAndMajorityGoesOn(t *testing.T) {
	c := newCluster(t, 11)
	c.form()
	cut := map[ident.Daemon]bool{"d00": true, "d01": true, "d02": true, "d03": true, "d04": true}
	c.cut = func(from, to ident.Daemon) bool { return cut[from] != cut[to] }
	c.run(2500 * time.Millisecond)
	for _, d := range c.names {
		got := c.nodes[d].w.FreshUntil().After(c.now)
		assert.Equal(t, got, !cut[d], string(d))
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
	c.catchUp("d01")
	c.read("d01")
	for _, d := range c.names {
		c.read(d)
	}
	c.run(2 * time.Second)
	assert.Equal(t, c.fresh(), 5)
	assert.Equal(t, c.nodes["d04"].applied, uint64(2))
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
	assert.Assert(t, c.nodes["d04"].w.Standing())
}

func TestFarBehindGetsSnapshot(t *testing.T) {
	c := newCluster(t, 3)
	c.form()
	for range 3000 {
		c.commit(nil)
	}
	c.catchUp("d00")
	c.run(time.Second)
	assert.Equal(t, c.nodes["d02"].applied, uint64(3001))
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
	assert.Assert(t, later.w.Standing())
}

func TestClockRanBackwards(t *testing.T) {
	c := newCluster(t, 3)
	c.form()
	first := c.nodes["d02"].w.Incarnation()
	c.now = c.now.Add(-time.Hour)
	n := c.start("d02")
	c.now = c.now.Add(time.Hour)
	c.run(time.Second)
	assert.Assert(t, n.w.Standing())
	assert.Assert(t, n.w.Incarnation() > first)
}

// TestAnswerOfEarlierRun pairs an answer of a run that is gone with one of a
// witness that its successor recovered from.
func TestAnswerOfEarlierRun(t *testing.T) {
	c := newCluster(t, 5)
	c.form()
	c.commit(nil, "d00")
	c.packets = nil
	c.step(c.nodes["d00"], witness.Tick{})
	c.now = c.now.Add(time.Second)
	c.step(c.nodes["d00"], witness.Tick{})
	offers := c.packets
	answers := func(d ident.Daemon) []packet {
		c.packets = nil
		for _, p := range offers {
			if p.from.name == "d00" && p.to == d && len(p.req.Entries) > 0 {
				c.packets = append(c.packets, p)
				c.deliver(0, false)
				break
			}
		}
		assert.Assert(t, len(c.packets) > 0, "no offer to %s", d)
		return c.packets
	}
	early := answers("d01")
	c.start("d01")
	c.packets = nil
	c.cut = func(from, to ident.Daemon) bool { return from == "d00" || to == "d00" }
	c.run(time.Second)
	c.cut = nil
	assert.Assert(t, c.nodes["d01"].w.Standing())
	assert.Equal(t, c.nodes["d01"].applied, uint64(1), "it recovered before the others had the entry")
	late := answers("d02")
	for _, p := range append(early, late...) {
		c.packets = []packet{p}
		c.deliver(0, false)
	}
	assert.Equal(t, c.nodes["d00"].w.Visible(), uint64(1))
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
			c.run(time.Second)
			for _, d := range c.names {
				c.read(d)
			}
			c.run(time.Second)
			assert.Equal(t, c.fresh(), tc.daemons)
			c.sent = 0
			c.run(2 * time.Second)
			perSecond := float64(c.sent) / 2 / float64(tc.daemons)
			t.Logf("%.1f exchanges per daemon and second, of which each witness answers %.1f",
				perSecond, float64(c.sent)/2/float64(tc.witnesses))
			assert.Assert(t, perSecond <= float64(tc.perPoll)*2.5*1.25, "%.1f", perSecond)
		})
	}
}
