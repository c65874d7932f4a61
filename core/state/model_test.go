package state_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// answer is the response to an operator's change.
type answer struct {
	code    result.Code
	version uint64
}

// naive is a simple reference implementation of the state: a table of versions,
// a table of contents, and all changes with their answers.
type naive struct {
	counter  uint64
	versions map[string]uint64
	contents map[string]string
	changes  map[ident.Change]state.Change
	answers  map[ident.Change]answer
}

func newNaive() *naive {
	return &naive{
		versions: map[string]uint64{},
		contents: map[string]string{},
		changes:  map[ident.Change]state.Change{},
		answers:  map[ident.Change]answer{},
	}
}

// apply applies a change, whose edit must be valid.
func (n *naive) apply(c state.Change) answer {
	if f, ok := n.changes[c.ID]; ok {
		if f.Edit != c.Edit || f.Expected != c.Expected {
			return answer{code: result.ChangeIDReused}
		}
		return n.answers[c.ID]
	}
	a := n.applyEdit(c)
	n.changes[c.ID], n.answers[c.ID] = c, a
	return a
}

func (n *naive) applyEdit(c state.Change) answer {
	object, content, code := n.lookup(c.Edit)
	versioned := object
	if strings.HasPrefix(object, "witness/") {
		versioned = "witnesses"
	}
	if n.versions[versioned] != c.Expected {
		return answer{result.VersionConflict, n.versions[versioned]}
	}
	if code != result.OK {
		return answer{code, c.Expected}
	}
	n.counter++
	n.versions[versioned] = n.counter
	if content == "" {
		delete(n.contents, object)
		if versioned == object {
			delete(n.versions, object)
		}
		return answer{result.OK, n.versions[versioned]}
	}
	n.contents[object] = content
	return answer{result.OK, n.counter}
}

// lookup returns the object of an edit, its new content (empty if the object is
// removed), and the code with which the current contents refuse the edit.
func (n *naive) lookup(e state.Edit) (object, content string, code result.Code) {
	missing := func(object string, code result.Code) (string, string, result.Code) {
		if _, ok := n.contents[object]; ok {
			return object, "", result.OK
		}
		return object, "", code
	}
	switch e := e.(type) {
	case state.SetClass:
		return "class/" + string(e.Name), fmt.Sprint(e.Target.Milliseconds()), result.OK
	case state.RemoveClass:
		return missing("class/"+string(e.Name), result.UnknownClass)
	case state.PutModel:
		return "model/" + string(e.Name), "model", result.OK
	case state.RemoveModel:
		object, content, code = missing("model/"+string(e.Name), result.UnknownModel)
		for o, model := range n.contents {
			if strings.HasPrefix(o, "adapter/") && model == string(e.Name) {
				code = result.ChangeRefused
			}
		}
		return object, content, code
	case state.PutAdapter:
		_, _, code = missing("model/"+string(e.Model), result.UnknownModel)
		return "adapter/" + e.Adapter.String(), string(e.Model), code
	case state.RemoveAdapter:
		return missing("adapter/"+e.Adapter.String(), result.UnknownAdapter)
	case state.SetStore:
		return "store", fmt.Sprint(e.MilliLoadsPerSecond, " ", e.MaxInTransit), result.OK
	case state.DrainDaemon:
		return "drain/" + string(e.Name), "drained", result.OK
	case state.UndrainDaemon:
		return missing("drain/"+string(e.Name), result.ChangeRefused)
	case state.AddWitness:
		object = "witness/" + string(e.Name)
		if _, ok := n.contents[object]; ok {
			return object, "", result.ChangeRefused
		}
		return object, "witness", result.OK
	case state.RemoveWitness:
		object, content, code = missing("witness/"+string(e.Name), result.ChangeRefused)
		count := 0
		for o := range n.contents {
			if strings.HasPrefix(o, "witness/") {
				count++
			}
		}
		if count == 1 {
			code = result.ChangeRefused
		}
		return object, content, code
	}
	panic(fmt.Sprintf("unexpected edit %T", e))
}

