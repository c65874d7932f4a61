package state

import (
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/result"
)

func TestPutRouting(t *testing.T) {
	s := New()
	put := func(index, version uint64, doc string) Outcome {
		return s.Apply(index, PutRouting{Version: version, Document: []byte(doc)})
	}
	assert.Equal(t, s.View().Routing().Version, uint64(0))
	steps := []struct {
		version uint64
		doc     string
		code    result.Code
		holds   string
	}{
		{3, "three", result.OK, "three"},
		{3, "other content", result.OK, "three"},
		{2, "older", result.OK, "three"},
		{7, "seven", result.OK, "seven"},
		{0, "none", result.ChangeInvalid, "seven"},
		{9, string(make([]byte, MaxRoutingDocument+1)), result.ChangeInvalid, "seven"},
	}
	for i, step := range steps {
		out := put(uint64(i+1), step.version, step.doc)
		assert.Equal(t, out.Code, step.code)
		assert.Equal(t, string(s.View().Routing().Document), step.holds)
	}
}

func TestNameVersion(t *testing.T) {
	s := New()
	for i, n := range []NameVersion{{"m", "a", 2}, {"m", "a", 1}, {"m", "", 5}, {"m", "b", 1}} {
		assert.Equal(t, s.Apply(uint64(i+1), n).Code, result.OK)
	}
	v := s.View()
	assert.Equal(t, v.NamedVersion("m", "a"), uint64(2))
	assert.Equal(t, v.NamedVersion("m", ""), uint64(5))
	assert.Equal(t, v.NamedVersion("x", "a"), uint64(0))
	assert.Equal(t, len(v.NamedVersions()), 3)
	assert.Equal(t, s.Apply(9, NameVersion{Model: "m", Adapter: "a"}).Code, result.ChangeInvalid)
}

func TestOfficeOfThePlacer(t *testing.T) {
	s := New()
	steps := []struct {
		command Command
		code    result.Code
		office  bool
	}{
		{AppointPlacer{Daemon: "", Incarnation: 1}, result.Malformed, false},
		{AppointPlacer{Daemon: "a", Incarnation: 1}, result.OK, true},                          // fence 2
		{AppointPlacer{Daemon: "b", Incarnation: 1}, result.ChangeRefused, true},               // one is in office
		{RetirePlacer{Fence: 9}, result.ChangeRefused, true},                                   // another one is meant
		{RetirePlacer{Fence: 2}, result.OK, false},                                             // retired at 5
		{RetirePlacer{Fence: 2}, result.ChangeRefused, false},                                  // already
		{AppointPlacer{Daemon: "b", Incarnation: 1}, result.ChangeRefused, false},              // not waited out
		{AppointPlacer{Daemon: "b", Incarnation: 1, RetiredIndex: 5}, result.OK, true},         // fence 8
		{Batch{Commands: []Command{RetirePlacer{Fence: 8, Resigned: true}}}, result.OK, false}, // retired at 9
		{AppointPlacer{Daemon: "a", Incarnation: 2, RetiredIndex: 5}, result.ChangeRefused, false},
	}
	for i, step := range steps {
		assert.Equal(t, s.Apply(uint64(i+1), step.command).Code, step.code, "step %d", i+1)
		assert.Equal(t, s.View().Placer().HoldsRole(), step.office, "step %d", i+1)
	}
	restored, err := Import(s.View().Export())
	assert.NilError(t, err)
	assert.Equal(t, restored.View().Placer(), s.View().Placer())
}

func TestImportRefusesADamagedOffice(t *testing.T) {
	s := New()
	s.Apply(1, AppointPlacer{Daemon: "a", Incarnation: 1})
	snap := s.View().Export()
	snap.Placer.Fence = 9
	_, err := Import(snap)
	assert.Equal(t, result.CodeOf(err), result.DiskDamaged)
}
