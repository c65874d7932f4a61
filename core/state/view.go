package state

import (
	"cmp"
	"iter"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/ordered"
	"papayaspoke/core/result"
)

// Class is a class of requests with a common latency target.
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
	// Model is the base model, which is in the catalogue.
	Model ident.Model
	// Version is the version of the record, never 0. The adapter's own version
	// is part of its name.
	Version uint64
}

// Store holds the limits of the weight store. Version 0 means that they were
// never set.
type Store struct {
	// MilliLoadsPerSecond is the number of loads per second that the store
	// allows, in thousandths.
	MilliLoadsPerSecond int64
	// MaxInTransit is the number of adapters that can be in transit at once
	// at full speed.
	MaxInTransit int64
	Version      uint64
}

// Record is an operator's change and its outcome.
type Record struct {
	// Index is the index of the log entry.
	Index uint64
	// Change is the change as it was first applied.
	Change Change
	// Outcome is the outcome of the first application.
	Outcome Outcome
}

// Ownership records which daemon may send orders to an upstream.
type Ownership struct {
	Upstream ident.Upstream
	// Incarnation is the upstream's incarnation when the owner was chosen.
	Incarnation ident.Incarnation
	// Owner is the daemon assigned last, whose ownership may be revoked.
	Owner            ident.Daemon
	OwnerIncarnation ident.Incarnation
	// Fence is the log index of the Assign.
	Fence ident.Fence
	// RevokedIndex is the log index of the Revoke, 0 while the ownership is in
	// force; it is larger than Fence.
	RevokedIndex uint64
	// Yielded is true if the owner itself has declared that it sends nothing
	// more. It is false while the ownership is in force.
	Yielded bool
}

// Owned reports whether the ownership is in force.
func (o Ownership) Owned() bool { return o.RevokedIndex == 0 }

// View is an immutable snapshot of the state. Reading it needs no lock.
type View struct {
	// index is the log index of the last applied entry.
	index uint64
	// version is the largest version that was ever given to an object.
	version   uint64
	classes   ordered.Map[ident.Class, Class]
	models    ordered.Map[ident.Model, Model]
	adapters  ordered.Map[ident.Adapter, Adapter]
	store     Store
	drained   ordered.Map[ident.Daemon, uint64]
	witnesses ordered.Map[ident.Daemon, uint64]
	// witnessVersion is the version of the set of witnesses.
	witnessVersion uint64
	// formerWitnesses holds the witnesses before the last change of the set,
	// which was made by the log entry at witnessChangeIndex.
	formerWitnesses    ordered.Map[ident.Daemon, uint64]
	witnessChangeIndex uint64
	owners             ordered.Map[ident.Upstream, Ownership]
	// history holds the newest MaxChanges records by their sequence number.
	history ordered.Map[uint64, Record]
	// sequence is the sequence number of the newest record.
	sequence uint64
	// changeIDs maps the change id of each record to its sequence number.
	changeIDs ordered.Map[ident.Change, uint64]
	entries   ordered.Map[EntryKey, *Entry]
	// deadlines indexes all ledger entries by deadline.
	deadlines ordered.Map[deadlineKey, struct{}]
	// running indexes the ledger entries in phase Running by owner.
	running ordered.Map[runningKey, struct{}]
	// bodyBytes is the total size of the stored answer bodies.
	bodyBytes int
	// expiredUntil is the latest Until of any Expire command.
	expiredUntil time.Time
	quarantined  ordered.Map[string, time.Time]

	routing       Routing
	namedVersions ordered.Map[namedVersionKey, uint64]
	placer        Placer

	departures ordered.Map[ident.Upstream, Departure]
	// departuresByAge indexes all departures by age.
	departuresByAge ordered.Map[departureKey, struct{}]
}

func newView() View {
	return View{
		classes:         ordered.New[ident.Class, Class](cmp.Compare),
		models:          ordered.New[ident.Model, Model](cmp.Compare),
		adapters:        ordered.New[ident.Adapter, Adapter](ident.Adapter.Compare),
		drained:         ordered.New[ident.Daemon, uint64](cmp.Compare),
		witnesses:       ordered.New[ident.Daemon, uint64](cmp.Compare),
		formerWitnesses: ordered.New[ident.Daemon, uint64](cmp.Compare),
		owners:          ordered.New[ident.Upstream, Ownership](cmp.Compare),
		history:         ordered.New[uint64, Record](cmp.Compare),
		changeIDs:       ordered.New[ident.Change, uint64](cmp.Compare),
		entries:         ordered.New[EntryKey, *Entry](EntryKey.compare),
		deadlines:       ordered.New[deadlineKey, struct{}](deadlineKey.compare),
		running:         ordered.New[runningKey, struct{}](runningKey.compare),
		quarantined:     ordered.New[string, time.Time](cmp.Compare),
		namedVersions:   ordered.New[namedVersionKey, uint64](compareNamedVersionKeys),
		departures:      ordered.New[ident.Upstream, Departure](cmp.Compare),
		departuresByAge: ordered.New[departureKey, struct{}](departureKey.compare),
	}
}

// Index returns the log index of the last applied entry.
func (v *View) Index() uint64 { return v.index }

// Version returns the largest version that was ever given to an object.
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

// Adapters iterates in order over the adapters that are not smaller than from.
// The zero adapter is smaller than any other.
func (v *View) Adapters(from ident.Adapter) iter.Seq2[ident.Adapter, Adapter] {
	return v.adapters.From(from)
}

// Store returns the limits of the weight store. Their version is 0 if they were
// never set.
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
// visible both sets count: what needs a quorum needs one of each set.
func (v *View) WitnessChange() (former []ident.Daemon, index uint64) {
	return keys(v.formerWitnesses), v.witnessChangeIndex
}

// checkWitnessesUnchanged returns an error if the log entry that is being
// applied has already changed the set. Only one former set is kept, so a second
// change in the same entry would bypass a set whose agreement is needed.
func (v *View) checkWitnessesUnchanged() *result.Error {
	if v.witnessChangeIndex == v.index {
		return result.New(result.ChangeRefused, "witnesses were changed just now")
	}
	return nil
}

// replaceWitnesses replaces the set of witnesses and keeps the former one.
func (v *View) replaceWitnesses(to ordered.Map[ident.Daemon, uint64], version uint64) {
	v.formerWitnesses, v.witnessChangeIndex = v.witnesses, v.index
	v.witnesses, v.witnessVersion = to, version
}

// Owner returns the ownership record of an upstream, also if it is revoked.
func (v *View) Owner(name ident.Upstream) (Ownership, bool) { return v.owners.Get(name) }

// Owners returns all ownership records, ordered by upstream.
func (v *View) Owners() []Ownership { return v.owners.Values() }

// ChangeRecord returns the record of a change id, if the history still has it.
func (v *View) ChangeRecord(id ident.Change) (Record, bool) {
	seq, ok := v.changeIDs.Get(id)
	if !ok {
		return Record{}, false
	}
	return v.history.Get(seq)
}

// History returns the records of the last [MaxChanges] changes, oldest first.
func (v *View) History() []Record { return v.history.Values() }

// QuarantinedUntil returns the end of a digest's quarantine, which may be in the
// past, or the zero time if there is none.
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

func (v *View) addAdapterCount(name ident.Model, delta int) {
	m, _ := v.models.Get(name)
	m.Adapters += delta
	v.models = v.models.Put(name, m)
}

func keys[K, V any](m ordered.Map[K, V]) []K {
	out := make([]K, 0, m.Len())
	for k := range m.All() {
		out = append(out, k)
	}
	return out
}
