package daemon

import (
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
func (c *control) stepDispatch(now time.Time, ev dispatch.Event) {
	for _, e := range c.dispatcher.Step(now, ev) {
		switch e := e.(type) {
		case dispatch.Send:
			c.decide(e.Request, decision{send: e, isSend: true})
		case dispatch.Refuse:
			c.decide(e.Request, decision{err: e.Err})
			delete(c.waiters, e.Request)
		case dispatch.Fail:
			c.decide(e.Request, decision{err: failure(e)})
			delete(c.waiters, e.Request)
		case dispatch.Load:
			c.orders.load(e)
		case dispatch.Unload:
			c.orders.unload(e)
		case dispatch.AskPermits:
			c.permits.ask = e.Ask
			c.askPermits(now)
		case dispatch.ReleasePermit:
			c.permits.released = append(c.permits.released, e.Permit)
			c.askPermits(now)
		case dispatch.Quarantine:
			c.quarantined(e.Entry)
		case dispatch.Announce:
			c.announce(now)
		}
	}
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

// quarantined spreads a verdict through the replicated state.
func (c *control) quarantined(e quarantine.Entry) {
	if e.Verdict != quarantine.Convicted {
		return
	}
	c.log.Info("request quarantined", "until", e.Until)
	c.orders.commit(state.Quarantine{Digest: string(e.Digest[:]), Until: e.Until})
}

// noteQuarantine tells the dispatcher of verdicts that other daemons
// committed.
func (c *control) noteQuarantine(now time.Time, cmd state.Command) {
	q, ok := cmd.(state.Quarantine)
	if !ok || len(q.Digest) != len(quarantine.Digest{}) {
		return
	}
	e := quarantine.Entry{Digest: quarantine.Digest([]byte(q.Digest)), Verdict: quarantine.Convicted, Until: q.Until}
	c.stepDispatch(now, dispatch.Quarantines{Entries: []quarantine.Entry{e}})
}
