package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	gossipInterval = 200 * time.Millisecond
	repairInterval = 2 * time.Second
	// joinTime is how long a daemon that has just started compares its table in
	// every exchange: it knows nobody, and others send work and questions to it.
	joinTime       = 3 * time.Second
	expireInterval = 500 * time.Millisecond
	reprobeAfter   = 5 * time.Second
	// minRefresh is the least time between versions of a record that differ
	// in nothing that must be known at once.
	minRefresh = time.Second
	// refreshPerRecord makes the interval grow with the number of records, so
	// that all of them together bring at most 5 versions a second.
	refreshPerRecord = 300 * time.Millisecond
	// settleTime is how long after the start the record of an earlier process
	// of the same name may still turn up.
	settleTime = 10 * time.Second
	// graceExpiry is added to several refresh intervals for a deadline.
	graceExpiry = 5 * time.Second
	// fanOut is how many daemons are asked in each interval, as long as there are
	// no more than manyDaemons; then one is. A rumour then takes a few intervals
	// more, and what each exchange costs besides its records counts half.
	fanOut      = 2
	manyDaemons = 24
	// maxSuspicions bounds the suspicions of one message.
	maxSuspicions = 32
)

// Membership keeps one daemon's table of all daemons and upstreams. It is not
// safe for concurrent use.
type Membership struct {
	// own is this daemon's record; its version only grows.
	own Daemon
	// seeds are peer addresses of the settings.
	seeds []string
	// unmet are the seeds that belonged to no daemon known at the last expiry.
	unmet []string
	rand  *rand.Rand
	table *table
	// held are announcements that differ from the table's records in their
	// load only and are spread later. Their versions are newer.
	held map[ident.Upstream]Upstream
	// suspects are keyed by daemon.
	suspects map[ident.Daemon]*suspect
	// superseded is true once a later process is known to have this name.
	superseded bool
	// settledAt is when a greater incarnation under this name is no longer
	// taken for that of an earlier process.
	settledAt time.Time
	// changed is true if the directory has changed in this step.
	changed bool

	// joinedAt is when this daemon stops comparing its table in every exchange.
	joinedAt time.Time
	// Deadlines of what is due next.
	gossipAt, repairAt, refreshAt, expireAt time.Time
	// out collects the effects of the current step.
	out []Effect
}

// Config is what a [Membership] is made from.
type Config struct {
	// Own is this daemon's record. Its incarnation is greater than that of
	// any earlier process of the same name, as far as the clock allows.
	Own Daemon
	// Seeds are peer addresses to join through, which may include our own.
	Seeds []string
	// Rand picks the daemons to gossip with.
	Rand *rand.Rand
}

// New returns a membership that knows of its own daemon only.
func New(now time.Time, c Config) *Membership {
	m := &Membership{
		own:      c.Own,
		rand:     c.Rand,
		table:    newTable(),
		held:     map[ident.Upstream]Upstream{},
		suspects: map[ident.Daemon]*suspect{},
		gossipAt: now.Add(time.Duration(c.Rand.Int64N(int64(gossipInterval)))),
		repairAt: now,
		expireAt: now,

		settledAt: now.Add(settleTime),
		joinedAt:  now.Add(joinTime),
	}
	m.setSeeds(c.Seeds)
	m.publish(now)
	return m
}

// setSeeds replaces the seeds, leaving out this daemon's own address.
func (m *Membership) setSeeds(peers []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(peers), func(s string) bool { return s == m.own.Peer })
}

// Step takes an event and returns what is to be done about it, in order.
func (m *Membership) Step(now time.Time, ev Event) []Effect {
	m.out, m.changed = nil, false
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case RequestReceived:
		m.received(now, ev)
	case ResponseReceived:
		m.answered(now, ev.Response)
	case CallFailed:
		m.failed(now, ev.Daemon)
	case ProbeResult:
		m.probed(now, ev)
	case Announce:
		m.announced(now, ev.Upstream)
	case Seeds:
		m.setSeeds(ev.Peers)
	case LoadUpdate:
		m.own.Waiting, m.own.Running = ev.Waiting, ev.Running
	case Drain:
		m.own.Draining, m.own.ReachableUntil = true, ev.ReachableUntil
		m.publish(now)
	}
	if m.changed {
		m.emit(Changed{})
	}
	return m.out
}

