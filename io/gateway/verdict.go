package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"papayaspoke/core/coordination/balance"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/result"
	"papayaspoke/io/transport/client"
)

const (
	// maxTrialDelay is how long a suspected request waits at most for its trial.
	// The delay is random, so that the first trials of all daemons show the
	// others whether to go on.
	maxTrialDelay = time.Second
	// trialRetryInterval is how often a request tries again while another trial
	// is under way.
	trialRetryInterval = 100 * time.Millisecond
)

// evidence guards the tracker of requests that crash replicas.
type evidence struct {
	mu      sync.Mutex
	tracker *blame.Tracker
	// logged holds the verdicts that were last logged, by their keys.
	logged map[string]blame.Verdict
	// some is true while there is any evidence, so that other requests needn't
	// compute their keys.
	some atomic.Bool
}

// update runs f on the tracker.
func (e *evidence) update(f func(t *blame.Tracker)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.tracker)
	e.some.Store(!e.tracker.Empty())
}

// ApplyBlame applies evidence and verdicts that daemons have committed.
func (g *Gateway) ApplyBlame(es ...blame.Entry) {
	now := g.Clock()
	changed := false
	g.evidence.update(func(t *blame.Tracker) {
		for _, e := range es {
			if t.Apply(now, e) {
				changed = true
				g.logBlame(e)
			}
		}
	})
	if changed {
		g.wake()
	}
}

// RestoreBlame applies the evidence and verdicts of a snapshot.
func (g *Gateway) RestoreBlame(es []blame.Entry) {
	g.evidence.update(func(t *blame.Tracker) { t.Restore(g.Clock(), es) })
	g.wake()
}

// DueBlame forgets expired evidence and returns the convictions that the leader is
// to commit. The leader is the one to try what was accused without a trial.
func (g *Gateway) DueBlame(leading bool) []blame.Entry {
	if !g.evidence.some.Load() {
		return nil
	}
	var out []blame.Entry
	g.evidence.update(func(t *blame.Tracker) {
		t.SetProber(leading)
		out = t.Due(g.Clock())
		g.evidence.logDecisions(g.Log, t.Decisions(g.Clock()))
	})
	return out
}

// logDecisions logs the verdicts that were not in force at the last call.
func (e *evidence) logDecisions(log logr.Logger, ds []blame.Decision) {
	before := e.logged
	e.logged = make(map[string]blame.Verdict, len(ds))
	for _, d := range ds {
		keys := fmt.Sprint(d.Keys)
		if d.Verdict <= e.logged[keys] {
			continue
		}
		e.logged[keys] = d.Verdict
		if d.Verdict != before[keys] {
			log.Info("request suspected", "key", d.Key.String(), "keys", keys, "verdict", d.Verdict.String(), "ends", d.Ends, "since", d.Since)
		}
	}
}

func (g *Gateway) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeWaiting()
}

// logBlame logs an entry that was applied, if it is a verdict.
func (g *Gateway) logBlame(e blame.Entry) {
	switch e := e.(type) {
	case blame.Answered:
		g.Log.Info("request cleared", "key", e.Key.String())
	case blame.Convicted:
		g.Log.Info("request convicted", "keys", e.Keys, "until", e.Until)
	}
}

// noteEnded records that a replica ended under a request.
func (g *Gateway) noteEnded(r balance.Replica, s blame.Suspect, trial blame.Trial) {
	var e blame.Ended
	g.evidence.update(func(t *blame.Tracker) {
		e = t.Ended(g.Clock(), blame.EndKey(r.Name, r.Incarnation), s, trial)
	})
	g.wake()
	g.PublishBlame([]blame.Entry{e})
}

// recordAnswer records that a replica has answered the request in full.
func (x *exchange) recordAnswer(ctx context.Context, a *client.Answer) {
	failed := a.Status() >= http.StatusInternalServerError
	switch {
	case !a.EndMarked():
		x.recordUnmarked(ctx, failed)
	case failed:
	case x.g.evidence.some.Load():
		x.g.noteAnswered(x.suspect())
	case len(x.r.SharedParts) > 0:
		x.g.noteAnswered(blame.Suspect{Parts: x.parts()})
	}
}

