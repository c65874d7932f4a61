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
	// joinPeriod is how long a daemon that has just started compares its table
	// in every exchange: it knows no other member yet, but already receives
	// work and requests.
	joinPeriod      = 3 * time.Second
	expireInterval  = 500 * time.Millisecond
	reprobeInterval = 5 * time.Second
	// minRefreshInterval is the minimum time between versions of a record that
	// contain no urgent change.
	minRefreshInterval = time.Second
	// refreshPerRecord scales the refresh interval with the number of records,
	// so that all of them together produce at most 5 versions a second.
	refreshPerRecord = 300 * time.Millisecond
	// predecessorWindow is how long after the start the record of an earlier
	// process of the same name may still arrive.
	predecessorWindow = 10 * time.Second
	// expiryGrace is added to several refresh intervals to get the lifetime of
	// a record.
	expiryGrace = 5 * time.Second
	// fanOut is the number of peers contacted in each interval. In clusters of
	// more than largeCluster daemons it is one: a rumour then takes a few
	// intervals longer, and the fixed cost of exchanges is halved.
	fanOut       = 2
	largeCluster = 24
	// maxSuspicions limits the suspicions in one message.
	maxSuspicions = 32
)

// Membership is one daemon's table of all daemons and upstreams, with the
// gossip protocol that maintains it. It is not safe for concurrent use.
type Membership struct {
	// own is this daemon's record; its version only increases.
	own Daemon
	// seeds are the configured peer addresses.
	seeds []string
	// unknownSeeds are the seeds that belonged to no known daemon at the last
	// expiry.
	unknownSeeds []string
	rand         *rand.Rand
	table        *table
	// deferred holds announcements that are newer than the table's records but
	// differ from them in load only. They are published at the next refresh.
	deferred map[ident.Upstream]Upstream
	suspects map[ident.Daemon]*suspect
	// superseded is true once a later process of the same name is known.
	superseded bool
	// predecessorUntil is when a greater incarnation under this name is no
	// longer attributed to an earlier process.
	predecessorUntil time.Time
	// changed is true if records or suspicions have changed in this step.
	changed bool

	// joinUntil is when this daemon stops comparing its table in every exchange.
	joinUntil time.Time
	// Times at which the periodic tasks are due next.
	gossipAt, repairAt, refreshAt, expireAt time.Time
	// effects collects the effects of the current step.
	effects []Effect
}

// Config holds the parameters of [New].
type Config struct {
	// Own is this daemon's record. Its incarnation is greater than that of any
	// earlier process of the same name, unless the clock ran backwards.
	Own Daemon
	// Seeds are peer addresses to join through, which may include our own.
	Seeds []string
	// Rand selects peers and spreads timers.
	Rand *rand.Rand
}

// New returns a membership that contains only its own daemon.
func New(now time.Time, c Config) *Membership {
	m := &Membership{
		own:      c.Own,
		rand:     c.Rand,
		table:    newTable(),
		deferred: map[ident.Upstream]Upstream{},
		suspects: map[ident.Daemon]*suspect{},

		gossipAt: now.Add(time.Duration(c.Rand.Int64N(int64(gossipInterval)))),
		repairAt: now,
		expireAt: now,

		predecessorUntil: now.Add(predecessorWindow),
		joinUntil:        now.Add(joinPeriod),
	}
	m.setSeeds(c.Seeds)
	m.publish(now)
	return m
}

// setSeeds replaces the seeds, leaving out this daemon's own address.
func (m *Membership) setSeeds(peers []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(peers), func(s string) bool { return s == m.own.Peer })
}

// Step processes an event and returns the effects to carry out, in order.
func (m *Membership) Step(now time.Time, ev Event) []Effect {
	m.effects, m.changed = nil, false
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case RequestReceived:
		m.handleRequest(now, ev)
	case ResponseReceived:
		m.handleResponse(now, ev.Response)
	case CallFailed:
		m.suspectDaemon(now, ev.Daemon)
	case ProbeResult:
		m.handleProbeResult(now, ev)
	case Announce:
		m.handleAnnouncement(now, ev.Upstream)
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
	return m.effects
}

