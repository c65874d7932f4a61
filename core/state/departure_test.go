package state_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

// TestDepart applies departures of upstream "u" and checks which runs have left then,
// also after a restart from a snapshot.
func TestDepart(t *testing.T) {
	depart := func(i ident.Incarnation, at time.Time) state.Command {
		return state.Depart{Upstream: "u", Incarnation: i, At: at}
	}
	presume := func(i ident.Incarnation) state.Command {
		return state.Depart{Upstream: "u", Presumed: i, At: noon}
	}
	unseen := func(i ident.Incarnation) state.Command { return state.Depart{Upstream: "u", Unseen: i, At: noon} }
	readmit := func(i ident.Incarnation) state.Command { return state.Readmit{Upstream: "u", Incarnation: i} }
	cases := map[string]struct {
		commands []state.Command
		code     result.Code
		// left is the latest run that has left, 0 if none has.
		left ident.Incarnation
	}{
		"one":            {[]state.Command{depart(5, noon)}, result.OK, 5},
		"resent":         {[]state.Command{depart(5, noon), depart(5, noon)}, result.OK, 5},
		"a later run":    {[]state.Command{depart(5, noon), depart(8, noon.Add(time.Second))}, result.OK, 8},
		"an older entry": {[]state.Command{depart(8, noon), depart(5, noon.Add(time.Second))}, result.OK, 8},
		"of another":     {[]state.Command{state.Depart{Upstream: "other", Incarnation: 5, At: noon}}, result.OK, 0},
		"no run":         {[]state.Command{depart(0, noon)}, result.Malformed, 0},
		"no name":        {[]state.Command{state.Depart{Incarnation: 5, At: noon}}, result.Malformed, 0},
		"kept":           {[]state.Command{depart(5, noon), state.Expire{Until: noon.Add(-1)}}, result.OK, 5},
		"expired":        {[]state.Command{depart(5, noon), state.Expire{Until: noon}}, result.OK, 0},
		"renewed":        {[]state.Command{depart(5, noon), depart(6, noon.Add(time.Hour)), state.Expire{Until: noon}}, result.OK, 6},
		"presumed":       {[]state.Command{presume(5)}, result.OK, 5},
		"presumed later": {[]state.Command{depart(5, noon), presume(8)}, result.OK, 8},
		"known later":    {[]state.Command{presume(5), depart(8, noon)}, result.OK, 8},
		"unseen":         {[]state.Command{presume(5), unseen(7), presume(6)}, result.OK, 7},
		"unseen, back":   {[]state.Command{presume(5), unseen(7), readmit(6)}, result.OK, 5},
		"all back":       {[]state.Command{presume(5), unseen(7), readmit(3)}, result.OK, 2},
		"readmitted":     {[]state.Command{presume(8), readmit(6)}, result.OK, 5},
		"readmitted all": {[]state.Command{presume(8), readmit(1)}, result.OK, 0},
		"not readmitted": {[]state.Command{depart(5, noon), presume(8), readmit(5)}, result.OK, 8},
		"back to known":  {[]state.Command{depart(5, noon), presume(8), readmit(6)}, result.OK, 5},
		"readmitted new": {[]state.Command{presume(8), readmit(9)}, result.OK, 8},
		"readmit nobody": {[]state.Command{readmit(3)}, result.OK, 0},
		"too old":        {[]state.Command{state.Expire{Until: noon}, depart(5, noon)}, result.ChangeRefused, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := state.New()
			var out state.Outcome
			for i, c := range tc.commands {
				out = s.Apply(uint64(i+1), c)
				assert.NilError(t, s.Check())
			}
			assert.Equal(t, out.Code, tc.code)
			restored, err := state.Import(s.View().Export())
			assert.NilError(t, err)
			for _, v := range []*state.View{s.View(), restored.View()} {
				for i := range ident.Incarnation(10) {
					assert.Equal(t, v.HasLeft("u", i+1), i+1 <= tc.left, "incarnation %d", i+1)
				}
			}
		})
	}
}

func TestDeparturesAreBounded(t *testing.T) {
	s := state.New()
	for i := range state.MaxDepartures + 10 {
		c := state.Depart{Upstream: ident.Upstream(fmt.Sprint("u", i)), Incarnation: 1, At: noon.Add(time.Duration(i))}
		assert.Equal(t, s.Apply(uint64(i+1), c).Code, result.OK)
	}
	assert.NilError(t, s.Check())
	v := s.View()
	assert.Equal(t, v.CountDepartures(), state.MaxDepartures)
	assert.Assert(t, !v.HasLeft("u9", 1))
	assert.Assert(t, v.HasLeft("u10", 1))
	next, ok := v.NextExpiry()
	assert.Assert(t, ok)
	assert.Equal(t, next, noon.Add(10))
	old := state.Depart{Upstream: "old", Incarnation: 1, At: noon}
	assert.Equal(t, s.Apply(s.Index()+1, old).Code, result.ChangeRefused, "dropped at once and not refused")
}
