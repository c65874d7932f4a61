package state_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

func setClass(id, name string, expected uint64, ms int64) state.Change {
	return state.Change{
		ID:         ident.Change(id),
		ProposedAt: noon,
		Expected:   expected,
		Edit:       state.SetClass{Name: ident.Class(name), Target: state.Milliseconds(ms)},
	}
}

// TestChange applies changes in order; each case ends in the answer to its
// last change.
func TestChange(t *testing.T) {
	adapter := ident.Adapter{Name: "a", Version: "1"}
	edit := func(id string, expected uint64, e state.Edit) state.Change {
		return state.Change{ID: ident.Change(id), ProposedAt: noon, Expected: expected, Edit: e}
	}
	cases := map[string]struct {
		changes []state.Change
		code    result.Code
		version uint64
	}{
		"create":         {[]state.Change{setClass("1", "urgent", 0, 500)}, result.OK, 1},
		"update":         {[]state.Change{setClass("1", "urgent", 0, 500), setClass("2", "urgent", 1, 600)}, result.OK, 2},
		"race":           {[]state.Change{setClass("1", "urgent", 0, 500), setClass("2", "urgent", 0, 600)}, result.VersionConflict, 1},
		"resend":         {[]state.Change{setClass("1", "urgent", 0, 500), setClass("2", "urgent", 1, 600), setClass("1", "urgent", 0, 500)}, result.OK, 1},
		"other content":  {[]state.Change{setClass("1", "urgent", 0, 500), setClass("1", "urgent", 0, 501)}, result.ChangeIDReused, 0},
		"other expected": {[]state.Change{setClass("1", "urgent", 0, 500), setClass("1", "urgent", 1, 500)}, result.ChangeIDReused, 0},
		"refusal is kept": {[]state.Change{
			setClass("1", "urgent", 0, 500), setClass("2", "urgent", 0, 600),
			edit("3", 1, state.RemoveClass{Name: "urgent"}), setClass("2", "urgent", 0, 600),
		}, result.VersionConflict, 1},
		"made again": {[]state.Change{
			setClass("1", "urgent", 0, 500), edit("2", 1, state.RemoveClass{Name: "urgent"}), setClass("3", "urgent", 0, 600),
		}, result.OK, 3},
		"short target":   {[]state.Change{setClass("1", "urgent", 0, 49)}, result.ChangeInvalid, 0},
		"long target":    {[]state.Change{setClass("1", "urgent", 0, 86_400_001)}, result.ChangeInvalid, 0},
		"bad name":       {[]state.Change{setClass("1", "urgent booking", 0, 500)}, result.ChangeInvalid, 0},
		"no id":          {[]state.Change{setClass("", "urgent", 0, 500)}, result.ChangeInvalid, 0},
		"no edit":        {[]state.Change{edit("1", 0, nil)}, result.ChangeInvalid, 0},
		"unknown model":  {[]state.Change{edit("1", 0, state.PutAdapter{Adapter: adapter, Model: "m"})}, result.UnknownModel, 0},
		"model in use":   {[]state.Change{edit("1", 0, state.PutModel{Name: "m"}), edit("2", 0, state.PutAdapter{Adapter: adapter, Model: "m"}), edit("3", 1, state.RemoveModel{Name: "m"})}, result.ChangeRefused, 1},
		"model unused":   {[]state.Change{edit("1", 0, state.PutModel{Name: "m"}), edit("2", 0, state.PutAdapter{Adapter: adapter, Model: "m"}), edit("3", 2, state.RemoveAdapter{Adapter: adapter}), edit("4", 1, state.RemoveModel{Name: "m"})}, result.OK, 0},
		"remove nothing": {[]state.Change{edit("1", 0, state.RemoveAdapter{Adapter: adapter})}, result.UnknownAdapter, 0},
		"store":          {[]state.Change{edit("1", 0, state.SetStore{MilliLoadsPerSecond: 3000, MaxInTransit: 8})}, result.OK, 1},
		"store of none":  {[]state.Change{edit("1", 0, state.SetStore{MilliLoadsPerSecond: 0, MaxInTransit: 8})}, result.ChangeInvalid, 0},
		"drain":          {[]state.Change{edit("1", 0, state.DrainDaemon{Name: "d"}), edit("2", 1, state.UndrainDaemon{Name: "d"})}, result.OK, 0},
		"witnesses":      {[]state.Change{edit("1", 0, state.AddWitness{Name: "d"}), edit("2", 1, state.AddWitness{Name: "e"}), edit("3", 2, state.RemoveWitness{Name: "d"})}, result.OK, 3},
		"witness race":   {[]state.Change{edit("1", 0, state.AddWitness{Name: "d"}), edit("2", 1, state.AddWitness{Name: "e"}), edit("3", 1, state.RemoveWitness{Name: "d"})}, result.VersionConflict, 2},
		"last witness":   {[]state.Change{edit("1", 0, state.AddWitness{Name: "d"}), edit("2", 1, state.RemoveWitness{Name: "d"})}, result.ChangeRefused, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := state.New()
			var out state.Outcome
			for i, change := range c.changes {
				out = s.Apply(uint64(i+1), change)
				assert.NilError(t, s.Check())
			}
			assert.Equal(t, out.Code, c.code, out.Detail)
			assert.Equal(t, out.Version, c.version)
		})
	}
}

