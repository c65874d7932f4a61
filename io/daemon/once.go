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

// proposeOnceTimeout bounds one proposal of a ledger command; the request
// proposes again by itself.
const proposeOnceTimeout = 2 * time.Second

// callOnce runs a call that may not be repeated. What happens when is decided
// by core/coordination/ledger; this goroutine only waits, while the request
// goes on after its caller is gone.
func (d *Daemon) callOnce(ctx context.Context, v *view, x caller.ServiceRequest, deadline time.Time) (*caller.ServiceReply, error) {
	if x.Key == "" {
		return nil, result.New(result.KeyMissing, "%s %s may not be repeated", x.Method, x.Path)
	}
	if x.Deadline.IsZero() && x.Class == "" {
		return nil, result.New(result.DeadlineMissing, "give a class or a deadline")
	}
	o := &once{
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
		return nil, result.New(result.StillRunning, "the caller is gone: %w", context.Cause(ctx))
	}
}

// once is one attempt at a call that may not be repeated. Its goroutine ends
// when the ledger knows how the attempt ended.
type once struct {
	d       *Daemon
	call    caller.ServiceRequest
	begin   state.Begin
	request *ledger.Request
	events  chan ledger.Event
	routes  chan route
	replies chan onceReply
	// tried are the replicas that provably got nothing.
	tried []ident.Upstream
	// answer is the upstream's own, whole, if it came to this attempt.
	answer *caller.ServiceReply
}

// route is where an attempt may write, or why it can not.
type route struct {
	name ident.Upstream
	info upstreamInfo
	err  error
}

type onceReply struct {
	reply *caller.ServiceReply
	err   error
}

func (o *once) run() {
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

func (o *once) step(e ledger.Event) ledger.Effects {
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
func (o *once) send(e ledger.Event) {
	select {
	case o.events <- e:
	case <-o.d.ctx.Done():
	}
}

func (o *once) propose(cmd state.Command) {
	ctx, cancel := context.WithTimeout(o.d.ctx, proposeOnceTimeout)
	defer cancel()
	a, err := o.d.proposer.propose(ctx, cmd)
	_, begins := cmd.(state.Begin)
	switch {
	case begins && a.code == result.Pending:
		// Not yet in force: the request proposes it again.
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

func (o *once) route() {
	ctx, cancel := context.WithDeadline(o.d.ctx, o.begin.Deadline)
	defer cancel()
	name, info, err := o.d.pickService(ctx, o.call.Service, o.tried)
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

func (o *once) write(r route) {
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

func (o *once) transmit(r route) {
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

// reply tells the caller. The upstream's own answer goes out as it came; a
// stored one has the status, the type and the body.
func (o *once) reply(r ledger.Reply) {
	switch {
	case r.Code != result.OK:
		o.replies <- onceReply{err: result.New(r.Code, "%s %s, key %s", o.call.Service, o.call.Path, o.call.Key)}
	case o.answer != nil:
		o.replies <- onceReply{reply: o.answer}
	default:
		o.replies <- onceReply{reply: storedReply(r.Answer)}
	}
}

// droppedHeader marks a stored answer whose body was too large to keep.
const droppedHeader = "Papayaspoke-Body-Dropped"

func storedReply(a state.Answer) *caller.ServiceReply {
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if a.BodyDropped {
		h.Set(droppedHeader, "true")
	}
	return &caller.ServiceReply{Status: a.Status, Header: h, Body: a.Body}
}

func callDigest(x caller.ServiceRequest) string {
	h := sha256.New()
	h.Write([]byte(x.Method + "\x00" + x.Path + "\x00" + x.Header.Get("Content-Type") + "\x00"))
	h.Write(x.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func ledgerAnswer(r *caller.ServiceReply) state.Answer {
	a := state.Answer{Status: r.Status, ContentType: r.Header.Get("Content-Type"), Body: r.Body}
	if len(a.Body) > state.MaxAnswerBody {
		a.Body, a.BodyDropped = nil, true
	}
	return a
}
