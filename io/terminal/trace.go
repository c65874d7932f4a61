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

// maxLogLineBytes is the length of the longest line of a log that can be read.
const maxLogLineBytes = 1 << 20

// logLine is a parsed line of a log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// trace prints the lines of all given logs about one request, in order of time. The
// request is identified by the id that the client gave it.
func trace(s *session) error {
	var found []logLine
	for _, path := range s.opts.logs {
		f, err := os.Open(path)
		if err != nil {
			return result.New(result.NotFound, "--log: %w", err)
		}
		lines, err := linesAbout(f, s.opts.arg)
		if err := errors.Join(err, f.Close()); err != nil {
			return result.New(result.Malformed, "--log %s: %w", path, err)
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return result.New(result.NotFound, "no line of %d logs contains request %q", len(s.opts.logs), s.opts.arg)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	if s.opts.json {
		out := make([]map[string]any, 0, len(found))
		for _, l := range found {
			out = append(out, l.fields)
		}
		return s.printJSON(out)
	}
	for _, l := range found {
		fmt.Fprintln(s.out, l.format(found[0].at))
	}
	return nil
}

// linesAbout returns the lines of a log about one request. It skips text before the
// JSON of a line, such as the timestamp of a log collector, and lines that hold no
// JSON.
func linesAbout(r io.Reader, id string) ([]logLine, error) {
	var out []logLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLineBytes)
	for sc.Scan() {
		text := sc.Text()
		if !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[max(0, strings.IndexByte(text, '{')):]), &fields) != nil || fields["request"] != id {
			continue
		}
		l := logLine{fields: fields}
		if at, ok := fields["ts"].(string); ok {
			// A line without a valid time sorts first.
			l.at, _ = time.Parse(time.RFC3339Nano, at)
		}
		out = append(out, l)
	}
	return out, sc.Err()
}

// format returns the line as text: the time since the first line, the daemon, the
// message, and the other fields sorted by name.
func (l logLine) format(first time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+8.3fs %-20v %v", l.at.Sub(first).Seconds(), cmp.Or(fmt.Sprint(l.fields["daemon"]), "?"), l.fields["msg"])
	for _, k := range slices.Sorted(maps.Keys(l.fields)) {
		switch k {
		case "ts", "level", "logger", "msg", "daemon", "request":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
