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

// copyOf is one copy of a request at a daemon.
type copyOf struct {
	key     ident.Key
	daemon  int
	request *ledger.Request
	replied bool
	// dead is true once the daemon has crashed.
	dead bool
	// seen is the log index when the copy arrived.
	seen uint64
	// sent is the log index, plus one, when the write was allowed; 0 if nothing
	// was sent.
	sent uint64
	// outcome is the log index of the last outcome that reached the copy.
	outcome uint64
	// route is true while the copy may look for an upstream.
	route bool
}

// message is a proposal, an outcome or a request on its way.
type message struct {
	arrives time.Time
	deliver func()
}

// rates holds for each fault that it happens once in so many cases.
type rates struct {
	lose, twice, slow, crash, refuse, unsent, vanish, resend int
}

func drawRates(t *rapid.T) rates {
	draw := func(name string) int { return rapid.SampledFrom([]int{2, 6, 30, 1 << 30}).Draw(t, name) }
	return rates{
		lose: draw("lose"), twice: draw("twice"), slow: draw("slow"), crash: 20 * draw("crash"),
		refuse: draw("refuse"), unsent: draw("unsent"), vanish: draw("vanish"), resend: 3 * draw("resend"),
	}
}

// sim has one replicated ledger, three daemons, callers that send copies of
// requests to any of them, and an upstream that counts what it runs.
type sim struct {
	t            *rapid.T
	rates        rates
	chaos        func(n int) bool
	now          time.Time
	state        *state.State
	incarnations [3]ident.Incarnation
	// cut is true if the last daemon never reaches a leader.
	cut bool
	// stale is the view of a daemon that has fallen behind.
	stale   *state.View
	copies  []*copyOf
	network []message
	keeper  *ledger.Sweeper
	// runs counts the upstream's runs of each key; answers holds the last.
	runs    map[ident.Key]int
	answers map[ident.Key]int
	codes   map[result.Code]int
	notRun  []told
}

func newSim(t *rapid.T) *sim {
	dice := rapid.Uint64().Draw(t, "dice")
	return &sim{
		t:     t,
		rates: drawRates(t),
		chaos: func(n int) bool {
			dice = dice*6364136223846793005 + 1442695040888963407
			return int(dice>>33)%n == 0
		},
		now:          start,
		state:        state.New(),
		cut:          rapid.Bool().Draw(t, "cut"),
		stale:        state.New().View(),
		incarnations: [3]ident.Incarnation{1, 1, 1},
		keeper:       ledger.NewSweeper(),
		runs:         map[ident.Key]int{},
		answers:      map[ident.Key]int{},
		codes:        map[result.Code]int{},
	}
}

func name(daemon int) ident.Daemon { return ident.Daemon(fmt.Sprintf("d%d", daemon)) }

// submit lets a caller send a copy of a request to a daemon. Copies of one key
// have the same content and deadline.
func (s *sim) submit(key ident.Key, daemon int) {
	c := &copyOf{key: key, daemon: daemon, seen: s.state.Index()}
	c.request = ledger.New(state.Begin{
		Scope: "booking", Key: key, Digest: "x", Owner: name(daemon), OwnerIncarnation: s.incarnations[daemon],
		Attempt: ident.Attempt(fmt.Sprint("a", len(s.copies))), ViewIndex: c.seen, ProposedAt: s.now, Deadline: start.Add(20 * time.Second),
	})
	s.copies = append(s.copies, c)
	s.event(c, ledger.Start{})
}

// event steps a copy and carries out the effects.
func (s *sim) event(c *copyOf, e ledger.Event) {
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
		s.check(c, *out.Reply)
	}
}

// later delivers f after a while, perhaps never, perhaps twice.
func (s *sim) later(f func()) {
	if s.chaos(s.rates.lose) {
		return
	}
	s.after(f)
	if s.chaos(s.rates.twice) {
		s.after(f)
	}
}

func (s *sim) after(f func()) {
	at := s.now
	for s.chaos(2) {
		at = at.Add(tick)
	}
	for s.chaos(s.rates.slow) {
		at = at.Add(20 * tick)
		if at.Sub(s.now) > 100*tick {
			break
		}
	}
	s.network = append(s.network, message{arrives: at, deliver: f})
}

