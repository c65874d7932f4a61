package membership

import (
	"maps"
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// suspect is a daemon about which there is doubt.
type suspect struct {
	// inc is the run that is doubted.
	inc ident.Incarnation
	// probing is true while a probe is under way.
	probing bool
	// unreachable is true once a probe over a new connection has failed.
	unreachable bool
	// probeAt is when it may be probed again.
	probeAt time.Time
	// sends is how often the suspicion is still to be passed on.
	sends int
}

// failed doubts a daemon: only a new connection can tell a dead daemon from
// one whose old connections have gone silent.
func (m *Membership) failed(now time.Time, d ident.Daemon) {
	it := m.table.items[Key{Name: string(d)}]
	if it == nil || d == m.own.Name {
		return
	}
	s := m.suspects[d]
	if s == nil || s.inc != it.record.Daemon.Version.Incarnation {
		s = &suspect{inc: it.record.Daemon.Version.Incarnation}
		m.suspects[d] = s
	}
	if s.probing || now.Before(s.probeAt) {
		return
	}
	s.probing = true
	s.probeAt = now.Add(reprobeAfter)
	m.emit(ProbeNewConnection{Daemon: d, Address: it.record.Daemon.Peer})
}

func (m *Membership) probed(now time.Time, p ProbeResult) {
	s := m.suspects[p.Daemon]
	if s == nil {
		return
	}
	s.probing = false
	if p.OK {
		m.clear(p.Daemon)
		return
	}
	s.probeAt = now.Add(reprobeAfter)
	if !s.unreachable {
		s.unreachable = true
		s.sends = m.table.urgentSends()
		m.changed = true
	}
}

// clear ends the doubt about d. What is left keeps a further failure from
// being probed at once.
func (m *Membership) clear(d ident.Daemon) {
	s := m.suspects[d]
	if s != nil && s.unreachable {
		m.changed = true
	}
	if s != nil {
		s.unreachable, s.sends = false, 0
	}
}

// heardFrom ends the doubt about a daemon that has spoken to us.
func (m *Membership) heardFrom(d ident.Daemon, inc ident.Incarnation) {
	if s := m.suspects[d]; s != nil && s.inc <= inc {
		m.clear(d)
	}
}

// consider probes those that others could not reach. Their word alone is not
// enough, since the fault may lie on their side.
func (m *Membership) consider(now time.Time, suspicions []Suspicion) {
	for _, s := range suspicions {
		it := m.table.items[Key{Name: string(s.Daemon)}]
		if it != nil && it.record.Daemon.Version.Incarnation == s.Incarnation {
			m.failed(now, s.Daemon)
		}
	}
}

// reprobe tries those again that could not be reached.
func (m *Membership) reprobe(now time.Time) {
	for _, d := range slices.Sorted(maps.Keys(m.suspects)) {
		if m.suspects[d].unreachable {
			m.failed(now, d)
		}
	}
}

// suspicions returns those to pass on, bounded for one message.
func (m *Membership) suspicions() []Suspicion {
	var out []Suspicion
	for _, d := range slices.Sorted(maps.Keys(m.suspects)) {
		s := m.suspects[d]
		if s.sends == 0 || len(out) == maxSuspicions {
			continue
		}
		s.sends--
		out = append(out, Suspicion{Daemon: d, Incarnation: s.inc})
	}
	return out
}
