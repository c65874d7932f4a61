package peer

import (
	"maps"
	"slices"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/coordination/witness"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/peer/peerpb"
)

// EncodeWitnessRequest maps r to its message.
func EncodeWitnessRequest(r witness.Request) *peerpb.WitnessRequest {
	return &peerpb.WitnessRequest{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		Round:       r.Round,
		Applied:     r.Applied,
		Visible:     r.Visible,
		Digest:      r.Digest,
		Vector:      encodeVector(r.Vector),
		Entries:     encodeWitnessEntries(r.Entries),
		Want:        r.WantEntries,
	}
}

// DecodeWitnessRequest maps m to a request, or returns [result.Malformed].
func DecodeWitnessRequest(m *peerpb.WitnessRequest) (witness.Request, error) {
	if err := checkSender(m.GetFrom(), m.GetIncarnation()); err != nil {
		return witness.Request{}, err
	}
	entries, err := decodeWitnessEntries(m.GetEntries())
	if err != nil {
		return witness.Request{}, err
	}
	return witness.Request{
		From:        ident.Daemon(m.GetFrom()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
		Round:       m.GetRound(),
		Applied:     m.GetApplied(),
		Visible:     m.GetVisible(),
		Digest:      m.GetDigest(),
		Vector:      decodeVector(m.GetVector()),
		Entries:     entries,
		WantEntries: m.GetWant(),
	}, nil
}

// EncodeWitnessResponse maps r to its message.
func EncodeWitnessResponse(r witness.Response) *peerpb.WitnessResponse {
	m := &peerpb.WitnessResponse{
		From:        string(r.From),
		Incarnation: uint64(r.Incarnation),
		Round:       r.Round,
		Standing:    r.Active,
		Applied:     r.Applied,
		Floor:       r.Floor,
		Visible:     r.Visible,
		Digest:      r.Digest,
		Vector:      encodeVector(r.Vector),
		Missing:     r.Missing,
		Entries:     encodeWitnessEntries(r.Entries),
	}
	if s := r.Snapshot; s.Index > 0 {
		m.Snapshot = &peerpb.WitnessSnapshot{Index: s.Index, Term: s.Term, Data: s.Data}
	}
	return m
}

// DecodeWitnessResponse maps m to a response, or returns [result.Malformed].
func DecodeWitnessResponse(m *peerpb.WitnessResponse) (witness.Response, error) {
	if err := checkSender(m.GetFrom(), m.GetIncarnation()); err != nil {
		return witness.Response{}, err
	}
	entries, err := decodeWitnessEntries(m.GetEntries())
	if err != nil {
		return witness.Response{}, err
	}
	s := m.GetSnapshot()
	return witness.Response{
		From:        ident.Daemon(m.GetFrom()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
		Round:       m.GetRound(),
		Active:      m.GetStanding(),
		Applied:     m.GetApplied(),
		Floor:       m.GetFloor(),
		Visible:     m.GetVisible(),
		Digest:      m.GetDigest(),
		Vector:      decodeVector(m.GetVector()),
		Missing:     m.GetMissing(),
		Entries:     entries,
		Snapshot:    witness.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Data: s.GetData()},
	}, nil
}

// checkSender rejects messages that lack the sender's name or incarnation.
func checkSender(from string, incarnation uint64) error {
	if from == "" || incarnation == 0 {
		return result.New(result.Malformed, "message has no sender or no incarnation")
	}
	return nil
}

func encodeVector(v witness.Vector) []*peerpb.WitnessIncarnation {
	var out []*peerpb.WitnessIncarnation
	for _, d := range slices.Sorted(maps.Keys(v)) {
		out = append(out, &peerpb.WitnessIncarnation{Daemon: string(d), Incarnation: uint64(v[d])})
	}
	return out
}

func decodeVector(items []*peerpb.WitnessIncarnation) witness.Vector {
	if len(items) == 0 {
		return nil
	}
	v := make(witness.Vector, len(items))
	for _, i := range items {
		d := ident.Daemon(i.GetDaemon())
		v[d] = max(v[d], ident.Incarnation(i.GetIncarnation()))
	}
	return v
}

func encodeWitnessEntries(es []entry.Entry) []*peerpb.WitnessEntry {
	var out []*peerpb.WitnessEntry
	for _, e := range es {
		out = append(out, &peerpb.WitnessEntry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

// decodeWitnessEntries rejects entries with gaps, since applying them would
// make the states of daemons diverge.
func decodeWitnessEntries(items []*peerpb.WitnessEntry) ([]entry.Entry, error) {
	var out []entry.Entry
	for i, e := range items {
		if e.GetIndex() == 0 || i > 0 && e.GetIndex() != out[i-1].Index+1 {
			return nil, result.New(result.Malformed, "entry %d is out of order", e.GetIndex())
		}
		kind := entry.Kind(e.GetKind())
		if kind < entry.Noop || kind > entry.Voters || uint32(kind) != e.GetKind() {
			return nil, result.New(result.Malformed, "entry %d has unknown kind %d", e.GetIndex(), e.GetKind())
		}
		out = append(out, entry.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: kind, Data: e.GetData()})
	}
	return out, nil
}
