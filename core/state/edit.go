package state

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// Edit is what a [ChangeRecord] does to its object: SetClass, RemoveClass, PutModel,
// RemoveModel, PutAdapter, RemoveAdapter, SetStore, DrainDaemon,
// UndrainDaemon, AddWitness or RemoveWitness. Edits are comparable.
type Edit interface {
	// check validates the edit by itself.
	check() *result.Error
	// version returns the current version of the object, 0 if none.
	version(v *View) uint64
	// edit changes the object, whose new version is next. The expected version
	// has been compared.
	edit(v *View, next uint64) *result.Error
}

// SetClass creates a class or changes its target.
type SetClass struct {
	Name   ident.Class
	Target Target
}

// RemoveClass removes a class.
type RemoveClass struct {
	Name ident.Class
}

// PutModel adds a base model to the catalogue.
type PutModel struct {
	Name ident.Model
}

// RemoveModel removes a base model that no adapter uses.
type RemoveModel struct {
	Name ident.Model
}

// PutAdapter adds an adapter at a version to the catalogue.
type PutAdapter struct {
	Adapter ident.Adapter
	Model   ident.Model
}

// RemoveAdapter removes an adapter at a version. Requests that were taken
// before go on.
type RemoveAdapter struct {
	Adapter ident.Adapter
}

// SetStore states what the weight store can do.
type SetStore struct {
	// MilliLoadsPerSecond is how many loads the store allows a second, in thousandths.
	MilliLoadsPerSecond int64
	// MaxInTransit is how many adapters may be in transit at full speed.
	MaxInTransit int64
}

// DrainDaemon makes a daemon hand over its work.
type DrainDaemon struct {
	Name ident.Daemon
}

// UndrainDaemon ends the drain of a daemon.
type UndrainDaemon struct {
	Name ident.Daemon
}

// AddWitness adds a daemon to the witnesses. The version is that of the set.
type AddWitness struct {
	Name ident.Daemon
}

// RemoveWitness removes a daemon from the witnesses. The version is that of
// the set.
type RemoveWitness struct {
	Name ident.Daemon
}

func (e SetClass) check() *result.Error {
	return first(checkName("class", string(e.Name)), e.Target.check())
}

func (e SetClass) version(v *View) uint64 { return v.classVersion(e.Name) }

func (e SetClass) edit(v *View, next uint64) *result.Error {
	if !v.classes.Has(e.Name) && v.classes.Len() >= MaxClasses {
		return result.New(result.ChangeRefused, "there are %d classes already", MaxClasses)
	}
	v.classes = v.classes.Put(e.Name, Class{Name: e.Name, Target: e.Target, Version: next})
	return nil
}

func (e RemoveClass) check() *result.Error { return checkName("class", string(e.Name)) }

func (e RemoveClass) version(v *View) uint64 { return v.classVersion(e.Name) }

func (e RemoveClass) edit(v *View, _ uint64) *result.Error {
	if !v.classes.Has(e.Name) {
		return result.New(result.UnknownClass, "class %q", e.Name)
	}
	v.classes = v.classes.Delete(e.Name)
	return nil
}

func (e PutModel) check() *result.Error { return checkName("model", string(e.Name)) }

func (e PutModel) version(v *View) uint64 { return v.modelVersion(e.Name) }

func (e PutModel) edit(v *View, next uint64) *result.Error {
	m, ok := v.models.Get(e.Name)
	if !ok && v.models.Len() >= MaxModels {
		return result.New(result.ChangeRefused, "there are %d models already", MaxModels)
	}
	m.Name, m.Version = e.Name, next
	v.models = v.models.Put(e.Name, m)
	return nil
}

func (e RemoveModel) check() *result.Error { return checkName("model", string(e.Name)) }

func (e RemoveModel) version(v *View) uint64 { return v.modelVersion(e.Name) }

func (e RemoveModel) edit(v *View, _ uint64) *result.Error {
	m, ok := v.models.Get(e.Name)
	if !ok {
		return result.New(result.UnknownModel, "model %q", e.Name)
	}
	if m.Adapters > 0 {
		return result.New(result.ChangeRefused, "model %q has %d adapters", e.Name, m.Adapters)
	}
	v.models = v.models.Delete(e.Name)
	return nil
}

func (e PutAdapter) check() *result.Error {
	return first(checkAdapter(e.Adapter), checkName("model", string(e.Model)))
}

func (e PutAdapter) version(v *View) uint64 { return v.adapterVersion(e.Adapter) }

func (e PutAdapter) edit(v *View, next uint64) *result.Error {
	if !v.models.Has(e.Model) {
		return result.New(result.UnknownModel, "model %q", e.Model)
	}
	old, ok := v.adapters.Get(e.Adapter)
	if !ok && v.adapters.Len() >= MaxAdapters {
		return result.New(result.ChangeRefused, "there are %d adapters already", MaxAdapters)
	}
	if ok {
		v.countAdapter(old.Model, -1)
	}
	v.countAdapter(e.Model, 1)
	v.adapters = v.adapters.Put(e.Adapter, Adapter{Name: e.Adapter, Model: e.Model, Version: next})
	return nil
}

