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
	// maxAttempts is how many replicas one request is offered to.
	maxAttempts = 4
	// refusalRetryAfter is the Retry-After where no better estimate is known.
	refusalRetryAfter = time.Second
	// defaultMaxTokens limits an answer if the caller sets no limit.
	defaultMaxTokens = 512
)

// serveInfer serves a text generation request, on a replica of this daemon or
// by forwarding it to the owner of one.
func (d *Daemon) serveInfer(ctx context.Context, x caller.InferRequest) (*caller.Answer, error) {
	if x.Key != "" {
		// TODO: run requests to engines with an idempotency key through the
		// ledger. Until then accepting a key would promise at-most-once
		// execution that is not provided.
		return nil, result.New(result.Malformed, "an Idempotency-Key is supported for services only, as text generation may be retried")
	}
	r, err := d.accept(&x)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, d.hardDeadline(r))
	a, err := d.tryOwners(ctx, x, r)
	if err != nil {
		cancel()
		return nil, err
	}
	return a.WithOnClose(cancel), nil
}

// hardDeadline returns when an unfinished answer is aborted. A request that
// misses its target may take as long again, since a late answer is better than
// a truncated one.
func (d *Daemon) hardDeadline(r dispatch.Request) time.Time {
	return hardDeadlineOf(r.Arrived, r.Deadline)
}

// minOverrun is the lower bound of the time that a request may run past its
// target.
const minOverrun = 30 * time.Second

// accept validates a request against the configuration in force and derives its
// deadline from the target of its class.
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
		x.MaxTokens = defaultMaxTokens
	}
	return dispatch.Request{
		ID: x.ID, Class: x.Class, Model: x.Model, Adapter: x.Adapter,
		Arrived: x.Arrival, Deadline: deadline,
		Digest: requestDigest(x), Prefix: x.Prompt.PrefixDigest(),
		Idempotent: x.Key == "", Retried: x.Retried, Suspect: x.Suspect,
	}, nil
}

// resolveModel fills in the base model of the adapter. It rejects models and
// adapters that are not in the catalogue.
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
		return result.New(result.UnknownModel, "adapter %s is for model %q, not %q", x.Adapter, a.Model, x.Model)
	}
	x.Model = a.Model
	return nil
}

// requestDigest identifies requests with the same adapter and prompt for the
// quarantine.
func requestDigest(x *caller.InferRequest) quarantine.Digest {
	return sha256.Sum256([]byte(x.Adapter.String() + "\x00" + x.Prompt.Text()))
}

// tryOwners offers the request to one owner after another until one accepts it.
// It moves on only after refusals that guarantee that the request has not run,
// and after failures that allow a retry. While no replica accepts new work the
// request waits, as long as its target allows, since a replica whose owner has
// failed soon gets another owner.
func (d *Daemon) tryOwners(ctx context.Context, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	if x.ForwardedBy != "" {
		return d.serveOwned(ctx, x, r)
	}
	var tried []ident.Upstream
	var failed error
	for attempt := 1; ; {
		c, err := d.route(ctx, r, tried)
		if err != nil {
			if d.clock().Add(routeRetryInterval).Before(r.Deadline) && sleep(ctx, routeRetryInterval) {
				tried = nil
				continue
			}
			return nil, finalError(failed, err)
		}
		r.Upstream = c.Upstream
		a, err := d.tryOwner(ctx, c.Owner, x, r)
		if err == nil || attempt == maxAttempts || ctx.Err() != nil || !mayTryAnotherOwner(err) {
			return a, finalError(failed, err)
		}
		if !result.Lookup(result.CodeOf(err)).NotRun {
			r.Retried, failed = true, err
			r.Suspect = r.Suspect || result.CodeOf(err) == result.UpstreamFailed
			x.Retried, x.Suspect = true, r.Suspect
		}
		tried = append(tried, c.Upstream)
		attempt++
	}
}

// routeRetryInterval is how often a waiting request looks for a replica that
// accepts new work.
const routeRetryInterval = 50 * time.Millisecond

