package terminal

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/result"
)

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// entry is one line of a log.
type entry struct {
	at     time.Time
	fields map[string]any
}

// trace prints the lines of all given logs that concern one request, in the
// order of their times. Its request is named by the client's id.
func trace(s *session) error {
	var found []entry
	for _, path := range s.opts.logs {
		f, err := os.Open(path)
		if err != nil {
			return result.New(result.NotFound, "--log: %w", err)
		}
		es, err := linesOf(f, s.opts.arg)
		if err := errors.Join(err, f.Close()); err != nil {
			return result.New(result.Malformed, "--log %s: %w", path, err)
		}
		found = append(found, es...)
	}
	if len(found) == 0 {
		return result.New(result.NotFound, "no line of %d logs names request %q", len(s.opts.logs), s.opts.arg)
	}
	slices.SortStableFunc(found, func(a, b entry) int { return a.at.Compare(b.at) })
	if s.opts.json {
		out := make([]map[string]any, 0, len(found))
		for _, e := range found {
			out = append(out, e.fields)
		}
		return s.printJSON(out)
	}
	for _, e := range found {
		fmt.Fprintln(s.out, e.line(found[0].at))
	}
	return nil
}

// linesOf reads the lines of a log that name a request. Text before a line's
// JSON, such as a collector's own time, and lines that are no JSON are passed
// over.
func linesOf(r io.Reader, id string) ([]entry, error) {
	var out []entry
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		text := sc.Text()
		if !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[max(0, strings.IndexByte(text, '{')):]), &fields) != nil || fields["request"] != id {
			continue
		}
		e := entry{fields: fields}
		if at, ok := fields["ts"].(string); ok {
			// A line without a time comes first.
			e.at, _ = time.Parse(time.RFC3339Nano, at)
		}
		out = append(out, e)
	}
	return out, sc.Err()
}

// line returns the entry for people: the time since the first line, who wrote
// it, what happened and the rest in the order of names.
func (e entry) line(first time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+8.3fs %-20v %v", e.at.Sub(first).Seconds(), cmp.Or(fmt.Sprint(e.fields["daemon"]), "?"), e.fields["msg"])
	for _, k := range slices.Sorted(maps.Keys(e.fields)) {
		switch k {
		case "ts", "level", "logger", "msg", "daemon", "request":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, e.fields[k])
	}
	return b.String()
}
