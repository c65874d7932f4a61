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
	// maxBufferedLines is the capacity of each of the two buffers, in lines.
	maxBufferedLines = 2048
	// maxLineBytes is the length to which lines are truncated. With
	// maxBufferedLines it bounds the memory.
	maxLineBytes = 4 << 10
	// maxPerKindPerSecond is how many lines of one kind are written per second.
	// A daemon of the expected size answers some tens of requests per second.
	maxPerKindPerSecond = 400
	// maxKinds bounds the kinds whose dropped lines are counted separately.
	maxKinds = 256
	// reportInterval is how often the numbers of dropped lines are logged.
	reportInterval = time.Second
	// CodeKey is the key of a result's code. A line that has it is treated as a
	// failure.
	CodeKey = "code"
)

// Buffered is a logger that never blocks: lines are queued in buffers of fixed size
// for a goroutine that writes them. Lines are dropped and counted if the buffer is
// full or if there are too many of one kind, which is the message of the line.
// Failures have a buffer of their own, which is written first. Every second the
// number of dropped lines is logged for each kind.
type Buffered struct {
	out    io.Writer
	logger logr.Logger
	now    func() time.Time

	mu sync.Mutex
	// failed and routine hold the buffered lines, at most maxBufferedLines each.
	failed, routine []string
	// linesThisSecond counts the lines logged in the current second, by kind.
	linesThisSecond map[string]int
	second          int64
	// dropped counts the lines dropped since the last report, by kind.
	dropped      map[string]uint64
	totalDropped uint64
	closed       bool
	wake         chan struct{}
	done         chan struct{}
}

// NewBuffered returns a buffered logger that writes JSON lines to w, up to a
// verbosity level, and starts its goroutine.
func NewBuffered(w io.Writer, level int) *Buffered {
	b := &Buffered{
		out: w, now: time.Now, linesThisSecond: make(map[string]int), dropped: make(map[string]uint64),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	b.logger = logr.New(&sink{buffer: b, level: level, formatter: funcr.NewFormatterJSON(options(level))})
	go b.writeLines()
	return b
}

// Logger returns the logger.
func (b *Buffered) Logger() logr.Logger { return b.logger }

// Dropped returns the number of lines dropped since the start.
func (b *Buffered) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Close ends the logger and waits, at most for the timeout, until the buffered lines
// are written.
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

// allow reports whether another line of a kind may be written in this second. If
// not, it counts the line as dropped.
func (b *Buffered) allow(kind string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now().Unix(); now != b.second {
		b.second = now
		clear(b.linesThisSecond)
	}
	if b.linesThisSecond[kind]++; b.linesThisSecond[kind] <= maxPerKindPerSecond {
		return true
	}
	b.drop(kind)
	return false
}

// drop counts a dropped line; b.mu must be held.
func (b *Buffered) drop(kind string) {
	if _, ok := b.dropped[kind]; !ok && len(b.dropped) >= maxKinds {
		kind = "other"
	}
	b.dropped[kind]++
	b.totalDropped++
}

// add appends a line to its buffer, or drops it if the buffer is full.
func (b *Buffered) add(kind, line string, failed bool) {
	if len(line) > maxLineBytes {
		line = line[:maxLineBytes]
	}
	b.mu.Lock()
	buffer := &b.routine
	if failed {
		buffer = &b.failed
	}
	if len(*buffer) >= maxBufferedLines {
		b.drop(kind)
	} else {
		*buffer = append(*buffer, line)
	}
	b.mu.Unlock()
	b.signal()
}

// writeLines writes lines until the logger is closed and the buffers are empty.
func (b *Buffered) writeLines() {
	defer close(b.done)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.wake:
		case <-tick.C:
			b.reportDropped()
		}
		for {
			lines, closed := b.nextBatch()
			if len(lines) == 0 {
				if closed {
					return
				}
				break
			}
			for _, l := range lines {
				// An error is ignored, since the log is the only place to report it.
				_, _ = io.WriteString(b.out, l+"\n")
			}
		}
	}
}

// nextBatch removes and returns some buffered lines, failures first, and reports
// whether the logger is closed.
func (b *Buffered) nextBatch() ([]string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buffer := &b.failed
	if len(b.failed) == 0 {
		buffer = &b.routine
	}
	n := min(len(*buffer), maxBatchLines)
	batch := slices.Clone((*buffer)[:n])
	*buffer = slices.Delete(*buffer, 0, n)
	return batch, b.closed
}

// maxBatchLines is how many lines are written before checking for failures, which
// are written first.
const maxBatchLines = 64

// reportDropped logs how many lines of each kind were dropped since the last report.
func (b *Buffered) reportDropped() {
	b.mu.Lock()
	dropped := maps.Clone(b.dropped)
	clear(b.dropped)
	b.mu.Unlock()
	for _, kind := range slices.Sorted(maps.Keys(dropped)) {
		b.logger.Info("lines left out", "kind", kind, "count", dropped[kind], CodeKey, 0)
	}
}

// sink is a logr sink that formats lines and adds them to the buffer.
type sink struct {
	buffer    *Buffered
	level     int
	formatter funcr.Formatter
}

// Init passes the information of the library on to the formatter.
func (s *sink) Init(info logr.RuntimeInfo) { s.formatter.Init(info) }

// Enabled reports whether lines of a verbosity level are written.
func (s *sink) Enabled(level int) bool { return level <= s.level }

// Info logs a line. It counts as a failure if it has a value for [CodeKey].
func (s *sink) Info(level int, msg string, kv ...any) {
	if !s.buffer.allow(msg) {
		return
	}
	_, line := s.formatter.FormatInfo(level, msg, kv)
	s.buffer.add(msg, line, hasCode(kv))
}

// Error logs a line that reports a failure.
func (s *sink) Error(err error, msg string, kv ...any) {
	if !s.buffer.allow(msg) {
		return
	}
	_, line := s.formatter.FormatError(err, msg, kv)
	s.buffer.add(msg, line, true)
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
	next.formatter.AddValues(kv)
	return &next
}

// WithName returns a sink that adds a name to each line.
func (s *sink) WithName(name string) logr.LogSink {
	next := *s
	next.formatter.AddName(name)
	return &next
}