// finalError returns err. If an earlier attempt that may have run has failed
// and err claims "not run", it returns that failure instead.
func finalError(failed, err error) error {
	if failed != nil && err != nil && result.Lookup(result.CodeOf(err)).NotRun {
		return failed
	}
	return err
}

// tryOwner serves the request on this daemon or forwards it to the owner. A
// forward is abandoned if the owner becomes unreachable before it has answered.
func (d *Daemon) tryOwner(ctx context.Context, owner ident.Daemon, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	if owner == d.self {
		return d.serveOwned(ctx, x, r)
	}
	info, ok := d.view.Load().daemons[owner]
	if !ok {
		return nil, result.New(result.OwnerUnreachable, "daemon %s is not known", owner)
	}
	// The forward's own context must outlive this call if there is an answer.
	fctx, cancel := context.WithCancelCause(ctx)
	answered := make(chan struct{})
	go d.cancelIfUnreachable(fctx, owner, answered, cancel)
	a, err := d.forwarder.Infer(fctx, info.peer, x)
	close(answered)
	if err != nil {
		if errors.Is(context.Cause(fctx), errOwnerUnreachable) {
			err = retryError{cause: result.New(result.UpstreamFailed, "daemon %s: %w", owner, errOwnerUnreachable)}
		}
		cancel(nil)
		return nil, err
	}
	return a.WithOnClose(func() { cancel(nil) }), nil
}

// errOwnerUnreachable is the cause with which a forward is cancelled that has
// not been answered yet.
var errOwnerUnreachable = errors.New("owner has not answered, and does not answer over new connections")

// cancelIfUnreachable cancels a forward to an owner that becomes unreachable,
// so that the request can be retried elsewhere before its target has passed.
func (d *Daemon) cancelIfUnreachable(ctx context.Context, owner ident.Daemon, answered <-chan struct{}, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(routeRetryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			return
		case <-tick.C:
			if i, ok := d.view.Load().daemons[owner]; !ok || i.suspected {
				cancel(errOwnerUnreachable)
				return
			}
		}
	}
}

// mayTryAnotherOwner reports whether another owner may be tried after err.
func mayTryAnotherOwner(err error) bool {
	var retry retryError
	if errors.As(err, &retry) {
		return true
	}
	switch result.CodeOf(err) {
	case result.NoUpstream, result.Draining, result.OwnerUnreachable, result.NotFresh:
		return true
	}
	return false
}

// retryError is a failure after which the request may be retried at another
// owner.
type retryError struct{ cause error }

func (e retryError) Error() string { return e.cause.Error() }
func (e retryError) Unwrap() error { return e.cause }

// route chooses a replica that has not been tried yet.
func (d *Daemon) route(ctx context.Context, r dispatch.Request, tried []ident.Upstream) (routing.Choice, error) {
	var c routing.Choice
	var ok bool
	err := d.ctl.call(ctx, func(now time.Time) {
		c, ok = d.ctl.directory.Route(routing.Query{
			Model: r.Model, Adapter: r.Adapter, DataCentre: d.dataCentre, Exclude: tried,
			Digest: r.Digest, Prefix: r.Prefix, Suspect: d.ctl.isSuspect(now, r),
		})
		if ok {
			d.ctl.directory.RecordSent(c.Upstream, r.Adapter)
		}
	})
	if err != nil {
		return c, result.New(result.TimedOut, "the control loop chose no replica in time: %w", err)
	}
	if !ok {
		return c, result.New(result.NoUpstream, "no replica of model %q accepts new work", r.Model).WithRetryAfter(d.clock().Add(refusalRetryAfter))
	}
	return c, nil
}

// decision is the dispatcher's decision on a waiting request: to send it, or
// the error to answer with.
type decision struct {
	send   dispatch.Send
	isSend bool
	err    error
}

