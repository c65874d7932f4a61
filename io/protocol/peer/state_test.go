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

// drawName draws one of a few names, so that commands often refer to the same
// objects.
func drawName(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "word") }

func drawNumber(t *rapid.T) uint64 { return rapid.Uint64Range(0, 9).Draw(t, "number") }

func drawTime(t *rapid.T) time.Time {
	return time.Unix(1_700_000_000, rapid.Int64Range(1, 9).Draw(t, "nanos")).UTC()
}

func drawAdapter(t *rapid.T) ident.Adapter {
	return ident.Adapter{Name: drawName(t), Version: drawName(t)}
}

// editGenerators and commandGenerators hold one generator per kind.
var editGenerators = []func(*rapid.T) state.Edit{
	func(t *rapid.T) state.Edit {
		return state.SetClass{Name: ident.Class(drawName(t)), Target: state.Milliseconds(rapid.Int64Range(1, 99).Draw(t, "ms"))}
	},
	func(t *rapid.T) state.Edit { return state.RemoveClass{Name: ident.Class(drawName(t))} },
	func(t *rapid.T) state.Edit { return state.PutModel{Name: ident.Model(drawName(t))} },
	func(t *rapid.T) state.Edit { return state.RemoveModel{Name: ident.Model(drawName(t))} },
	func(t *rapid.T) state.Edit {
		return state.PutAdapter{Adapter: drawAdapter(t), Model: ident.Model(drawName(t))}
	},
	func(t *rapid.T) state.Edit { return state.RemoveAdapter{Adapter: drawAdapter(t)} },
	func(t *rapid.T) state.Edit {
		return state.SetStore{MilliLoadsPerSecond: int64(drawNumber(t)), MaxInTransit: int64(drawNumber(t))}
	},
	func(t *rapid.T) state.Edit { return state.DrainDaemon{Name: ident.Daemon(drawName(t))} },
	func(t *rapid.T) state.Edit { return state.UndrainDaemon{Name: ident.Daemon(drawName(t))} },
	func(t *rapid.T) state.Edit { return state.AddWitness{Name: ident.Daemon(drawName(t))} },
	func(t *rapid.T) state.Edit { return state.RemoveWitness{Name: ident.Daemon(drawName(t))} },
}

