package peer

import (
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer/peerpb"
)

// platformToWire maps the commands of routing, placement and departures; ok is
// false for any other command.
func platformToWire(c state.Command) (p *peerpb.Command, ok bool) {
	switch c := c.(type) {
	case state.PutRouting:
		return &peerpb.Command{Kind: &peerpb.Command_PutRouting{PutRouting: &peerpb.Routing{
			Version: c.Version, Document: c.Document,
		}}}, true
	case state.NameVersion:
		return &peerpb.Command{Kind: &peerpb.Command_NameVersion{NameVersion: namingToWire(state.NamedVersion(c))}}, true
	case state.AppointPlacer:
		return &peerpb.Command{Kind: &peerpb.Command_AppointPlacer{AppointPlacer: &peerpb.PlacerRecord{
			Daemon: string(c.Daemon), Incarnation: uint64(c.Incarnation), Retired: c.RetiredIndex,
		}}}, true
	case state.RetirePlacer:
		if c.Resigned {
			return &peerpb.Command{Kind: &peerpb.Command_ResignPlacer{ResignPlacer: uint64(c.Fence)}}, true
		}
		return &peerpb.Command{Kind: &peerpb.Command_RetirePlacer{RetirePlacer: uint64(c.Fence)}}, true
	case state.Depart:
		return &peerpb.Command{Kind: &peerpb.Command_Depart{Depart: departureToWire(state.Departure(c))}}, true
	case state.Readmit:
		return &peerpb.Command{Kind: &peerpb.Command_Readmit{Readmit: &peerpb.Readmission{
			Upstream: string(c.Upstream), Incarnation: uint64(c.Incarnation),
		}}}, true
	}
	return nil, false
}

func platformFromWire(p *peerpb.Command) (c state.Command, ok bool) {
	switch k := p.GetKind().(type) {
	case *peerpb.Command_PutRouting:
		return state.PutRouting{Version: k.PutRouting.GetVersion(), Document: k.PutRouting.GetDocument()}, true
	case *peerpb.Command_NameVersion:
		return state.NameVersion(namingFromWire(k.NameVersion)), true
	case *peerpb.Command_AppointPlacer:
		a := k.AppointPlacer
		return state.AppointPlacer{
			Daemon: ident.Daemon(a.GetDaemon()), Incarnation: ident.Incarnation(a.GetIncarnation()), RetiredIndex: a.GetRetired(),
		}, true
	case *peerpb.Command_RetirePlacer:
		return state.RetirePlacer{Fence: ident.Fence(k.RetirePlacer)}, true
	case *peerpb.Command_ResignPlacer:
		return state.RetirePlacer{Fence: ident.Fence(k.ResignPlacer), Resigned: true}, true
	case *peerpb.Command_Depart:
		return state.Depart(departureFromWire(k.Depart)), true
	case *peerpb.Command_Readmit:
		return state.Readmit{
			Upstream: ident.Upstream(k.Readmit.GetUpstream()), Incarnation: ident.Incarnation(k.Readmit.GetIncarnation()),
		}, true
	}
	return nil, false
}

func namingToWire(n state.NamedVersion) *peerpb.Naming {
	return &peerpb.Naming{Model: string(n.Model), Adapter: n.Adapter, Version: n.Version}
}

func namingFromWire(p *peerpb.Naming) state.NamedVersion {
	return state.NamedVersion{Model: ident.Model(p.GetModel()), Adapter: p.GetAdapter(), Version: p.GetVersion()}
}

func placerToWire(p state.Placer) *peerpb.PlacerRecord {
	return &peerpb.PlacerRecord{
		Daemon: string(p.Daemon), Incarnation: uint64(p.Incarnation), Fence: uint64(p.Fence), Retired: p.RetiredIndex,
		Resigned: p.Resigned,
	}
}

func placerFromWire(p *peerpb.PlacerRecord) state.Placer {
	return state.Placer{
		Daemon: ident.Daemon(p.GetDaemon()), Incarnation: ident.Incarnation(p.GetIncarnation()),
		Fence: ident.Fence(p.GetFence()), RetiredIndex: p.GetRetired(),
		Resigned: p.GetResigned(),
	}
}

func departureToWire(d state.Departure) *peerpb.Departure {
	return &peerpb.Departure{
		Upstream: string(d.Upstream), Incarnation: uint64(d.Incarnation), Presumed: uint64(d.Presumed), Unseen: uint64(d.Unseen),
		At: timeToWire(d.At),
	}
}

func departureFromWire(p *peerpb.Departure) state.Departure {
	return state.Departure{
		Upstream: ident.Upstream(p.GetUpstream()), Incarnation: ident.Incarnation(p.GetIncarnation()),
		Presumed: ident.Incarnation(p.GetPresumed()), Unseen: ident.Incarnation(p.GetUnseen()), At: timeFromWire(p.GetAt()),
	}
}
