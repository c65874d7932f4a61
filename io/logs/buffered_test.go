package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate is a reader of the log that can stall.
type gate struct {
	mu   sync.Mutex
	held sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	g.held.Lock()
	defer g.held.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) lines(t *testing.T) []map[string]any {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []map[string]any
	for l := range strings.Lines(g.buf.String()) {
		var m map[string]any
		assert.NilError(t, json.Unmarshal([]byte(l), &m), l)
		out = append(out, m)
	}
	return out
}

// TestStalledReaderCostsLinesOnly stalls the reader of the log: nobody who logs
// waits, and in the end the lines written and those told as left out add up.
// Failures are kept while routine lines are left out.
func TestStalledReaderCostsLinesOnly(t *testing.T) {
	g := &gate{}
	g.held.Lock()
	b := NewBuffered(g, 0)
	// Each line is of another second, so that only the buffer bounds them.
	var seconds int64
	var mu sync.Mutex
	b.clock = func() time.Time { mu.Lock(); defer mu.Unlock(); seconds++; return time.Unix(seconds, 0) }
	const usual, failed = 4 * maxLines, 100
	begun := time.Now()
	for i := range usual {
		b.Logger().Info("answered", "request", i)
	}
	for i := range failed {
		b.Logger().Info("failed", "request", i, CodeKey, 203)
	}
	assert.Assert(t, time.Since(begun) < 5*time.Second, "logging has waited for the reader")
	g.held.Unlock()
	time.Sleep(2*tellInterval + 200*time.Millisecond)
	b.Close(time.Second)
	counts := map[string]int{}
	told := 0
	for _, m := range g.lines(t) {
		counts[m["msg"].(string)]++
		if m["msg"] == "lines left out" {
			told += int(m["count"].(float64))
		}
	}
	assert.Equal(t, counts["failed"], failed)
	assert.Assert(t, counts["answered"] >= maxLines)
	assert.Equal(t, counts["answered"]+told, usual)
	assert.Equal(t, b.Dropped(), uint64(told))
}

// TestVolumeIsBounded logs one kind of line far too often: the rest of the
// second is left out, other kinds are not.
func TestVolumeIsBounded(t *testing.T) {
	g := &gate{}
	b := NewBuffered(g, 0)
	b.clock = func() time.Time { return time.Unix(1, 0) }
	for i := range 10 * perKind {
		b.Logger().Info("answered", "request", i)
	}
	b.Logger().Info("role changed", "role", "leader")
	b.Close(time.Second)
	counts := map[string]int{}
	for _, m := range g.lines(t) {
		counts[m["msg"].(string)]++
	}
	assert.Equal(t, counts["answered"], perKind)
	assert.Equal(t, counts["role changed"], 1)
	assert.Equal(t, b.Dropped(), uint64(9*perKind))
}

func TestLinesCarryTheirValues(t *testing.T) {
	g := &gate{}
	b := NewBuffered(g, 1)
	l := b.Logger().WithValues("daemon", "d1").WithName("part")
	l.V(1).Info("sent", "replica", "r1")
	l.V(2).Info("too much detail")
	l.Error(io.ErrUnexpectedEOF, "broken", "replica", "r1")
	b.Close(time.Second)
	lines := g.lines(t)
	assert.Equal(t, len(lines), 2)
	for _, m := range lines {
		assert.Equal(t, m["daemon"], "d1")
		assert.Equal(t, m["replica"], "r1")
		assert.Assert(t, m["ts"] != "")
	}
}
