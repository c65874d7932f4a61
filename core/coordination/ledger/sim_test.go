package ledger_test

import (
	"fmt"
	"time"

	"papayaspoke/core/coordination/ledger"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
	"papayaspoke/core/state"
	"pgregory.net/rapid"
)

const tick = 100 * time.Millisecond

var start = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// requestCopy is one copy of a request at a daemon.
type requestCopy struct {
	key     ident.Key
	daemon  int
	request *ledger.Request
	replied bool
	// dead is true once the daemon has crashed.
	dead bool
	// seen is the log index when the copy arrived.
	seen uint64
	// sent is one more than the log index when the write was permitted; 0 if
	// nothing was sent.
	sent uint64
	// outcome is the log index of the last outcome that reached the copy.
	outcome uint64
	// route is true while the copy may look for an upstream.
	route bool
}

// message is a proposal, an outcome or a request in transit.
type message struct {
	arrives time.Time
	deliver func()
}

// faultRates holds for each fault the average number of cases in which it
// happens once.
type faultRates struct {
	lose, duplicate, delay, crash, refuse, notSent, noAnswer, resend int
}

func drawFaultRates(t *rapid.T) faultRates {
	draw := func(name string) int { return rapid.SampledFrom([]int{2, 6, 30, 1 << 30}).Draw(t, name) }
	return faultRates{
		lose: draw("lose"), duplicate: draw("twice"), delay: draw("slow"), crash: 20 * draw("crash"),
		refuse: draw("refuse"), notSent: draw("unsent"), noAnswer: draw("vanish"), resend: 3 * draw("resend"),
	}
}

// sim simulates one replicated ledger, three daemons, callers that send copies
// of requests to any of them, and an upstream that counts its runs.
type sim struct {
	t            *rapid.T
	faultRates   faultRates
	oneIn        func(n int) bool
	now          time.Time
	state        *state.State
	incarnations [3]ident.Incarnation
	// partitioned is true if the last daemon can never reach a leader.
	partitioned bool
	// stale is the view of a daemon that lags behind.
	stale   *state.View
	copies  []*requestCopy
	network []message
	sweeper *ledger.Sweeper
	// runs counts the upstream's runs of each key; answers holds the last answer.
	runs          map[ident.Key]int
	answers       map[ident.Key]int
	codes         map[result.Code]int
	notRunReplies []notRunReply
}

func newSim(t *rapid.T) *sim {
	rngState := rapid.Uint64().Draw(t, "dice")
	return &sim{
		t:          t,
		faultRates: drawFaultRates(t),
		oneIn: func(n int) bool {
			rngState = rngState*6364136223846793005 + 1442695040888963407
			return int(rngState>>33)%n == 0
		},
		now:          start,
		state:        state.New(),
		partitioned:  rapid.Bool().Draw(t, "cut"),
		stale:        state.New().View(),
		incarnations: [3]ident.Incarnation{1, 1, 1},
		sweeper:      ledger.NewSweeper(),
		runs:         map[ident.Key]int{},
		answers:      map[ident.Key]int{},
		codes:        map[result.Code]int{},
	}
}

func name(daemon int) ident.Daemon { return ident.Daemon(fmt.Sprintf("d%d", daemon)) }

// submit sends a copy of a request to a daemon. Copies of one key have the same
// content and deadline.
func (s *sim) submit(key ident.Key, daemon int) {
	c := &requestCopy{key: key, daemon: daemon, seen: s.state.Index()}
	c.request = ledger.New(state.Begin{
		Scope: "booking", Key: key, Digest: "x", Owner: name(daemon), OwnerIncarnation: s.incarnations[daemon],
		Attempt: ident.Attempt(fmt.Sprint("a", len(s.copies))), ViewIndex: c.seen, ProposedAt: s.now, Deadline: start.Add(20 * time.Second),
	})
	s.copies = append(s.copies, c)
	s.stepCopy(c, ledger.Start{})
}

// stepCopy passes an event to a copy and carries out the effects.
func (s *sim) stepCopy(c *requestCopy, e ledger.Event) {
	if c.dead {
		return
	}
	out := c.request.Step(s.now, e)
	for _, command := range out.Propose {
		s.propose(c, command)
	}
	if out.Route {
		c.route = true
	}
	if out.Write {
		s.write(c)
	}
	if out.Reply != nil {
		s.checkReply(c, *out.Reply)
	}
}

// deliverUnreliably calls f later, possibly never or twice.
func (s *sim) deliverUnreliably(f func()) {
	if s.oneIn(s.faultRates.lose) {
		return
	}
	s.deliverLater(f)
	if s.oneIn(s.faultRates.duplicate) {
		s.deliverLater(f)
	}
}

// deliverLater calls f after a random delay.
func (s *sim) deliverLater(f func()) {
	at := s.now
	for s.oneIn(2) {
		at = at.Add(tick)
	}
	for s.oneIn(s.faultRates.delay) {
		at = at.Add(20 * tick)
		if at.Sub(s.now) > 100*tick {
			break
		}
	}
	s.network = append(s.network, message{arrives: at, deliver: f})
}