func (m *Membership) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Membership) tick(now time.Time) {
	if !now.Before(m.expireAt) {
		m.expireAt = now.Add(expireInterval)
		m.expire(now)
		m.updateUnknownSeeds()
	}
	if !now.Before(m.refreshAt) {
		m.publish(now)
	}
	if !now.Before(m.gossipAt) {
		m.gossipAt = now.Add(gossipInterval)
		m.publishDeferred(now)
		m.reprobeUnreachable(now)
		m.gossip(now)
	}
}

// refreshInterval returns the time between versions of a record, which grows
// with the number of records.
func (m *Membership) refreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(len(m.table.items))*refreshPerRecord)
}

// lifetime returns how long a record lasts without a later version.
func (m *Membership) lifetime() time.Duration { return 3*m.refreshInterval() + expiryGrace }

// publish creates a new version of this daemon's own record.
func (m *Membership) publish(now time.Time) {
	if m.superseded {
		return
	}
	m.own.Version.Sequence++
	m.own.Deadline = now.Add(m.lifetime())
	// Randomized, so that daemons that started together don't refresh together.
	half := m.refreshInterval() / 2
	m.refreshAt = now.Add(half + time.Duration(m.rand.Int64N(int64(half))))
	own := m.own
	m.merge(now, Record{Daemon: &own})
}

// merge adds a record to the table if it is newer than the one there.
func (m *Membership) merge(now time.Time, r Record) {
	if r.Daemon != nil && r.Daemon.Name == m.own.Name && !m.isOwn(now, r.Daemon.Version) {
		return
	}
	if !m.table.merge(now, r) {
		return
	}
	m.changed = true
	if r.Upstream != nil && r.Upstream.Version.Compare(m.deferred[r.Upstream.Name].Version) >= 0 {
		delete(m.deferred, r.Upstream.Name)
	}
}

// isOwn reports whether a record with this daemon's name and version v should
// be merged: it is the one that this process published last, or this process is
// superseded. A greater incarnation means that a later process has the name.
// Shortly after the start it is taken for a predecessor's instead, because the
// clock ran backwards over the restart; this daemon then republishes its record
// with a greater incarnation.
func (m *Membership) isOwn(now time.Time, v Version) bool {
	if m.superseded || v == m.own.Version {
		return true
	}
	if v.Incarnation <= m.own.Version.Incarnation {
		return false
	}
	if now.Before(m.predecessorUntil) {
		m.own.Version.Incarnation = v.Incarnation + 1
		m.publish(now)
		return false
	}
	m.superseded = true
	m.emit(Superseded{By: v.Incarnation})
	return true
}

// handleAnnouncement processes an upstream's record. Urgent changes are merged,
// and so gossiped, at once; a change of load alone is deferred until the record
// is due for a refresh.
func (m *Membership) handleAnnouncement(now time.Time, u Upstream) {
	u.Deadline = later(u.Deadline, now.Add(m.lifetime()))
	r := Record{Upstream: &u}
	it := m.table.items[r.Key()]
	if it == nil || !it.record.Upstream.equalExceptLoad(u) || !now.Before(it.receivedAt.Add(m.refreshInterval())) {
		m.merge(now, r)
		return
	}
	if u.Version.Compare(m.newestVersion(u.Name)) > 0 {
		m.deferred[u.Name] = u
		m.changed = true
	}
}

// newestVersion returns the newest known version of an upstream, including
// deferred announcements.
func (m *Membership) newestVersion(name ident.Upstream) Version {
	if u, ok := m.deferred[name]; ok {
		return u.Version
	}
	if it := m.table.items[Key{Upstream: true, Name: string(name)}]; it != nil {
		return it.record.Version()
	}
	return Version{}
}

// publishDeferred merges the deferred announcements that are due.
func (m *Membership) publishDeferred(now time.Time) {
	var due []ident.Upstream
	for name, u := range m.deferred {
		it := m.table.items[Record{Upstream: &u}.Key()]
		if it == nil || !now.Before(it.receivedAt.Add(m.refreshInterval())) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	for _, name := range due {
		u := m.deferred[name]
		delete(m.deferred, name)
		m.merge(now, Record{Upstream: &u})
	}
}

func (m *Membership) expire(now time.Time) {
	if m.table.expire(now) {
		m.changed = true
	}
	for name, u := range m.deferred {
		if !now.Before(u.Deadline) {
			delete(m.deferred, name)
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