// TestOwnership applies commands at indexes 1, 2, ... and looks at the answer
// to the last.
func TestOwnership(t *testing.T) {
	assign := func(owner string, after uint64) state.Assign {
		return state.Assign{Upstream: "u", Incarnation: 1, Owner: ident.Daemon(owner), OwnerIncarnation: 1, RevokedIndex: after}
	}
	revoke := func(fence uint64) state.Revoke { return state.Revoke{Upstream: "u", Fence: ident.Fence(fence)} }
	cases := map[string]struct {
		commands []state.Command
		code     result.Code
		fence    ident.Fence
	}{
		"first":            {[]state.Command{assign("d", 0)}, result.OK, 1},
		"owned":            {[]state.Command{assign("d", 0), assign("e", 0)}, result.ChangeRefused, 0},
		"next":             {[]state.Command{assign("d", 0), revoke(1), assign("e", 2)}, result.OK, 3},
		"late copy":        {[]state.Command{assign("d", 0), revoke(1), assign("d", 0)}, result.ChangeRefused, 0},
		"other revocation": {[]state.Command{assign("d", 0), revoke(1), assign("e", 2), revoke(3), assign("d", 2)}, result.ChangeRefused, 0},
		"old fence":        {[]state.Command{assign("d", 0), revoke(1), assign("e", 2), revoke(1)}, result.ChangeRefused, 0},
		"revoked twice":    {[]state.Command{assign("d", 0), revoke(1), revoke(1)}, result.OK, 1},
		"yield":            {[]state.Command{assign("d", 0), state.Yield{Upstream: "u", Fence: 1}, assign("e", 2)}, result.OK, 3},
		"yield after":      {[]state.Command{assign("d", 0), revoke(1), state.Yield{Upstream: "u", Fence: 1}, assign("e", 2)}, result.OK, 4},
		"late yield":       {[]state.Command{assign("d", 0), revoke(1), assign("e", 2), state.Yield{Upstream: "u", Fence: 1}}, result.ChangeRefused, 0},
		"release owned":    {[]state.Command{assign("d", 0), state.Release{Upstream: "u"}}, result.ChangeRefused, 0},
		"release":          {[]state.Command{assign("d", 0), revoke(1), state.Release{Upstream: "u", RevokedIndex: 2}, assign("e", 0)}, result.OK, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := state.New()
			var out state.Outcome
			for i, command := range c.commands {
				out = s.Apply(uint64(i+1), command)
				assert.NilError(t, s.Check())
			}
			assert.Equal(t, out.Code, c.code, out.Detail)
			assert.Equal(t, out.Fence, c.fence)
		})
	}
}

