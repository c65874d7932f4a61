package peer

import (
	"time"

	"papayaspoke/core/coordination/membership"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

// maxRemaining bounds the time until a deadline in a received record.
const maxRemaining = 24 * time.Hour

// EncodeGossipRequest maps r to its message. Deadlines are sent as the time
// remaining at now, so that the clocks of the two daemons need not agree.
func EncodeGossipRequest(now time.Time, r membership.Request) *peerpb.GossipRequest {
	m := &peerpb.GossipRequest{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		Root:        r.Root,
		Suspicions:  encodeSuspicions(r.Suspicions),
		Compare:     r.Compare,
		Repair:      r.Repair,
	}
	m.Daemons, m.Upstreams = encodeRecords(now, r.Records)
	for _, b := range r.Buckets {
		m.Buckets = append(m.Buckets, uint32(b))
	}
	for _, v := range r.Versions {
		m.Versions = append(m.Versions, &peerpb.GossipVersion{
			Key:         encodeKey(v.Key),
			Incarnation: uint64(v.Version.Incarnation),
			Sequence:    v.Version.Sequence,
		})
	}
	return m
}

// DecodeGossipRequest maps m to a request, or returns [result.Malformed].
func DecodeGossipRequest(now time.Time, m *peerpb.GossipRequest) (membership.Request, error) {
	if err := checkSender(m.GetFrom(), m.GetIncarnation()); err != nil {
		return membership.Request{}, err
	}
	records, err := decodeRecords(now, m.GetDaemons(), m.GetUpstreams())
	if err != nil {
		return membership.Request{}, err
	}
	r := membership.Request{
		From:        ident.Daemon(m.GetFrom()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
		Root:        m.GetRoot(),
		Records:     records,
		Suspicions:  decodeSuspicions(m.GetSuspicions()),
		Compare:     m.GetCompare(),
		Repair:      m.GetRepair(),
	}
	for _, b := range m.GetBuckets() {
		r.Buckets = append(r.Buckets, int(b))
	}
	for _, v := range m.GetVersions() {
		r.Versions = append(r.Versions, membership.KeyVersion{
			Key:     decodeKey(v.GetKey()),
			Version: membership.Version{Incarnation: ident.Incarnation(v.GetIncarnation()), Sequence: v.GetSequence()},
		})
	}
	return r, nil
}

// EncodeGossipResponse maps r to its message. Deadlines are mapped as in
// [EncodeGossipRequest].
func EncodeGossipResponse(now time.Time, r membership.Response) *peerpb.GossipResponse {
	m := &peerpb.GossipResponse{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		Sums:        r.Sums,
		Suspicions:  encodeSuspicions(r.Suspicions),
	}
	m.Daemons, m.Upstreams = encodeRecords(now, r.Records)
	for _, k := range r.Want {
		m.Want = append(m.Want, encodeKey(k))
	}
	return m
}

// DecodeGossipResponse maps m to a response, or returns [result.Malformed].
func DecodeGossipResponse(now time.Time, m *peerpb.GossipResponse) (membership.Response, error) {
	if err := checkSender(m.GetFrom(), m.GetIncarnation()); err != nil {
		return membership.Response{}, err
	}
	records, err := decodeRecords(now, m.GetDaemons(), m.GetUpstreams())
	if err != nil {
		return membership.Response{}, err
	}
	r := membership.Response{
		From:        ident.Daemon(m.GetFrom()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
		Sums:        m.GetSums(),
		Records:     records,
		Suspicions:  decodeSuspicions(m.GetSuspicions()),
	}
	for _, k := range m.GetWant() {
		r.Want = append(r.Want, decodeKey(k))
	}
	return r, nil
}

func encodeKey(k membership.Key) *peerpb.GossipKey {
	return &peerpb.GossipKey{Upstream: k.Upstream, Name: k.Name}
}

func decodeKey(k *peerpb.GossipKey) membership.Key {
	return membership.Key{Upstream: k.GetUpstream(), Name: k.GetName()}
}

func encodeSuspicions(ss []membership.Suspicion) []*peerpb.GossipSuspicion {
	var out []*peerpb.GossipSuspicion
	for _, s := range ss {
		out = append(out, &peerpb.GossipSuspicion{Daemon: string(s.Daemon), Incarnation: uint64(s.Incarnation)})
	}
	return out
}

func decodeSuspicions(ss []*peerpb.GossipSuspicion) []membership.Suspicion {
	var out []membership.Suspicion
	for _, s := range ss {
		out = append(out, membership.Suspicion{
			Daemon: ident.Daemon(s.GetDaemon()), Incarnation: ident.Incarnation(s.GetIncarnation()),
		})
	}
	return out
}

// remainingMillis returns the milliseconds from now until t, 0 if t has passed.
func remainingMillis(now, t time.Time) uint64 {
	return uint64(max(0, t.Sub(now).Milliseconds()))
}

// deadlineAfter is the inverse of [remainingMillis]. The result is at most
// maxRemaining after now.
func deadlineAfter(now time.Time, left uint64) time.Time {
	return now.Add(time.Duration(min(left, uint64(maxRemaining.Milliseconds()))) * time.Millisecond)
}

func encodeRecords(now time.Time, rs []membership.Record) (ds []*peerpb.GossipDaemon, us []*peerpb.GossipUpstream) {
	for _, r := range rs {
		if r.Daemon != nil {
			ds = append(ds, encodeDaemon(now, *r.Daemon))
			continue
		}
		us = append(us, encodeUpstream(now, *r.Upstream))
	}
	return ds, us
}

func decodeRecords(now time.Time, ds []*peerpb.GossipDaemon, us []*peerpb.GossipUpstream) ([]membership.Record, error) {
	var out []membership.Record
	for _, m := range ds {
		d, err := decodeDaemon(now, m)
		if err != nil {
			return nil, err
		}
		out = append(out, membership.Record{Daemon: &d})
	}
	for _, m := range us {
		u, err := decodeUpstream(now, m)
		if err != nil {
			return nil, err
		}
		out = append(out, membership.Record{Upstream: &u})
	}
	return out, nil
}

func encodeDaemon(now time.Time, d membership.Daemon) *peerpb.GossipDaemon {
	m := &peerpb.GossipDaemon{
		Name:        string(d.Name),
		Incarnation: uint64(d.Version.Incarnation),
		Sequence:    d.Version.Sequence,
		Front:       d.Front,
		Power:       d.Power,
		Departures:  d.ReadsDepartures,
		Caller:      d.Caller,
		Peer:        d.Peer,
		Operator:    d.Operator,
		Centre:      string(d.DataCentre),
		Draining:    d.Draining,
		Disk:        d.Disk,
		Waiting:     d.Waiting,
		Running:     d.Running,
		Left:        remainingMillis(now, d.Deadline),
	}
	if d.Draining {
		m.Reachable = remainingMillis(now, d.ReachableUntil)
	}
	return m
}

func decodeDaemon(now time.Time, m *peerpb.GossipDaemon) (membership.Daemon, error) {
	if m.GetName() == "" || m.GetIncarnation() == 0 || m.GetPeer() == "" {
		return membership.Daemon{}, result.New(result.Malformed, "daemon %q has no name, no incarnation or no address", m.GetName())
	}
	d := membership.Daemon{
		Name:            ident.Daemon(m.GetName()),
		Version:         membership.Version{Incarnation: ident.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence()},
		Caller:          m.GetCaller(),
		Front:           m.GetFront(),
		Power:           m.GetPower(),
		ReadsDepartures: m.GetDepartures(),
		Peer:            m.GetPeer(),
		Operator:        m.GetOperator(),
		DataCentre:      ident.DataCentre(m.GetCentre()),
		Draining:        m.GetDraining(),
		Disk:            m.GetDisk(),
		Waiting:         m.GetWaiting(),
		Running:         m.GetRunning(),
		Deadline:        deadlineAfter(now, m.GetLeft()),
	}
	if d.Draining {
		d.ReachableUntil = deadlineAfter(now, m.GetReachable())
	}
	return d, nil
}

func encodeUpstream(now time.Time, u membership.Upstream) *peerpb.GossipUpstream {
	m := &peerpb.GossipUpstream{
		Name:            string(u.Name),
		Incarnation:     uint64(u.Version.Incarnation),
		Sequence:        u.Version.Sequence,
		Kind:            uint32(u.Kind),
		Model:           string(u.Model),
		Service:         string(u.Service),
		Address:         u.Address,
		Centre:          string(u.DataCentre),
		Slots:           u.Slots,
		Batch:           u.MaxBatch,
		Fence:           u.HonoursFence,
		Resumes:         u.Resumes,
		IdempotentPaths: u.IdempotentPaths,
		Running:         u.InFlight,
		Queue:           u.Queue,
		Prefixes:        u.Prefixes,
		Leaving:         u.Leaving,
		Left:            remainingMillis(now, u.Deadline),
	}
	for _, a := range u.Residents {
		m.Residents = append(m.Residents, a.String())
	}
	return m
}

func decodeUpstream(now time.Time, m *peerpb.GossipUpstream) (membership.Upstream, error) {
	kind := membership.Kind(m.GetKind())
	if m.GetName() == "" || m.GetIncarnation() == 0 || m.GetAddress() == "" {
		return membership.Upstream{}, result.New(result.Malformed, "upstream %q has no name, no incarnation or no address", m.GetName())
	}
	if kind < membership.Engine || kind > membership.Routed || uint32(kind) != m.GetKind() {
		return membership.Upstream{}, result.New(result.Malformed, "upstream %q has unknown kind %d", m.GetName(), m.GetKind())
	}
	u := membership.Upstream{
		Name:            ident.Upstream(m.GetName()),
		Version:         membership.Version{Incarnation: ident.Incarnation(m.GetIncarnation()), Sequence: m.GetSequence()},
		Kind:            kind,
		Model:           ident.Model(m.GetModel()),
		Service:         ident.Service(m.GetService()),
		Address:         m.GetAddress(),
		DataCentre:      ident.DataCentre(m.GetCentre()),
		Slots:           m.GetSlots(),
		MaxBatch:        m.GetBatch(),
		HonoursFence:    m.GetFence(),
		Resumes:         m.GetResumes(),
		IdempotentPaths: m.GetIdempotentPaths(),
		InFlight:        m.GetRunning(),
		Queue:           m.GetQueue(),
		Prefixes:        m.GetPrefixes(),
		Leaving:         m.GetLeaving(),
		Deadline:        deadlineAfter(now, m.GetLeft()),
	}
	for _, s := range m.GetResidents() {
		a, err := ident.ParseAdapter(s)
		if err != nil {
			return membership.Upstream{}, result.New(result.Malformed, "upstream %q: %w", m.GetName(), err)
		}
		u.Residents = append(u.Residents, a)
	}
	return u, nil
}
