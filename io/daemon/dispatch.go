package daemon

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/ident"
	"papayaspoke/core/state"
)

// submit passes a request to the dispatcher. The control loop must not block on
// decisions, so the buffer of the channel must hold one decision more than a
// request can have outstanding.
func (c *control) submit(now time.Time, r dispatch.Request, decisions chan<- decision) {
	c.waiters[r.ID] = decisions
	c.stepDispatch(now, dispatch.Arrived{Request: r})
}

// isSuspect reports whether a request is suspected of crashing engines and must
// therefore run alone.
func (c *control) isSuspect(now time.Time, r dispatch.Request) bool {
	return r.Suspect || c.dispatcher.Verdict(now, r.Digest) == quarantine.Suspect
}

// cancelRequest ends a request whose caller is gone.
func (c *control) cancelRequest(now time.Time, id ident.Request) {
	delete(c.waiters, id)
	c.stepDispatch(now, dispatch.Cancelled{Request: id})
}

// attemptFinished reports the outcome of an attempt to the dispatcher.
func (c *control) attemptFinished(now time.Time, f dispatch.Finished) {
	c.stepDispatch(now, f)
	if f.Outcome == dispatch.Done || f.Delivered {
		delete(c.waiters, f.Request)
	}
}

// stepDispatch feeds one event to the dispatcher and executes its effects. A
// request that failed in a crash may be retried at another owner only once the
// verdict "suspect" is in force there, so failures are delivered after the
// verdicts that came with them have been committed.
func (c *control) stepDispatch(now time.Time, ev dispatch.Event) {
	effects := c.dispatcher.Step(now, ev)
	var verdicts []quarantine.Entry
	for _, e := range effects {
		if q, ok := e.(dispatch.PublishQuarantine); ok {
			verdicts = append(verdicts, q.Entry)
		}
	}
	for _, e := range effects {
		if f, ok := e.(dispatch.Fail); ok && len(verdicts) > 0 {
			c.commitVerdicts(verdicts, func() { c.fail(f) })
			verdicts = nil
			continue
		}
		c.executeEffect(now, e)
	}
	if len(verdicts) > 0 {
		c.commitVerdicts(verdicts, func() {})
	}
}

func (c *control) executeEffect(now time.Time, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Send:
		c.deliver(e.Request, decision{send: e, isSend: true})
	case dispatch.Refuse:
		c.deliver(e.Request, decision{err: e.Err})
		delete(c.waiters, e.Request)
	case dispatch.Fail:
		c.fail(e)
	case dispatch.Load:
		c.async.load(e)
	case dispatch.Unload:
		c.async.unload(e)
	case dispatch.RequestPermits:
		c.permits.request = e.Request
		c.requestPermits(now)
	case dispatch.ReleasePermit:
		c.permits.released = append(c.permits.released, e.Permit)
		c.requestPermits(now)
	case dispatch.Announce:
		c.refreshDirectory(now)
	}
}

func (c *control) fail(f dispatch.Fail) {
	c.deliver(f.Request, decision{err: failureError(f)})
	delete(c.waiters, f.Request)
}

func failureError(f dispatch.Fail) error {
	if f.Retry {
		return retryError{cause: f.Err}
	}
	return f.Err
}

// deliver passes a decision to the goroutine that serves the request. If its
// caller is gone there is none; a Send is then reported back as not sent.
func (c *control) deliver(id ident.Request, d decision) {
	if w := c.waiters[id]; w != nil {
		w <- d
		return
	}
	if d.isSend {
		f := dispatch.Finished{Request: id, Outcome: dispatch.NotSent}
		go c.post(func(now time.Time) { c.stepDispatch(now, f) })
	}
}

// commitVerdicts commits verdicts, which puts them in force on all daemons, and
// then runs f on the control loop.
func (c *control) commitVerdicts(es []quarantine.Entry, f func()) {
	var cmds []state.Command
	for _, e := range es {
		c.log.Info("verdict on a request", "verdict", int(e.Verdict), "digest", hex.EncodeToString(e.Digest[:8]))
		cmds = append(cmds, state.Quarantine{Digest: encodeVerdict(e), Until: e.Expires.Round(0)})
	}
	c.async.commitThen(state.Batch{Commands: cmds}, func() { c.post(func(time.Time) { f() }) })
}

// encodeVerdict returns the key of an entry in the replicated state: the
// verdict in decimal, a colon and the digest in hexadecimal.
func encodeVerdict(e quarantine.Entry) string {
	return strconv.Itoa(int(e.Verdict)) + ":" + hex.EncodeToString(e.Digest[:])
}

// decodeVerdict parses a key made by encodeVerdict.
func decodeVerdict(key string, until time.Time) (quarantine.Entry, bool) {
	digit, digest, ok := strings.Cut(key, ":")
	v, err := strconv.ParseUint(digit, 10, 8)
	raw, derr := hex.DecodeString(digest)
	if !ok || err != nil || derr != nil || len(raw) != len(quarantine.Digest{}) {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{Digest: quarantine.Digest(raw), Verdict: quarantine.Verdict(v), Expires: until}, true
}

// applyVerdicts passes committed verdicts, of this daemon or another, to the
// dispatcher.
func (c *control) applyVerdicts(now time.Time, cmd state.Command) {
	switch cmd := cmd.(type) {
	case state.Batch:
		for _, sub := range cmd.Commands {
			c.applyVerdicts(now, sub)
		}
	case state.Quarantine:
		c.applyBlame(cmd)
		if e, ok := decodeVerdict(cmd.Digest, cmd.Until); ok {
			c.stepDispatch(now, dispatch.QuarantineReceived{Entries: []quarantine.Entry{e}})
		}
	}
}

// restoreVerdicts passes the verdicts in a snapshot to the dispatcher, except
// those that clear a suspect: the suspect's own entry soon expires.
func (c *control) restoreVerdicts(now time.Time) {
	c.restoreBlame()
	var es []quarantine.Entry
	for key, until := range c.state.View().Quarantined() {
		if e, ok := decodeVerdict(key, until); ok && e.Verdict != quarantine.Clear {
			es = append(es, e)
		}
	}
	if len(es) > 0 {
		c.stepDispatch(now, dispatch.QuarantineReceived{Entries: es})
	}
}
