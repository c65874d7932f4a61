package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/caller"
)

// ledgerProposeTimeout limits one proposal of a ledger command. The ledger's
// state machine proposes the command again if needed.
const ledgerProposeTimeout = 2 * time.Second

// callAtMostOnce runs a call that may not be retried. core/coordination/ledger
// decides each step, in a goroutine that continues after the caller has
// disconnected; this function only waits for its reply.
func (d *Daemon) callAtMostOnce(ctx context.Context, v *view, x caller.ServiceRequest, deadline time.Time) (*caller.ServiceReply, error) {
	if x.Key == "" {
		return nil, result.New(result.KeyMissing, "%s %s is not idempotent", x.Method, x.Path)
	}
	if x.Deadline.IsZero() && x.Class == "" {
		return nil, result.New(result.DeadlineMissing, "a call with an idempotency key needs a class or a deadline")
	}
	o := &onceCall{
		d: d, call: x, events: make(chan ledger.Event, 16), routes: make(chan route, 1),
		replies: make(chan onceReply, 1),
		begin: state.Begin{
			Scope: string(x.Service), Key: x.Key, Digest: callDigest(x), Owner: d.self, OwnerIncarnation: d.inc,
			Attempt: ident.Attempt(rand.Text()), ViewIndex: v.state.Index(), ProposedAt: d.wall(), Deadline: deadline.Round(0),
		},
	}
	o.request = ledger.New(o.begin)
	go o.run()
	select {
	case r := <-o.replies:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, result.New(result.StillRunning, "the caller has disconnected: %w", context.Cause(ctx))
	}
}

// onceCall is one attempt at a call that may not be retried. Its goroutine ends
// when the outcome of the attempt is in the ledger.
type onceCall struct {
	d       *Daemon
	call    caller.ServiceRequest
	begin   state.Begin
	request *ledger.Request
	events  chan ledger.Event
	routes  chan route
	replies chan onceReply
	// tried are the replicas that the call was offered to. Another is chosen
	// only if nothing was sent to them.
	tried []ident.Upstream
	// answer is the complete answer of the upstream, if this attempt received
	// it.
	answer *caller.ServiceReply
}

// route is the replica that an attempt may write to, or an error if there is
// none.
type route struct {
	name ident.Upstream
	info upstreamInfo
	err  error
}

// onceReply is the reply to the caller.
type onceReply struct {
	reply *caller.ServiceReply
	err   error
}

// run feeds events to the ledger's state machine until the attempt is done.
func (o *onceCall) run() {
	o.step(ledger.Start{})
	for !o.request.Done() {
		wake := time.NewTimer(time.Until(o.request.Next()))
		select {
		case e := <-o.events:
			o.step(e)
		case r := <-o.routes:
			o.write(r)
		case <-wake.C:
			o.step(ledger.Tick{})
		case <-o.d.ctx.Done():
			wake.Stop()
			return
		}
		wake.Stop()
	}
}

// step feeds one event to the ledger's state machine and executes its effects.
func (o *onceCall) step(e ledger.Event) ledger.Effects {
	eff := o.request.Step(o.d.wall(), e)
	for _, cmd := range eff.Propose {
		go o.propose(cmd)
	}
	if eff.Route {
		go o.route()
	}
	if eff.Reply != nil {
		o.reply(*eff.Reply)
	}
	return eff
}

// send hands an event to the attempt's goroutine.
func (o *onceCall) send(e ledger.Event) {
	select {
	case o.events <- e:
	case <-o.d.ctx.Done():
	}
}

