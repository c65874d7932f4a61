package state

import (
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/ordered"
	"papayaspoke/core/result"
)

// Quarantined is a digest in quarantine and the end of the quarantine.
type Quarantined struct {
	Digest string
	Until  time.Time
}

// Drained is a drained daemon.
type Drained struct {
	Name ident.Daemon
	// Version is the version of the drain, never 0.
	Version uint64
}

// Witness is a daemon in the set of witnesses.
type Witness struct {
	Name ident.Daemon
	// Version is the version that the set got when the daemon was added.
	Version uint64
}

// Snapshot is the whole state as plain values, for encoding. Every slice is in
// the order of its keys; Records are in the order in which they were added.
type Snapshot struct {
	Index          uint64
	Version        uint64
	Classes        []Class
	Models         []Model
	Adapters       []Adapter
	Store          Store
	Drained        []Drained
	Witnesses      []Witness
	WitnessVersion uint64
	// The results of [View.WitnessChange].
	FormerWitnesses    []ident.Daemon
	WitnessChangeIndex uint64
	Owners             []Ownership
	Records            []Record
	Sequence           uint64
	Entries            []*Entry
	Expired            time.Time
	Quarantined        []Quarantined
	Routing            Routing
	NamedVersions      []NamedVersion
	Placer             Placer
	Departures         []Departure
}

// Export returns the whole state. It may run while the State that the view was
// taken from applies further commands.
func (v *View) Export() Snapshot {
	s := Snapshot{
		Index:              v.index,
		Version:            v.version,
		Classes:            v.classes.Values(),
		Models:             v.models.Values(),
		Adapters:           v.adapters.Values(),
		Store:              v.store,
		WitnessVersion:     v.witnessVersion,
		FormerWitnesses:    keys(v.formerWitnesses),
		WitnessChangeIndex: v.witnessChangeIndex,
		Owners:             v.owners.Values(),
		Records:            v.history.Values(),
		Sequence:           v.sequence,
		Entries:            v.entries.Values(),
		Expired:            v.expiredUntil,
		Routing:            v.routing,
		NamedVersions:      v.NamedVersions(),
		Placer:             v.placer,
		Departures:         v.departures.Values(),
	}
	for name, version := range v.drained.All() {
		s.Drained = append(s.Drained, Drained{Name: name, Version: version})
	}
	for name, version := range v.witnesses.All() {
		s.Witnesses = append(s.Witnesses, Witness{Name: name, Version: version})
	}
	for digest, until := range v.quarantined.All() {
		s.Quarantined = append(s.Quarantined, Quarantined{Digest: digest, Until: until})
	}
	return s
}

// Import returns the state that s was exported from, or an error with code
// [result.DiskDamaged] if s violates an invariant.
func Import(s Snapshot) (*State, error) {
	st := New()
	v := &st.view
	v.index, v.version = s.Index, s.Version
	v.store, v.witnessVersion = s.Store, s.WitnessVersion
	v.witnessChangeIndex = s.WitnessChangeIndex
	v.sequence, v.expiredUntil = s.Sequence, s.Expired
	if err := v.importCatalogue(s); err != nil {
		return nil, err
	}
	v.importControl(s)
	for _, e := range s.Entries {
		if e == nil || v.entries.Has(e.Key) {
			return nil, result.New(result.DiskDamaged, "snapshot has an empty or duplicate ledger entry")
		}
		v.putEntry(e)
	}
	for _, d := range s.Departures {
		v.putDeparture(d)
	}
	if err := st.Check(); err != nil {
		return nil, err
	}
	return st, nil
}

// importCatalogue adds the classes, models and adapters of s.
func (v *View) importCatalogue(s Snapshot) *result.Error {
	for _, c := range s.Classes {
		v.classes = v.classes.Put(c.Name, c)
	}
	for _, m := range s.Models {
		v.models = v.models.Put(m.Name, m)
	}
	names := make([]ident.Adapter, 0, len(s.Adapters))
	for _, a := range s.Adapters {
		names = append(names, a.Name)
	}
	adapters, ok := ordered.FromSorted(ident.Adapter.Compare, names, s.Adapters)
	if !ok {
		return damaged("adapters are not in order")
	}
	v.adapters = adapters
	return nil
}

// importControl adds what is in s besides the catalogue and the ledger.
func (v *View) importControl(s Snapshot) {
	for _, d := range s.Drained {
		v.drained = v.drained.Put(d.Name, d.Version)
	}
	for _, name := range s.FormerWitnesses {
		v.formerWitnesses = v.formerWitnesses.Put(name, 0)
	}
	for _, w := range s.Witnesses {
		v.witnesses = v.witnesses.Put(w.Name, w.Version)
	}
	for _, o := range s.Owners {
		v.owners = v.owners.Put(o.Upstream, o)
	}
	seq := s.Sequence - uint64(len(s.Records))
	for _, r := range s.Records {
		seq++
		v.history = v.history.Put(seq, r)
		v.changeIDs = v.changeIDs.Put(r.Change.ID, seq)
	}
	for _, q := range s.Quarantined {
		v.quarantined = v.quarantined.Put(q.Digest, q.Until)
	}
	v.routing, v.placer = s.Routing, s.Placer
	for _, n := range s.NamedVersions {
		v.namedVersions = v.namedVersions.Put(namedVersionKey{n.Model, n.Adapter}, n.Version)
	}
}