func TestWitnessesChangeOneAtATime(t *testing.T) {
	add := func(id, name string, expected uint64) state.Change {
		return state.Change{ID: ident.Change(id), Expected: expected, Edit: state.AddWitness{Name: ident.Daemon(name)}}
	}
	s := state.New()
	assert.Equal(t, s.Apply(1, state.FormWitnesses{Names: []ident.Daemon{"a", "b", "c"}}).Code, result.OK)
	assert.Equal(t, s.Apply(2, state.FormWitnesses{Names: []ident.Daemon{"d"}}).Code, result.ChangeRefused)
	out := s.Apply(3, state.Batch{Commands: []state.Command{add("1", "d", 1), add("2", "e", 2)}})
	assert.Equal(t, out.Batch[0].Code, result.OK)
	assert.Equal(t, out.Batch[1].Code, result.ChangeRefused)
	s, err := state.Import(s.View().Export())
	assert.NilError(t, err)
	former, index := s.View().WitnessChange()
	assert.DeepEqual(t, former, []ident.Daemon{"a", "b", "c"})
	assert.Equal(t, index, uint64(3))
}

func TestRevokeAndAssignInOneBatchIsRefused(t *testing.T) {
	s := state.New()
	s.Apply(1, state.Assign{Upstream: "u", Owner: "d"})
	out := s.Apply(2, state.Batch{Commands: []state.Command{
		state.Revoke{Upstream: "u", Fence: 1},
		state.Assign{Upstream: "u", Owner: "e", RevokedIndex: 2},
	}})
	assert.Equal(t, out.Batch[0].Code, result.OK)
	assert.Equal(t, out.Batch[1].Code, result.ChangeRefused)
}

