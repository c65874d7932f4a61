package membership

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// replicationTimeout limits a replication. Upstreams wait for an
	// acknowledgement for a second.
	replicationTimeout = 800 * time.Millisecond
	// replicationFanOut is how many daemons without a disk get the record at once.
	// The others get it by gossip.
	replicationFanOut = 16
	// minKeepers is how many keepers are assumed at least, if so many are known or
	// this daemon has just started and may not know all of them. It keeps a daemon
	// that reaches nobody from counting itself alone.
	minKeepers = 3
)

// replication is the copying of one record to other daemons.
type replication struct {
	// waiting are the keepers that have not confirmed their copy.
	waiting map[ident.Daemon]bool
	// missing is how many of them still have to; it is positive.
	missing  int
	deadline time.Time
}

// replicate sends an upstream's record to other daemons at once. It reports
// [Replicated] when a majority of the keepers have it: the record then outlives
// the loss of this daemon, of any number of daemons without a disk and of a
// minority of the keepers.
func (m *Membership) replicate(now time.Time, ev Replicate) {
	it := m.table.items[Key{Upstream: true, Name: string(ev.Upstream)}]
	if it == nil || m.superseded {
		m.emit(ReplicationFailed{Token: ev.Token})
		return
	}
	keepers, others := m.keepers()
	r := &replication{waiting: map[ident.Daemon]bool{}, missing: m.majorityOf(now, keepers), deadline: now.Add(replicationTimeout)}
	for _, d := range keepers {
		r.waiting[d.Name] = true
	}
	m.replications[ev.Token] = r
	m.confirmReplication(ev.Token, m.own.Name)
	m.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, d := range append(keepers, others[:min(len(others), replicationFanOut)]...) {
		if d.Name != m.own.Name {
			req := Request{From: m.own.Name, Incarnation: m.own.Version.Incarnation, Root: m.table.root, Records: []Record{it.record}}
			m.emit(Send{To: d.Name, Address: d.Peer, Request: req, Token: ev.Token})
		}
	}
}

// keepers returns the daemons whose copies of a record count, and the others.
// Daemons with a disk count, since only a minority of them may be lost at once. If
// there are none, all daemons count.
func (m *Membership) keepers() (keepers, others []Daemon) {
	all := m.Daemons()
	hasDisk := func(d Daemon) bool { return d.Disk != "" }
	if !slices.ContainsFunc(all, hasDisk) {
		return all, nil
	}
	for _, d := range all {
		if hasDisk(d) {
			keepers = append(keepers, d)
			continue
		}
		others = append(others, d)
	}
	return keepers, others
}

// majorityOf returns how many of the keepers must have a record. Daemons that have
// been removed stay in the table for a while; they are found to be unreachable and
// don't count.
func (m *Membership) majorityOf(now time.Time, keepers []Daemon) int {
	count := 0
	for _, d := range keepers {
		if !m.Unreachable(d.Name) {
			count++
		}
	}
	least := min(len(keepers), minKeepers)
	if m.Joining(now) {
		least = minKeepers
	}
	return max(count, least)/2 + 1
}

// confirmReplication notes that a daemon has the record of a replication.
func (m *Membership) confirmReplication(token uint64, from ident.Daemon) {
	r := m.replications[token]
	if r == nil || !r.waiting[from] {
		return
	}
	delete(r.waiting, from)
	if r.missing--; r.missing == 0 {
		delete(m.replications, token)
		m.emit(Replicated{Token: token})
	}
}

// expireReplications gives up the replications that take too long.
func (m *Membership) expireReplications(now time.Time) {
	for token, r := range m.replications {
		if !now.Before(r.deadline) {
			delete(m.replications, token)
			m.emit(ReplicationFailed{Token: token})
		}
	}
}

// Joining reports whether this daemon has started so recently that it may not
// know all records yet.
func (m *Membership) Joining(now time.Time) bool { return now.Before(m.joinUntil) }