// propose commits a ledger command and reports the outcome, if there is one.
func (o *onceCall) propose(cmd state.Command) {
	ctx, cancel := context.WithTimeout(o.d.ctx, ledgerProposeTimeout)
	defer cancel()
	a, err := o.d.proposer.propose(ctx, cmd)
	_, begins := cmd.(state.Begin)
	switch {
	case begins && a.code == result.Pending:
		// Durable but not yet in force on all daemons; proposed again later.
	case err == nil && begins:
		o.send(ledger.BeginOutcome{Outcome: a.outcome})
	case err == nil:
		o.send(ledger.FinalOutcome{Outcome: a.outcome})
	case begins && result.CodeOf(err) == result.NoLeader:
		v := o.d.view.Load()
		entry := v.state.Entry(o.begin.Scope, o.begin.Key)
		o.send(ledger.BeginRefused{Code: result.NoLeader, Entry: entry, Fresh: v.fresh(o.d.clock()) == nil})
	}
}

// route chooses a replica.
func (o *onceCall) route() {
	ctx, cancel := context.WithDeadline(o.d.ctx, o.begin.Deadline)
	defer cancel()
	name, info, err := o.d.pickReplica(ctx, o.call.Service, o.tried)
	if err == nil {
		if ferr := o.d.view.Load().fresh(o.d.clock()); ferr != nil {
			err = ferr
		}
	}
	select {
	case o.routes <- route{name: name, info: info, err: err}:
	case <-ctx.Done():
	}
}

// write sends the call to a replica if the ledger still allows it.
func (o *onceCall) write(r route) {
	if r.err != nil {
		o.step(ledger.GiveUp{Code: result.CodeOf(r.err)})
		return
	}
	if !o.step(ledger.WriteRequested{}).Write {
		return
	}
	o.tried = append(o.tried, r.name)
	go o.transmit(r)
}

// transmit sends the call and reports the answer, that nothing was sent, or
// that the outcome is unknown.
func (o *onceCall) transmit(r route) {
	ctx, cancel := context.WithDeadline(o.d.ctx, o.begin.Deadline)
	defer cancel()
	reply, err := o.d.sendCall(ctx, r.name, r.info, o.call, false)
	switch {
	case err == nil:
		o.answer = reply
		o.send(ledger.Answered{Answer: ledgerAnswer(reply)})
	case result.CodeOf(err) == result.NoUpstream:
		o.send(ledger.NotSent{})
	default:
		o.d.log.Info("outcome unknown", "service", o.call.Service, "upstream", r.name, "error", err.Error())
		o.send(ledger.AnswerLost{})
	}
}

// reply answers the caller. An answer that this attempt received is passed on
// unchanged; one from the ledger has only the status, content type and body.
func (o *onceCall) reply(r ledger.Reply) {
	switch {
	case r.Code != result.OK:
		o.replies <- onceReply{err: result.New(r.Code, "%s %s, key %s", o.call.Service, o.call.Path, o.call.Key)}
	case o.answer != nil:
		o.replies <- onceReply{reply: o.answer}
	default:
		o.replies <- onceReply{reply: storedReply(r.Answer)}
	}
}

// bodyDroppedHeader marks an answer from the ledger whose body was too large to
// be stored.
const bodyDroppedHeader = "Papayaspoke-Body-Dropped"

// storedReply converts an answer from the ledger.
func storedReply(a state.Answer) *caller.ServiceReply {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.BodyDropped {
		h.Set(bodyDroppedHeader, "true")
	}
	return &caller.ServiceReply{Status: a.Status, Header: h, Body: a.Body}
}

// callDigest identifies the content of a call, so that a key that is reused for
// a different call can be rejected.
func callDigest(x caller.ServiceRequest) string {
	h := sha256.New()
	h.Write([]byte(x.Method + "\x00" + x.Path + "\x00" + x.Header.Get("Content-Type") + "\x00"))
	h.Write(x.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// ledgerAnswer converts an answer for the ledger, without its body if that is
// too large to be stored.
func ledgerAnswer(r *caller.ServiceReply) state.Answer {
	a := state.Answer{Status: r.Status, ContentType: r.Header.Get("Content-Type"), Body: r.Body}
	if len(a.Body) > state.MaxAnswerBody {
		a.Body, a.BodyDropped = nil, true
	}
	return a
}
