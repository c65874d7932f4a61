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
	// maxMicros is the longest time that is recorded, in microseconds.
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	// digits is the precision of the histograms.
	digits = 3
)

var errWrong = errors.New("wrong answer")

// outcome is what came of one request.
type outcome struct {
	// first and whole are measured from when the request was due.
	first, whole time.Duration
	// err is nil for a whole answer of the right adapter.
	err error
}

// Summary is what came of a run.
type Summary struct {
	classes map[ident.Class]*figures
	start   time.Time
	end     time.Time
}

type figures struct {
	first, whole *hdr.Histogram
	right, wrong int
	// refused counts errors by code.
	refused map[result.Code]int
}

func newSummary() *Summary { return &Summary{classes: make(map[ident.Class]*figures)} }

func (s *Summary) finish(start, end time.Time) { s.start, s.end = start, end }

func (s *Summary) add(class ident.Class, o outcome) {
	f := s.classes[class]
	if f == nil {
		f = &figures{
			first: hdr.New(1, maxMicros, digits), whole: hdr.New(1, maxMicros, digits), refused: make(map[result.Code]int),
		}
		s.classes[class] = f
	}
	code := result.CodeOf(o.err)
	switch {
	case o.err == nil:
		f.right++
		_ = f.first.RecordValue(max(1, o.first.Microseconds()))
		_ = f.whole.RecordValue(max(1, o.whole.Microseconds()))
	case errors.Is(o.err, errWrong) || code == result.WrongAnswer:
		f.wrong++
	default:
		f.refused[code]++
	}
}

// Right returns the number of whole answers made by the right adapter.
func (s *Summary) Right() int { return s.sum(func(f *figures) int { return f.right }) }

// Wrong returns the number of answers that were not those asked for.
func (s *Summary) Wrong() int { return s.sum(func(f *figures) int { return f.wrong }) }

// Failed returns the number of requests without a whole answer, by code.
func (s *Summary) Failed() map[result.Code]int {
	m := make(map[result.Code]int)
	for _, f := range s.classes {
		for c, n := range f.refused {
			m[c] += n
		}
	}
	return m
}

func (s *Summary) sum(of func(*figures) int) int {
	n := 0
	for _, f := range s.classes {
		n += of(f)
	}
	return n
}

type classBody struct {
	Class  string           `json:"class"`
	Right  int              `json:"right"`
	Wrong  int              `json:"wrong"`
	Failed map[string]int   `json:"failed"`
	First  map[string]int64 `json:"first_us"`
	Whole  map[string]int64 `json:"whole_us"`
}

type summaryBody struct {
	Millis  int64       `json:"duration_ms"`
	Classes []classBody `json:"classes"`
}

var quantiles = []float64{50, 90, 99, 99.9}

func micros(h *hdr.Histogram) map[string]int64 {
	m := map[string]int64{"max": h.Max()}
	for _, q := range quantiles {
		m[fmt.Sprintf("p%g", q)] = h.ValueAtQuantile(q)
	}
	return m
}

// WriteJSON writes the summary for scripts.
func (s *Summary) WriteJSON(w io.Writer) error {
	b := summaryBody{Millis: s.end.Sub(s.start).Milliseconds(), Classes: []classBody{}}
	for _, c := range slices.Sorted(maps.Keys(s.classes)) {
		f := s.classes[c]
		failed := make(map[string]int)
		for code, n := range f.refused {
			failed[result.Lookup(code).Name] = n
		}
		b.Classes = append(b.Classes, classBody{string(c), f.right, f.wrong, failed, micros(f.first), micros(f.whole)})
	}
	return json.NewEncoder(w).Encode(b)
}

// WriteTable writes the summary for people.
func (s *Summary) WriteTable(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %8s %8s %10s %10s %10s %10s  %s\n", "class", "right", "wrong", "first p50", "first p99", "whole p50", "whole p99", "failed")
	for _, c := range slices.Sorted(maps.Keys(s.classes)) {
		f := s.classes[c]
		fmt.Fprintf(&b, "%-16s %8d %8d %10s %10s %10s %10s  %s\n", orDash(string(c)), f.right, f.wrong,
			millis(f.first, 50), millis(f.first, 99), millis(f.whole, 50), millis(f.whole, 99), refusals(f.refused))
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

func millis(h *hdr.Histogram, q float64) string {
	return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
}

func refusals(m map[result.Code]int) string {
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", result.Lookup(c).Name, m[c]))
	}
	return orDash(strings.Join(parts, ", "))
}