// contentsOf returns the contents of a view in the form of naive.contents.
func contentsOf(v *state.View) map[string]string {
	out := map[string]string{}
	for _, c := range v.Classes() {
		out["class/"+string(c.Name)] = fmt.Sprint(c.Target.Milliseconds())
	}
	for _, m := range v.Models() {
		out["model/"+string(m.Name)] = "model"
	}
	for _, a := range v.Adapters(ident.Adapter{}) {
		out["adapter/"+a.Name.String()] = string(a.Model)
	}
	if s := v.Store(); s.Version != 0 {
		out["store"] = fmt.Sprint(s.MilliLoadsPerSecond, " ", s.MaxInTransit)
	}
	for _, d := range v.DrainedDaemons() {
		out["drain/"+string(d)] = "drained"
	}
	witnesses, _ := v.Witnesses()
	for _, w := range witnesses {
		out["witness/"+string(w)] = "witness"
	}
	return out
}

func drawEdit(t *rapid.T) state.Edit {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	other := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "other")
	adapter := ident.Adapter{Name: name, Version: "1"}
	ms := rapid.Int64Range(50, 52).Draw(t, "ms")
	return rapid.SampledFrom([]state.Edit{
		state.SetClass{Name: ident.Class(name), Target: state.Milliseconds(ms)},
		state.RemoveClass{Name: ident.Class(name)},
		state.PutModel{Name: ident.Model(other)},
		state.RemoveModel{Name: ident.Model(other)},
		state.PutAdapter{Adapter: adapter, Model: ident.Model(other)},
		state.RemoveAdapter{Adapter: adapter},
		state.SetStore{MilliLoadsPerSecond: ms, MaxInTransit: 8},
		state.DrainDaemon{Name: ident.Daemon(name)},
		state.UndrainDaemon{Name: ident.Daemon(name)},
		state.AddWitness{Name: ident.Daemon(name)},
		state.RemoveWitness{Name: ident.Daemon(name)},
	}).Draw(t, "edit")
}

// TestAgainstNaive compares the state with the reference implementation while
// operators change objects concurrently, resend changes and reuse change ids,
// and while the state restarts from snapshots. It also checks that a View taken
// earlier does not change.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := state.New(), newNaive()
		var sent []state.Change
		early, earlyWant := s.View(), map[string]string{}
		for i := range rapid.IntRange(1, 80).Draw(t, "changes") {
			c := drawChange(t, n, sent)
			sent = append(sent, c)
			out := s.Apply(uint64(i+1), c)
			assert.Equal(t, answer{out.Code, out.Version}, n.apply(c), "change %d: %+v: %s", i, c, out.Detail)
			assert.NilError(t, s.Check())
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				var err error
				s, err = state.Import(s.View().Export())
				assert.NilError(t, err)
			}
			if rapid.IntRange(0, 30).Draw(t, "view") == 0 {
				early, earlyWant = s.View(), contentsOf(s.View())
			}
		}
		assert.DeepEqual(t, contentsOf(s.View()), n.contents)
		assert.DeepEqual(t, contentsOf(early), earlyWant)
	})
}

// drawChange draws a new change, a resend, or a new change with a used id.
func drawChange(t *rapid.T, n *naive, sent []state.Change) state.Change {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	if len(sent) > 0 && kind == 0 {
		return rapid.SampledFrom(sent).Draw(t, "resend")
	}
	c := state.Change{ID: ident.Change(fmt.Sprint("id", len(sent))), ProposedAt: noon, Edit: drawEdit(t)}
	if len(sent) > 0 && kind == 1 {
		c.ID = rapid.SampledFrom(sent).Draw(t, "reuse").ID
	}
	object, _, _ := n.lookup(c.Edit)
	if strings.HasPrefix(object, "witness/") {
		object = "witnesses"
	}
	c.Expected = n.versions[object]
	if kind == 2 {
		c.Expected = rapid.Uint64Range(0, n.counter).Draw(t, "expected")
	}
	return c
}

