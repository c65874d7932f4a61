package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"time"

	"papayaspoke/core/coordination/dispatch"
	"papayaspoke/core/coordination/dispatch/quarantine"
	"papayaspoke/core/coordination/dispatch/routing"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/caller"
	"papayaspoke/io/protocol/upstream"
)

const (
	// maxTries is how many owners one request is offered to.
	maxTries = 4
	// refusalPause is given as Retry-After where nothing better is known.
	refusalPause = time.Second
	// defaultTokens bounds an answer if the caller does not.
	defaultTokens = 512
)

// infer serves a request for text, here or through the owner of a replica.
func (d *Daemon) infer(ctx context.Context, x caller.InferRequest) (*caller.Answer, error) {
	if x.Key != "" {
		// TODO: take requests to engines that may not be repeated through the
		// ledger; until then a key would promise what is not kept.
		return nil, result.New(result.Malformed, "text may be made again: an Idempotency-Key is for services")
	}
	r, err := d.accept(&x)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, d.cutoff(r))
	a, err := d.offer(ctx, x, r)
	if err != nil {
		cancel()
		return nil, err
	}
	return a.WithOnClose(cancel), nil
}

// cutoff is when an answer that has not ended is given up. A request whose
// target has passed still runs on for as long again: late is better than cut.
func (d *Daemon) cutoff(r dispatch.Request) time.Time {
	return cutoffOf(r.Arrived, r.Deadline)
}

// minOverrun is the least time past its target that a request may take.
const minOverrun = 30 * time.Second

// accept checks a request against the configuration in force and turns the
// target of its class into a deadline.
func (d *Daemon) accept(x *caller.InferRequest) (dispatch.Request, error) {
	v := d.view.Load()
	if err := v.fresh(d.clock()); err != nil {
		return dispatch.Request{}, err
	}
	class, ok := v.state.Class(x.Class)
	if !ok {
		return dispatch.Request{}, result.New(result.UnknownClass, "class %q", x.Class)
	}
	if err := d.resolveModel(v.state, x); err != nil {
		return dispatch.Request{}, err
	}
	deadline := class.Target.Deadline(x.Arrival)
	if !x.Deadline.IsZero() && x.Deadline.Before(deadline) {
		deadline = x.Deadline
	}
	x.Deadline = deadline
	if x.MaxTokens <= 0 {
		x.MaxTokens = defaultTokens
	}
	return dispatch.Request{
		ID: x.ID, Class: x.Class, Model: x.Model, Adapter: x.Adapter,
		Arrived: x.Arrival, Deadline: deadline,
		Digest: digestOf(x), Prefix: x.Prompt.PrefixDigest(),
		Idempotent: x.Key == "", Retried: x.Retried, Suspect: x.Suspect,
	}, nil
}

// resolveModel fills in the base model of the adapter and refuses names that
// the catalogue does not have.
func (d *Daemon) resolveModel(st *state.View, x *caller.InferRequest) error {
	if x.Adapter.IsZero() {
		if _, ok := st.Model(x.Model); !ok {
			return result.New(result.UnknownModel, "model %q", x.Model)
		}
		return nil
	}
	a, ok := st.Adapter(x.Adapter)
	if !ok {
		return result.New(result.UnknownAdapter, "adapter %s", x.Adapter)
	}
	if x.Model != "" && x.Model != a.Model {
		return result.New(result.UnknownModel, "adapter %s belongs to model %q, not %q", x.Adapter, a.Model, x.Model)
	}
	x.Model = a.Model
	return nil
}

func digestOf(x *caller.InferRequest) quarantine.Digest {
	return sha256.Sum256([]byte(x.Adapter.String() + "\x00" + x.Prompt.Text()))
}

// offer gives the request to one owner after the other until one takes it.
// Only refusals that say "not run", and failures that may be repeated, go on
// to the next. While no replica takes new work the request waits, as long as
// its target allows: a replica whose owner has failed soon has another.
func (d *Daemon) offer(ctx context.Context, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	if x.ForwardedBy != "" {
		return d.serve(ctx, x, r)
	}
	var tried []ident.Upstream
	var failed error
	for try := 1; ; {
		c, err := d.route(ctx, r, tried)
		if err != nil {
			if d.clock().Add(routePause).Before(r.Deadline) && pause(ctx, routePause) {
				tried = nil
				continue
			}
			return nil, notServed(failed, err)
		}
		r.Upstream = c.Upstream
		a, err := d.offerTo(ctx, c.Owner, x, r)
		if err == nil || try == maxTries || ctx.Err() != nil || !passesOn(err) {
			return a, notServed(failed, err)
		}
		if !result.Lookup(result.CodeOf(err)).NotRun {
			r.Retried, failed = true, err
			r.Suspect = r.Suspect || result.CodeOf(err) == result.UpstreamFailed
			x.Retried, x.Suspect = true, r.Suspect
		}
		tried = append(tried, c.Upstream)
		try++
	}
}

