package engine

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"papayaspoke/core/ident"
	"papayaspoke/core/prompt"
	"papayaspoke/io/protocol/upstream"
)

// Options are the settings of a stand-in engine.
type Options struct {
	// Self is announced to daemons; its address is filled in by [Start] if it
	// is empty or has port 0.
	Self upstream.Announcement
	// Daemons are the addresses to announce to; none if empty.
	Daemons []string
	// MaxChunks is the most pieces in one answer, positive.
	MaxChunks int
	// NextChunkAt returns when the piece after one made at now is made.
	NextChunkAt func(now time.Time) time.Time
	// LoadedAt returns when a load that starts at now ends.
	LoadedAt func(now time.Time) time.Time
	// ReportedAt returns when a report made at now may be sent.
	ReportedAt func(now time.Time) time.Time
	// CrashWord makes a prompt that contains it crash the engine; none if
	// empty.
	CrashWord string
	// Crash ends the process.
	Crash func()
	// LoadFailures is the share of loads that fail, from 0 to 1.
	LoadFailures float64
	// Seed makes the failures repeatable.
	Seed uint64
	// Log tells what was run.
	Log logr.Logger
}

// After returns a function that adds d to a time.
func After(d time.Duration) func(now time.Time) time.Time {
	return func(now time.Time) time.Time { return now.Add(d) }
}

func (o Options) withDefaults() Options {
	if o.MaxChunks <= 0 {
		o.MaxChunks = 16
	}
	for _, f := range []*func(time.Time) time.Time{&o.NextChunkAt, &o.LoadedAt, &o.ReportedAt} {
		if *f == nil {
			*f = After(0)
		}
	}
	if o.Crash == nil {
		o.Crash = func() {}
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	o.Self.Kind = upstream.EngineKind
	o.Self.Slots = max(1, o.Self.Slots)
	o.Self.MaxBatch = max(1, o.Self.MaxBatch)
	return o
}

// Piece returns one piece of the text that the adapter makes for p.
func Piece(a ident.Adapter, p prompt.Prompt, offset int) string {
	return fmt.Sprintf("%s/%016x/%d ", name(a), p.Digest(), offset)
}

func name(a ident.Adapter) string {
	if a.IsZero() {
		return "base"
	}
	return a.String()
}

// Expected returns the whole text of n pieces.
func Expected(a ident.Adapter, p prompt.Prompt, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Piece(a, p, i))
	}
	return b.String()
}

// Verify reports whether text is a whole answer of the stand-in that the
// adapter made for p, or else what is wrong with it.
func Verify(a ident.Adapter, p prompt.Prompt, text string) error {
	n := strings.Count(text, " ")
	if want := Expected(a, p, n); n == 0 || text != want {
		return fmt.Errorf("answer of %d pieces is not that of %s: %.80q", n, name(a), text)
	}
	return nil
}
