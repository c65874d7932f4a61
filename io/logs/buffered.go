package logs

import (
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

const (
	// maxLines is how many lines may wait for the reader of the log, of each
	// of the two sorts.
	maxLines = 2048
	// maxLine bounds a line in bytes; with maxLines it bounds the memory.
	maxLine = 4 << 10
	// perKind is how many lines of one kind are written a second; a daemon of
	// the users' sizes answers some tens of requests a second.
	perKind = 400
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 256
	// tellInterval is how often suppressed lines are told.
	tellInterval = time.Second
	// CodeKey is the key of a result's number. A line with it tells of
	// something that failed.
	CodeKey = "code"
)

// Buffered is a logger that never blocks: lines wait in a buffer of fixed size
// for a writer of its own. When there is no room, or a kind of line comes too
// often, lines are left out and counted; what failed has a buffer to itself and
// goes out first. Every second a line tells how many of each kind were left
// out.
type Buffered struct {
	out    io.Writer
	logger logr.Logger
	clock  func() time.Time

	mu sync.Mutex
	// failed and usual hold at most maxLines each.
	failed, usual []string
	// kinds counts the lines of this second, left those left out since they
	// were told.
	kinds  map[string]int
	second int64
	left   map[string]uint64
	total  uint64
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

// NewBuffered returns a logger that writes JSON lines to w up to a verbosity
// level.
func NewBuffered(w io.Writer, level int) *Buffered {
	b := &Buffered{
		out: w, clock: time.Now, kinds: make(map[string]int), left: make(map[string]uint64),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	b.logger = logr.New(&sink{b: b, level: level, inner: funcr.NewFormatterJSON(options(level))})
	go b.run()
	return b
}

// Logger returns the logger.
func (b *Buffered) Logger() logr.Logger { return b.logger }

// Dropped returns how many lines were left out since the start.
func (b *Buffered) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Close writes what waits, for as long as the timeout allows.
func (b *Buffered) Close(timeout time.Duration) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.signal()
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}

func (b *Buffered) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// admits reports whether a line of a kind may be written this second, and
// counts it if not.
func (b *Buffered) admits(kind string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.clock().Unix(); now != b.second {
		b.second = now
		clear(b.kinds)
	}
	if b.kinds[kind]++; b.kinds[kind] <= perKind {
		return true
	}
	b.leaveOut(kind)
	return false
}

func (b *Buffered) leaveOut(kind string) {
	if _, ok := b.left[kind]; !ok && len(b.left) >= maxKinds {
		kind = "other"
	}
	b.left[kind]++
	b.total++
}

// add puts a line into its buffer.
func (b *Buffered) add(kind, line string, failed bool) {
	if len(line) > maxLine {
		line = line[:maxLine]
	}
	b.mu.Lock()
	to := &b.usual
	if failed {
		to = &b.failed
	}
	if len(*to) >= maxLines {
		b.leaveOut(kind)
	} else {
		*to = append(*to, line)
	}
	b.mu.Unlock()
	b.signal()
}

// run writes lines until the logger is closed and nothing waits.
func (b *Buffered) run() {
	defer close(b.done)
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.wake:
		case <-tick.C:
			b.tell()
		}
		for {
			lines, closed := b.take()
			if len(lines) == 0 {
				if closed {
					return
				}
				break
			}
			for _, l := range lines {
				// Nobody is left to be told that the log can't be written.
				_, _ = io.WriteString(b.out, l+"\n")
			}
		}
	}
}

// take returns a few lines, those that tell of failures first.
func (b *Buffered) take() ([]string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := &b.failed
	if len(b.failed) == 0 {
		from = &b.usual
	}
	n := min(len(*from), writeBatch)
	out := slices.Clone((*from)[:n])
	*from = slices.Delete(*from, 0, n)
	return out, b.closed
}

// writeBatch is how many lines are written before it is looked whether more
// urgent ones have come.
const writeBatch = 64

// tell logs which lines were left out since it was last told.
func (b *Buffered) tell() {
	b.mu.Lock()
	left := maps.Clone(b.left)
	clear(b.left)
	b.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(left)) {
		b.logger.Info("lines left out", "kind", kind, "count", left[kind], CodeKey, 0)
	}
}

// sink formats lines and hands them to the buffer.
type sink struct {
	b     *Buffered
	level int
	inner funcr.Formatter
}

// Init is called by the library once.
func (s *sink) Init(info logr.RuntimeInfo) { s.inner.Init(info) }

// Enabled reports whether lines of a level are written.
func (s *sink) Enabled(level int) bool { return level <= s.level }

// Info takes one line.
func (s *sink) Info(level int, msg string, kv ...any) {
	if !s.b.admits(msg) {
		return
	}
	_, line := s.inner.FormatInfo(level, msg, kv)
	s.b.add(msg, line, hasCode(kv))
}

// Error takes one line that tells of a failure.
func (s *sink) Error(err error, msg string, kv ...any) {
	if !s.b.admits(msg) {
		return
	}
	_, line := s.inner.FormatError(err, msg, kv)
	s.b.add(msg, line, true)
}

func hasCode(kv []any) bool {
	for i := 0; i+1 < len(kv); i += 2 {
		if kv[i] == CodeKey {
			return true
		}
	}
	return false
}

// WithValues returns a sink that adds values to each line.
func (s *sink) WithValues(kv ...any) logr.LogSink {
	next := *s
	next.inner.AddValues(kv)
	return &next
}

// WithName returns a sink that adds a name to each line.
func (s *sink) WithName(name string) logr.LogSink {
	next := *s
	next.inner.AddName(name)
	return &next
}
