package consensus

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"pgregory.net/rapid"
)

// machine is one daemon with its disk.
type machine struct {
	name ident.Daemon
	// disks counts the disks the daemon has had.
	disks int
	node  *Node
	// stored is what is synced, queue what is not.
	stored PersistentState
	queue  []WriteBatch
	// applied and digest are the state machine.
	applied uint64
	digest  []byte
	down    bool
	cut     bool
}

func (m *machine) voter() Voter {
	return Voter{m.name, fmt.Sprintf("%s%d", m.name, m.disks)}
}

// cluster runs nodes over a network that the test controls, and checks the
// invariants after every step.
type cluster struct {
	t        rapid.TB
	now      time.Time
	rand     *rand.Rand
	machines []*machine
	listed   []ident.Daemon
	open     bool
	network  []Message
	clusters int

	// committed[i] is the entry at index first+i that some node committed.
	committed map[uint64]entry.Entry
	digests   map[uint64][]byte
	newest    uint64
	leaders   map[string]Voter
	// changes are the committed configurations, members the newest.
	changes []Members
	members config
	// dead holds identities whose disk is lost.
	dead     map[Voter]bool
	sent     uint64
	outcomes map[uint64]Outcome
	// reads holds the newest committed index when a read began.
	reads    map[uint64]uint64
	readings map[uint64]ReadOutcome
	roles    []RoleChange
}

func newCluster(t rapid.TB, seed int64, names ...ident.Daemon) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1000, 0), rand: rand.New(rand.NewSource(seed)), listed: names,
		committed: map[uint64]entry.Entry{}, digests: map[uint64][]byte{1: nil}, newest: 1,
		leaders: map[string]Voter{}, dead: map[Voter]bool{}, outcomes: map[uint64]Outcome{},
		reads: map[uint64]uint64{}, readings: map[uint64]ReadOutcome{},
	}
	for _, name := range names {
		m := &machine{name: name}
		c.machines = append(c.machines, m)
		c.start(m)
	}
	return c
}

func (c *cluster) start(m *machine) {
	s := Settings{Self: m.voter(), Eligible: c.listed, Open: c.open, Random: c.rand.Int63n, NewClusterID: func() string {
		c.clusters++
		return fmt.Sprintf("cluster%d", c.clusters)
	}}
	m.down, m.queue = false, nil
	m.applied, m.digest = m.stored.Snapshot.Index, m.stored.Snapshot.Data
	m.node = New(c.now, s, m.stored)
}

// crash loses what is not synced, but for a prefix that reached the disk.
func (c *cluster) crash(m *machine, prefix int) {
	c.sync(m, prefix, false)
	m.queue, m.down = nil, true
}

// wipe starts the machine with an empty disk.
func (c *cluster) wipe(m *machine) {
	c.dead[m.voter()] = true
	m.disks++
	m.stored = PersistentState{}
	c.start(m)
}

func (c *cluster) get(name ident.Daemon) *machine {
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == name })
	return c.machines[i]
}

// sync writes the first batches of the queue.
func (c *cluster) sync(m *machine, limit int, tell bool) {
	limit = min(limit, len(m.queue))
	if limit == 0 {
		return
	}
	for _, p := range m.queue[:limit] {
		store(&m.stored, p)
	}
	last := m.queue[limit-1].Number
	m.queue = slices.Clone(m.queue[limit:])
	if tell {
		c.step(m, Synced(last))
	}
}

func store(st *PersistentState, p WriteBatch) {
	if s, ok := p.Snapshot.Get(); ok {
		st.Snapshot, st.Entries = s, nil
	}
	st.Hard = p.Hard
	if len(p.Entries) > 0 {
		keep := p.Entries[0].Index - st.Snapshot.Index - 1
		st.Entries = append(slices.Clone(st.Entries[:keep]), p.Entries...)
	}
}

func (c *cluster) step(m *machine, ev Event) {
	if m.down {
		return
	}
	e := m.node.Step(c.now, ev)
	if p, ok := e.Persist.Get(); ok {
		m.queue = append(m.queue, p)
	}
	for _, msg := range e.Send {
		if !m.cut {
			c.network = append(c.network, msg)
		}
	}
	if s, ok := e.Restore.Get(); ok {
		c.restore(m, s)
	}
	for _, en := range e.Committed {
		c.apply(m, en)
	}
	for _, o := range e.Outcomes {
		c.outcomes[o.Number] = o
	}
	for _, r := range e.Reads {
		c.read(r)
	}
	if r, ok := e.Role.Get(); ok {
		c.roles = append(c.roles, r)
		c.checkLeader(m)
	}
}

func (c *cluster) restore(m *machine, s Snapshot) {
	want, ok := c.digests[s.Index]
	assert.Assert(c.t, ok, "%s restored unknown index %d", m.voter(), s.Index)
	assert.Assert(c.t, bytes.Equal(want, s.Data), "%s restored another state at %d", m.voter(), s.Index)
	assert.Assert(c.t, s.Index >= m.applied, "%s went back from %d to %d", m.voter(), m.applied, s.Index)
	m.applied, m.digest = s.Index, s.Data
}

