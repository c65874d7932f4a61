package daemon

import (
	"context"
	"strconv"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/operator"
)

// changeTimeout limits one operator's change at the daemon that received it.
const changeTimeout = 5 * time.Second

// editBuilders maps each kind of operator's change to a function that builds
// the edit.
var editBuilders = map[string]func(c operator.Change) (state.Edit, error){
	"set-class": func(c operator.Change) (state.Edit, error) {
		return state.SetClass{Name: ident.Class(c.Name), Target: state.Milliseconds(int64(c.Target))}, nil
	},
	"remove-class": func(c operator.Change) (state.Edit, error) {
		return state.RemoveClass{Name: ident.Class(c.Name)}, nil
	},
	"put-model": func(c operator.Change) (state.Edit, error) {
		return state.PutModel{Name: ident.Model(c.Name)}, nil
	},
	"remove-model": func(c operator.Change) (state.Edit, error) {
		return state.RemoveModel{Name: ident.Model(c.Name)}, nil
	},
	"put-adapter": func(c operator.Change) (state.Edit, error) {
		a, err := ident.ParseAdapter(c.Name)
		return state.PutAdapter{Adapter: a, Model: ident.Model(c.Model)}, err
	},
	"remove-adapter": func(c operator.Change) (state.Edit, error) {
		a, err := ident.ParseAdapter(c.Name)
		return state.RemoveAdapter{Adapter: a}, err
	},
	"set-store": func(c operator.Change) (state.Edit, error) {
		return state.SetStore{MilliLoadsPerSecond: int64(c.Loads) * 1000, MaxInTransit: int64(c.Transit)}, nil
	},
	"drain": func(c operator.Change) (state.Edit, error) {
		return state.DrainDaemon{Name: ident.Daemon(c.Name)}, nil
	},
	"undrain": func(c operator.Change) (state.Edit, error) {
		return state.UndrainDaemon{Name: ident.Daemon(c.Name)}, nil
	},
	"add-witness": func(c operator.Change) (state.Edit, error) {
		return state.AddWitness{Name: ident.Daemon(c.Name)}, nil
	},
	"remove-witness": func(c operator.Change) (state.Edit, error) {
		return state.RemoveWitness{Name: ident.Daemon(c.Name)}, nil
	},
}

// change commits an operator's change and waits until it is in force on every
// daemon that accepts work.
func (d *Daemon) change(ctx context.Context, c operator.Change) (operator.Answer, error) {
	build, ok := editBuilders[c.Kind]
	if !ok {
		return operator.Answer{}, result.New(result.ChangeInvalid, "unknown kind %q", c.Kind)
	}
	edit, err := build(c)
	if err != nil {
		return operator.Answer{}, result.New(result.ChangeInvalid, "%w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	a, err := d.proposer.propose(ctx, state.Change{
		ID: ident.Change(c.ID), Author: c.Author, ProposedAt: d.wall(), Expected: c.Expect, Edit: edit,
	})
	if result.CodeOf(err) == result.Unknown {
		return operator.Answer{}, result.New(result.Pending, "the outcome of the change is not known yet")
	}
	if err != nil {
		return operator.Answer{}, err
	}
	return operatorAnswer(a), nil
}

// operatorAnswer converts the result of a proposal.
func operatorAnswer(a proposalResult) operator.Answer {
	var out operator.Answer
	switch {
	case a.outcome.Code != result.OK:
		out = operator.AnswerFromError(a.outcome.Err())
	case a.code == result.Pending:
		out = operator.AnswerFromError(result.New(result.Pending, "durable at index %d", a.index))
	default:
		out = operator.Answer{Status: "accepted"}
	}
	out.Version, out.Index = a.outcome.Version, a.index
	return out
}

// lister defines the columns of a table and builds its rows from a view.
type lister struct {
	columns []string
	rows    func(v *view) [][]string
}

var listers = map[string]lister{
	"classes": {[]string{"class", "target", "version"}, func(v *view) (rows [][]string) {
		for _, c := range v.state.Classes() {
			target := time.Duration(c.Target.Milliseconds()) * time.Millisecond
			rows = append(rows, []string{string(c.Name), target.String(), formatUint(c.Version)})
		}
		return rows
	}},
	"models": {[]string{"model", "adapters", "version"}, func(v *view) (rows [][]string) {
		for _, m := range v.state.Models() {
			rows = append(rows, []string{string(m.Name), strconv.Itoa(m.Adapters), formatUint(m.Version)})
		}
		return rows
	}},
	"adapters": {[]string{"adapter", "model", "version"}, func(v *view) (rows [][]string) {
		for name, a := range v.state.Adapters(ident.Adapter{}) {
			rows = append(rows, []string{name.String(), string(a.Model), formatUint(a.Version)})
		}
		return rows
	}},
	"store": {[]string{"loads", "transit", "version"}, func(v *view) [][]string {
		s := v.state.Store()
		loads := strconv.FormatFloat(float64(s.MilliLoadsPerSecond)/1000, 'g', -1, 64)
		return [][]string{{loads, strconv.FormatInt(s.MaxInTransit, 10), formatUint(s.Version)}}
	}},
	"witnesses": {[]string{"witness", "version"}, func(v *view) (rows [][]string) {
		names, version := v.state.Witnesses()
		for _, n := range names {
			rows = append(rows, []string{string(n), formatUint(version)})
		}
		return rows
	}},
	"history": {[]string{"index", "at", "change", "author", "what", "result"}, func(v *view) (rows [][]string) {
		for _, r := range v.state.History() {
			rows = append(rows, []string{
				formatUint(r.Index), r.Change.ProposedAt.UTC().Format(time.RFC3339), string(r.Change.ID), r.Change.Author,
				describe(r.Change), strconv.Itoa(int(r.Outcome.Code)),
			})
		}
		return rows
	}},
	"daemons":   {[]string{"daemon", "centre", "caller", "peer", "state", "version"}, daemonRows},
	"upstreams": {[]string{"upstream", "centre", "serves", "address", "owner", "fence", "state"}, upstreamRows},
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func daemonRows(v *view) (rows [][]string) {
	for _, name := range sortedKeys(v.daemons) {
		i := v.daemons[name]
		version, drained := v.state.Drained(name)
		status := "up"
		switch {
		case i.suspected:
			status = "suspected"
		case drained || i.draining:
			status = "draining"
		}
		rows = append(rows, []string{string(name), string(i.dataCentre), i.caller, i.peer, status, formatUint(version)})
	}
	return rows
}

func upstreamRows(v *view) (rows [][]string) {
	for _, name := range sortedKeys(v.upstreams) {
		i := v.upstreams[name]
		o, _ := v.state.Owner(name)
		owner, status := "", "up"
		if o.Owned() {
			owner = string(o.Owner)
		}
		if i.leaving {
			status = "leaving"
		}
		serves := string(i.model) + string(i.service)
		rows = append(rows, []string{string(name), string(i.dataCentre), serves, i.address, owner, formatUint(uint64(o.Fence)), status})
	}
	return rows
}

// list returns the table of that name from this daemon's view.
func (d *Daemon) list(name string) (operator.Table, error) {
	v := d.view.Load()
	if name == "voters" {
		return d.voterTable(v)
	}
	l, ok := listers[name]
	if !ok {
		return operator.Table{}, result.New(result.NotFound, "list %q does not exist", name)
	}
	return operator.Table{Index: v.state.Index(), Columns: l.columns, Rows: l.rows(v)}, nil
}