// routePause separates looks for a replica that takes new work.
const routePause = 50 * time.Millisecond

// notServed returns err, unless an earlier attempt failed that may have run:
// then that failure stands, as "not run" would be wrong.
func notServed(failed, err error) error {
	if failed != nil && err != nil && result.Lookup(result.CodeOf(err)).NotRun {
		return failed
	}
	return err
}

func (d *Daemon) offerTo(ctx context.Context, owner ident.Daemon, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	if owner == d.self {
		return d.serve(ctx, x, r)
	}
	info, ok := d.view.Load().daemons[owner]
	if !ok {
		return nil, result.New(result.OwnerUnreachable, "daemon %s is not known", owner)
	}
	// The forward's own context must outlive this call if an answer comes.
	fctx, cancel := context.WithCancelCause(ctx)
	begun := make(chan struct{})
	go d.watchOwner(fctx, owner, begun, cancel)
	a, err := d.forward.Infer(fctx, info.peer, x)
	close(begun)
	if err != nil {
		if errors.Is(context.Cause(fctx), errOwnerLost) {
			err = retryError{cause: result.New(result.UpstreamFailed, "daemon %s: %w", owner, errOwnerLost)}
		}
		cancel(nil)
		return nil, err
	}
	return a.WithOnClose(func() { cancel(nil) }), nil
}

// errOwnerLost ends a forward that has brought nothing yet.
var errOwnerLost = errors.New("owner does not answer over new connections either")

// watchOwner gives up a forward to an owner that has become unreachable, so
// that the request can go elsewhere before its target has passed.
func (d *Daemon) watchOwner(ctx context.Context, owner ident.Daemon, begun <-chan struct{}, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(routePause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-begun:
			return
		case <-tick.C:
			if i, ok := d.view.Load().daemons[owner]; !ok || i.suspected {
				cancel(errOwnerLost)
				return
			}
		}
	}
}

// passesOn reports whether another owner may be tried after err.
func passesOn(err error) bool {
	var again retryError
	if errors.As(err, &again) {
		return true
	}
	switch result.CodeOf(err) {
	case result.NoUpstream, result.Draining, result.OwnerUnreachable, result.NotFresh:
		return true
	}
	return false
}

// retryError is a failure that the dispatcher allows to be sent to another
// owner.
type retryError struct{ cause error }

func (e retryError) Error() string { return e.cause.Error() }
func (e retryError) Unwrap() error { return e.cause }

func (d *Daemon) route(ctx context.Context, r dispatch.Request, tried []ident.Upstream) (routing.Choice, error) {
	var c routing.Choice
	var ok bool
	err := d.ctl.call(ctx, func(now time.Time) {
		c, ok = d.ctl.directory.Route(routing.Query{
			Model: r.Model, Adapter: r.Adapter, DataCentre: d.dataCentre, Exclude: tried,
			Digest: r.Digest, Prefix: r.Prefix, Suspect: d.ctl.suspects(now, r),
		})
		if ok {
			d.ctl.directory.RecordSent(c.Upstream, r.Adapter)
		}
	})
	if err != nil {
		return c, result.New(result.TimedOut, "no decision in time: %w", err)
	}
	if !ok {
		return c, result.New(result.NoUpstream, "no replica of model %q takes new work", r.Model).WithRetryAfter(d.clock().Add(refusalPause))
	}
	return c, nil
}

// decision is what the dispatcher wants done with a waiting request.
type decision struct {
	send   dispatch.Send
	isSend bool
	err    error
}

// serve runs a request on a replica that this daemon owns.
func (d *Daemon) serve(ctx context.Context, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	// A hop that went silent may bring the same request twice.
	r.ID = ident.Request(string(r.ID) + "/" + number(d.served.Add(1)))
	decisions := make(chan decision, 4)
	if !d.ctl.post(func(now time.Time) { d.ctl.arrive(now, r, decisions) }) {
		return nil, result.New(result.Draining, "the daemon stops")
	}
	ran := false
	for {
		select {
		case <-ctx.Done():
			d.ctl.post(func(now time.Time) { d.ctl.cancel(now, r.ID) })
			return nil, gaveUpWaiting(ctx, ran)
		case dec := <-decisions:
			if !dec.isSend {
				return nil, dec.err
			}
			ran = true
			if a, ok := d.run(ctx, x, r, dec.send); ok {
				return a, nil
			}
		}
	}
}

