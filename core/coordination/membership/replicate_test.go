package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainTime is how long after an acknowledged departure every daemon must know of
// it.
const drainTime = 2 * time.Second

// leaveAt marks the upstream e1 as leaving at a daemon and begins a replication.
func (c *testCluster) leaveAt(address string) {
	leaving := newEngine("e1", 2)
	leaving.Leaving = true
	c.step(address, Announce{Upstream: leaving})
	c.step(address, Replicate{Token: 1, Upstream: "e1"})
}

// TestReplicatedDepartureOutlivesItsDaemon guards against an acknowledged departure
// that only the daemon that acknowledged it knows of. That daemon is lost at the
// moment of the acknowledgement, and others with it.
func TestReplicatedDepartureOutlivesItsDaemon(t *testing.T) {
	cases := map[string]struct {
		disks int
		// victim is the index of the daemon that acknowledges the departure.
		victim int
		// others are lost with it.
		others []int
		// slow are daemons that can't be reached from before the departure until
		// after the acknowledgement.
		slow []int
		// starts is true if another daemon starts at the moment of the acknowledgement.
		starts bool
	}{
		"daemon without a disk":       {disks: 3, victim: 4},
		"daemon with a disk":          {disks: 3, victim: 1},
		"several without a disk":      {disks: 3, victim: 3, others: []int{4, 5}},
		"one with a disk as well":     {disks: 3, victim: 3, others: []int{0}},
		"while one with a disk hangs": {disks: 3, victim: 3, slow: []int{2}},
		"two of five with a disk":     {disks: 5, victim: 0, others: []int{1}},
		"no disks":                    {disks: 0, victim: 4, others: []int{5}},
		"while another one starts":    {disks: 3, victim: 4, starts: true},
	}
	for name, tc := range cases {
		for _, n := range []int{6, 24, 100} {
			t.Run(fmt.Sprintf("%s of %d", name, n), func(t *testing.T) {
				for seed := range uint64(120 / n) {
					c := newTestClusterWithDisks(n, tc.disks, seed)
					c.run(4 * time.Second)
					c.step(c.addresses[2], Announce{Upstream: newEngine("e1", 1)})
					c.run(2 * time.Second)
					acknowledged := false
					c.onReplicated = func(address string) {
						acknowledged = true
						c.members[address] = nil
						for _, i := range tc.others {
							c.members[c.addresses[i]] = nil
						}
						c.blocked = nil
						if tc.starts {
							c.start("new", "127.0.0.1:2000")
						}
					}
					c.blocked = func(from, to string) bool {
						for _, i := range tc.slow {
							if from == c.addresses[i] || to == c.addresses[i] {
								return true
							}
						}
						return false
					}
					c.leaveAt(c.addresses[tc.victim])
					assert.Assert(t, acknowledged)
					c.run(drainTime)
					assert.Equal(t, c.countRecords("e1", func(u Upstream) bool { return !u.Leaving }), 0, "seed %d", seed)
				}
			})
		}
	}
}

// TestDepartureIsNotReplicatedAlone checks that a daemon that reaches nobody, or
// that has just started and knows nobody, has no replication end well.
func TestDepartureIsNotReplicatedAlone(t *testing.T) {
	cases := map[string]func(c *testCluster) string{
		"cut off": func(c *testCluster) string {
			at := c.addresses[0]
			c.blocked = func(from, to string) bool { return from == at || to == at }
			return at
		},
		"cut off for long": func(c *testCluster) string {
			at := c.addresses[0]
			c.blocked = func(from, to string) bool { return from == at || to == at }
			c.run(4 * time.Second)
			return at
		},
		"just started": func(c *testCluster) string {
			at := c.addresses[0]
			c.blocked = func(from, to string) bool { return from == at || to == at }
			c.start("d000", at)
			c.step(at, Announce{Upstream: newEngine("e1", 1)})
			return at
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			c := newTestClusterWithDisks(6, 3, 1)
			c.run(4 * time.Second)
			c.step(c.addresses[1], Announce{Upstream: newEngine("e1", 1)})
			c.run(2 * time.Second)
			c.onReplicated = func(string) { t.Fatal("a departure that nobody else knows of is taken for safe") }
			c.leaveAt(prepare(c))
			failed := false
			for range 40 {
				c.now = c.now.Add(50 * time.Millisecond)
				for _, e := range c.step(c.addresses[0], Tick{}) {
					_, ok := e.(ReplicationFailed)
					failed = failed || ok
				}
			}
			assert.Assert(t, failed)
		})
	}
}

// TestRemovedKeepersDoNotCount checks that departures are replicated although
// daemons with a disk have been removed for good and their records last.
func TestRemovedKeepersDoNotCount(t *testing.T) {
	c := newTestClusterWithDisks(6, 5, 1)
	c.run(4 * time.Second)
	c.step(c.addresses[0], Announce{Upstream: newEngine("e1", 1)})
	c.members[c.addresses[1]], c.members[c.addresses[2]], c.members[c.addresses[3]] = nil, nil, nil
	c.run(3 * time.Second)
	acknowledged := false
	c.onReplicated = func(string) { acknowledged = true }
	c.leaveAt(c.addresses[5])
	assert.Assert(t, acknowledged)
}
