package peer

import (
	"google.golang.org/protobuf/proto"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer/peerpb"
)

// EncodeOutcome returns the encoding of an outcome.
func EncodeOutcome(o state.Outcome) ([]byte, error) { return encode(outcomeToWire(o)) }

// DecodeOutcome decodes an outcome.
func DecodeOutcome(b []byte) (state.Outcome, error) {
	p := &peerpb.Outcome{}
	if err := proto.Unmarshal(b, p); err != nil {
		return state.Outcome{}, result.New(result.Malformed, "outcome: %w", err)
	}
	return outcomeFromWire(p), nil
}

// EncodeSnapshot returns the encoding of a snapshot. Equal states have equal
// encodings.
func EncodeSnapshot(s state.Snapshot) ([]byte, error) {
	p := &peerpb.StateSnapshot{
		Index:          s.Index,
		Version:        s.Version,
		Classes:        mapSlice(s.Classes, classToWire),
		Models:         mapSlice(s.Models, modelToWire),
		Adapters:       mapSlice(s.Adapters, adapterToWire),
		Store:          storeToWire(s.Store),
		WitnessVersion: s.WitnessVersion,
		Former:         namesToWire(s.FormerWitnesses),
		WitnessIndex:   s.WitnessChangeIndex,
		Owners:         mapSlice(s.Owners, ownershipToWire),
		Sequence:       s.Sequence,
		Entries:        mapSlice(s.Entries, entryToWire),
		Expired:        timeToWire(s.Expired),
		Routing:        &peerpb.Routing{Version: s.Routing.Version, Document: s.Routing.Document},
		Namings:        mapSlice(s.NamedVersions, namingToWire),
		Placer:         placerToWire(s.Placer),
		Departures:     mapSlice(s.Departures, departureToWire),
	}
	for _, d := range s.Drained {
		p.Drained = append(p.Drained, &peerpb.VersionedDaemon{Name: string(d.Name), Version: d.Version})
	}
	for _, w := range s.Witnesses {
		p.Witnesses = append(p.Witnesses, &peerpb.VersionedDaemon{Name: string(w.Name), Version: w.Version})
	}
	for _, q := range s.Quarantined {
		p.Quarantined = append(p.Quarantined, &peerpb.QuarantineDigest{Digest: q.Digest, Until: timeToWire(q.Until)})
	}
	for _, r := range s.Records {
		q, err := recordToWire(r)
		if err != nil {
			return nil, err
		}
		p.Records = append(p.Records, q)
	}
	return encode(p)
}

// DecodeSnapshot decodes a snapshot.
func DecodeSnapshot(b []byte) (state.Snapshot, error) {
	p := &peerpb.StateSnapshot{}
	if err := proto.Unmarshal(b, p); err != nil {
		return state.Snapshot{}, result.New(result.DiskDamaged, "snapshot: %w", err)
	}
	s := state.Snapshot{
		Index:              p.GetIndex(),
		Version:            p.GetVersion(),
		Classes:            mapSlice(p.GetClasses(), classFromWire),
		Models:             mapSlice(p.GetModels(), modelFromWire),
		Adapters:           mapSlice(p.GetAdapters(), adapterFromWire),
		Store:              storeFromWire(p.GetStore()),
		WitnessVersion:     p.GetWitnessVersion(),
		FormerWitnesses:    namesFromWire(p.GetFormer()),
		WitnessChangeIndex: p.GetWitnessIndex(),
		Owners:             mapSlice(p.GetOwners(), ownershipFromWire),
		Sequence:           p.GetSequence(),
		Entries:            mapSlice(p.GetEntries(), entryFromWire),
		Expired:            timeFromWire(p.GetExpired()),
		Routing:            state.Routing{Version: p.GetRouting().GetVersion(), Document: p.GetRouting().GetDocument()},
		NamedVersions:      mapSlice(p.GetNamings(), namingFromWire),
		Placer:             placerFromWire(p.GetPlacer()),
		Departures:         mapSlice(p.GetDepartures(), departureFromWire),
	}
	for _, d := range p.GetDrained() {
		s.Drained = append(s.Drained, state.Drained{Name: ident.Daemon(d.GetName()), Version: d.GetVersion()})
	}
	for _, w := range p.GetWitnesses() {
		s.Witnesses = append(s.Witnesses, state.Witness{Name: ident.Daemon(w.GetName()), Version: w.GetVersion()})
	}
	for _, q := range p.GetQuarantined() {
		s.Quarantined = append(s.Quarantined, state.Quarantined{Digest: q.GetDigest(), Until: timeFromWire(q.GetUntil())})
	}
	for _, r := range p.GetRecords() {
		q, err := recordFromWire(r)
		if err != nil {
			return state.Snapshot{}, err
		}
		s.Records = append(s.Records, q)
	}
	return s, nil
}

// mapSlice applies f to each element; it returns nil for an empty slice.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