func (c *cluster) apply(m *machine, e entry.Entry) {
	assert.Equal(c.t, e.Index, m.applied+1, "%s skipped entries", m.voter())
	h := fnv.New64a()
	h.Write(m.digest)
	h.Write(e.Data)
	m.applied, m.digest = e.Index, h.Sum(nil)
	if old, ok := c.committed[e.Index]; ok {
		assert.Assert(c.t, same(old, e), "%s committed another entry at %d", m.voter(), e.Index)
		return
	}
	assert.Equal(c.t, e.Index, c.newest+1, "%s committed at %d after %d", m.voter(), e.Index, c.newest)
	c.committed[e.Index], c.digests[e.Index], c.newest = e, m.digest, e.Index
	if e.Kind == entry.Voters {
		ms, err := DecodeMembers(e.Data)
		assert.NilError(c.t, err)
		c.members = config{e.Index, ms}
		c.changes = append(c.changes, ms)
	}
}

func (c *cluster) read(r ReadOutcome) {
	c.readings[r.Number] = r
	if r.OK {
		assert.Assert(c.t, r.Index >= c.reads[r.Number], "read %d missed a commit", r.Number)
	}
}

// checkLeader checks election safety and leader completeness.
func (c *cluster) checkLeader(m *machine) {
	n := m.node
	if n.Role() != Leader {
		return
	}
	key := fmt.Sprintf("%s %d", n.Cluster(), n.Term())
	if old, ok := c.leaders[key]; ok {
		assert.Equal(c.t, old, m.voter(), "two leaders of %s", key)
	}
	c.leaders[key] = m.voter()
	for i, e := range c.committed {
		if t, ok := n.log.term(i); i > n.snapshot.Index && (!ok || t != e.Term) {
			c.t.Fatalf("leader %s of %s lacks committed entry %d", m.voter(), key, i)
		}
	}
}

// checkLogs checks log matching between all pairs of logs.
func (c *cluster) checkLogs() {
	for i, m := range c.machines {
		for _, o := range c.machines[:i] {
			c.checkMatch(&m.node.log, &o.node.log)
		}
	}
}

// checkMatch checks that two logs are equal up to the last entry whose term
// they agree on.
func (c *cluster) checkMatch(l, o *memlog) {
	matched := false
	for i := min(l.last(), o.last()); i > max(l.base, o.base); i-- {
		e, f := l.at(i), o.at(i)
		if matched = matched || e.Term == f.Term; matched && !same(e, f) {
			c.t.Fatalf("logs differ at %d", i)
		}
	}
}

func same(e, f entry.Entry) bool {
	return e.Index == f.Index && e.Term == f.Term && e.Kind == f.Kind && bytes.Equal(e.Data, f.Data)
}

func (c *cluster) tick(d time.Duration) {
	c.now = c.now.Add(d)
	for _, m := range c.machines {
		c.step(m, Tick())
	}
}

// deliver gives message i of the network to its receiver.
func (c *cluster) deliver(i int) {
	msg := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	c.hand(msg)
}

func (c *cluster) hand(msg Message) {
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == msg.To.Daemon })
	if i >= 0 && !c.machines[i].cut {
		c.step(c.machines[i], Receive(msg))
	}
}

// settle delivers and syncs everything, without time passing.
func (c *cluster) settle() {
	for range 1000 {
		idle := len(c.network) == 0
		for _, m := range c.machines {
			idle = idle && len(m.queue) == 0
		}
		c.pass()
		if idle {
			return
		}
	}
	c.t.Fatal("the network does not come to rest")
}

// pass delivers and syncs what waits, but not what comes of it.
func (c *cluster) pass() {
	for range len(c.network) {
		c.deliver(0)
	}
	for _, m := range c.machines {
		c.sync(m, len(m.queue), true)
	}
}

// run lets time pass on a network without faults.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick(TickInterval)
		c.settle()
	}
}

// leader returns the established leader, nil if there is none.
func (c *cluster) leader() *machine {
	for _, m := range c.machines {
		if !m.down && !m.cut && m.node.Established() {
			return m
		}
	}
	return nil
}

func (c *cluster) propose(m *machine) uint64 {
	c.sent++
	c.step(m, Propose(c.sent, command(c.sent)))
	return c.sent
}

func (c *cluster) startRead(m *machine) uint64 {
	c.sent++
	c.reads[c.sent] = c.newest
	c.step(m, ReadIndex(c.sent))
	return c.sent
}

// elect runs until there is a leader.
func (c *cluster) elect() *machine {
	for range 10 {
		if m := c.leader(); m != nil {
			return m
		}
		c.run(500 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return nil
}

// commit proposes a command and requires that it is committed.
func (c *cluster) commit() uint64 {
	number := c.propose(c.elect())
	c.settle()
	assert.Equal(c.t, c.outcomes[number].Status, Committed)
	return number
}

func command(number uint64) []byte { return fmt.Appendf(nil, "command %d", number) }
