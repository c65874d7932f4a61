package load

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

const (
	// maxLatencyMicros is the longest latency that a histogram can record, in
	// microseconds.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the number of significant decimal digits that the
	// histograms keep.
	significantDigits = 3
)

var errWrongAnswer = errors.New("wrong answer")

// outcome is the result of one request.
type outcome struct {
	// firstChunk and total are the latencies of the first chunk and of the
	// complete answer, from when the request was due.
	firstChunk, total time.Duration
	// err is nil for a complete answer of the requested adapter.
	err error
}

// Summary holds the results of a run, by class.
type Summary struct {
	classes map[ident.Class]*classStats
	start   time.Time
	end     time.Time
}

// classStats holds the results of the requests of one class.
type classStats struct {
	firstChunk, total *hdr.Histogram
	right, wrong      int
	// failed counts the requests without a complete answer, by result code.
	failed map[result.Code]int
}

func newSummary() *Summary { return &Summary{classes: make(map[ident.Class]*classStats)} }

func (s *Summary) finish(start, end time.Time) { s.start, s.end = start, end }

func (s *Summary) add(class ident.Class, o outcome) {
	f := s.classes[class]
	if f == nil {
		f = &classStats{
			firstChunk: hdr.New(1, maxLatencyMicros, significantDigits), total: hdr.New(1, maxLatencyMicros, significantDigits), failed: make(map[result.Code]int),
		}
		s.classes[class] = f
	}
	code := result.CodeOf(o.err)
	switch {
	case o.err == nil:
		f.right++
		_ = f.firstChunk.RecordValue(max(1, o.firstChunk.Microseconds()))
		_ = f.total.RecordValue(max(1, o.total.Microseconds()))
	case errors.Is(o.err, errWrongAnswer) || code == result.WrongAnswer:
		f.wrong++
	default:
		f.failed[code]++
	}
}

// Right returns the number of complete answers of the requested adapter.
func (s *Summary) Right() int { return s.sum(func(f *classStats) int { return f.right }) }

// Wrong returns the number of answers that were not what was requested.
func (s *Summary) Wrong() int { return s.sum(func(f *classStats) int { return f.wrong }) }

// Failed returns the number of requests without a complete answer, by result
// code.
func (s *Summary) Failed() map[result.Code]int {
	m := make(map[result.Code]int)
	for _, f := range s.classes {
		for c, n := range f.failed {
			m[c] += n
		}
	}
	return m
}

func (s *Summary) sum(count func(*classStats) int) int {
	n := 0
	for _, f := range s.classes {
		n += count(f)
	}
	return n
}

// classBody is the JSON form of classStats.
type classBody struct {
	Class      string           `json:"class"`
	Right      int              `json:"right"`
	Wrong      int              `json:"wrong"`
	Failed     map[string]int   `json:"failed"`
	FirstChunk map[string]int64 `json:"first_us"`
	Total      map[string]int64 `json:"whole_us"`
}

// summaryBody is the JSON form of Summary.
type summaryBody struct {
	Millis  int64       `json:"duration_ms"`
	Classes []classBody `json:"classes"`
}

var quantiles = []float64{50, 90, 99, 99.9}

// quantilesMicros returns the quantiles and the maximum of h, in microseconds.
func quantilesMicros(h *hdr.Histogram) map[string]int64 {
	m := map[string]int64{"max": h.Max()}
	for _, q := range quantiles {
		m[fmt.Sprintf("p%g", q)] = h.ValueAtQuantile(q)
	}
	return m
}

// WriteJSON writes the summary as one JSON object.
func (s *Summary) WriteJSON(w io.Writer) error {
	b := summaryBody{Millis: s.end.Sub(s.start).Milliseconds(), Classes: []classBody{}}
	for _, c := range slices.Sorted(maps.Keys(s.classes)) {
		f := s.classes[c]
		failed := make(map[string]int)
		for code, n := range f.failed {
			failed[result.Lookup(code).Name] = n
		}
		b.Classes = append(b.Classes, classBody{string(c), f.right, f.wrong, failed, quantilesMicros(f.firstChunk), quantilesMicros(f.total)})
	}
	return json.NewEncoder(w).Encode(b)
}

// WriteTable writes the summary as a text table.
func (s *Summary) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %8s %8s %10s %10s %10s %10s  %s\n", "class", "right", "wrong", "first p50", "first p99", "whole p50", "whole p99", "failed")
	for _, c := range slices.Sorted(maps.Keys(s.classes)) {
		f := s.classes[c]
		fmt.Fprintf(&b, "%-16s %8d %8d %10s %10s %10s %10s  %s\n", orDash(string(c)), f.right, f.wrong,
			formatMillis(f.firstChunk, 50), formatMillis(f.firstChunk, 99), formatMillis(f.total, 50), formatMillis(f.total, 99), failures(f.failed))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatMillis(h *hdr.Histogram, q float64) string {
	return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
}

// failures lists result names and how many requests ended with each.
func failures(m map[result.Code]int) string {
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", result.Lookup(c).Name, m[c]))
	}
	return orDash(strings.Join(parts, ", "))
}