func TestHistoryIsBounded(t *testing.T) {
	s := state.New()
	last := uint64(0)
	for i := range state.MaxChanges + 10 {
		out := s.Apply(uint64(i+1), setClass(fmt.Sprint("id", i), "urgent", last, 500))
		assert.Equal(t, out.Code, result.OK)
		last = out.Version
	}
	assert.NilError(t, s.Check())
	assert.Equal(t, len(s.View().History()), state.MaxChanges)
	_, ok := s.View().ChangeRecord("id9")
	assert.Assert(t, !ok)
	_, ok = s.View().ChangeRecord("id10")
	assert.Assert(t, ok)
	s, err := state.Import(s.View().Export())
	assert.NilError(t, err)
	forgotten := s.Apply(s.Index()+1, setClass("id5", "urgent", 5, 500))
	assert.Equal(t, forgotten.Code, result.VersionConflict)
	kept := s.Apply(s.Index()+1, setClass("id100", "urgent", 100, 500))
	assert.Equal(t, kept.Code, result.OK)
	assert.Equal(t, kept.Version, uint64(101))
}

// TestImportRefusesDamage damages one part of a snapshot at a time.
func TestImportRefusesDamage(t *testing.T) {
	s := state.New()
	for i, c := range []state.Command{
		state.Change{ID: "1", Edit: state.PutModel{Name: "m"}},
		state.Change{ID: "2", Edit: state.PutAdapter{Adapter: ident.Adapter{Name: "a", Version: "1"}, Model: "m"}},
		setClass("3", "urgent", 0, 500),
		state.Assign{Upstream: "u", Owner: "d"},
		state.Begin{Scope: "s", Key: "k", Digest: "x", Owner: "d", Attempt: "a", ProposedAt: noon, Deadline: noon.Add(1)},
		state.Depart{Upstream: "u", Incarnation: 1, At: noon.Add(2)},
	} {
		assert.Equal(t, s.Apply(uint64(i+1), c).Code, result.OK)
	}
	cases := map[string]func(*state.Snapshot){
		"missing model":       func(s *state.Snapshot) { s.Models = nil },
		"missing adapter":     func(s *state.Snapshot) { s.Adapters = nil },
		"repeated adapter":    func(s *state.Snapshot) { s.Adapters = append(s.Adapters, s.Adapters[0]) },
		"target":              func(s *state.Snapshot) { s.Classes[0].Target = state.Milliseconds(1) },
		"version":             func(s *state.Snapshot) { s.Version = 1 },
		"fence":               func(s *state.Snapshot) { s.Owners[0].Fence = 99 },
		"yielded":             func(s *state.Snapshot) { s.Owners[0].Yielded = true },
		"repeated change id":  func(s *state.Snapshot) { s.Records[0].Change.ID = "2" },
		"sequence":            func(s *state.Snapshot) { s.Sequence = 1 },
		"repeated entry":      func(s *state.Snapshot) { s.Entries = append(s.Entries, s.Entries[0]) },
		"nil entry":           func(s *state.Snapshot) { s.Entries = append(s.Entries, nil) },
		"phase":               func(s *state.Snapshot) { s.Entries[0] = &state.Entry{Key: s.Entries[0].Key, Attempt: "a"} },
		"expired":             func(s *state.Snapshot) { s.Expired = noon.Add(1) },
		"departure of no run": func(s *state.Snapshot) { s.Departures[0].Incarnation = 0 },
		"repeated departure": func(s *state.Snapshot) {
			s.Departures = append(s.Departures, state.Departure{Upstream: "u", Incarnation: 1, At: noon.Add(-1)})
			s.Expired = noon
		},
		"expired departure": func(s *state.Snapshot) { s.Entries, s.Expired = nil, noon.Add(2) },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			snapshot := s.View().Export()
			damage(&snapshot)
			_, err := state.Import(snapshot)
			assert.Equal(t, result.CodeOf(err), result.DiskDamaged)
		})
	}
}
