package membership

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// gossip tells a few daemons what is new.
func (m *Membership) gossip(now time.Time) {
	if m.superseded {
		return
	}
	for _, to := range m.partners() {
		req := m.request()
		if !now.Before(m.repairAt) || now.Before(m.joinedAt) {
			m.repairAt = now.Add(repairInterval)
			req.Compare = true
		}
		m.emit(Send{To: to.Name, Address: to.Peer, Request: req})
	}
}

func (m *Membership) request() Request {
	return Request{
		From:        m.own.Name,
		Incarnation: m.own.Version.Incarnation,
		Root:        m.table.root,
		Records:     m.table.rumoured(),
		Suspicions:  m.suspicions(),
	}
}

// partners picks daemons at random, suspected ones too: an answer clears
// them. One of them is an address of the settings as long as its daemon is
// not known.
func (m *Membership) partners() []Daemon {
	var out []Daemon
	if len(m.unmet) > 0 {
		out = append(out, Daemon{Peer: m.unmet[m.rand.IntN(len(m.unmet))]})
	}
	keys := m.table.daemonKeys()
	most := fanOut
	if len(keys) > manyDaemons {
		most = 1
	}
	for len(keys) > 1 && len(out) < most {
		d := m.table.items[keys[m.rand.IntN(len(keys))]].record.Daemon
		if d.Name != m.own.Name {
			out = append(out, *d)
		}
	}
	return out
}

// meet finds the addresses of the settings that belong to no daemon known.
func (m *Membership) meet() {
	met := map[string]bool{}
	for _, k := range m.table.daemonKeys() {
		met[m.table.items[k].record.Daemon.Peer] = true
	}
	m.unmet = slices.DeleteFunc(slices.Clone(m.seeds), func(s string) bool { return met[s] })
}

func (m *Membership) received(now time.Time, ev RequestReceived) {
	req := ev.Request
	m.heardFrom(req.From, req.Incarnation)
	for _, r := range req.Records {
		m.put(now, r)
	}
	m.consider(now, req.Suspicions)
	resp := Response{From: m.own.Name, Incarnation: m.own.Version.Incarnation}
	switch {
	case req.Repair:
		resp.Records, resp.Want = m.table.compare(req.Versions, req.Buckets)
	case req.Root != m.table.root:
		resp.Records = m.table.rumoured()
		resp.Suspicions = m.suspicions()
		if req.Compare {
			resp.Sums = slices.Clone(m.table.sums[:])
			// Whoever has just started can't go on without an address.
			own := m.own
			resp.Records = append(resp.Records, Record{Daemon: &own})
		}
	}
	m.emit(Reply{Token: ev.Token, Response: resp})
}

func (m *Membership) answered(now time.Time, resp Response) {
	m.heardFrom(resp.From, resp.Incarnation)
	for _, r := range resp.Records {
		m.put(now, r)
	}
	m.consider(now, resp.Suspicions)
	if len(resp.Want) > 0 {
		req := m.request()
		req.Records = m.table.wanted(resp.Want)
		m.send(resp.From, req)
	}
	m.repair(resp)
}

// repair lists what is here in the buckets that differ.
func (m *Membership) repair(resp Response) {
	if len(resp.Sums) != buckets {
		return
	}
	req := Request{From: m.own.Name, Incarnation: m.own.Version.Incarnation, Root: m.table.root, Repair: true}
	for b, sum := range resp.Sums {
		if sum != m.table.sums[b] {
			req.Buckets = append(req.Buckets, b)
		}
	}
	if len(req.Buckets) == 0 {
		return
	}
	req.Versions = m.table.versions(resp.Sums)
	m.send(resp.From, req)
}

func (m *Membership) send(to ident.Daemon, req Request) {
	if it := m.table.items[Key{Name: string(to)}]; it != nil && !m.superseded {
		m.emit(Send{To: to, Address: it.record.Daemon.Peer, Request: req})
	}
}
