package daemon

import (
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/ownership"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/upstream"
)

const (
	// dialTimeout limits a connection attempt that tests whether an upstream is
	// alive.
	dialTimeout = 300 * time.Millisecond
	// claimTimeout limits the first order of a new owner, and unload orders.
	claimTimeout = time.Second
	// claimRole is the role in the first order of a new owner. It does not
	// change an engine that already serves, but the order carries the new
	// fencing number, and its answer the engine's clock.
	claimRole = "serve"
)

// async holds the operations that the control loop runs on other goroutines.
type async struct {
	load   func(e dispatch.Load)
	unload func(e dispatch.Unload)
	// claim sends the first order to a newly owned engine.
	claim func(name ident.Upstream, inc ident.Incarnation, fence ident.Fence)
	// commit proposes a command without waiting for the outcome.
	commit func(cmd state.Command)
	// commitThen proposes a command and calls f once it is in force, or after
	// exchangeTimeout.
	commitThen func(cmd state.Command, f func())
}

// newAsync returns the asynchronous operations of d.
func newAsync(d *Daemon) async {
	return async{
		load:   func(e dispatch.Load) { go d.load(e) },
		unload: func(e dispatch.Unload) { go d.unload(e) },
		claim: func(name ident.Upstream, inc ident.Incarnation, fence ident.Fence) {
			go d.claim(name, inc, fence)
		},
		commit: func(cmd state.Command) { go d.commit(cmd, commitTimeout) },
		commitThen: func(cmd state.Command, f func()) {
			go func() {
				d.commit(cmd, exchangeTimeout)
				f()
			}()
		},
	}
}

// commitTimeout limits commands whose outcome is not waited for.
const commitTimeout = 10 * time.Second

// commit proposes a command and logs a failure.
func (d *Daemon) commit(cmd state.Command, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	if a, err := d.proposer.propose(ctx, cmd); err != nil || a.outcome.Code != result.OK {
		d.log.V(1).Info("command not committed", "command", describe(cmd), "error", errorText(err), "code", int(a.outcome.Code), "detail", a.outcome.Detail)
	}
}

// errorText returns the message of err, or the empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// beginWrite checks the write guard of an upstream immediately before a
// write. The caller must call the returned function once the bytes are handed
// over.
func (d *Daemon) beginWrite(name ident.Upstream, fence ident.Fence, deadline time.Time) (func(), error) {
	v := d.view.Load()
	g := v.writeGuards[name]
	if g == nil || g.Ownership().Fence != fence {
		return nil, result.New(result.NoUpstream, "this daemon no longer owns upstream %s", name)
	}
	if err := g.Begin(ownership.WriteAttempt{Now: d.clock(), View: v.state, FreshUntil: v.freshUntil, Deadline: deadline}); err != nil {
		return nil, err
	}
	return g.End, nil
}

// load orders an engine to load an adapter and reports the result to the
// dispatcher.
func (d *Daemon) load(e dispatch.Load) {
	sent := d.clock()
	ack, err := d.sendLoad(e)
	done := dispatch.LoadDone{Upstream: e.Upstream, Incarnation: e.Incarnation, Adapter: e.Adapter}
	if err != nil {
		done.Err = result.From(err)
	} else {
		done.Evicted = option.Some(true)
	}
	d.ctl.post(func(now time.Time) {
		if err == nil {
			d.ctl.anchor(e.Upstream, e.Incarnation, sent, ack.Clock)
		}
		d.ctl.stepDispatch(now, done)
	})
	d.countEvent("loads", err)
}

// sendLoad sends the load order, if this daemon still owns the engine.
func (d *Daemon) sendLoad(e dispatch.Load) (upstream.Ack, error) {
	info, ok := d.view.Load().upstreams[e.Upstream]
	if !ok || info.incarnation != e.Incarnation {
		return upstream.Ack{}, result.New(result.NoUpstream, "upstream %s has left or restarted", e.Upstream)
	}
	endWrite, err := d.beginWrite(e.Upstream, e.Fence, e.StartBy)
	if err != nil {
		return upstream.Ack{}, err
	}
	defer endWrite()
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	return d.upstreams.Load(ctx, info.address, upstream.LoadOrder{
		Order:   upstream.Order{ID: rand.Text(), Fence: e.Fence, Incarnation: e.Incarnation},
		Adapter: e.Adapter, Evict: e.Evict,
	})
}

// unload orders an engine to unload an adapter and reports the result to the
// dispatcher.
func (d *Daemon) unload(e dispatch.Unload) {
	err := d.sendUnload(e)
	done := dispatch.Unloaded{Upstream: e.Upstream, Incarnation: e.Incarnation, Adapter: e.Adapter}
	if err != nil {
		done.Err = result.From(err)
	}
	d.ctl.post(func(now time.Time) { d.ctl.stepDispatch(now, done) })
}

// sendUnload sends the unload order, if this daemon still owns the engine.
func (d *Daemon) sendUnload(e dispatch.Unload) error {
	info, ok := d.view.Load().upstreams[e.Upstream]
	if !ok || info.incarnation != e.Incarnation {
		return result.New(result.NoUpstream, "upstream %s has left or restarted", e.Upstream)
	}
	deadline := d.clock().Add(claimTimeout)
	endWrite, err := d.beginWrite(e.Upstream, e.Fence, deadline)
	if err != nil {
		return err
	}
	defer endWrite()
	ctx, cancel := context.WithDeadline(d.ctx, deadline)
	defer cancel()
	_, err = d.upstreams.Unload(ctx, info.address, upstream.UnloadOrder{
		Order:   upstream.Order{ID: rand.Text(), Fence: e.Fence, Incarnation: e.Incarnation},
		Adapter: e.Adapter,
	})
	return err
}

// claim sends the first order to a newly owned engine. The answer contains the
// engine's clock, which makes it possible to convert the times of its reports
// to this daemon's clock.
func (d *Daemon) claim(name ident.Upstream, inc ident.Incarnation, fence ident.Fence) {
	info, ok := d.view.Load().upstreams[name]
	if !ok {
		return
	}
	sent := d.clock()
	deadline := sent.Add(claimTimeout)
	endWrite, err := d.beginWrite(name, fence, deadline)
	if err != nil {
		d.log.V(1).Info("claim not sent", "upstream", name, "error", err.Error())
		return
	}
	defer endWrite()
	ctx, cancel := context.WithDeadline(d.ctx, deadline)
	defer cancel()
	ack, err := d.upstreams.SetRole(ctx, info.address, upstream.SetRoleOrder{
		Order: upstream.Order{ID: rand.Text(), Fence: fence, Incarnation: inc}, Role: claimRole,
	})
	if err != nil {
		d.log.V(1).Info("claim failed", "upstream", name, "error", err.Error())
		return
	}
	d.ctl.post(func(time.Time) { d.ctl.anchor(name, inc, sent, ack.Clock) })
}

// canConnect reports whether a new connection to an upstream succeeds.
func (d *Daemon) canConnect(addr string) bool {
	from := net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.settings.Peer().Addr(), 0))
	c, err := (&net.Dialer{Timeout: dialTimeout, LocalAddr: from}).Dial("tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
