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
	// dialTimeout bounds a new connection that tests whether an upstream
	// lives.
	dialTimeout = 300 * time.Millisecond
	// claimTimeout bounds the first order of a new owner.
	claimTimeout = time.Second
	// claimRole is the role that a new owner orders: it changes nothing at an
	// engine that serves, but shows it the new fencing number and tells its
	// clock.
	claimRole = "serve"
)

// orders is how the control loop has work done on other goroutines.
type orders struct {
	load   func(e dispatch.Load)
	unload func(e dispatch.Unload)
	// claim gives a newly owned engine its first order.
	claim func(name ident.Upstream, inc ident.Incarnation, fence ident.Fence)
	// commit proposes a command that nobody waits for.
	commit func(cmd state.Command)
	// commitThen proposes a command and calls f once it is in force, or once
	// that takes too long.
	commitThen func(cmd state.Command, f func())
}

// newOrders returns the orders of d.
func newOrders(d *Daemon) orders {
	return orders{
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

// commitTimeout bounds commands that nobody waits for.
const commitTimeout = 10 * time.Second

func (d *Daemon) commit(cmd state.Command, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(d.ctx, timeout)
	defer cancel()
	if a, err := d.proposer.propose(ctx, cmd); err != nil || a.outcome.Code != result.OK {
		d.log.V(1).Info("command not committed", "command", describe(cmd), "error", errText(err), "code", int(a.outcome.Code), "detail", a.outcome.Detail)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// enter checks the gate of an upstream right before a write. The caller calls
// the returned function once the bytes are handed over.
func (d *Daemon) enter(name ident.Upstream, fence ident.Fence, deadline time.Time) (func(), error) {
	v := d.view.Load()
	g := v.gates[name]
	if g == nil || g.Ownership().Fence != fence {
		return nil, result.New(result.NoUpstream, "this daemon does not own %s any more", name)
	}
	if err := g.Begin(ownership.WriteAttempt{Now: d.clock(), View: v.state, FreshUntil: v.freshUntil, Deadline: deadline}); err != nil {
		return nil, err
	}
	return g.End, nil
}

func (d *Daemon) load(e dispatch.Load) {
	sent := d.clock()
	ack, err := d.orderLoad(e)
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
	d.count("loads", err)
}

func (d *Daemon) orderLoad(e dispatch.Load) (upstream.Ack, error) {
	info, ok := d.view.Load().upstreams[e.Upstream]
	if !ok || info.incarnation != e.Incarnation {
		return upstream.Ack{}, result.New(result.NoUpstream, "upstream %s is gone", e.Upstream)
	}
	exit, err := d.enter(e.Upstream, e.Fence, e.StartBy)
	if err != nil {
		return upstream.Ack{}, err
	}
	defer exit()
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	return d.upstreams.Load(ctx, info.address, upstream.LoadOrder{
		Order:   upstream.Order{ID: rand.Text(), Fence: e.Fence, Incarnation: e.Incarnation},
		Adapter: e.Adapter, Evict: e.Evict,
	})
}

func (d *Daemon) unload(e dispatch.Unload) {
	err := d.orderUnload(e)
	done := dispatch.Unloaded{Upstream: e.Upstream, Incarnation: e.Incarnation, Adapter: e.Adapter}
	if err != nil {
		done.Err = result.From(err)
	}
	d.ctl.post(func(now time.Time) { d.ctl.stepDispatch(now, done) })
}

func (d *Daemon) orderUnload(e dispatch.Unload) error {
	info, ok := d.view.Load().upstreams[e.Upstream]
	if !ok || info.incarnation != e.Incarnation {
		return result.New(result.NoUpstream, "upstream %s is gone", e.Upstream)
	}
	deadline := d.clock().Add(claimTimeout)
	exit, err := d.enter(e.Upstream, e.Fence, deadline)
	if err != nil {
		return err
	}
	defer exit()
	ctx, cancel := context.WithDeadline(d.ctx, deadline)
	defer cancel()
	_, err = d.upstreams.Unload(ctx, info.address, upstream.UnloadOrder{
		Order:   upstream.Order{ID: rand.Text(), Fence: e.Fence, Incarnation: e.Incarnation},
		Adapter: e.Adapter,
	})
	return err
}

// claim gives a newly owned engine its first order. Its answer ties the
// engine's clock to this daemon's, so that reports can be dated.
func (d *Daemon) claim(name ident.Upstream, inc ident.Incarnation, fence ident.Fence) {
	info, ok := d.view.Load().upstreams[name]
	if !ok {
		return
	}
	sent := d.clock()
	deadline := sent.Add(claimTimeout)
	exit, err := d.enter(name, fence, deadline)
	if err != nil {
		d.log.V(1).Info("claim not sent", "upstream", name, "error", err.Error())
		return
	}
	defer exit()
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

// dials reports whether a new connection to an upstream succeeds.
func (d *Daemon) dials(addr string) bool {
	from := net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.settings.Peer().Addr(), 0))
	c, err := (&net.Dialer{Timeout: dialTimeout, LocalAddr: from}).Dial("tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