// Check returns an error if an invariant of the state is violated.
func (s *State) Check() error { return s.view.Check() }

// Check returns an error if an invariant of the state is violated.
func (v *View) Check() error {
	if err := firstError(v.checkCatalogue(), v.checkVersions(), v.checkControl(), v.checkRoutingAndPlacer(), v.checkLedger(), v.checkDepartures()); err != nil {
		return err
	}
	return nil
}

func damaged(format string, args ...any) *result.Error {
	return result.New(result.DiskDamaged, format, args...)
}

func (v *View) checkCatalogue() *result.Error {
	count := map[ident.Model]int{}
	for name, a := range v.adapters.All() {
		if !v.models.Has(a.Model) {
			return damaged("adapter %q has unknown model %q", name, a.Model)
		}
		count[a.Model]++
	}
	for name, m := range v.models.All() {
		if m.Adapters != count[name] {
			return damaged("model %q has %d adapters, but its count is %d", name, count[name], m.Adapters)
		}
	}
	for name, c := range v.classes.All() {
		if c.Target.check() != nil {
			return damaged("class %q has a target of %d ms", name, c.Target.ms)
		}
	}
	return nil
}

// checkVersions checks that no object has a version beyond the counter.
func (v *View) checkVersions() *result.Error {
	newest := max(v.store.Version, v.witnessVersion)
	for _, c := range v.classes.All() {
		newest = max(newest, c.Version)
	}
	for _, m := range v.models.All() {
		newest = max(newest, m.Version)
	}
	for _, a := range v.adapters.All() {
		newest = max(newest, a.Version)
	}
	for _, n := range v.drained.All() {
		newest = max(newest, n)
	}
	for _, n := range v.witnesses.All() {
		newest = max(newest, n)
	}
	if newest > v.version {
		return damaged("an object has version %d, but the version counter is at %d", newest, v.version)
	}
	return nil
}

// checkControl checks the ownerships, the history, the witnesses and the
// quarantines.
func (v *View) checkControl() *result.Error {
	for name, o := range v.owners.All() {
		if uint64(o.Fence) > v.index || o.RevokedIndex > v.index || o.RevokedIndex != 0 && o.RevokedIndex <= uint64(o.Fence) || o.Yielded && o.Owned() {
			return damaged("upstream %q has fence %d and was revoked at %d, but the state is at index %d", name, o.Fence, o.RevokedIndex, v.index)
		}
	}
	if v.history.Len() != v.changeIDs.Len() || v.history.Len() > MaxChanges {
		return damaged("history has %d changes, but %d change ids", v.history.Len(), v.changeIDs.Len())
	}
	if uint64(v.history.Len()) > v.sequence {
		return damaged("history has %d changes, but the newest has sequence number %d", v.history.Len(), v.sequence)
	}
	if v.witnessChangeIndex > v.index || v.formerWitnesses.Len() > MaxWitnesses {
		return damaged("last change of the witnesses is at index %d and replaced %d witnesses", v.witnessChangeIndex, v.formerWitnesses.Len())
	}
	if v.witnesses.Len() > MaxWitnesses || v.quarantined.Len() > MaxQuarantined {
		return damaged("too many witnesses (%d) or quarantines (%d)", v.witnesses.Len(), v.quarantined.Len())
	}
	return nil
}

// checkLedger checks all ledger entries and that the indexes match them.
func (v *View) checkLedger() *result.Error {
	bodies, running := 0, 0
	for k, e := range v.entries.All() {
		if err := v.checkEntry(k, e); err != nil {
			return err
		}
		bodies += len(e.Answer.Body)
		if e.Phase == Running {
			running++
		}
	}
	if bodies != v.bodyBytes || running != v.running.Len() || v.entries.Len() != v.deadlines.Len() {
		return damaged("ledger has %d bytes in %d entries, %d of them running; its indexes have %d, %d, %d",
			bodies, v.entries.Len(), running, v.bodyBytes, v.deadlines.Len(), v.running.Len())
	}
	return nil
}

func (v *View) checkEntry(k EntryKey, e *Entry) *result.Error {
	if e.Key != k || e.Phase < Running || e.Phase > Abandoned || e.Attempt == "" || e.NotRunIndex > v.index {
		return damaged("ledger entry %q is invalid", k.Key)
	}
	if e.Phase == Abandoned && e.NotRunIndex == 0 {
		return damaged("ledger entry %q is abandoned, but has no index of its refusal", k.Key)
	}
	if !e.Deadline.After(v.expiredUntil) {
		return damaged("ledger entry %q has expired", k.Key)
	}
	if !v.deadlines.Has(deadlineKey{at: e.Deadline.UnixNano(), key: k}) {
		return damaged("ledger entry %q is missing in the index of deadlines", k.Key)
	}
	return nil
}