var commandGenerators = []func(*rapid.T) state.Command{
	func(t *rapid.T) state.Command {
		return state.PutRouting{Version: drawNumber(t), Document: []byte(drawName(t))}
	},
	func(t *rapid.T) state.Command {
		return state.NameVersion{Model: ident.Model(drawName(t)), Adapter: drawName(t), Version: drawNumber(t)}
	},
	func(t *rapid.T) state.Command {
		return state.AppointPlacer{Daemon: ident.Daemon(drawName(t)), Incarnation: ident.Incarnation(drawNumber(t)), RetiredIndex: drawNumber(t)}
	},
	func(t *rapid.T) state.Command {
		return state.RetirePlacer{Fence: ident.Fence(drawNumber(t)), Resigned: rapid.Bool().Draw(t, "resigned")}
	},
	func(t *rapid.T) state.Command {
		return state.Change{
			ID: ident.Change(drawName(t) + drawName(t)), Author: drawName(t), ProposedAt: drawTime(t), Expected: drawNumber(t),
			Edit: rapid.SampledFrom(editGenerators).Draw(t, "edit")(t),
		}
	},
	func(t *rapid.T) state.Command {
		return state.Assign{
			Upstream: ident.Upstream(drawName(t)), Incarnation: ident.Incarnation(drawNumber(t)),
			Owner: ident.Daemon(drawName(t)), OwnerIncarnation: ident.Incarnation(drawNumber(t)), RevokedIndex: drawNumber(t),
		}
	},
	func(t *rapid.T) state.Command {
		return state.Revoke{Upstream: ident.Upstream(drawName(t)), Fence: ident.Fence(drawNumber(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Yield{Upstream: ident.Upstream(drawName(t)), Fence: ident.Fence(drawNumber(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Release{Upstream: ident.Upstream(drawName(t)), RevokedIndex: drawNumber(t)}
	},
	func(t *rapid.T) state.Command {
		return state.Begin{
			Scope: drawName(t), Key: ident.Key(drawName(t)), Digest: "x", Owner: ident.Daemon(drawName(t)),
			OwnerIncarnation: ident.Incarnation(drawNumber(t)), Attempt: ident.Attempt(drawName(t)), ViewIndex: drawNumber(t), ProposedAt: drawTime(t), Deadline: drawTime(t),
		}
	},
	func(t *rapid.T) state.Command {
		a := state.Answer{Status: 200, ContentType: drawName(t), BodyDropped: rapid.Bool().Draw(t, "dropped")}
		if !a.BodyDropped {
			a.Body = rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "body")
		}
		return state.Finish{Scope: drawName(t), Key: ident.Key(drawName(t)), Attempt: ident.Attempt(drawName(t)), Answer: a}
	},
	func(t *rapid.T) state.Command {
		return state.Abandon{Scope: drawName(t), Key: ident.Key(drawName(t)), Attempt: ident.Attempt(drawName(t)), Deadline: drawTime(t)}
	},
	func(t *rapid.T) state.Command {
		return state.MarkUnknown{Scope: drawName(t), Key: ident.Key(drawName(t)), Attempt: ident.Attempt(drawName(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Orphan{Owner: ident.Daemon(drawName(t)), Incarnation: ident.Incarnation(drawNumber(t))}
	},
	func(t *rapid.T) state.Command {
		return state.Expire{Until: time.Unix(1_700_000_000, rapid.Int64Range(1, 4).Draw(t, "nanos")).UTC()}
	},
	func(t *rapid.T) state.Command {
		return state.FormWitnesses{Names: []ident.Daemon{ident.Daemon(drawName(t)), ident.Daemon(drawName(t))}}
	},
	func(t *rapid.T) state.Command { return state.Quarantine{Digest: drawName(t), Until: drawTime(t)} },
	func(t *rapid.T) state.Command {
		return state.Depart{
			Upstream: ident.Upstream(drawName(t)), Incarnation: ident.Incarnation(drawNumber(t)),
			Presumed: ident.Incarnation(drawNumber(t)), Unseen: ident.Incarnation(drawNumber(t)), At: drawTime(t),
		}
	},
	func(t *rapid.T) state.Command {
		return state.Readmit{Upstream: ident.Upstream(drawName(t)), Incarnation: ident.Incarnation(drawNumber(t))}
	},
}

func drawCommand(t *rapid.T) state.Command {
	if !rapid.Bool().Draw(t, "batch") {
		return rapid.SampledFrom(commandGenerators).Draw(t, "command")(t)
	}
	var b state.Batch
	for range rapid.IntRange(1, 4).Draw(t, "size") {
		b.Commands = append(b.Commands, rapid.SampledFrom(commandGenerators).Draw(t, "command")(t))
	}
	return b
}

func TestCommandRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawCommand(t)
		b, err := peer.EncodeCommand(want)
		assert.NilError(t, err)
		got, err := peer.DecodeCommand(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// TestStateRoundTrip checks that a state that is encoded and decoded between
// commands returns the same outcomes and the same snapshot as one that is not,
// and that commands and outcomes survive encoding and decoding.
func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, reloaded := state.New(), state.New()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawCommand(t)
			want := direct.Apply(uint64(i+1), c)
			got := reloaded.Apply(uint64(i+1), roundTripCommand(t, c))
			assert.DeepEqual(t, roundTripOutcome(t, got), want)
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				reloaded = decodeState(t, encodeState(t, reloaded))
			}
		}
		assert.NilError(t, direct.Check())
		assert.Assert(t, bytes.Equal(encodeState(t, direct), encodeState(t, reloaded)))
	})
}

func roundTripCommand(t assert.TestingT, c state.Command) state.Command {
	b, err := peer.EncodeCommand(c)
	assert.NilError(t, err)
	out, err := peer.DecodeCommand(b)
	assert.NilError(t, err)
	return out
}

func roundTripOutcome(t assert.TestingT, o state.Outcome) state.Outcome {
	b, err := peer.EncodeOutcome(o)
	assert.NilError(t, err)
	out, err := peer.DecodeOutcome(b)
	assert.NilError(t, err)
	return out
}

func encodeState(t assert.TestingT, s *state.State) []byte {
	b, err := peer.EncodeSnapshot(s.View().Export())
	assert.NilError(t, err)
	return b
}

func decodeState(t assert.TestingT, b []byte) *state.State {
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

// seedCorpus returns encoded commands and the snapshot of the state that
// results from applying them.
func seedCorpus(f *testing.F) (encoded [][]byte, snapshot []byte) {
	s := state.New()
	for i, draw := range append(commandGenerators, drawCommand) {
		for j := range 8 {
			c := rapid.Custom(draw).Example(i*8 + j)
			b, err := peer.EncodeCommand(c)
			assert.NilError(f, err)
			encoded = append(encoded, b)
			s.Apply(s.Index()+1, c)
		}
	}
	return encoded, encodeState(f, s)
}

func FuzzDecodeCommand(f *testing.F) {
	encoded, _ := seedCorpus(f)
	for _, b := range encoded {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := peer.DecodeCommand(b)
		if err != nil {
			assert.Equal(t, result.CodeOf(err), result.Malformed)
			return
		}
		assert.DeepEqual(t, roundTripCommand(t, c), c)
		s := state.New()
		s.Apply(1, c)
		assert.NilError(t, s.Check())
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	_, snapshot := seedCorpus(f)
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
		first := encodeState(t, s)
		assert.Assert(t, bytes.Equal(first, encodeState(t, decodeState(t, first))))
	})
}
