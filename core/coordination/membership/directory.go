package membership

import "papayaspoke/core/ident"

// Own returns this daemon's record as published last.
func (m *Membership) Own() Daemon { return m.own }

// Daemons returns all daemons known, by name, suspected and draining ones
// included.
func (m *Membership) Daemons() []Daemon {
	var out []Daemon
	for _, k := range m.table.keys() {
		if d := m.table.items[k].record.Daemon; d != nil {
			out = append(out, *d)
		}
	}
	return out
}

// Daemon returns the record of the daemon of that name.
func (m *Membership) Daemon(name ident.Daemon) (Daemon, bool) {
	it := m.table.items[Key{Name: string(name)}]
	if it == nil {
		return Daemon{}, false
	}
	return *it.record.Daemon, true
}

// Unreachable reports whether a new connection to the daemon has failed and
// nothing has been heard of it since.
func (m *Membership) Unreachable(name ident.Daemon) bool {
	s := m.suspects[name]
	if s == nil || !s.unreachable {
		return false
	}
	d, ok := m.Daemon(name)
	return ok && d.Version.Incarnation == s.inc
}

// AdvertisedDaemons returns the daemons that callers may be told of, by name: those
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

// Upstreams returns all upstreams known, by name, leaving ones included.
func (m *Membership) Upstreams() []Upstream {
	var out []Upstream
	for _, k := range m.table.keys() {
		u := m.table.items[k].record.Upstream
		if u == nil {
			continue
		}
		if held, ok := m.held[u.Name]; ok {
			u = &held
		}
		out = append(out, *u)
	}
	return out
}

// Upstream returns the newest record of the upstream of that name.
func (m *Membership) Upstream(name ident.Upstream) (Upstream, bool) {
	it := m.table.items[Key{Upstream: true, Name: string(name)}]
	if it == nil {
		return Upstream{}, false
	}
	if held, ok := m.held[name]; ok {
		return held, true
	}
	return *it.record.Upstream, true
}