// noteAnswered records that a request was answered in full by a replica that lives
// on. While there is no evidence, only its parts matter.
func (g *Gateway) noteAnswered(s blame.Suspect) {
	var cleared []blame.Entry
	g.evidence.update(func(t *blame.Tracker) {
		if t.Empty() {
			t.NoteAnswered(g.Clock(), s.Parts)
			return
		}
		cleared = t.Answered(g.Clock(), s)
	})
	if len(cleared) > 0 {
		g.PublishBlame(cleared)
		g.wake()
	}
}

// verdict returns the verdict on the request, and a channel that is closed when
// it may have changed.
func (x *exchange) verdict() (blame.Decision, <-chan struct{}) {
	if !x.g.evidence.some.Load() {
		return blame.Decision{}, nil
	}
	x.g.mu.Lock()
	changed := x.g.changed
	x.g.mu.Unlock()
	var d blame.Decision
	x.g.evidence.update(func(t *blame.Tracker) { d = t.Decide(x.g.Clock(), x.suspect()) })
	return d, changed
}

// awaitVerdict waits until the request may be sent. An error means that it was
// not sent.
func (x *exchange) awaitVerdict(ctx context.Context) error {
	var trialAt time.Time
	for {
		d, changed := x.verdict()
		now := x.g.Clock()
		wakeAt := d.Until
		switch d.Verdict {
		case blame.Clear:
			return nil
		case blame.Refused:
			return x.suspendedError(d)
		case blame.Suspected:
			if x.trial != blame.NoTrial {
				return nil
			}
			if trialAt.IsZero() {
				trialAt = now.Add(rand.N(maxTrialDelay))
			}
			if !now.Before(trialAt) && x.beginTrial(d.Key) {
				return nil
			}
			wakeAt = later(trialAt, now.Add(trialRetryInterval))
		}
		if !wakeAt.Before(x.waitDeadline()) {
			return x.suspendedError(d)
		}
		if err := x.waitUntil(ctx, wakeAt, changed); err != nil {
			return err
		}
	}
}

// waitUntil waits until a time or until changed is closed.
func (x *exchange) waitUntil(ctx context.Context, at time.Time, changed <-chan struct{}) error {
	t := time.NewTimer(at.Sub(x.g.Clock()))
	defer t.Stop()
	select {
	case <-ctx.Done():
		if x.g.Clock().Before(x.deadline) {
			return errClientGone
		}
		return result.New(result.Suspended, "deadline reached while the request waited for a verdict")
	case <-t.C:
	case <-changed:
	}
	return nil
}

// beginTrial reports whether the request may be sent although its key is
// suspected.
func (x *exchange) beginTrial(k blame.Key) (ok bool) {
	x.g.evidence.update(func(t *blame.Tracker) { x.trial, ok = t.BeginTrial(x.g.Clock(), k) })
	if ok {
		x.g.Log.Info("trial of a suspected request", "request", x.r.ID, "key", k.String())
	}
	return ok
}

// describeKey returns what a key of the request stands for.
func (x *exchange) describeKey(k blame.Key) string {
	if i := slices.Index(x.suspect().Parts, k); i >= 0 {
		return fmt.Sprintf("part %q of the prompt (key %s)", x.r.SharedParts[i], k)
	}
	return fmt.Sprintf("the request (key %s)", k)
}

// suspendedError refuses a request for a verdict on it.
func (x *exchange) suspendedError(d blame.Decision) error {
	err := result.New(result.Suspended, "%s is %s: %d replicas have ended under it since %s", x.describeKey(d.Key), d.Verdict, d.Ends, d.Since.UTC().Format(time.TimeOnly))
	if d.Until.IsZero() {
		return err.WithRetryAfter(x.g.Clock().Add(maxTrialDelay))
	}
	return err.WithRetryAfter(d.Until)
}
