package state

import (
	"cmp"
	"iter"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/ordered"
	"papayaspoke/core/result"
)

// Class is a class of work.
type Class struct {
	Name   ident.Class
	Target Target
	// Version is never 0.
	Version uint64
}

// Model is a base model.
type Model struct {
	Name ident.Model
	// Adapters counts the adapters in the catalogue that use the model.
	Adapters int
	// Version is never 0.
	Version uint64
}

// Adapter is an adapter in the catalogue.
type Adapter struct {
	Name ident.Adapter
	// Model is in the catalogue.
	Model ident.Model
	// Version is that of the record, never 0; the adapter's own version is
	// part of its name.
	Version uint64
}

// Store is what the weight store can do. Version 0 means that it was never
// stated.
type Store struct {
	// MilliLoadsPerSecond is how many loads the store allows a second, in thousandths.
	MilliLoadsPerSecond int64
	// MaxInTransit is how many adapters may be in transit at full speed.
	MaxInTransit int64
	Version      uint64
}

// Record is one operator's change and the first answer to it.
type Record struct {
	// Index is that of the log entry.
	Index uint64
	// Change is as first applied.
	Change Change
	// Outcome is the first answer.
	Outcome Outcome
}

// Ownership says who may give an upstream orders.
type Ownership struct {
	Upstream ident.Upstream
	// Incarnation is that of the upstream when the owner was chosen.
	Incarnation ident.Incarnation
	// Owner is the last owner; it owns no more once RevokedIndex is set.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Fence is the index of the Assign.
	Fence ident.Fence
	// RevokedIndex is the index of the Revoke, 0 while the owner owns; it is larger
	// than Fence.
	RevokedIndex uint64
	// Yielded is true if the owner itself said that it sends nothing more. It
	// is false while RevokedIndex is 0.
	Yielded bool
}

// Owned reports whether the ownership is in force.
func (o Ownership) Owned() bool { return o.RevokedIndex == 0 }

// View is an immutable snapshot of the state. Reading it needs no lock.
type View struct {
	// index is that of the last applied entry.
	index uint64
	// version is the largest version that an object ever got.
	version   uint64
	classes   ordered.Map[ident.Class, Class]
	models    ordered.Map[ident.Model, Model]
	adapters  ordered.Map[ident.Adapter, Adapter]
	store     Store
	drained   ordered.Map[ident.Daemon, uint64]
	witnesses ordered.Map[ident.Daemon, uint64]
	// witnessVersion is that of the set of witnesses.
	witnessVersion uint64
	// former holds the witnesses before the last change of the set, which the
	// entry at witnessIndex made.
	former       ordered.Map[ident.Daemon, uint64]
	witnessIndex uint64
	owners       ordered.Map[ident.Upstream, Ownership]
	// changes holds the newest MaxChanges records by their sequence number.
	changes ordered.Map[uint64, Record]
	// sequence is that of the newest record.
	sequence uint64
	// changeIDs points from each record's change id to its sequence number.
	changeIDs ordered.Map[ident.Change, uint64]
	entries   ordered.Map[EntryKey, *Entry]
	// deadlines holds one element for each entry, in the order of deadlines.
	deadlines ordered.Map[due, struct{}]
	// running holds one element for each entry in state Running.
	running ordered.Map[ownerKey, struct{}]
	// bodies is the sum of the sizes of stored answers.
	bodies int
	// expired is the latest Until of any Expire.
	expired     time.Time
	quarantined ordered.Map[string, time.Time]

	routing Routing
	named   ordered.Map[namingKey, uint64]
	placer  Placer
}

func newView() View {
	return View{
		classes:     ordered.New[ident.Class, Class](cmp.Compare),
		models:      ordered.New[ident.Model, Model](cmp.Compare),
		adapters:    ordered.New[ident.Adapter, Adapter](ident.Adapter.Compare),
		drained:     ordered.New[ident.Daemon, uint64](cmp.Compare),
		witnesses:   ordered.New[ident.Daemon, uint64](cmp.Compare),
		former:      ordered.New[ident.Daemon, uint64](cmp.Compare),
		owners:      ordered.New[ident.Upstream, Ownership](cmp.Compare),
		changes:     ordered.New[uint64, Record](cmp.Compare),
		changeIDs:   ordered.New[ident.Change, uint64](cmp.Compare),
		entries:     ordered.New[EntryKey, *Entry](EntryKey.compare),
		deadlines:   ordered.New[due, struct{}](due.compare),
		running:     ordered.New[ownerKey, struct{}](ownerKey.compare),
		quarantined: ordered.New[string, time.Time](cmp.Compare),
		named:       ordered.New[namingKey, uint64](compareNaming),
	}
}

