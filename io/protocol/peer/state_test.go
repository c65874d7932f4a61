package peer_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/peer"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// word draws a short name, so that commands meet one another's objects.
func word(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "word") }

func number(t *rapid.T) uint64 { return rapid.Uint64Range(0, 9).Draw(t, "number") }

func moment(t *rapid.T) time.Time {
	return time.Unix(1_700_000_000, rapid.Int64Range(1, 9).Draw(t, "nanos")).UTC()
}

func adapter(t *rapid.T) ident.Adapter { return ident.Adapter{Name: word(t), Version: word(t)} }

// edits and commands draw one of each kind.
var edits = []func(*rapid.T) state.Edit{
	func(t *rapid.T) state.Edit {
		return state.SetClass{Name: ident.Class(word(t)), Target: state.Milliseconds(rapid.Int64Range(1, 99).Draw(t, "ms"))}
	},
	func(t *rapid.T) state.Edit { return state.RemoveClass{Name: ident.Class(word(t))} },
	func(t *rapid.T) state.Edit { return state.PutModel{Name: ident.Model(word(t))} },
	func(t *rapid.T) state.Edit { return state.RemoveModel{Name: ident.Model(word(t))} },
	func(t *rapid.T) state.Edit {
		return state.PutAdapter{Adapter: adapter(t), Model: ident.Model(word(t))}
	},
	func(t *rapid.T) state.Edit { return state.RemoveAdapter{Adapter: adapter(t)} },
	func(t *rapid.T) state.Edit {
		return state.SetStore{MilliLoadsPerSecond: int64(number(t)), MaxInTransit: int64(number(t))}
	},
	func(t *rapid.T) state.Edit { return state.DrainDaemon{Name: ident.Daemon(word(t))} },
	func(t *rapid.T) state.Edit { return state.UndrainDaemon{Name: ident.Daemon(word(t))} },
	func(t *rapid.T) state.Edit { return state.AddWitness{Name: ident.Daemon(word(t))} },
	func(t *rapid.T) state.Edit { return state.RemoveWitness{Name: ident.Daemon(word(t))} },
}