// propose applies a command later and returns its outcome to the copy. A Begin
// may be refused instead.
func (s *sim) propose(c *requestCopy, command state.Command) {
	_, begin := command.(state.Begin)
	if begin && (c.daemon == 2 && s.partitioned || s.oneIn(s.faultRates.refuse)) {
		fresh, view := s.oneIn(2), s.stale
		if fresh {
			view = s.state.View()
		}
		c.outcome = view.Index()
		s.stepCopy(c, ledger.BeginRefused{Code: result.NoLeader, Entry: view.Entry("booking", c.key), Fresh: fresh})
		return
	}
	s.deliverUnreliably(func() {
		outcome := s.state.Apply(s.state.Index()+1, command)
		index := s.state.Index()
		s.deliverUnreliably(func() {
			c.outcome = index
			if begin {
				s.stepCopy(c, ledger.BeginOutcome{Outcome: outcome})
				return
			}
			s.stepCopy(c, ledger.FinalOutcome{Outcome: outcome})
		})
	})
}

// write sends the request to the upstream, which may run it at any later time,
// even after the daemon has given up or crashed.
func (s *sim) write(c *requestCopy) {
	if s.oneIn(s.faultRates.notSent) {
		s.deliverLater(func() { s.stepCopy(c, ledger.NotSent{}) })
		return
	}
	c.sent = s.state.Index() + 1
	s.checkNotRun(c.key)
	if s.oneIn(s.faultRates.noAnswer) {
		s.deliverLater(func() { s.stepCopy(c, ledger.AnswerLost{}) })
		return
	}
	s.deliverLater(func() {
		s.runs[c.key]++
		s.answers[c.key] = len(s.network) + 1000*s.runs[c.key]
		if s.runs[c.key] > 1 {
			s.t.Fatalf("%s ran twice", c.key)
		}
		answer := state.Answer{Status: s.answers[c.key]}
		if s.oneIn(s.faultRates.noAnswer) {
			s.deliverLater(func() { s.stepCopy(c, ledger.AnswerLost{}) })
		}
		s.deliverUnreliably(func() { s.stepCopy(c, ledger.Answered{Answer: answer}) })
	})
}

// checkReply checks a reply to a caller.
func (s *sim) checkReply(c *requestCopy, r ledger.Reply) {
	if c.replied {
		s.t.Fatalf("a copy of %s is answered twice", c.key)
	}
	c.replied = true
	s.codes[r.Code]++
	if r.Code == result.OK && (s.runs[c.key] != 1 || r.Answer.Status != s.answers[c.key]) {
		s.t.Fatalf("%s ran %d times with answer %d; the caller got %d", c.key, s.runs[c.key], s.answers[c.key], r.Answer.Status)
	}
	if result.Lookup(r.Code).NotRun {
		s.notRunReplies = append(s.notRunReplies, notRunReply{key: c.key, code: r.Code, index: c.outcome, copy: c})
		s.checkNotRun(c.key)
	}
}

// notRunReply is a reply that promised not run, and the log index that it is
// based on.
type notRunReply struct {
	key   ident.Key
	code  result.Code
	index uint64
	copy  *requestCopy
}

// checkNotRun checks that a key with the reply not run was not sent before, and
// that no copy that had arrived by then is sent afterwards. If the ledger could
// not be written, only the former is guaranteed.
func (s *sim) checkNotRun(key ident.Key) {
	for _, n := range s.notRunReplies {
		for _, o := range s.copies {
			if n.key != key || o.key != key || o.sent == 0 {
				continue
			}
			superseded := n.code != result.NoLeader && o.seen < n.index
			if o == n.copy || superseded || o.sent <= n.index {
				s.t.Fatalf("%s got the reply not run (%d) at %d, but a copy that arrived at %d was sent at %d", key, n.code, n.index, o.seen, o.sent-1)
			}
		}
	}
}

// step advances time by one tick.
func (s *sim) step() {
	s.now = s.now.Add(tick)
	s.deliver()
	if s.oneIn(50) {
		s.stale = s.state.View()
	}
	for i := range s.incarnations {
		if s.oneIn(s.faultRates.crash) {
			s.crash(i)
		}
	}
	for _, c := range s.copies {
		if next := c.request.Next(); !next.IsZero() && !s.now.Before(next) {
			s.stepCopy(c, ledger.Tick{})
		}
		if s.oneIn(50 * s.faultRates.notSent) {
			s.stepCopy(c, ledger.GiveUp{Code: result.NoUpstream})
		}
		if c.route && !c.dead {
			c.route = false
			s.route(c)
		}
	}
	var alive []state.AttemptOwner
	for i, inc := range s.incarnations {
		alive = append(alive, state.AttemptOwner{Owner: name(i), Incarnation: inc})
	}
	for _, command := range s.sweeper.Step(s.now, s.now, s.state.View(), alive) {
		s.deliverUnreliably(func() { s.state.Apply(s.state.Index()+1, command) })
	}
}

// route selects an upstream or gives up.
func (s *sim) route(c *requestCopy) {
	if s.oneIn(s.faultRates.notSent) {
		s.stepCopy(c, ledger.GiveUp{Code: result.NoUpstream})
		return
	}
	s.stepCopy(c, ledger.WriteRequested{})
}

// deliver delivers the messages that have arrived.
func (s *sim) deliver() {
	due := s.network
	s.network = nil
	for _, m := range due {
		if m.arrives.After(s.now) {
			s.network = append(s.network, m)
			continue
		}
		m.deliver()
	}
}

// crash ends a daemon's run with all its copies, and starts a new run.
func (s *sim) crash(daemon int) {
	s.incarnations[daemon]++
	for _, c := range s.copies {
		if c.daemon == daemon {
			c.dead = true
		}
	}
}
