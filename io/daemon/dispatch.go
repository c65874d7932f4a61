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

// arrive brings a request to the dispatcher; decisions must have room for one
// decision more than the request can have open.
func (c *control) arrive(now time.Time, r dispatch.Request, decisions chan<- decision) {
	c.waiters[r.ID] = decisions
	c.stepDispatch(now, dispatch.Arrived{Request: r})
}

// suspects reports whether a request must run alone.
func (c *control) suspects(now time.Time, r dispatch.Request) bool {
	return r.Suspect || c.dispatcher.Verdict(now, r.Digest) == quarantine.Suspect
}

// cancel tells that the caller of a request is gone.
func (c *control) cancel(now time.Time, id ident.Request) {
	delete(c.waiters, id)
	c.stepDispatch(now, dispatch.Cancelled{Request: id})
}

// finished tells how an attempt ended.
func (c *control) finished(now time.Time, f dispatch.Finished) {
	c.stepDispatch(now, f)
	if f.Outcome == dispatch.Done || f.Delivered {
		delete(c.waiters, f.Request)
	}
}

// stepDispatch feeds one event to the dispatcher and carries out its effects.
// A request that failed in a crash may go to another owner only once the
// suspicion is in force there, so failures wait for verdicts to spread.
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
			c.spread(verdicts, func() { c.fail(f) })
			verdicts = nil
			continue
		}
		c.carryOut(now, e)
	}
	if len(verdicts) > 0 {
		c.spread(verdicts, func() {})
	}
}

func (c *control) carryOut(now time.Time, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.Send:
		c.decide(e.Request, decision{send: e, isSend: true})
	case dispatch.Refuse:
		c.decide(e.Request, decision{err: e.Err})
		delete(c.waiters, e.Request)
	case dispatch.Fail:
		c.fail(e)
	case dispatch.Load:
		c.orders.load(e)
	case dispatch.Unload:
		c.orders.unload(e)
	case dispatch.RequestPermits:
		c.permits.ask = e.Request
		c.askPermits(now)
	case dispatch.ReleasePermit:
		c.permits.released = append(c.permits.released, e.Permit)
		c.askPermits(now)
	case dispatch.Announce:
		c.announce(now)
	}
}

func (c *control) fail(f dispatch.Fail) {
	c.decide(f.Request, decision{err: failure(f)})
	delete(c.waiters, f.Request)
}

func failure(f dispatch.Fail) error {
	if f.Retry {
		return retryError{cause: f.Err}
	}
	return f.Err
}

// decide tells the goroutine of a request. One whose caller is gone has no
// waiter: a Send for it is answered as not sent.
func (c *control) decide(id ident.Request, d decision) {
	if w := c.waiters[id]; w != nil {
		w <- d
		return
	}
	if d.isSend {
		f := dispatch.Finished{Request: id, Outcome: dispatch.NotSent}
		go c.post(func(now time.Time) { c.stepDispatch(now, f) })
	}
}

// spread commits verdicts, so that they are in force everywhere, and then runs
// f on the control loop.
func (c *control) spread(es []quarantine.Entry, f func()) {
	var cmds []state.Command
	for _, e := range es {
		c.log.Info("verdict on a request", "verdict", int(e.Verdict), "digest", hex.EncodeToString(e.Digest[:8]))
		cmds = append(cmds, state.Quarantine{Digest: encodeVerdict(e), Until: e.Expires.Round(0)})
	}
	c.orders.commitThen(state.Batch{Commands: cmds}, func() { c.post(func(time.Time) { f() }) })
}

// encodeVerdict returns the key of an entry in the replicated state: a digit
// for the verdict, a colon and the digest in hexadecimal.
func encodeVerdict(e quarantine.Entry) string {
	return strconv.Itoa(int(e.Verdict)) + ":" + hex.EncodeToString(e.Digest[:])
}

func decodeVerdict(key string, until time.Time) (quarantine.Entry, bool) {
	digit, digest, ok := strings.Cut(key, ":")
	v, err := strconv.ParseUint(digit, 10, 8)
	raw, derr := hex.DecodeString(digest)
	if !ok || err != nil || derr != nil || len(raw) != len(quarantine.Digest{}) {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{Digest: quarantine.Digest(raw), Verdict: quarantine.Verdict(v), Expires: until}, true
}

// noteQuarantine tells the dispatcher of verdicts that were committed, by
// this daemon or another.
func (c *control) noteQuarantine(now time.Time, cmd state.Command) {
	switch cmd := cmd.(type) {
	case state.Batch:
		for _, sub := range cmd.Commands {
			c.noteQuarantine(now, sub)
		}
	case state.Quarantine:
		if e, ok := decodeVerdict(cmd.Digest, cmd.Until); ok {
			c.stepDispatch(now, dispatch.QuarantineReceived{Entries: []quarantine.Entry{e}})
		}
	}
}

// restoreQuarantine tells the dispatcher of the verdicts in a snapshot. Those
// that cleared a suspect are left out: the suspect's entry soon expires.
func (c *control) restoreQuarantine(now time.Time) {
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
