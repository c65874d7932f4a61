package peer

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer/peerpb"
)

func changeToWire(c state.Change) (*peerpb.Change, error) {
	edit, err := editToWire(c.Edit)
	if err != nil {
		return nil, err
	}
	return &peerpb.Change{
		Id:       string(c.ID),
		Author:   c.Author,
		At:       timeToWire(c.ProposedAt),
		Expected: c.Expected,
		Edit:     edit,
	}, nil
}

func changeFromWire(p *peerpb.Change) (state.Change, error) {
	edit, err := editFromWire(p.GetEdit())
	if err != nil {
		return state.Change{}, err
	}
	return state.Change{
		ID:         ident.Change(p.GetId()),
		Author:     p.GetAuthor(),
		ProposedAt: timeFromWire(p.GetAt()),
		Expected:   p.GetExpected(),
		Edit:       edit,
	}, nil
}

func editToWire(e state.Edit) (*peerpb.Edit, error) {
	switch e := e.(type) {
	case state.SetClass:
		return &peerpb.Edit{Kind: &peerpb.Edit_SetClass{SetClass: classToWire(state.Class{Name: e.Name, Target: e.Target})}}, nil
	case state.RemoveClass:
		return &peerpb.Edit{Kind: &peerpb.Edit_RemoveClass{RemoveClass: string(e.Name)}}, nil
	case state.PutModel:
		return &peerpb.Edit{Kind: &peerpb.Edit_PutModel{PutModel: string(e.Name)}}, nil
	case state.RemoveModel:
		return &peerpb.Edit{Kind: &peerpb.Edit_RemoveModel{RemoveModel: string(e.Name)}}, nil
	case state.PutAdapter:
		return &peerpb.Edit{Kind: &peerpb.Edit_PutAdapter{PutAdapter: adapterToWire(state.Adapter{Name: e.Adapter, Model: e.Model})}}, nil
	case state.RemoveAdapter:
		return &peerpb.Edit{Kind: &peerpb.Edit_RemoveAdapter{RemoveAdapter: adapterNameToWire(e.Adapter)}}, nil
	case state.SetStore:
		return &peerpb.Edit{Kind: &peerpb.Edit_SetStore{SetStore: storeToWire(state.Store{MilliLoadsPerSecond: e.MilliLoadsPerSecond, MaxInTransit: e.MaxInTransit})}}, nil
	case state.DrainDaemon:
		return &peerpb.Edit{Kind: &peerpb.Edit_Drain{Drain: string(e.Name)}}, nil
	case state.UndrainDaemon:
		return &peerpb.Edit{Kind: &peerpb.Edit_Undrain{Undrain: string(e.Name)}}, nil
	case state.AddWitness:
		return &peerpb.Edit{Kind: &peerpb.Edit_AddWitness{AddWitness: string(e.Name)}}, nil
	case state.RemoveWitness:
		return &peerpb.Edit{Kind: &peerpb.Edit_RemoveWitness{RemoveWitness: string(e.Name)}}, nil
	}
	return nil, result.New(result.Malformed, "edit of type %T", e)
}

func editFromWire(p *peerpb.Edit) (state.Edit, error) {
	switch k := p.GetKind().(type) {
	case *peerpb.Edit_SetClass:
		c := classFromWire(k.SetClass)
		return state.SetClass{Name: c.Name, Target: c.Target}, nil
	case *peerpb.Edit_RemoveClass:
		return state.RemoveClass{Name: ident.Class(k.RemoveClass)}, nil
	case *peerpb.Edit_PutModel:
		return state.PutModel{Name: ident.Model(k.PutModel)}, nil
	case *peerpb.Edit_RemoveModel:
		return state.RemoveModel{Name: ident.Model(k.RemoveModel)}, nil
	case *peerpb.Edit_PutAdapter:
		a := adapterFromWire(k.PutAdapter)
		return state.PutAdapter{Adapter: a.Name, Model: a.Model}, nil
	case *peerpb.Edit_RemoveAdapter:
		return state.RemoveAdapter{Adapter: adapterNameFromWire(k.RemoveAdapter)}, nil
	case *peerpb.Edit_SetStore:
		s := storeFromWire(k.SetStore)
		return state.SetStore{MilliLoadsPerSecond: s.MilliLoadsPerSecond, MaxInTransit: s.MaxInTransit}, nil
	case *peerpb.Edit_Drain:
		return state.DrainDaemon{Name: ident.Daemon(k.Drain)}, nil
	case *peerpb.Edit_Undrain:
		return state.UndrainDaemon{Name: ident.Daemon(k.Undrain)}, nil
	case *peerpb.Edit_AddWitness:
		return state.AddWitness{Name: ident.Daemon(k.AddWitness)}, nil
	case *peerpb.Edit_RemoveWitness:
		return state.RemoveWitness{Name: ident.Daemon(k.RemoveWitness)}, nil
	}
	return nil, result.New(result.Malformed, "edit of an unknown kind")
}

func classToWire(c state.Class) *peerpb.ClassRecord {
	return &peerpb.ClassRecord{Name: string(c.Name), Target: c.Target.Milliseconds(), Version: c.Version}
}

func classFromWire(p *peerpb.ClassRecord) state.Class {
	return state.Class{
		Name:    ident.Class(p.GetName()),
		Target:  state.Milliseconds(p.GetTarget()),
		Version: p.GetVersion(),
	}
}

func adapterNameToWire(a ident.Adapter) *peerpb.StateAdapterName {
	return &peerpb.StateAdapterName{Name: a.Name, Version: a.Version}
}

func adapterNameFromWire(p *peerpb.StateAdapterName) ident.Adapter {
	return ident.Adapter{Name: p.GetName(), Version: p.GetVersion()}
}

func adapterToWire(a state.Adapter) *peerpb.AdapterRecord {
	return &peerpb.AdapterRecord{Name: adapterNameToWire(a.Name), Model: string(a.Model), Version: a.Version}
}

func adapterFromWire(p *peerpb.AdapterRecord) state.Adapter {
	return state.Adapter{
		Name:    adapterNameFromWire(p.GetName()),
		Model:   ident.Model(p.GetModel()),
		Version: p.GetVersion(),
	}
}

func modelToWire(m state.Model) *peerpb.ModelRecord {
	return &peerpb.ModelRecord{Name: string(m.Name), Adapters: uint64(m.Adapters), Version: m.Version}
}

func modelFromWire(p *peerpb.ModelRecord) state.Model {
	return state.Model{Name: ident.Model(p.GetName()), Adapters: int(p.GetAdapters()), Version: p.GetVersion()}
}

func storeToWire(s state.Store) *peerpb.StoreRecord {
	return &peerpb.StoreRecord{Loads: s.MilliLoadsPerSecond, Transit: s.MaxInTransit, Version: s.Version}
}

func storeFromWire(p *peerpb.StoreRecord) state.Store {
	return state.Store{MilliLoadsPerSecond: p.GetLoads(), MaxInTransit: p.GetTransit(), Version: p.GetVersion()}
}