func (m *Membership) emit(e Effect) { m.out = append(m.out, e) }

func (m *Membership) tick(now time.Time) {
	if !now.Before(m.expireAt) {
		m.expireAt = now.Add(expireInterval)
		m.expire(now)
		m.meet()
	}
	if !now.Before(m.refreshAt) {
		m.publish(now)
	}
	if !now.Before(m.gossipAt) {
		m.gossipAt = now.Add(gossipInterval)
		m.release(now)
		m.reprobe(now)
		m.gossip(now)
	}
}

// refresh is the time between versions of a record, which grows with the
// number of records.
func (m *Membership) refresh() time.Duration {
	return max(minRefresh, time.Duration(len(m.table.items))*refreshPerRecord)
}

// lifetime is how long a record lasts without a later version.
func (m *Membership) lifetime() time.Duration { return 3*m.refresh() + graceExpiry }

// publish makes a new version of this daemon's own record.
func (m *Membership) publish(now time.Time) {
	if m.superseded {
		return
	}
	m.own.Version.Sequence++
	m.own.Deadline = now.Add(m.lifetime())
	// Spread, so that daemons that started together don't refresh together.
	half := m.refresh() / 2
	m.refreshAt = now.Add(half + time.Duration(m.rand.Int64N(int64(half))))
	own := m.own
	m.put(now, Record{Daemon: &own})
}

// put takes over a record that may be newer.
func (m *Membership) put(now time.Time, r Record) {
	if r.Daemon != nil && r.Daemon.Name == m.own.Name && !m.isOwn(now, r.Daemon.Version) {
		return
	}
	if !m.table.put(now, r) {
		return
	}
	m.changed = true
	if r.Upstream != nil && r.Upstream.Version.Compare(m.held[r.Upstream.Name].Version) >= 0 {
		delete(m.held, r.Upstream.Name)
	}
}

// isOwn reports whether v, of a record with this daemon's name, is the one
// that it has published last. It notices a later process of that name, unless
// this one has only just started: then its clock ran backwards over the
// restart, and it takes a greater incarnation than its predecessor's.
func (m *Membership) isOwn(now time.Time, v Version) bool {
	if m.superseded || v == m.own.Version {
		return true
	}
	if v.Incarnation <= m.own.Version.Incarnation {
		return false
	}
	if now.Before(m.settledAt) {
		m.own.Version.Incarnation = v.Incarnation + 1
		m.publish(now)
		return false
	}
	m.superseded = true
	m.emit(Superseded{By: v.Incarnation})
	return true
}

// announced takes what an upstream said. What matters at once is spread at
// once; a change of its load only when the record is due for a refresh.
func (m *Membership) announced(now time.Time, u Upstream) {
	u.Deadline = later(u.Deadline, now.Add(m.lifetime()))
	r := Record{Upstream: &u}
	it := m.table.items[r.Key()]
	if it == nil || !it.record.Upstream.sameButLoad(u) || !now.Before(it.heardAt.Add(m.refresh())) {
		m.put(now, r)
		return
	}
	if u.Version.Compare(m.newest(u.Name)) > 0 {
		m.held[u.Name] = u
		m.changed = true
	}
}

// newest returns the newest version known of an upstream, held or not.
func (m *Membership) newest(name ident.Upstream) Version {
	if u, ok := m.held[name]; ok {
		return u.Version
	}
	if it := m.table.items[Key{Upstream: true, Name: string(name)}]; it != nil {
		return it.record.Version()
	}
	return Version{}
}

// release spreads the announcements that were held and are due.
func (m *Membership) release(now time.Time) {
	var due []ident.Upstream
	for name, u := range m.held {
		it := m.table.items[Record{Upstream: &u}.Key()]
		if it == nil || !now.Before(it.heardAt.Add(m.refresh())) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		u := m.held[name]
		delete(m.held, name)
		m.put(now, Record{Upstream: &u})
	}
}

func (m *Membership) expire(now time.Time) {
	if m.table.expire(now) {
		m.changed = true
	}
	for name, u := range m.held {
		if !now.Before(u.Deadline) {
			delete(m.held, name)
			m.changed = true
		}
	}
	for name := range m.suspects {
		if m.table.items[Key{Name: string(name)}] == nil {
			delete(m.suspects, name)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
