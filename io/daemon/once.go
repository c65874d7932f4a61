package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"papayaspoke/io/protocol/caller"
)

// settleTimeout bounds the proposals that tell the ledger how an attempt
// ended. They go on after the caller is gone.
const settleTimeout = 10 * time.Second

// callOnce runs a call that may not be repeated. Begin is durable before the
// first byte is sent, so whatever happens to this daemon, no other will send
// it again under the same key.
func (d *Daemon) callOnce(ctx context.Context, x caller.Call, deadline time.Time) (*caller.Reply, error) {
	if x.Key == "" {
		return nil, result.New(result.KeyMissing, "%s %s may not be repeated", x.Method, x.Path)
	}
	if x.Deadline.IsZero() && x.Class == "" {
		return nil, result.New(result.DeadlineMissing, "give a class or a deadline")
	}
	b := state.Begin{
		Scope: string(x.Service), Key: x.Key, Digest: callDigest(x), Owner: d.self, OwnerIncarnation: d.inc,
		Attempt: ident.Attempt(rand.Text()), At: d.wall(), Deadline: deadline.Round(0),
	}
	begun, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a, err := d.proposer.propose(begun, b)
	if result.CodeOf(err) == result.Unknown {
		// The grant may have been given and lost. Nothing was sent, and only
		// an Abandon in the ledger lets that be said.
		return nil, d.abandon(b, result.New(result.NoLeader, "the ledger did not answer in time"))
	}
	if err != nil {
		return nil, err
	}
	if !a.outcome.Granted {
		return ledgerReply(a.outcome)
	}
	return d.attempt(begun, x, b)
}

func callDigest(x caller.Call) string {
	h := sha256.New()
	h.Write([]byte(x.Method + "\x00" + x.Path + "\x00" + x.Header.Get("Content-Type") + "\x00"))
	h.Write(x.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// ledgerReply tells a caller what the ledger knows of its key.
func ledgerReply(o state.Outcome) (*caller.Reply, error) {
	if err := o.Err(); err != nil {
		return nil, err
	}
	if o.Entry == nil || o.Entry.Phase != state.Finished {
		return nil, result.New(result.Internal, "the ledger gave neither a grant nor an answer")
	}
	a := o.Entry.Answer
	h := http.Header{}
	if a.Type != "" {
		h.Set("Content-Type", a.Type)
	}
	return &caller.Reply{Status: a.Status, Header: h, Body: a.Body}, nil
}

// attempt sends a call that was granted. It tries another replica only while
// provably nothing was sent.
func (d *Daemon) attempt(ctx context.Context, x caller.Call, b state.Begin) (*caller.Reply, error) {
	var tried []ident.Upstream
	for {
		name, info, err := d.pickService(ctx, x.Service, tried)
		if err != nil {
			return nil, d.abandon(b, err)
		}
		if now := d.clock(); !now.Before(b.Deadline) {
			return nil, d.abandon(b, result.New(result.DeadlineHopeless, "the deadline passed before it was sent"))
		}
		if err := d.view.Load().fresh(d.clock()); err != nil {
			return nil, d.abandon(b, err)
		}
		reply, err := d.sendCall(ctx, name, info, x, false)
		if err == nil {
			d.settle(state.Finish{Scope: b.Scope, Key: b.Key, Attempt: b.Attempt, Answer: ledgerAnswer(reply)})
			return reply, nil
		}
		if result.CodeOf(err) != result.NoUpstream {
			d.settle(state.MarkUnknown{Scope: b.Scope, Key: b.Key, Attempt: b.Attempt})
			return nil, result.New(result.Unknown, "%w", err)
		}
		tried = append(tried, name)
	}
}

func ledgerAnswer(r *caller.Reply) state.Answer {
	a := state.Answer{Status: r.Status, Type: r.Header.Get("Content-Type"), Body: r.Body}
	if len(a.Body) > state.MaxBody {
		a.Body, a.Dropped = nil, true
	}
	return a
}

// settle tells the ledger how an attempt ended. The answer goes to the caller
// once the ledger has it or once that takes too long: then a resend is told
// that the outcome is unknown, which is true and safe.
func (d *Daemon) settle(cmd state.Command) {
	ctx, cancel := context.WithTimeout(d.ctx, settleTimeout)
	defer cancel()
	if _, err := d.proposer.propose(ctx, cmd); err != nil {
		d.log.Info("the ledger did not take the end of an attempt", "command", describe(cmd), "error", err.Error())
	}
}

// abandon frees the key of an attempt that has sent nothing. Only if the
// ledger confirms that may the caller be told "not run", by the reason given.
func (d *Daemon) abandon(b state.Begin, reason error) error {
	ctx, cancel := context.WithTimeout(d.ctx, settleTimeout)
	defer cancel()
	a, err := d.proposer.propose(ctx, state.Abandon{Scope: b.Scope, Key: b.Key, Attempt: b.Attempt, Deadline: b.Deadline})
	if err != nil || a.outcome.Code != result.OK {
		return result.New(result.Unknown, "the key could not be freed: %w", reason)
	}
	if !result.Lookup(result.CodeOf(reason)).NotRun {
		return result.New(result.DeadlineHopeless, "not sent: %w", reason)
	}
	return reason
}
