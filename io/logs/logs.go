// Package logs makes the process's logger: logr, JSON lines, one event a
// line.
package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes JSON lines to w, up to verbosity level.
func New(w io.Writer, level int) logr.Logger {
	var mu sync.Mutex
	write := func(line string) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintln(w, line)
	}
	return funcr.NewJSON(write, options(level))
}

func options(level int) funcr.Options {
	return funcr.Options{LogTimestamp: true, TimestampFormat: timestampFormat, Verbosity: level}
}

// NewLineWriter returns a writer that logs each line, for libraries that write to the
// standard logger.
func NewLineWriter(log logr.Logger) io.Writer { return lines{log} }

type lines struct{ log logr.Logger }

func (l lines) Write(b []byte) (int, error) {
	l.log.Info("library", "text", strings.TrimSpace(string(b)))
	return len(b), nil
}
