package membership

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// gossip sends new records and suspicions to a few peers. Once in
// repairInterval, and always while joining, it also asks for bucket digests.
func (m *Membership) gossip(now time.Time) {
	if m.superseded {
		return
	}
	for _, to := range m.pickPeers() {
		req := m.newRequest()
		if !now.Before(m.repairAt) || now.Before(m.joinUntil) {
			m.repairAt = now.Add(repairInterval)
			req.Compare = true
		}
		m.emit(Send{To: to.Name, Address: to.Peer, Request: req})
	}
}

func (m *Membership) newRequest() Request {
	return Request{
		From:        m.own.Name,
		Incarnation: m.own.Version.Incarnation,
		Root:        m.table.root,
		Records:     m.table.nextRumours(),
		Suspicions:  m.suspicions(),
	}
}

// pickPeers returns random daemons to gossip with. Suspected ones are included,
// because a response ends the suspicion. One of the peers is a configured seed
// as long as there are seeds whose daemon is not known.
func (m *Membership) pickPeers() []Daemon {
	var out []Daemon
	if len(m.unknownSeeds) > 0 {
		out = append(out, Daemon{Peer: m.unknownSeeds[m.rand.IntN(len(m.unknownSeeds))]})
	}
	keys := m.table.daemonKeys()
	limit := fanOut
	if len(keys) > largeCluster {
		limit = 1
	}
	for len(keys) > 1 && len(out) < limit {
		d := m.table.items[keys[m.rand.IntN(len(keys))]].record.Daemon
		if d.Name != m.own.Name {
			out = append(out, *d)
		}
	}
	return out
}

// updateUnknownSeeds recomputes which configured seeds belong to no known
// daemon.
func (m *Membership) updateUnknownSeeds() {
	known := map[string]bool{}
	for _, k := range m.table.daemonKeys() {
		known[m.table.items[k].record.Daemon.Peer] = true
	}
	m.unknownSeeds = slices.DeleteFunc(slices.Clone(m.seeds), func(s string) bool { return known[s] })
}

// handleRequest merges what a peer sent and replies to it.
func (m *Membership) handleRequest(now time.Time, ev RequestReceived) {
	req := ev.Request
	m.markAlive(req.From, req.Incarnation)
	for _, r := range req.Records {
		m.merge(now, r)
	}
	m.probeSuspected(now, req.Suspicions)
	resp := Response{From: m.own.Name, Incarnation: m.own.Version.Incarnation}
	switch {
	case req.Repair:
		resp.Records, resp.Want = m.table.compare(req.Versions, req.Buckets)
	case req.Root != m.table.root:
		resp.Records = m.table.nextRumours()
		resp.Suspicions = m.suspicions()
		if req.Compare {
			resp.Sums = slices.Clone(m.table.bucketDigests[:])
			// A daemon that has just started needs an address to send its
			// repair request to.
			own := m.own
			resp.Records = append(resp.Records, Record{Daemon: &own})
		}
	}
	m.emit(Reply{Token: ev.Token, Response: resp})
}

// handleResponse merges what a peer returned, sends the records that the peer
// asked for, and starts a repair if the tables differ.
func (m *Membership) handleResponse(now time.Time, resp Response) {
	m.markAlive(resp.From, resp.Incarnation)
	for _, r := range resp.Records {
		m.merge(now, r)
	}
	m.probeSuspected(now, resp.Suspicions)
	if len(resp.Want) > 0 {
		req := m.newRequest()
		req.Records = m.table.recordsOf(resp.Want)
		m.send(resp.From, req)
	}
	m.requestRepair(resp)
}

// requestRepair sends the versions of all local records in the buckets whose
// digests differ from the peer's.
func (m *Membership) requestRepair(resp Response) {
	if len(resp.Sums) != buckets {
		return
	}
	req := Request{From: m.own.Name, Incarnation: m.own.Version.Incarnation, Root: m.table.root, Repair: true}
	for b, sum := range resp.Sums {
		if sum != m.table.bucketDigests[b] {
			req.Buckets = append(req.Buckets, b)
		}
	}
	if len(req.Buckets) == 0 {
		return
	}
	req.Versions = m.table.versions(resp.Sums)
	m.send(resp.From, req)
}

// send emits a request to a known daemon, unless this process is superseded.
func (m *Membership) send(to ident.Daemon, req Request) {
	if it := m.table.items[Key{Name: string(to)}]; it != nil && !m.superseded {
		m.emit(Send{To: to, Address: it.record.Daemon.Peer, Request: req})
	}
}
