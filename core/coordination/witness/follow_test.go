package witness_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
)

// TestFollowersLearnBesideACut guards against followers that keep using an
// outdated routing document during a partition: with 94 daemons, five of them
// with a disk, each of the others must have what was committed within 2.5 s,
// the time that operators accept.
func TestFollowersLearnBesideACut(t *testing.T) {
	const daemons, disks, within = 94, 5, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	core := func(d ident.Daemon) int { return slices.Index(daemonNames(disks), d) }
	isolated := func(p packet) bool { return core(p.to) >= 3 || core(p.from.name) >= 3 }
	cases := map[string]func(p packet) bool{
		"nothing wrong": nil,
		"core cut in two": func(p packet) bool {
			a, b := core(p.from.name), core(p.to)
			return a >= 0 && b >= 0 && (a < 3) != (b < 3)
		},
		"two of the core dark":  isolated,
		"two dark, lossy links": func(p packet) bool { return isolated(p) || random.IntN(5) == 0 },
		"a core that only follows hear": func(p packet) bool {
			return core(p.from.name) >= 0 && core(p.to) >= 0
		},
	}
	for name, drop := range cases {
		t.Run(name, func(t *testing.T) {
			c, witnesses := newFollowedCluster(t, daemons, disks)
			c.drop = drop
			// A majority of the core commits an entry.
			c.commit(witnesses, witnesses[:3]...)
			c.run(within)
			for _, d := range c.names[disks:] {
				assert.Equal(t, c.nodes[d].applied, uint64(len(c.log)), "%s", d)
			}
		})
	}
}

// TestFollowersKeepUpBesideFaults guards against documents that are not in force at
// one daemon for seconds after they were acknowledged, since a poll or a fetch of it
// was lost or slow. Documents come in pairs and chains.
func TestFollowersKeepUpBesideFaults(t *testing.T) {
	const (
		daemons, disks, within = 94, 6, 2500 * time.Millisecond
		// Bytes, and bytes per second.
		largeDocument, linkRate = 700_000, 10_000_000 / 8
	)
	core := func(d ident.Daemon) int { return slices.Index(daemonNames(disks), d) }
	random := rand.New(rand.NewPCG(3, 4))
	dark := func(p packet) bool { return core(p.to) >= 4 || core(p.from.name) >= 4 }
	fetch := func(p packet) bool { return core(p.from.name) < 0 && p.req.WantEntries }
	late := func(d time.Duration, match func(packet) bool) func(time.Time, packet) time.Duration {
		return func(_ time.Time, p packet) time.Duration {
			if p.resp != nil && match(p) {
				return d
			}
			return 0
		}
	}
	// The link of each daemon carries 10 Mbit/s. A snapshot holds one document.
	freeAt := make(map[*node]time.Time)
	slowLink := func(now time.Time, p packet) time.Duration {
		if p.resp == nil || !fetch(p) {
			return 0
		}
		size := 0
		for _, e := range p.resp.Entries {
			size += len(e.Data)
		}
		if p.resp.Snapshot.Index > 0 {
			size = largeDocument
		}
		begin := now
		if freeAt[p.from].After(now) {
			begin = freeAt[p.from]
		}
		freeAt[p.from] = begin.Add(time.Duration(size) * time.Second / linkRate)
		return freeAt[p.from].Sub(now)
	}
	cases := map[string]struct {
		drop  func(packet) bool
		delay func(time.Time, packet) time.Duration
		// size is that of a document in bytes.
		size int
	}{
		"nothing wrong":                          {},
		"a fifth of the messages lost, two dark": {drop: func(p packet) bool { return dark(p) || random.IntN(5) == 0 }},
		"three witnesses late":                   {delay: late(900*time.Millisecond, func(p packet) bool { return core(p.to) < 3 })},
		"three name what they never hand out":    {drop: func(p packet) bool { return fetch(p) && core(p.to) < 3 }},
		"entries take long":                      {delay: late(500*time.Millisecond, fetch)},
		"two dark, one late":                     {drop: dark, delay: late(900*time.Millisecond, func(p packet) bool { return core(p.to) == 1 })},
		"large documents, slow links":            {delay: slowLink, size: largeDocument},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, witnesses := newFollowedCluster(t, daemons, disks)
			c.drop, c.delay = tc.drop, tc.delay
			committedAt := make(map[uint64]time.Time)
			for i := range 20 {
				for range 2 + 4*(i%2) {
					c.commitBytes(tc.size, witnesses[:4]...)
					committedAt[c.lastIndex()] = c.now
					c.run(20 * time.Millisecond)
				}
				c.run(time.Second)
				for _, d := range c.names[disks:] {
					next := c.nodes[d].applied + 1
					if at, ok := committedAt[next]; ok {
						assert.Assert(t, c.now.Sub(at) < within, "%s lacks entry %d, committed %s ago", d, next, c.now.Sub(at))
					}
				}
			}
		})
	}
}

// TestFollowersAreConfirmed guards against followers that take their state for recent
// while they hear from nobody, and against ones that never do beside allowed losses.
func TestFollowersAreConfirmed(t *testing.T) {
	const daemons, disks = 94, 6
	core := func(d ident.Daemon) int { return slices.Index(daemonNames(disks), d) }
	cases := map[string]struct {
		drop      func(packet) bool
		confirmed bool
	}{
		"nothing wrong":   {func(packet) bool { return false }, true},
		"two dark":        {func(p packet) bool { return core(p.to) >= 4 || core(p.from.name) >= 4 }, true},
		"a minority left": {func(p packet) bool { return core(p.to) >= 3 || core(p.from.name) >= 3 }, false},
		"nobody left":     {func(packet) bool { return true }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, _ := newFollowedCluster(t, daemons, disks)
			c.drop = tc.drop
			for range 20 {
				c.run(200 * time.Millisecond)
			}
			for _, d := range c.names[disks:] {
				age := c.now.Sub(c.nodes[d].w.ConfirmedAt(c.now))
				assert.Equal(t, age < witness.FreshFor, tc.confirmed, "%s was confirmed %s ago", d, age)
			}
		})
	}
}

// TestUninformedDaemonAsksEverybody guards against a daemon that knows no witness yet
// and asks the same few members again and again, none of which answers.
func TestUninformedDaemonAsksEverybody(t *testing.T) {
	c, witnesses := newFollowedCluster(t, 11, 3)
	// The members that are no witnesses don't answer it.
	c.drop = func(p packet) bool { return p.from.name == "d10" && !slices.Contains(witnesses, p.to) }
	for range 20 {
		c.start("d10")
		c.run(2 * time.Second)
		assert.Equal(t, c.nodes["d10"].applied, c.lastIndex())
	}
}

// newFollowedCluster returns a running cluster in which the first daemons are the
// witnesses, led by the first of them, and the others follow.
func newFollowedCluster(t *testing.T, daemons, disks int) (c *cluster, witnesses []ident.Daemon) {
	t.Helper()
	witnesses = daemonNames(disks)
	c = newClusterOf(t, daemons, func(d ident.Daemon) bool { return !slices.Contains(witnesses, d) })
	c.commit(witnesses, witnesses[0])
	c.step(c.nodes[witnesses[0]], witness.Leading{On: true})
	c.run(600 * time.Millisecond)
	for _, d := range witnesses {
		c.answerRead(d)
	}
	c.run(3 * time.Second)
	return c, witnesses
}

// daemonNames returns the names of the first n daemons of a cluster.
func daemonNames(n int) []ident.Daemon {
	var out []ident.Daemon
	for i := range n {
		out = append(out, daemonName(i))
	}
	return out
}