// TestLedger applies commands at indexes 1, 2, ... and looks at the answer to
// the last.
func TestLedger(t *testing.T) {
	begin := func(attempt, digest string) state.Begin {
		return state.Begin{
			Scope: "booking", Key: "k", Digest: digest, Owner: "d", OwnerIncarnation: 7,
			Attempt: ident.Attempt(attempt), ProposedAt: noon, Deadline: noon.Add(time.Minute),
		}
	}
	far := begin("a", "x")
	far.Deadline = noon.Add(state.MaxDeadlineAhead + time.Second)
	past := begin("a", "x")
	past.Deadline = noon
	finish := func(attempt string, size int) state.Finish {
		return state.Finish{Scope: "booking", Key: "k", Attempt: ident.Attempt(attempt), Answer: state.Answer{Status: 200, Body: make([]byte, size)}}
	}
	seen := func(attempt string, index uint64) state.Begin {
		b := begin(attempt, "x")
		b.ViewIndex = index
		return b
	}
	abandon := func(attempt string) state.Abandon {
		return state.Abandon{Scope: "booking", Key: "k", Attempt: ident.Attempt(attempt), Deadline: noon.Add(time.Minute)}
	}
	unknown := state.MarkUnknown{Scope: "booking", Key: "k", Attempt: "a"}
	orphan := state.Orphan{Owner: "d", Incarnation: 7}
	cases := map[string]struct {
		commands []state.Command
		code     result.Code
		granted  bool
		phase    state.Phase
	}{
		"granted":            {[]state.Command{begin("a", "x")}, result.OK, true, state.Running},
		"granted again":      {[]state.Command{begin("a", "x"), begin("a", "x")}, result.OK, true, state.Running},
		"running":            {[]state.Command{begin("a", "x"), begin("b", "x")}, result.StillRunning, false, state.Running},
		"reused":             {[]state.Command{begin("a", "x"), begin("b", "y")}, result.KeyReused, false, 0},
		"finished":           {[]state.Command{begin("a", "x"), finish("a", 1), begin("b", "x")}, result.OK, false, state.Finished},
		"finished by other":  {[]state.Command{begin("a", "x"), finish("b", 1)}, result.ChangeRefused, false, 0},
		"unknown":            {[]state.Command{begin("a", "x"), unknown, begin("b", "x")}, result.Unknown, false, state.Unknown},
		"unknown to itself":  {[]state.Command{begin("a", "x"), orphan, begin("a", "x")}, result.Unknown, false, state.Unknown},
		"late answer":        {[]state.Command{begin("a", "x"), orphan, finish("a", 1), begin("b", "x")}, result.OK, false, state.Finished},
		"other run":          {[]state.Command{begin("a", "x"), state.Orphan{Owner: "d", Incarnation: 8}, begin("a", "x")}, result.OK, true, state.Running},
		"abandoned":          {[]state.Command{begin("a", "x"), abandon("a"), seen("b", 2)}, result.OK, true, state.Running},
		"superseded":         {[]state.Command{begin("a", "x"), abandon("a"), seen("b", 1)}, result.Superseded, false, state.Abandoned},
		"superseded again":   {[]state.Command{begin("a", "x"), abandon("a"), seen("b", 1), seen("c", 2)}, result.Superseded, false, state.Abandoned},
		"resent after that":  {[]state.Command{begin("a", "x"), abandon("a"), seen("b", 1), seen("c", 3)}, result.OK, true, state.Running},
		"abandoned, late":    {[]state.Command{begin("a", "x"), abandon("a"), begin("a", "x")}, result.Superseded, false, state.Abandoned},
		"abandoned first":    {[]state.Command{abandon("a"), begin("a", "x")}, result.Superseded, false, state.Abandoned},
		"abandoned by other": {[]state.Command{begin("a", "x"), abandon("b"), begin("c", "x")}, result.StillRunning, false, state.Running},
		"abandoned too late": {[]state.Command{begin("a", "x"), finish("a", 1), abandon("a")}, result.ChangeRefused, false, 0},
		"orphan, abandoned":  {[]state.Command{begin("a", "x"), orphan, abandon("a"), seen("b", 3)}, result.OK, true, state.Running},
		"expired":            {[]state.Command{begin("a", "x"), state.Expire{Until: noon.Add(time.Hour)}, begin("b", "x")}, result.KeyExpired, false, 0},
		"past":               {[]state.Command{past}, result.DeadlineHopeless, false, 0},
		"far":                {[]state.Command{far}, result.DeadlineTooFar, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := state.New()
			var out state.Outcome
			for i, command := range c.commands {
				out = s.Apply(uint64(i+1), command)
				assert.NilError(t, s.Check())
			}
			assert.Equal(t, out.Code, c.code, out.Detail)
			assert.Equal(t, out.Granted, c.granted)
			var phase state.Phase
			if out.Entry != nil {
				phase = out.Entry.Phase
			}
			assert.Equal(t, phase, c.phase)
		})
	}
}

func TestLargeAnswerIsDropped(t *testing.T) {
	s := state.New()
	s.Apply(1, state.Begin{Scope: "s", Key: "k", Digest: "x", Owner: "d", Attempt: "a", ProposedAt: noon, Deadline: noon.Add(time.Minute)})
	out := s.Apply(2, state.Finish{Scope: "s", Key: "k", Attempt: "a", Answer: state.Answer{Status: 200, Body: make([]byte, state.MaxAnswerBody+1)}})
	assert.Equal(t, out.Code, result.OK)
	assert.Assert(t, out.Entry.Answer.BodyDropped)
	assert.Equal(t, out.Entry.Answer.Status, 200)
	assert.Equal(t, len(out.Entry.Answer.Body), 0)
}

func TestQuarantineIsBounded(t *testing.T) {
	s := state.New()
	for i := range state.MaxQuarantined + 10 {
		digest := string(rune('a'+i%26)) + time.Duration(i).String()
		s.Apply(uint64(i+1), state.Quarantine{Digest: digest, Until: noon.Add(time.Duration(i) * time.Second)})
	}
	assert.NilError(t, s.Check())
	assert.Assert(t, s.View().QuarantinedUntil("a0s").IsZero())
	s.Apply(5000, state.Expire{Until: noon.Add(24 * time.Hour)})
	for digest := range s.View().Quarantined() {
		t.Fatalf("digest %q outlived its end", digest)
	}
}
