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

// operation is a request of an operator: a change or, if id is empty, a read.
type operation struct {
	class    ident.Class
	id       ident.Change
	expected uint64
	targetMs int64
}

// register is the content of a class, modelled as a compare-and-set register.
type register struct {
	version  uint64
	targetMs int64
}

// response is the response to an operation.
type response struct {
	code     result.Code
	register register
}

var registerModel = porcupine.Model{
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
		now, op, answer := s.(register), in.(operation), out.(response)
		switch {
		case op.id == "":
			return answer.register == now, now
		case answer.code == result.VersionConflict:
			return op.expected != now.version && answer.register.version == now.version, now
		}
		next := register{version: answer.register.version, targetMs: op.targetMs}
		return answer.code == result.OK && op.expected == now.version && next.version > now.version, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// replicaSet holds three states that apply the same log, each at its own speed.
type replicaSet struct {
	log    []state.Command
	states [3]*state.State
	// first holds the response to the first copy of each change.
	first map[ident.Change]response
}

func (r *replicaSet) catchUp(i int, index uint64) {
	for r.states[i].Index() < index {
		at := r.states[i].Index() + 1
		r.states[i].Apply(at, r.log[at-1])
	}
}

// commit appends a change to the log and applies it at two replicas.
func (r *replicaSet) commit(t *rapid.T, op operation) response {
	r.log = append(r.log, state.Change{
		ID: op.id, ProposedAt: noon, Expected: op.expected, Edit: state.SetClass{Name: op.class, Target: state.Milliseconds(op.targetMs)},
	})
	index := uint64(len(r.log))
	a := rapid.IntRange(0, 2).Draw(t, "replica")
	r.catchUp(a, index-1)
	out := r.states[a].Apply(index, r.log[index-1])
	r.catchUp((a+rapid.IntRange(1, 2).Draw(t, "other"))%3, index)
	answer := response{code: out.Code, register: register{version: out.Version, targetMs: op.targetMs}}
	if f, ok := r.first[op.id]; ok {
		assert.Equal(t, answer, f, "resend of %s got a different response", op.id)
	} else {
		r.first[op.id] = answer
	}
	return answer
}

// read reads a class at one replica after it has caught up with another one.
func (r *replicaSet) read(t *rapid.T, class ident.Class) response {
	a := rapid.IntRange(0, 2).Draw(t, "replica")
	b := (a + rapid.IntRange(1, 2).Draw(t, "other")) % 3
	r.catchUp(a, r.states[b].Index())
	c, _ := r.states[a].View().Class(class)
	return response{register: register{version: c.Version, targetMs: c.Target.Milliseconds()}}
}

// call is an operation that an operator has started.
type call struct {
	op     operation
	start  int64
	end    int64
	answer response
	done   bool
}

// TestOperatorsAreLinearizable runs concurrent operators that change two classes
// on the basis of possibly equal versions. Responses are lost, changes are
// resent and replicas restart from snapshots. Porcupine searches for a
// sequential order that explains all responses.
func TestOperatorsAreLinearizable(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r := &replicaSet{states: [3]*state.State{state.New(), state.New(), state.New()}, first: map[ident.Change]response{}}
		var calls []*call
		for now := range int64(rapid.IntRange(20, 80).Draw(t, "steps")) {
			if rapid.IntRange(0, 1).Draw(t, "new") == 0 {
				calls = append(calls, &call{op: drawOperation(t, r, len(calls)), start: 2 * now, end: math.MaxInt64})
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				i := rapid.IntRange(0, 2).Draw(t, "replica")
				s, err := state.Import(r.states[i].View().Export())
				assert.NilError(t, err)
				r.states[i] = s
			}
			if len(calls) > 0 {
				perform(t, r, drawCall(t, calls), 2*now+1)
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
				accepted++
			} else if c.op.id != "" {
				refused++
			}
			history = append(history, porcupine.Operation{ClientId: i, Input: c.op, Call: c.start, Output: c.answer, Return: c.end})
		}
		assert.Assert(t, porcupine.CheckOperations(registerModel, history), "history is not linearizable: %v", history)
	})
	assert.Assert(t, accepted > 100 && refused > 100, "%d changes were applied and %d refused; want more than 100 each", accepted, refused)
}

// drawCall draws a call, mostly one of the last four, which are likely to wait
// for a response.
func drawCall(t *rapid.T, calls []*call) *call {
	if rapid.IntRange(0, 4).Draw(t, "any") > 0 {
		calls = calls[max(0, len(calls)-4):]
	}
	return rapid.SampledFrom(calls).Draw(t, "call")
}

func drawOperation(t *rapid.T, r *replicaSet, n int) operation {
	op := operation{class: rapid.SampledFrom([]ident.Class{"urgent", "letters"}).Draw(t, "class")}
	if rapid.IntRange(0, 2).Draw(t, "read") == 0 {
		return op
	}
	op.id = ident.Change(fmt.Sprint("id", n))
	op.targetMs = int64(100 + n)
	c, _ := r.states[rapid.IntRange(0, 2).Draw(t, "replica")].View().Class(op.class)
	op.expected = c.Version
	return op
}

// perform executes a call, possibly as a resend of one that has a response. The
// response to a change may be lost.
func perform(t *rapid.T, r *replicaSet, c *call, now int64) {
	var answer response
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
	c.done, c.answer, c.end = true, answer, now
}