// serveOwned runs a request on a replica that this daemon owns.
func (d *Daemon) serveOwned(ctx context.Context, x caller.InferRequest, r dispatch.Request) (*caller.Answer, error) {
	// After an unresponsive hop, the same request may arrive twice.
	r.ID = ident.Request(string(r.ID) + "/" + formatUint(d.dispatchSeq.Add(1)))
	decisions := make(chan decision, 4)
	if !d.ctl.post(func(now time.Time) { d.ctl.submit(now, r, decisions) }) {
		return nil, result.New(result.Draining, "the daemon is stopping")
	}
	sent := false
	for {
		select {
		case <-ctx.Done():
			d.ctl.post(func(now time.Time) { d.ctl.cancelRequest(now, r.ID) })
			return nil, waitError(ctx, sent)
		case dec := <-decisions:
			if !dec.isSend {
				return nil, dec.err
			}
			sent = true
			if a, ok := d.attempt(ctx, x, r, dec.send); ok {
				return a, nil
			}
		}
	}
}

// waitError returns the error of a request whose context ended while it waited
// for a decision.
func waitError(ctx context.Context, sent bool) error {
	if sent {
		return result.New(result.TimedOut, "%w", context.Cause(ctx))
	}
	return result.New(result.DeadlineHopeless, "the request was not sent: %w", context.Cause(ctx))
}

// attempt sends a request to an engine once. It returns false if the attempt
// ended before any of the answer was delivered; the dispatcher then makes a new
// decision.
func (d *Daemon) attempt(ctx context.Context, x caller.InferRequest, r dispatch.Request, s dispatch.Send) (*caller.Answer, bool) {
	finish := func(err error, delivered bool) {
		out := d.attemptOutcome(s.Upstream, s.Incarnation, err)
		d.ctl.post(func(now time.Time) {
			d.ctl.attemptFinished(now, dispatch.Finished{Request: r.ID, Outcome: out, Delivered: delivered})
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
	p := &chunkReader{stream: stream, first: first, err: err, finish: finish}
	return caller.NewAnswer(x.Adapter, x.Model, s.Upstream, p.next, p.close), true
}

// generate writes a request to an engine, if this daemon still owns it.
func (d *Daemon) generate(ctx context.Context, x caller.InferRequest, r dispatch.Request, s dispatch.Send) (*upstream.Stream, error) {
	v := d.view.Load()
	info, ok := v.upstreams[s.Upstream]
	if !ok || info.incarnation != s.Incarnation {
		return nil, result.New(result.NoUpstream, "upstream %s has left or restarted", s.Upstream)
	}
	endWrite, err := d.beginWrite(s.Upstream, s.Fence, d.hardDeadline(r))
	if err != nil {
		return nil, err
	}
	defer endWrite()
	return d.upstreams.Generate(ctx, info.address, upstream.GenerateRequest{
		Request: x.ID, Model: x.Model, Adapter: s.Adapter, Prompt: x.Prompt, MaxTokens: x.MaxTokens,
		Fence: s.Fence, Incarnation: s.Incarnation, Deadline: d.hardDeadline(r),
		NoRetry: !r.Idempotent, Resumes: info.resumes,
	})
}

// chunkReader returns the chunks of a stream whose first chunk has already been
// read, and calls finish once when the stream ends.
type chunkReader struct {
	stream *upstream.Stream
	first  string
	// err is the error that came with the first chunk, or nil.
	err     error
	started bool
	ended   bool
	finish  func(err error, delivered bool)
}

func (p *chunkReader) next() (string, error) {
	if !p.started {
		p.started = true
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

// close abandons the rest of the stream. Closing the stream cancels the request
// at the engine, so it is treated as ended there.
func (p *chunkReader) close() {
	_ = p.stream.Close()
	p.end(result.New(result.StreamCut, "the caller has disconnected"))
}

func (p *chunkReader) end(err error) {
	if p.ended {
		return
	}
	p.ended = true
	if errors.Is(err, io.EOF) {
		err = nil
	}
	p.finish(err, true)
}

// attemptOutcome classifies the end of an attempt for the dispatcher. A new
// connection decides whether the upstream has crashed, since an upstream that
// does not answer need not be dead.
func (d *Daemon) attemptOutcome(name ident.Upstream, inc ident.Incarnation, err error) dispatch.Outcome {
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
	if !ok || info.incarnation != inc || !d.canConnect(info.address) {
		return dispatch.Crashed
	}
	return dispatch.Truncated
}