func (e RemoveAdapter) check() *result.Error { return checkAdapter(e.Adapter) }

func (e RemoveAdapter) version(v *View) uint64 { return v.adapterVersion(e.Adapter) }

func (e RemoveAdapter) edit(v *View, _ uint64) *result.Error {
	old, ok := v.adapters.Get(e.Adapter)
	if !ok {
		return result.New(result.UnknownAdapter, "adapter %q", e.Adapter)
	}
	v.countAdapter(old.Model, -1)
	v.adapters = v.adapters.Delete(e.Adapter)
	return nil
}

func (e SetStore) check() *result.Error {
	if e.MilliLoadsPerSecond < 1 || e.MilliLoadsPerSecond > MaxStoreLoads {
		return result.New(result.ChangeInvalid, "store allows %d thousandths of a load a second; want 1 to %d", e.MilliLoadsPerSecond, MaxStoreLoads)
	}
	if e.MaxInTransit < 1 || e.MaxInTransit > MaxStoreTransit {
		return result.New(result.ChangeInvalid, "store has %d adapters in transit; want 1 to %d", e.MaxInTransit, MaxStoreTransit)
	}
	return nil
}

func (e SetStore) version(v *View) uint64 { return v.store.Version }

func (e SetStore) edit(v *View, next uint64) *result.Error {
	v.store = Store{MilliLoadsPerSecond: e.MilliLoadsPerSecond, MaxInTransit: e.MaxInTransit, Version: next}
	return nil
}

func (e DrainDaemon) check() *result.Error { return checkName("daemon", string(e.Name)) }

func (e DrainDaemon) version(v *View) uint64 { return v.drainVersion(e.Name) }

func (e DrainDaemon) edit(v *View, next uint64) *result.Error {
	if !v.drained.Has(e.Name) && v.drained.Len() >= MaxDrained {
		return result.New(result.ChangeRefused, "%d daemons are drained already", MaxDrained)
	}
	v.drained = v.drained.Put(e.Name, next)
	return nil
}

func (e UndrainDaemon) check() *result.Error { return checkName("daemon", string(e.Name)) }

func (e UndrainDaemon) version(v *View) uint64 { return v.drainVersion(e.Name) }

func (e UndrainDaemon) edit(v *View, _ uint64) *result.Error {
	if !v.drained.Has(e.Name) {
		return result.New(result.ChangeRefused, "daemon %q is not drained", e.Name)
	}
	v.drained = v.drained.Delete(e.Name)
	return nil
}

func (e AddWitness) check() *result.Error { return checkName("daemon", string(e.Name)) }

func (e AddWitness) version(v *View) uint64 { return v.witnessVersion }

func (e AddWitness) edit(v *View, next uint64) *result.Error {
	if err := v.witnessesSettled(); err != nil {
		return err
	}
	if v.witnesses.Has(e.Name) {
		return result.New(result.ChangeRefused, "daemon %q is a witness already", e.Name)
	}
	if v.witnesses.Len() >= MaxWitnesses {
		return result.New(result.ChangeRefused, "there are %d witnesses already", MaxWitnesses)
	}
	v.changeWitnesses(v.witnesses.Put(e.Name, next), next)
	return nil
}

func (e RemoveWitness) check() *result.Error { return checkName("daemon", string(e.Name)) }

func (e RemoveWitness) version(v *View) uint64 { return v.witnessVersion }

func (e RemoveWitness) edit(v *View, next uint64) *result.Error {
	if err := v.witnessesSettled(); err != nil {
		return err
	}
	if !v.witnesses.Has(e.Name) {
		return result.New(result.ChangeRefused, "daemon %q is not a witness", e.Name)
	}
	if v.witnesses.Len() == 1 {
		return result.New(result.ChangeRefused, "daemon %q is the last witness", e.Name)
	}
	v.changeWitnesses(v.witnesses.Delete(e.Name), next)
	return nil
}

func (c FormWitnesses) apply(s *State) Outcome {
	v := &s.v
	if v.witnesses.Len() > 0 && !c.Forced {
		return failed(result.New(result.ChangeRefused, "there are witnesses already"))
	}
	if len(c.Names) == 0 || len(c.Names) > MaxWitnesses {
		return failed(result.New(result.ChangeInvalid, "%d witnesses, 1 to %d are possible", len(c.Names), MaxWitnesses))
	}
	none := newView().witnesses
	set := none
	for _, name := range c.Names {
		if err := checkName("daemon", string(name)); err != nil {
			return failed(err)
		}
		set = set.Put(name, v.version+1)
	}
	v.version++
	v.witnesses = none
	v.changeWitnesses(set, v.version)
	return Outcome{Version: v.version}
}