var commands = []func(*rapid.T) state.Command{
	func(t *rapid.T) state.Command {
		return state.PutRouting{Version: number(t), Document: []byte(word(t))}
	},
	func(t *rapid.T) state.Command {
		return state.NameVersion{Model: ident.Model(word(t)), Adapter: word(t), Version: number(t)}
	},
	func(t *rapid.T) state.Command {
		return state.AppointPlacer{Daemon: ident.Daemon(word(t)), Incarnation: ident.Incarnation(number(t)), RetiredIndex: number(t)}
	},
	func(t *rapid.T) state.Command {
		return state.RetirePlacer{Fence: ident.Fence(number(t)), Resigned: rapid.Bool().Draw(t, "resigned")}
	},
	func(t *rapid.T) state.Command {
		return state.Change{
			ID: ident.Change(word(t) + word(t)), Author: word(t), ProposedAt: moment(t), Expected: number(t),
			Edit: rapid.SampledFrom(edits).Draw(t, "edit")(t),
		}
	},
	func(t *rapid.T) state.Command {
		return state.Assign{
			Upstream: ident.Upstream(word(t)), Incarnation: ident.Incarnation(number(t)),
			Owner: ident.Daemon(word(t)), OwnerIncarnation: ident.Incarnation(number(t)), RevokedIndex: number(t),
		}
	},
	func(t *rapid.T) state.Command {
		return state.Revoke{Upstream: ident.Upstream(word(t)), Fence: ident.Fence(number(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Yield{Upstream: ident.Upstream(word(t)), Fence: ident.Fence(number(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Release{Upstream: ident.Upstream(word(t)), RevokedIndex: number(t)}
	},
	func(t *rapid.T) state.Command {
		return state.Begin{
			Scope: word(t), Key: ident.Key(word(t)), Digest: "x", Owner: ident.Daemon(word(t)),
			OwnerIncarnation: ident.Incarnation(number(t)), Attempt: ident.Attempt(word(t)), ViewIndex: number(t), ProposedAt: moment(t), Deadline: moment(t),
		}
	},
	func(t *rapid.T) state.Command {
		a := state.Answer{Status: 200, ContentType: word(t), BodyDropped: rapid.Bool().Draw(t, "dropped")}
		if !a.BodyDropped {
			a.Body = rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "body")
		}
		return state.Finish{Scope: word(t), Key: ident.Key(word(t)), Attempt: ident.Attempt(word(t)), Answer: a}
	},
	func(t *rapid.T) state.Command {
		return state.Abandon{Scope: word(t), Key: ident.Key(word(t)), Attempt: ident.Attempt(word(t)), Deadline: moment(t)}
	},
	func(t *rapid.T) state.Command {
		return state.MarkUnknown{Scope: word(t), Key: ident.Key(word(t)), Attempt: ident.Attempt(word(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Orphan{Owner: ident.Daemon(word(t)), Incarnation: ident.Incarnation(number(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Expire{Until: time.Unix(1_700_000_000, rapid.Int64Range(1, 4).Draw(t, "nanos")).UTC()}
	},
	func(t *rapid.T) state.Command {
		return state.FormWitnesses{Names: []ident.Daemon{ident.Daemon(word(t)), ident.Daemon(word(t))}}
	},
	func(t *rapid.T) state.Command { return state.Quarantine{Digest: word(t), Until: moment(t)} },
}

func command(t *rapid.T) state.Command {
	if !rapid.Bool().Draw(t, "batch") {
		return rapid.SampledFrom(commands).Draw(t, "command")(t)
	}
	var b state.Batch
	for range rapid.IntRange(1, 4).Draw(t, "size") {
		b.Commands = append(b.Commands, rapid.SampledFrom(commands).Draw(t, "command")(t))
	}
	return b
}

func TestCommandRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := command(t)
		b, err := peer.EncodeCommand(want)
		assert.NilError(t, err)
		got, err := peer.DecodeCommand(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// TestStateRoundTrip checks that a state that goes through bytes half-way
// gives the same answers and the same snapshot as one that does not, and that
// commands and outcomes survive their bytes.
func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept, moved := state.New(), state.New()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := command(t)
			want := kept.Apply(uint64(i+1), c)
			got := moved.Apply(uint64(i+1), throughBytes(t, c))
			assert.DeepEqual(t, outcomeThroughBytes(t, got), want)
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				moved = restore(t, save(t, moved))
			}
		}
		assert.NilError(t, kept.Check())
		assert.Assert(t, bytes.Equal(save(t, kept), save(t, moved)))
	})
}

func throughBytes(t assert.TestingT, c state.Command) state.Command {
	b, err := peer.EncodeCommand(c)
	assert.NilError(t, err)
	out, err := peer.DecodeCommand(b)
	assert.NilError(t, err)
	return out
}

func outcomeThroughBytes(t assert.TestingT, o state.Outcome) state.Outcome {
	b, err := peer.EncodeOutcome(o)
	assert.NilError(t, err)
	out, err := peer.DecodeOutcome(b)
	assert.NilError(t, err)
	return out
}

func save(t assert.TestingT, s *state.State) []byte {
	b, err := peer.EncodeSnapshot(s.View().Export())
	assert.NilError(t, err)
	return b
}

func restore(t assert.TestingT, b []byte) *state.State {
	snapshot, err := peer.DecodeSnapshot(b)
	assert.NilError(t, err)
	s, err := state.Import(snapshot)
	assert.NilError(t, err)
	return s
}

func TestNestedBatchIsMalformed(t *testing.T) {
	_, err := peer.EncodeCommand(state.Batch{Commands: []state.Command{state.Batch{}}})
	assert.Equal(t, result.CodeOf(err), result.Malformed)
}

// examples returns encoded commands and the snapshot that they lead to.
func examples(f *testing.F) (encoded [][]byte, snapshot []byte) {
	s := state.New()
	for i, draw := range append(commands, command) {
		for j := range 8 {
			c := rapid.Custom(draw).Example(i*8 + j)
			b, err := peer.EncodeCommand(c)
			assert.NilError(f, err)
			encoded = append(encoded, b)
			s.Apply(s.Index()+1, c)
		}
	}
	return encoded, save(f, s)
}

func FuzzDecodeCommand(f *testing.F) {
	encoded, _ := examples(f)
	for _, b := range encoded {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := peer.DecodeCommand(b)
		if err != nil {
			assert.Equal(t, result.CodeOf(err), result.Malformed)
			return
		}
		assert.DeepEqual(t, throughBytes(t, c), c)
		s := state.New()
		s.Apply(1, c)
		assert.NilError(t, s.Check())
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	_, snapshot := examples(f)
	f.Add(snapshot)
	f.Add(snapshot[:len(snapshot)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := peer.DecodeSnapshot(b)
		if err != nil {
			return
		}
		s, err := state.Import(decoded)
		if err != nil {
			assert.Equal(t, result.CodeOf(err), result.DiskDamaged)
			return
		}
		first := save(t, s)
		assert.Assert(t, bytes.Equal(first, save(t, restore(t, first))))
	})
}
