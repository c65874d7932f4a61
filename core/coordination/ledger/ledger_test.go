package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestAtMostOnce sends copies of requests through three daemons, with
// proposals and outcomes lost, doubled and late, daemons that crash, and an
// upstream that runs a request late or does not answer. It checks that no key
// runs twice, that every answer is that of the one run, that nobody is told
// not run after bytes were sent, and that every copy at a living daemon is
// answered in the end.
func TestAtMostOnce(t *testing.T) {
	codes := map[result.Code]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range 250 {
			if s.chaos(s.rates.resend) || len(s.copies) == 0 {
				s.submit(ident.Key([]string{"k", "l"}[len(s.copies)/3%2]), int(s.now.UnixMilli()/100)%3)
			}
			s.step()
		}
		s.cut = false
		s.rates = rates{lose: 1 << 30, twice: 1 << 30, slow: 1 << 30, crash: 1 << 30, refuse: 1 << 30, unsent: 1 << 30, vanish: 1 << 30, resend: 1 << 30}
		for range 200 {
			s.step()
		}
		for _, c := range s.copies {
			assert.Assert(t, c.dead || c.replied, "a copy of %s was never answered", c.key)
			assert.Assert(t, c.dead || c.request.Done(), "a copy of %s never ends", c.key)
		}
		assert.Equal(t, len(s.state.View().AttemptOwners()), 0, "an attempt of a dead daemon runs on")
		assert.NilError(t, s.state.Check())
		for code, n := range s.codes {
			codes[code] += n
		}
	})
	for _, code := range []result.Code{result.OK, result.Unknown, result.StillRunning, result.NoLeader, result.DeadlineHopeless, result.Unconfirmed} {
		assert.Assert(t, codes[code] > 0, "no copy was told %d", code)
	}
}

// ledgerOf drives requests by hand against a state in which every proposal is
// applied at once.
type ledgerOf struct {
	state *state.State
	now   time.Time
}

func (l *ledgerOf) begin(attempt, owner string) *ledger.Request {
	return ledger.New(state.Begin{
		Scope: "s", Key: "k", Digest: "x", Owner: ident.Daemon(owner), OwnerIncarnation: 1,
		Attempt: ident.Attempt(attempt), ViewIndex: l.state.Index(), ProposedAt: l.now, Deadline: start.Add(time.Minute),
	})
}

// run takes events in turn; what they propose is applied, and the outcomes are
// fed back. It returns the first reply.
func (l *ledgerOf) run(r *ledger.Request, events ...ledger.Event) *ledger.Reply {
	var reply *ledger.Reply
	for _, e := range events {
		out := r.Step(l.now, e)
		if reply == nil {
			reply = out.Reply
		}
		for _, c := range out.Propose {
			outcome := l.state.Apply(l.state.Index()+1, c)
			var next ledger.Event = ledger.FinalOutcome{Outcome: outcome}
			if _, ok := c.(state.Begin); ok {
				next = ledger.BeginOutcome{Outcome: outcome}
			}
			if got := l.run(r, next); reply == nil {
				reply = got
			}
		}
	}
	return reply
}

// TestCrash lets a daemon crash at each point of a request, and sends the
// request again through another daemon after the first one's attempts were
// made unknown.
func TestCrash(t *testing.T) {
	answer := ledger.Answered{Answer: state.Answer{Status: 201}}
	cases := map[string]struct {
		events []ledger.Event
		code   result.Code
		route  bool
	}{
		"before the begin":   {nil, 0, true},
		"begun":              {[]ledger.Event{ledger.Start{}}, result.Unknown, false},
		"sent":               {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}}, result.Unknown, false},
		"not sent":           {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, ledger.NotSent{}}, result.Unknown, false},
		"abandoned":          {[]ledger.Event{ledger.Start{}, ledger.GiveUp{Code: result.NoUpstream}}, 0, true},
		"not sent, given up": {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, ledger.NotSent{}, ledger.GiveUp{Code: result.NoUpstream}}, 0, true},
		"sent, given up":     {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, ledger.GiveUp{Code: result.NoUpstream}}, result.Unknown, false},
		"lost":               {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, ledger.AnswerLost{}}, result.Unknown, false},
		"answered":           {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, answer}, result.OK, false},
		"lost, answered":     {[]ledger.Event{ledger.Start{}, ledger.WriteRequested{}, ledger.AnswerLost{}, answer}, result.Unknown, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &ledgerOf{state: state.New(), now: start}
			l.run(l.begin("a", "d"), c.events...)
			l.state.Apply(l.state.Index()+1, state.Orphan{Owner: "d", Incarnation: 1})
			again := l.begin("b", "e")
			reply := l.run(again, ledger.Start{})
			write := again.Step(l.now, ledger.WriteRequested{}).Write
			assert.Equal(t, write, c.route, "may write")
			if c.route {
				assert.Assert(t, reply == nil)
				return
			}
			assert.Equal(t, reply.Code, c.code)
			if c.code == result.OK {
				assert.Equal(t, reply.Answer.Status, 201)
			}
		})
	}
}

