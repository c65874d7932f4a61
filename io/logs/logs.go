// Package logs provides the loggers of the process, which implement logr and write
// one JSON object per line.
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

// New returns a logger that writes JSON lines to w synchronously, up to a verbosity
// level.
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

// NewLineWriter returns a writer that logs each write as one line, for libraries that use
// the standard logger.
func NewLineWriter(log logr.Logger) io.Writer { return lineWriter{log} }

type lineWriter struct{ log logr.Logger }

func (l lineWriter) Write(b []byte) (int, error) {
	l.log.Info("library", "text", strings.TrimSpace(string(b)))
	return len(b), nil
}
