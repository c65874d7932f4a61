package membership

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// suspect is the state of the failure detector for one daemon.
type suspect struct {
	// incarnation is the suspected run.
	incarnation ident.Incarnation
	// probing is true while a probe is in progress.
	probing bool
	// unreachable is true once a probe over a new connection has failed.
	unreachable bool
	// probeAt is the earliest time of the next probe.
	probeAt time.Time
	// sendsLeft is how many more times the suspicion is to be forwarded.
	sendsLeft int
}

// suspectDaemon starts a probe of a daemon. Only a new connection distinguishes
// a dead daemon from one whose existing connections have stalled.
func (m *Membership) suspectDaemon(now time.Time, d ident.Daemon) {
	it := m.table.items[Key{Name: string(d)}]
	if it == nil || d == m.own.Name {
		return
	}
	s := m.suspects[d]
	if s == nil || s.incarnation != it.record.Daemon.Version.Incarnation {
		s = &suspect{incarnation: it.record.Daemon.Version.Incarnation}
		m.suspects[d] = s
	}
	if s.probing || now.Before(s.probeAt) {
		return
	}
	s.probing = true
	s.probeAt = now.Add(reprobeInterval)
	m.emit(ProbeNewConnection{Daemon: d, Address: it.record.Daemon.Peer})
}

// handleProbeResult clears the suspicion, or marks the daemon unreachable and
// queues the suspicion for gossip.
func (m *Membership) handleProbeResult(now time.Time, p ProbeResult) {
	s := m.suspects[p.Daemon]
	if s == nil {
		return
	}
	s.probing = false
	if p.OK {
		m.clear(p.Daemon)
		return
	}
	s.probeAt = now.Add(reprobeInterval)
	if !s.unreachable {
		s.unreachable = true
		s.sendsLeft = m.table.urgentSends()
		m.changed = true
	}
}

// clear ends the suspicion of d. The entry remains, so that its probeAt
// delays the probe after a further failure.
func (m *Membership) clear(d ident.Daemon) {
	s := m.suspects[d]
	if s != nil && s.unreachable {
		m.changed = true
	}
	if s != nil {
		s.unreachable, s.sendsLeft = false, 0
	}
}

// markAlive ends the suspicion of a daemon that has sent us a message.
func (m *Membership) markAlive(d ident.Daemon, incarnation ident.Incarnation) {
	if s := m.suspects[d]; s != nil && s.incarnation <= incarnation {
		m.clear(d)
	}
}

// probeSuspected probes the daemons that other daemons could not reach. Their
// reports alone are not enough, since the fault may be on their side.
func (m *Membership) probeSuspected(now time.Time, suspicions []Suspicion) {
	for _, s := range suspicions {
		it := m.table.items[Key{Name: string(s.Daemon)}]
		if it != nil && it.record.Daemon.Version.Incarnation == s.Incarnation {
			m.suspectDaemon(now, s.Daemon)
		}
	}
}

// reprobeUnreachable probes the unreachable daemons again.
func (m *Membership) reprobeUnreachable(now time.Time) {
	for _, d := range slices.Sorted(maps.Keys(m.suspects)) {
		if m.suspects[d].unreachable {
			m.suspectDaemon(now, d)
		}
	}
}

// suspicions returns the suspicions to forward, at most maxSuspicions, and
// counts them as sent once.
func (m *Membership) suspicions() []Suspicion {
	var out []Suspicion
	for _, d := range slices.Sorted(maps.Keys(m.suspects)) {
		s := m.suspects[d]
		if s.sendsLeft == 0 || len(out) == maxSuspicions {
			continue
		}
		s.sendsLeft--
		out = append(out, Suspicion{Daemon: d, Incarnation: s.incarnation})
	}
	return out
}
