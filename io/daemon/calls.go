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

// call serves a request to a plain service. Any daemon may; services have no
// owner. What may not be repeated goes through the ledger.
func (d *Daemon) call(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	v := d.view.Load()
	if err := v.fresh(d.clock()); err != nil {
		if x.Key != "" {
			// Another copy may have run, so "not run" can't be said.
			return nil, result.New(result.Unconfirmed, "%w", err)
		}
		return nil, err
	}
	deadline, err := d.callDeadline(v, x)
	if err != nil {
		return nil, err
	}
	if d.repeatable(v, x) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		return d.callAny(ctx, x)
	}
	return d.callOnce(ctx, v, x, deadline)
}

// callDeadline is the caller's own deadline, or the target of the class.
func (d *Daemon) callDeadline(v *view, x caller.ServiceRequest) (time.Time, error) {
	if x.Class == "" {
		if x.Deadline.IsZero() {
			return x.Arrival.Add(defaultCall), nil
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

// defaultCall bounds an idempotent call that names neither class nor
// deadline.
const defaultCall = 10 * time.Second

// repeatable reports whether a call may run more than once: by its method, or
// because every replica of the service has announced its path as idempotent.
func (d *Daemon) repeatable(v *view, x caller.ServiceRequest) bool {
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

// callAny offers an idempotent call to one replica after the other.
func (d *Daemon) callAny(ctx context.Context, x caller.ServiceRequest) (*caller.ServiceReply, error) {
	var tried []ident.Upstream
	for {
		name, info, err := d.pickService(ctx, x.Service, tried)
		if err != nil {
			return nil, err
		}
		a, err := d.sendCall(ctx, name, info, x, true)
		if err == nil {
			return a, nil
		}
		tried = append(tried, name)
		if len(tried) == maxTries || ctx.Err() != nil {
			return nil, err
		}
	}
}

// pickService chooses a replica that has not been tried yet.
func (d *Daemon) pickService(ctx context.Context, s ident.Service, tried []ident.Upstream) (ident.Upstream, upstreamInfo, error) {
	var name ident.Upstream
	var known, ok bool
	if err := d.ctl.call(ctx, func(time.Time) {
		known = d.ctl.services.Known(s)
		name, ok = d.ctl.services.Pick(s, tried...)
	}); err != nil {
		return "", upstreamInfo{}, result.New(result.DeadlineHopeless, "no decision in time: %w", err)
	}
	info, here := d.view.Load().upstreams[name]
	switch {
	case !known:
		return "", info, result.New(result.UnknownService, "service %q has not announced itself", s)
	case !ok || !here:
		return "", info, result.New(result.NoUpstream, "no replica of %q takes new work", s).WithRetryAfter(d.clock().Add(refusalPause))
	}
	return name, info, nil
}

// sendCall makes one attempt at a replica.
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