func (s *sim) propose(c *copyOf, command state.Command) {
	_, begin := command.(state.Begin)
	if begin && (c.daemon == 2 && s.cut || s.chaos(s.rates.refuse)) {
		fresh, view := s.chaos(2), s.stale
		if fresh {
			view = s.state.View()
		}
		c.outcome = view.Index()
		s.event(c, ledger.BeginRefused{Code: result.NoLeader, Entry: view.Entry("booking", c.key), Fresh: fresh})
		return
	}
	s.later(func() {
		outcome := s.state.Apply(s.state.Index()+1, command)
		index := s.state.Index()
		s.later(func() {
			c.outcome = index
			if begin {
				s.event(c, ledger.BeginOutcome{Outcome: outcome})
				return
			}
			s.event(c, ledger.FinalOutcome{Outcome: outcome})
		})
	})
}

// write hands the request to the network; the upstream may run it at any later
// time, also after the daemon has given up or crashed.
func (s *sim) write(c *copyOf) {
	if s.chaos(s.rates.unsent) {
		s.after(func() { s.event(c, ledger.NotSent{}) })
		return
	}
	c.sent = s.state.Index() + 1
	s.checkNotRun(c.key)
	if s.chaos(s.rates.vanish) {
		s.after(func() { s.event(c, ledger.AnswerLost{}) })
		return
	}
	s.after(func() {
		s.runs[c.key]++
		s.answers[c.key] = len(s.network) + 1000*s.runs[c.key]
		if s.runs[c.key] > 1 {
			s.t.Fatalf("%s ran twice", c.key)
		}
		answer := state.Answer{Status: s.answers[c.key]}
		if s.chaos(s.rates.vanish) {
			s.after(func() { s.event(c, ledger.AnswerLost{}) })
		}
		s.later(func() { s.event(c, ledger.Answered{Answer: answer}) })
	})
}

// check looks at what a caller is told.
func (s *sim) check(c *copyOf, r ledger.Reply) {
	if c.replied {
		s.t.Fatalf("copy of %s is answered twice", c.key)
	}
	c.replied = true
	s.codes[r.Code]++
	if r.Code == result.OK && (s.runs[c.key] != 1 || r.Answer.Status != s.answers[c.key]) {
		s.t.Fatalf("%s ran %d times with answer %d; told %d", c.key, s.runs[c.key], s.answers[c.key], r.Answer.Status)
	}
	if result.Lookup(r.Code).NotRun {
		s.notRun = append(s.notRun, told{key: c.key, code: r.Code, index: c.outcome, copy: c})
		s.checkNotRun(c.key)
	}
}

// told is what a caller was told, and the log index that it rests on.
type told struct {
	key   ident.Key
	code  result.Code
	index uint64
	copy  *copyOf
}

// checkNotRun checks that a key that was told not run was not sent before, and
// that no copy that had arrived by then is sent afterwards. Where the ledger
// could not be written, only the former holds.
func (s *sim) checkNotRun(key ident.Key) {
	for _, n := range s.notRun {
		for _, o := range s.copies {
			if n.key != key || o.key != key || o.sent == 0 {
				continue
			}
			barred := n.code != result.NoLeader && o.seen < n.index
			if o == n.copy || barred || o.sent <= n.index {
				s.t.Fatalf("%s was told not run (%d) at %d, but a copy of %d was sent at %d", key, n.code, n.index, o.seen, o.sent-1)
			}
		}
	}
}

// step moves time on by one tick.
func (s *sim) step() {
	s.now = s.now.Add(tick)
	s.deliver()
	if s.chaos(50) {
		s.stale = s.state.View()
	}
	for i := range s.incarnations {
		if s.chaos(s.rates.crash) {
			s.crash(i)
		}
	}
	for _, c := range s.copies {
		if next := c.request.Next(); !next.IsZero() && !s.now.Before(next) {
			s.event(c, ledger.Tick{})
		}
		if s.chaos(50 * s.rates.unsent) {
			s.event(c, ledger.GiveUp{Code: result.NoUpstream})
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
	for _, command := range s.keeper.Step(s.now, s.now, s.state.View(), alive) {
		s.later(func() { s.state.Apply(s.state.Index()+1, command) })
	}
}

// route finds an upstream or gives up.
func (s *sim) route(c *copyOf) {
	if s.chaos(s.rates.unsent) {
		s.event(c, ledger.GiveUp{Code: result.NoUpstream})
		return
	}
	s.event(c, ledger.WriteRequested{})
}

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

func (s *sim) crash(daemon int) {
	s.incarnations[daemon]++
	for _, c := range s.copies {
		if c.daemon == daemon {
			c.dead = true
		}
	}
}