func recordToWire(r state.Record) (*peerpb.ChangeRecord, error) {
	c, err := changeToWire(r.Change)
	if err != nil {
		return nil, err
	}
	return &peerpb.ChangeRecord{Index: r.Index, Change: c, Outcome: outcomeToWire(r.Outcome)}, nil
}

func recordFromWire(p *peerpb.ChangeRecord) (state.Record, error) {
	c, err := changeFromWire(p.GetChange())
	if err != nil {
		return state.Record{}, err
	}
	return state.Record{Index: p.GetIndex(), Change: c, Outcome: outcomeFromWire(p.GetOutcome())}, nil
}

func ownershipToWire(o state.Ownership) *peerpb.Ownership {
	return &peerpb.Ownership{
		Upstream:         string(o.Upstream),
		Incarnation:      uint64(o.Incarnation),
		Owner:            string(o.Owner),
		OwnerIncarnation: uint64(o.OwnerIncarnation),
		Fence:            uint64(o.Fence),
		Revoked:          o.RevokedIndex,
		Yielded:          o.Yielded,
	}
}

func ownershipFromWire(p *peerpb.Ownership) state.Ownership {
	return state.Ownership{
		Upstream:         ident.Upstream(p.GetUpstream()),
		Incarnation:      ident.Incarnation(p.GetIncarnation()),
		Owner:            ident.Daemon(p.GetOwner()),
		OwnerIncarnation: ident.Incarnation(p.GetOwnerIncarnation()),
		Fence:            ident.Fence(p.GetFence()),
		RevokedIndex:     p.GetRevoked(),
		Yielded:          p.GetYielded(),
	}
}

func answerToWire(a state.Answer) *peerpb.LedgerAnswer {
	return &peerpb.LedgerAnswer{Status: int64(a.Status), Type: a.ContentType, Body: a.Body, Dropped: a.BodyDropped}
}

func answerFromWire(p *peerpb.LedgerAnswer) state.Answer {
	a := state.Answer{Status: int(p.GetStatus()), ContentType: p.GetType(), BodyDropped: p.GetDropped()}
	if len(p.GetBody()) > 0 {
		a.Body = p.GetBody()
	}
	return a
}

func entryToWire(e *state.Entry) *peerpb.LedgerEntry {
	return &peerpb.LedgerEntry{
		Scope:            e.Key.Scope,
		Key:              string(e.Key.Key),
		Digest:           e.Digest,
		Owner:            string(e.Owner),
		OwnerIncarnation: uint64(e.OwnerIncarnation),
		Attempt:          string(e.Attempt),
		Deadline:         timeToWire(e.Deadline),
		Phase:            uint32(e.Phase),
		Answer:           answerToWire(e.Answer),
		Barred:           e.NotRunIndex,
	}
}

func entryFromWire(p *peerpb.LedgerEntry) *state.Entry {
	return &state.Entry{
		Key:              state.EntryKey{Scope: p.GetScope(), Key: ident.Key(p.GetKey())},
		Digest:           p.GetDigest(),
		Owner:            ident.Daemon(p.GetOwner()),
		OwnerIncarnation: ident.Incarnation(p.GetOwnerIncarnation()),
		Attempt:          ident.Attempt(p.GetAttempt()),
		Deadline:         timeFromWire(p.GetDeadline()),
		Phase:            phaseFromWire(p.GetPhase()),
		Answer:           answerFromWire(p.GetAnswer()),
		NotRunIndex:      p.GetBarred(),
	}
}

// phaseFromWire returns 0, which is no valid phase, for a number out of range.
func phaseFromWire(n uint32) state.Phase {
	if n > uint32(state.Abandoned) {
		return 0
	}
	return state.Phase(n)
}

func outcomeToWire(o state.Outcome) *peerpb.Outcome {
	p := &peerpb.Outcome{
		Code:    uint32(o.Code),
		Detail:  o.Detail,
		Version: o.Version,
		Fence:   uint64(o.Fence),
		Granted: o.Granted,
		Batch:   mapSlice(o.Batch, outcomeToWire),
	}
	if o.Entry != nil {
		p.Entry = entryToWire(o.Entry)
	}
	return p
}

func outcomeFromWire(p *peerpb.Outcome) state.Outcome {
	o := state.Outcome{
		Code:    result.Code(p.GetCode()),
		Detail:  p.GetDetail(),
		Version: p.GetVersion(),
		Fence:   ident.Fence(p.GetFence()),
		Granted: p.GetGranted(),
		Batch:   mapSlice(p.GetBatch(), outcomeFromWire),
	}
	if p.GetEntry() != nil {
		o.Entry = entryFromWire(p.GetEntry())
	}
	return o
}

func namesToWire(names []ident.Daemon) []string {
	var out []string
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}

func namesFromWire(names []string) []ident.Daemon {
	var out []ident.Daemon
	for _, n := range names {
		out = append(out, ident.Daemon(n))
	}
	return out
}
