package membership

import "papayaspoke/core/ident"

// Own returns this daemon's record as last published.
func (m *Membership) Own() Daemon { return m.own }

// Daemons returns all known daemons, sorted by name, including suspected and
// draining ones.
func (m *Membership) Daemons() []Daemon {
	var out []Daemon
	for _, k := range m.table.keys() {
		if d := m.table.items[k].record.Daemon; d != nil {
			out = append(out, *d)
		}
	}
	return out
}

// Daemon returns the record of the named daemon.
func (m *Membership) Daemon(name ident.Daemon) (Daemon, bool) {
	it := m.table.items[Key{Name: string(name)}]
	if it == nil {
		return Daemon{}, false
	}
	return *it.record.Daemon, true
}

// Unreachable reports whether a new connection to the daemon's current run has
// failed and the daemon has not been reached since.
func (m *Membership) Unreachable(name ident.Daemon) bool {
	s := m.suspects[name]
	if s == nil || !s.unreachable {
		return false
	}
	d, ok := m.Daemon(name)
	return ok && d.Version.Incarnation == s.incarnation
}

// AdvertisedDaemons returns the daemons to advertise to callers, sorted by name: those
// that are neither draining nor unreachable.
func (m *Membership) AdvertisedDaemons() []Daemon {
	var out []Daemon
	for _, d := range m.Daemons() {
		if !d.Draining && !m.Unreachable(d.Name) {
			out = append(out, d)
		}
	}
	return out
}

// Upstreams returns the newest records of all known upstreams, sorted by name,
// including leaving ones.
func (m *Membership) Upstreams() []Upstream {
	var out []Upstream
	for _, k := range m.table.keys() {
		u := m.table.items[k].record.Upstream
		if u == nil {
			continue
		}
		if deferred, ok := m.deferred[u.Name]; ok {
			u = &deferred
		}
		out = append(out, *u)
	}
	return out
}

// Upstream returns the newest record of the named upstream.
func (m *Membership) Upstream(name ident.Upstream) (Upstream, bool) {
	it := m.table.items[Key{Upstream: true, Name: string(name)}]
	if it == nil {
		return Upstream{}, false
	}
	if deferred, ok := m.deferred[name]; ok {
		return deferred, true
	}
	return *it.record.Upstream, true
}
