package state_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

// operation is one call of an operator: a change or, with no id, a read.
type operation struct {
	class    ident.Class
	id       ident.Change
	expected uint64
	ms       int64
}

// register is what a class holds: a compare-and-set register.
type register struct {
	version uint64
	ms      int64
}

// told is the answer to an operation.
type told struct {
	code     result.Code
	register register
}

var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byClass := map[ident.Class][]porcupine.Operation{}
		for _, o := range history {
			class := o.Input.(operation).class
			byClass[class] = append(byClass[class], o)
		}
		var out [][]porcupine.Operation
		for _, part := range byClass {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return register{} },
	Step: func(s, in, out any) (bool, any) {
		now, op, answer := s.(register), in.(operation), out.(told)
		switch {
		case op.id == "":
			return answer.register == now, now
		case answer.code == result.VersionConflict:
			return op.expected != now.version && answer.register.version == now.version, now
		}
		next := register{version: answer.register.version, ms: op.ms}
		return answer.code == result.OK && op.expected == now.version && next.version > now.version, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// replicas are three states that apply one log at their own pace.
type replicas struct {
	log    []state.Command
	states [3]*state.State
	// first is the outcome of the first copy of each change.
	first map[ident.Change]told
}

func (r *replicas) catchUp(i int, index uint64) {
	for r.states[i].Index() < index {
		at := r.states[i].Index() + 1
		r.states[i].Apply(at, r.log[at-1])
	}
}

// commit appends a change; it is accepted once two replicas have applied it.
func (r *replicas) commit(t *rapid.T, op operation) told {
	r.log = append(r.log, state.Change{
		ID: op.id, ProposedAt: noon, Expected: op.expected, Edit: state.SetClass{Name: op.class, Target: state.Milliseconds(op.ms)},
	})
	index := uint64(len(r.log))
	a := rapid.IntRange(0, 2).Draw(t, "replica")
	r.catchUp(a, index-1)
	out := r.states[a].Apply(index, r.log[index-1])
	r.catchUp((a+rapid.IntRange(1, 2).Draw(t, "other"))%3, index)
	answer := told{code: out.Code, register: register{version: out.Version, ms: op.ms}}
	if f, ok := r.first[op.id]; ok {
		assert.Equal(t, answer, f, "a resend of %s got another answer", op.id)
	} else {
		r.first[op.id] = answer
	}
	return answer
}

// read reads at one replica, which first asks another for what is newer.
func (r *replicas) read(t *rapid.T, class ident.Class) told {
	a := rapid.IntRange(0, 2).Draw(t, "replica")
	b := (a + rapid.IntRange(1, 2).Draw(t, "other")) % 3
	r.catchUp(a, r.states[b].Index())
	c, _ := r.states[a].View().Class(class)
	return told{register: register{version: c.Version, ms: c.Target.Milliseconds()}}
}

// call is an operation that an operator has begun.
type call struct {
	op       operation
	began    int64
	returned int64
	answer   told
	done     bool
}

// TestOperatorsAreLinearizable lets operators who hold equal versions race
// each other over two classes; answers are lost and changes resent, and
// replicas restart from snapshots. Porcupine looks for an order in which every
// answer is right.
func TestOperatorsAreLinearizable(t *testing.T) {
	won, lost := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := &replicas{states: [3]*state.State{state.New(), state.New(), state.New()}, first: map[ident.Change]told{}}
		var calls []*call
		for now := range int64(rapid.IntRange(20, 80).Draw(t, "steps")) {
			if rapid.IntRange(0, 1).Draw(t, "new") == 0 {
				calls = append(calls, &call{op: drawOperation(t, r, len(calls)), began: 2 * now, returned: math.MaxInt64})
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, 2).Draw(t, "replica")
				s, err := state.Import(r.states[i].View().Export())
				assert.NilError(t, err)
				r.states[i] = s
			}
			if len(calls) > 0 {
				step(t, r, drawCall(t, calls), 2*now+1)
			}
		}
		var history []porcupine.Operation
		for i, c := range calls {
			if _, applied := r.first[c.op.id]; !c.done && !applied {
				continue
			}
			if !c.done {
				c.answer = r.first[c.op.id]
			}
			if c.op.id != "" && c.answer.code == result.OK {
				won++
			} else if c.op.id != "" {
				lost++
			}
			history = append(history, porcupine.Operation{ClientId: i, Input: c.op, Call: c.began, Output: c.answer, Return: c.returned})
		}
		assert.Assert(t, porcupine.CheckOperations(registers, history), "no order explains %v", history)
	})
	assert.Assert(t, won > 100 && lost > 100, "%d changes won and %d lost", won, lost)
}

// drawCall mostly draws one of the newest calls, which wait for an answer.
func drawCall(t *rapid.T, calls []*call) *call {
	if rapid.IntRange(0, 4).Draw(t, "any") > 0 {
		calls = calls[max(0, len(calls)-4):]
	}
	return rapid.SampledFrom(calls).Draw(t, "call")
}

func drawOperation(t *rapid.T, r *replicas, n int) operation {
	op := operation{class: rapid.SampledFrom([]ident.Class{"urgent", "letters"}).Draw(t, "class")}
	if rapid.IntRange(0, 2).Draw(t, "read") == 0 {
		return op
	}
	op.id = ident.Change(fmt.Sprint("id", n))
	op.ms = int64(100 + n)
	c, _ := r.states[rapid.IntRange(0, 2).Draw(t, "replica")].View().Class(op.class)
	op.expected = c.Version
	return op
}

// step carries out a call, also one that has been answered before; the answer
// may be lost.
func step(t *rapid.T, r *replicas, c *call, now int64) {
	var answer told
	if c.op.id == "" {
		if c.done {
			return
		}
		answer = r.read(t, c.op.class)
	} else {
		answer = r.commit(t, c.op)
	}
	if c.done || c.op.id != "" && rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
		return
	}
	c.done, c.answer, c.returned = true, answer, now
}