func gaveUpWaiting(ctx context.Context, ran bool) error {
	if ran {
		return result.New(result.TimedOut, "%w", context.Cause(ctx))
	}
	return result.New(result.DeadlineHopeless, "it was never sent: %w", context.Cause(ctx))
}

// run makes one attempt. It returns false if the attempt ended before a byte
// of the answer was delivered; the dispatcher then decides anew.
func (d *Daemon) run(ctx context.Context, x caller.InferRequest, r dispatch.Request, s dispatch.Send) (*caller.Answer, bool) {
	finish := func(err error, delivered bool) {
		out := d.outcomeOf(s.Upstream, s.Incarnation, err)
		d.ctl.post(func(now time.Time) {
			d.ctl.finished(now, dispatch.Finished{Request: r.ID, Outcome: out, Delivered: delivered})
		})
	}
	stream, err := d.generate(ctx, x, r, s)
	if err != nil {
		finish(err, false)
		return nil, false
	}
	first, err := stream.Next()
	if err != nil && !errors.Is(err, io.EOF) {
		_ = stream.Close()
		finish(err, false)
		return nil, false
	}
	d.ctl.post(func(now time.Time) { d.ctl.stepDispatch(now, dispatch.AnswerStarted{Request: r.ID}) })
	p := &pieces{stream: stream, first: first, err: err, finish: finish}
	return caller.NewAnswer(x.Adapter, x.Model, s.Upstream, p.next, p.close), true
}

func (d *Daemon) generate(ctx context.Context, x caller.InferRequest, r dispatch.Request, s dispatch.Send) (*upstream.Stream, error) {
	v := d.view.Load()
	info, ok := v.upstreams[s.Upstream]
	if !ok || info.incarnation != s.Incarnation {
		return nil, result.New(result.NoUpstream, "upstream %s is gone", s.Upstream)
	}
	exit, err := d.enter(s.Upstream, s.Fence, d.cutoff(r))
	if err != nil {
		return nil, err
	}
	defer exit()
	return d.upstreams.Generate(ctx, info.address, upstream.GenerateRequest{
		Request: x.ID, Model: x.Model, Adapter: s.Adapter, Prompt: x.Prompt, MaxTokens: x.MaxTokens,
		Fence: s.Fence, Incarnation: s.Incarnation, Deadline: d.cutoff(r),
		NoRetry: !r.Idempotent, Resumes: info.resumes,
	})
}

// pieces hands on a stream whose first piece has been read, and reports its
// end once.
type pieces struct {
	stream *upstream.Stream
	first  string
	// err is the error that came with the first piece, or nil.
	err    error
	begun  bool
	ended  bool
	finish func(err error, delivered bool)
}

func (p *pieces) next() (string, error) {
	if !p.begun {
		p.begun = true
		if p.err == nil {
			return p.first, nil
		}
		p.end(p.err)
		return "", p.err
	}
	text, err := p.stream.Next()
	if err != nil {
		p.end(err)
	}
	return text, err
}

// close gives up the rest. The engine has been told to cancel, so the request
// has ended there as far as this daemon can know.
func (p *pieces) close() {
	_ = p.stream.Close()
	p.end(result.New(result.StreamCut, "the caller is gone"))
}

func (p *pieces) end(err error) {
	if p.ended {
		return
	}
	p.ended = true
	if errors.Is(err, io.EOF) {
		err = nil
	}
	p.finish(err, true)
}

// outcomeOf tells the dispatcher how an attempt ended. Whether the upstream
// has crashed is decided by a new connection, since silence is not death.
func (d *Daemon) outcomeOf(name ident.Upstream, inc ident.Incarnation, err error) dispatch.Outcome {
	if err == nil {
		return dispatch.Done
	}
	code := result.CodeOf(err)
	switch {
	case code == result.NoUpstream, code == result.NotFresh:
		return dispatch.NotSent
	case code == result.WrongAnswer:
		return dispatch.WrongAnswer
	case result.Lookup(code).NotRun:
		return dispatch.Refused
	}
	info, ok := d.view.Load().upstreams[name]
	if !ok || info.incarnation != inc || !d.dials(info.address) {
		return dispatch.Crashed
	}
	return dispatch.Truncated
}
