package daemon

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/upstream"
)

// serveCall serves a request to a plain service. Every daemon may do so, since
// replicas of services have no owner. Calls that are not idempotent go through
// the ledger.
func (d *Daemon) serveCall(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	v := d.view.Load()
	if err := v.fresh(d.clock()); err != nil {
		if x.Key != "" {
			// An earlier request with this key may have run, so the result must
			// not claim "not run".
			return nil, result.New(result.Unconfirmed, "%w", err)
		}
		return nil, err
	}
	deadline, err := d.callDeadline(v, x)
	if err != nil {
		return nil, err
	}
	if d.isIdempotent(v, x) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return d.callIdempotent(ctx, x)
	}
	return d.callAtMostOnce(ctx, v, x, deadline)
}

// callDeadline returns the caller's own deadline, or one derived from the
// target of the class.
func (d *Daemon) callDeadline(v *view, x caller.ServiceRequest) (time.Time, error) {
	if x.Class == "" {
		if x.Deadline.IsZero() {
			return x.Arrival.Add(defaultCallTimeout), nil
		}
		return x.Deadline, nil
	}
	class, ok := v.state.Class(x.Class)
	if !ok {
		return time.Time{}, result.New(result.UnknownClass, "class %q", x.Class)
	}
	deadline := class.Target.Deadline(x.Arrival)
	if !x.Deadline.IsZero() {
		deadline = x.Deadline
	}
	return deadline, nil
}

// defaultCallTimeout limits an idempotent call that has neither a class nor a
// deadline.
const defaultCallTimeout = 10 * time.Second

// isIdempotent reports whether a call may run more than once: because of its
// method, or because every replica of the service has announced its path as
// idempotent. With an idempotency key, only the method counts: the other calls
// with one go through the ledger.
func (d *Daemon) isIdempotent(v *view, x caller.ServiceRequest) bool {
	switch x.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	if x.Key != "" {
		return false
	}
	path, _, _ := strings.Cut(x.Path, "?")
	known := false
	for _, u := range v.upstreams {
		if u.service != x.Service {
			continue
		}
		known = true
		if !slices.ContainsFunc(u.idempotent, func(p string) bool { return strings.HasPrefix(path, p) }) {
			return false
		}
	}
	return known
}

// callIdempotent sends an idempotent call to one replica after another until
// one answers, at most maxAttempts times.
func (d *Daemon) callIdempotent(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	var tried []ident.Upstream
	for {
		name, info, err := d.pickReplica(ctx, x.Service, tried)
		if err != nil {
			return nil, err
		}
		a, err := d.sendCall(ctx, name, info, x, true)
		if err == nil {
			return a, nil
		}
		tried = append(tried, name)
		if len(tried) == maxAttempts || ctx.Err() != nil {
			return nil, err
		}
	}
}

// pickReplica chooses a replica of a service that has not been tried yet.
func (d *Daemon) pickReplica(ctx context.Context, s ident.Service, tried []ident.Upstream) (ident.Upstream, upstreamInfo, error) {
	var name ident.Upstream
	var known, ok bool
	if err := d.ctl.call(ctx, func(time.Time) {
		known = d.ctl.services.Known(s)
		name, ok = d.ctl.services.Pick(s, tried...)
	}); err != nil {
		return "", upstreamInfo{}, result.New(result.DeadlineHopeless, "the control loop chose no replica in time: %w", err)
	}
	info, here := d.view.Load().upstreams[name]
	switch {
	case !known:
		return "", info, result.New(result.UnknownService, "no replica of service %q has announced itself", s)
	case !ok || !here:
		return "", info, result.New(result.NoUpstream, "no replica of service %q accepts new work", s).WithRetryAfter(d.clock().Add(refusalRetryAfter))
	}
	return name, info, nil
}

// sendCall sends a call to one replica, once.
func (d *Daemon) sendCall(ctx context.Context, name ident.Upstream, info upstreamInfo, x caller.ServiceRequest, idempotent bool) (*caller.ServiceReply, error) {
	d.ctl.post(func(time.Time) { d.ctl.services.RecordSent(name) })
	defer d.ctl.post(func(time.Time) { d.ctl.services.RecordFinished(name) })
	a, err := d.upstreams.Call(ctx, info.address, upstream.ServiceCall{
		Method: x.Method, Path: x.Path, Header: x.Header, Body: x.Body, Key: x.Key, Idempotent: idempotent,
	})
	if err != nil {
		return nil, err
	}
	return &caller.ServiceReply{Status: a.Status, Header: a.Header, Body: a.Body, Upstream: name}, nil
}
