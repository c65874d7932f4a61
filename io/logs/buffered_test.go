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

// stallingWriter stores the log. Writes block while stall is locked.
type stallingWriter struct {
	mu    sync.Mutex
	stall sync.Mutex
	buf   bytes.Buffer
}

func (w *stallingWriter) Write(b []byte) (int, error) {
	w.stall.Lock()
	defer w.stall.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *stallingWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []map[string]any
	for l := range strings.Lines(w.buf.String()) {
		var m map[string]any
		assert.NilError(t, json.Unmarshal([]byte(l), &m), l)
		lines = append(lines, m)
	}
	return lines
}

// TestStalledReaderCostsLinesOnly blocks the writer of the log: logging must not
// block, the numbers of lines written and reported as dropped must add up, and
// failures must be kept while routine lines are dropped.
func TestStalledReaderCostsLinesOnly(t *testing.T) {
	out := &stallingWriter{}
	out.stall.Lock()
	b := NewBuffered(out, 0)
	// The clock advances by a second per line, so that only the size of the
	// buffer limits the lines.
	var seconds int64
	var mu sync.Mutex
	b.now = func() time.Time { mu.Lock(); defer mu.Unlock(); seconds++; return time.Unix(seconds, 0) }
	const routine, failed = 4 * maxBufferedLines, 100
	started := time.Now()
	for i := range routine {
		b.Logger().Info("answered", "request", i)
	}
	for i := range failed {
		b.Logger().Info("failed", "request", i, CodeKey, 203)
	}
	assert.Assert(t, time.Since(started) < 5*time.Second, "logging blocked on the writer")
	out.stall.Unlock()
	time.Sleep(2*reportInterval + 200*time.Millisecond)
	b.Close(time.Second)
	counts := map[string]int{}
	reported := 0
	for _, m := range out.lines(t) {
		counts[m["msg"].(string)]++
		if m["msg"] == "lines left out" {
			reported += int(m["count"].(float64))
		}
	}
	assert.Equal(t, counts["failed"], failed)
	assert.Assert(t, counts["answered"] >= maxBufferedLines)
	assert.Equal(t, counts["answered"]+reported, routine)
	assert.Equal(t, b.Dropped(), uint64(reported))
}

// TestVolumeIsBounded logs too many lines of one kind: the excess must be dropped up
// to the end of the second, and lines of other kinds must be kept.
func TestVolumeIsBounded(t *testing.T) {
	out := &stallingWriter{}
	b := NewBuffered(out, 0)
	b.now = func() time.Time { return time.Unix(1, 0) }
	for i := range 10 * maxPerKindPerSecond {
		b.Logger().Info("answered", "request", i)
	}
	b.Logger().Info("role changed", "role", "leader")
	b.Close(time.Second)
	counts := map[string]int{}
	for _, m := range out.lines(t) {
		counts[m["msg"].(string)]++
	}
	assert.Equal(t, counts["answered"], maxPerKindPerSecond)
	assert.Equal(t, counts["role changed"], 1)
	assert.Equal(t, b.Dropped(), uint64(9*maxPerKindPerSecond))
}

func TestLinesCarryTheirValues(t *testing.T) {
	out := &stallingWriter{}
	b := NewBuffered(out, 1)
	l := b.Logger().WithValues("daemon", "d1").WithName("part")
	l.V(1).Info("sent", "replica", "r1")
	l.V(2).Info("too much detail")
	l.Error(io.ErrUnexpectedEOF, "broken", "replica", "r1")
	b.Close(time.Second)
	lines := out.lines(t)
	assert.Equal(t, len(lines), 2)
	for _, m := range lines {
		assert.Equal(t, m["daemon"], "d1")
		assert.Equal(t, m["replica"], "r1")
		assert.Assert(t, m["ts"] != "")
	}
}