// TestReply looks at the first thing that a caller is told.
func TestReply(t *testing.T) {
	running := &state.Entry{Phase: state.Running}
	refused := func(fresh bool, e *state.Entry) ledger.BeginRefused {
		return ledger.BeginRefused{Code: result.NoLeader, Entry: e, Fresh: fresh}
	}
	cases := map[string]struct {
		event ledger.Event
		wait  time.Duration
		code  result.Code
	}{
		"no leader":            {refused(true, nil), ledger.Patience, result.NoLeader},
		"no leader, not fresh": {refused(false, nil), ledger.Patience, result.Unconfirmed},
		"no leader, running":   {refused(true, running), ledger.Patience, result.StillRunning},
		"key reused":           {ledger.BeginOutcome{Outcome: state.Outcome{Code: result.KeyReused}}, 0, result.KeyReused},
		"expired":              {ledger.BeginOutcome{Outcome: state.Outcome{Code: result.KeyExpired}}, 0, result.KeyExpired},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &ledgerOf{state: state.New(), now: start}
			r := l.begin("a", "d")
			assert.Equal(t, len(r.Step(start, ledger.Start{}).Propose), 1)
			out := r.Step(start.Add(c.wait), c.event)
			assert.Assert(t, out.Reply != nil)
			assert.Equal(t, out.Reply.Code, c.code)
			assert.Assert(t, r.Done())
		})
	}
}

func TestWriteIsAllowedOnce(t *testing.T) {
	l := &ledgerOf{state: state.New(), now: start}
	r := l.begin("a", "d")
	assert.Assert(t, !r.Step(l.now, ledger.WriteRequested{}).Write)
	l.run(r, ledger.Start{})
	assert.Assert(t, r.Step(l.now, ledger.WriteRequested{}).Write)
	assert.Assert(t, !r.Step(l.now, ledger.WriteRequested{}).Write)
	granted := l.state.Apply(l.state.Index()+1, state.Begin{
		Scope: "s", Key: "k", Digest: "x", Owner: "d", OwnerIncarnation: 1, Attempt: "a", ProposedAt: start, Deadline: start.Add(time.Minute),
	})
	assert.Assert(t, granted.Granted)
	assert.Assert(t, !r.Step(l.now, ledger.BeginOutcome{Outcome: granted}).Route)
	assert.Assert(t, !r.Step(l.now, ledger.WriteRequested{}).Write)
}

// TestSecondCopyIsAbandoned checks that a Begin that was proposed twice does
// not leave a grant behind that nobody drives.
func TestSecondCopyIsAbandoned(t *testing.T) {
	l := &ledgerOf{state: state.New(), now: start}
	r := l.begin("a", "d")
	second := r.Step(l.now, ledger.Start{}).Propose[0]
	assert.Equal(t, len(r.Step(l.now.Add(ledger.ProposalRetry), ledger.Tick{}).Propose), 1)
	reply := l.run(r, ledger.BeginOutcome{Outcome: state.Outcome{Code: result.Overloaded}})
	assert.Equal(t, reply.Code, result.Overloaded)
	assert.Assert(t, r.Done())
	assert.Assert(t, !l.state.Apply(l.state.Index()+1, second).Granted)
}

func TestNoWriteAfterDeadline(t *testing.T) {
	l := &ledgerOf{state: state.New(), now: start}
	r := l.begin("a", "d")
	l.run(r, ledger.Start{})
	l.now = start.Add(time.Minute)
	out := r.Step(l.now, ledger.WriteRequested{})
	assert.Assert(t, !out.Write)
	assert.Equal(t, len(out.Propose), 1)
}

func TestKeeper(t *testing.T) {
	s := state.New()
	for i := range 3 {
		s.Apply(uint64(i+1), state.Begin{
			Scope: "s", Key: ident.Key(fmt.Sprint("k", i)), Digest: "x", Owner: ident.Daemon(fmt.Sprint("d", i)), OwnerIncarnation: 1,
			Attempt: "a", ProposedAt: start, Deadline: start.Add(time.Minute),
		})
	}
	k := ledger.NewSweeper()
	alive := []state.AttemptOwner{{Owner: "d0", Incarnation: 1}, {Owner: "d1", Incarnation: 2}}
	assert.Equal(t, len(k.Step(start, start, s.View(), alive)), 0)
	got := k.Step(start.Add(ledger.OrphanGrace), start, s.View(), alive)
	assert.DeepEqual(t, got, []state.Command{state.Orphan{Owner: "d1", Incarnation: 1}, state.Orphan{Owner: "d2", Incarnation: 1}})

	forgotten := start.Add(time.Minute + ledger.Retention + ledger.ClockBound)
	assert.Equal(t, len(k.Step(start, forgotten.Add(-1), s.View(), alive)), 0)
	got = k.Step(start, forgotten, s.View(), alive)
	assert.DeepEqual(t, got, []state.Command{state.Expire{Until: start.Add(time.Minute)}})
	s.Apply(4, got[0])
	assert.Equal(t, s.View().CountEntries(), 0)
}