// Index returns the log index that the view is at.
func (v *View) Index() uint64 { return v.index }

// Version returns the largest version that any object ever got.
func (v *View) Version() uint64 { return v.version }

// Class returns a class.
func (v *View) Class(name ident.Class) (Class, bool) { return v.classes.Get(name) }

// Classes returns all classes in the order of their names.
func (v *View) Classes() []Class { return v.classes.Values() }

// Model returns a base model.
func (v *View) Model(name ident.Model) (Model, bool) { return v.models.Get(name) }

// Models returns all base models in the order of their names.
func (v *View) Models() []Model { return v.models.Values() }

// Adapter returns an adapter at a version.
func (v *View) Adapter(name ident.Adapter) (Adapter, bool) { return v.adapters.Get(name) }

// CountAdapters returns the number of adapters.
func (v *View) CountAdapters() int { return v.adapters.Len() }

// Adapters iterates over the adapters that are not smaller than from, in
// order; the zero adapter starts at the first.
func (v *View) Adapters(from ident.Adapter) iter.Seq2[ident.Adapter, Adapter] {
	return v.adapters.From(from)
}

// Store returns what the weight store can do; its version is 0 if it was never
// stated.
func (v *View) Store() Store { return v.store }

// Drained returns the version of a daemon's drain, and whether it is drained.
func (v *View) Drained(name ident.Daemon) (uint64, bool) { return v.drained.Get(name) }

// DrainedDaemons returns the drained daemons in order.
func (v *View) DrainedDaemons() []ident.Daemon { return keys(v.drained) }

// IsWitness reports whether a daemon is a witness.
func (v *View) IsWitness(name ident.Daemon) bool { return v.witnesses.Has(name) }

// Witnesses returns the witnesses in order, and the version of the set.
func (v *View) Witnesses() ([]ident.Daemon, uint64) { return keys(v.witnesses), v.witnessVersion }

// WitnessChange returns the witnesses before the last change of the set and
// the log index of that change, 0 if there was none. Until the change is
// visible both sets count.
func (v *View) WitnessChange() (former []ident.Daemon, index uint64) {
	return keys(v.former), v.witnessIndex
}

// witnessesSettled returns an error if the set was changed by the entry that
// is being applied: two changes at once would skip a set that must agree.
func (v *View) witnessesSettled() *result.Error {
	if v.witnessIndex == v.index {
		return result.New(result.ChangeRefused, "witnesses were changed just now")
	}
	return nil
}

// changeWitnesses replaces the set, and keeps the former one.
func (v *View) changeWitnesses(to ordered.Map[ident.Daemon, uint64], version uint64) {
	v.former, v.witnessIndex = v.witnesses, v.index
	v.witnesses, v.witnessVersion = to, version
}

// Owner returns the ownership record of an upstream, in force or revoked.
func (v *View) Owner(name ident.Upstream) (Ownership, bool) { return v.owners.Get(name) }

// Owners returns all ownership records in the order of the upstreams.
func (v *View) Owners() []Ownership { return v.owners.Values() }

// ChangeRecord returns the record of a change id, if it is still kept.
func (v *View) ChangeRecord(id ident.Change) (Record, bool) {
	seq, ok := v.changeIDs.Get(id)
	if !ok {
		return Record{}, false
	}
	return v.changes.Get(seq)
}

// History returns the kept records, oldest first.
func (v *View) History() []Record { return v.changes.Values() }

// QuarantinedUntil returns the end of a digest's quarantine, which may lie in
// the past, or the zero time.
func (v *View) QuarantinedUntil(digest string) time.Time {
	t, _ := v.quarantined.Get(digest)
	return t
}

// Quarantined iterates over the digests in quarantine and their ends.
func (v *View) Quarantined() iter.Seq2[string, time.Time] { return v.quarantined.All() }

func (v *View) classVersion(name ident.Class) uint64 {
	c, _ := v.classes.Get(name)
	return c.Version
}

func (v *View) modelVersion(name ident.Model) uint64 {
	m, _ := v.models.Get(name)
	return m.Version
}

func (v *View) adapterVersion(name ident.Adapter) uint64 {
	a, _ := v.adapters.Get(name)
	return a.Version
}

func (v *View) drainVersion(name ident.Daemon) uint64 {
	n, _ := v.drained.Get(name)
	return n
}

func (v *View) countAdapter(name ident.Model, by int) {
	m, _ := v.models.Get(name)
	m.Adapters += by
	v.models = v.models.Put(name, m)
}

func keys[K, V any](m ordered.Map[K, V]) []K {
	out := make([]K, 0, m.Len())
	for k := range m.All() {
		out = append(out, k)
	}
	return out
}
