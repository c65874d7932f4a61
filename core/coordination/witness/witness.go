package witness

import (
	"math/rand/v2"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// FreshFor is how long a confirmation by a majority lets a daemon take new
// work, counted from when the question was sent. What is visible is therefore
// in force wherever work is taken once FreshFor has passed.
const FreshFor = 1500 * time.Millisecond

const (
	pollInterval     = 400 * time.Millisecond
	recoveryInterval = 200 * time.Millisecond
	widenAfter       = 150 * time.Millisecond
	fetchTimeout     = 300 * time.Millisecond
	offerTimeout     = 300 * time.Millisecond
	readInterval     = 500 * time.Millisecond
	noopInterval     = time.Second
)

// Witness decides, for one daemon, what it has to apply, what is visible and
// until when the daemon may take new work. It is not safe for concurrent use.
type Witness struct {
	self ident.Daemon
	// follower is true if freshness is not sought; see [Config].
	follower bool
	// heardAt is when a witness answered last.
	heardAt time.Time
	// inc is this run's incarnation. It only rises, and only before standing.
	inc  ident.Incarnation
	rand *rand.Rand

	// handed is the last index given to the state machine, applied the last
	// that it has carried out: applied <= handed, and neither ever falls.
	handed, applied uint64
	// tail ends at handed.
	tail tail
	// witnesses are those of the state at applied.
	witnesses Witnesses
	// visible is the greatest index known to be visible; it never falls.
	visible uint64

	// standing is true once everything visible is sure to be applied here. It
	// only turns false when superseded does.
	standing bool
	// floor is the index that this run counts above only; see the package
	// comment. It does not change once standing.
	floor uint64
	// superseded is true once a later process is known to have this name.
	superseded bool
	// known holds the newest incarnation heard of every daemon, inc included.
	known incarnations
	// acks holds the last answer of each daemon that answered.
	acks map[ident.Daemon]*ack

	// readIndex is the result of a linearizable read, which standing waits
	// for; readDone is false while there is none.
	readIndex uint64
	readDone  bool

	// rounds are the polls that may still confirm something, oldest first.
	rounds []*round
	// lastRound is the number of the last round; numbers are never reused.
	lastRound uint64
	// offset rotates the witnesses that are polled.
	offset int
	// peers is sorted and leaves out self.
	peers []ident.Daemon

	leading bool
	// freshUntil never falls unless superseded.
	freshUntil time.Time
	// pollAt, readAt and noopAt are deadlines of the next poll, read and
	// no-op, and fetchUntil of the fetch that is under way.
	pollAt, readAt, noopAt, fetchUntil time.Time

	// unanswered are requests that wait for the state machine to catch up
	// with handed.
	unanswered []RequestReceived
	// out collects the effects of the current step.
	out []Effect
}

// ack is what a daemon last answered.
type ack struct {
	// inc is the run that answered; applied is the greatest index that it
	// said it had.
	inc     ident.Incarnation
	applied uint64
	// floor is the index that it counts above only.
	floor uint64
	// standing is false if the answer doesn't count as a witness's.
	standing bool
	// digest is that of the vector that it had.
	digest uint64
	// missed is true if a poll since then was not answered.
	missed bool
	// offerUntil is when an offer that is under way is given up.
	offerUntil time.Time
	// offered is the last index offered to it.
	offered uint64
	// asked is true if the offer under way holds no entries because it is not
	// known what it has.
	asked bool
}

// Config is what a [Witness] is made from.
type Config struct {
	Self ident.Daemon
	// Incarnation is not zero and greater than that of any earlier process of
	// the same name, as far as the clock allows.
	Incarnation ident.Incarnation
	// Rand spreads the polls of daemons that start together.
	Rand *rand.Rand
	// Follower is true if this daemon takes work whether it is fresh or not.
	// Unless it is a witness itself it then polls a few witnesses only.
	Follower bool
}

// New returns a witness that has applied nothing and does not stand.
func New(now time.Time, c Config) *Witness {
	w := &Witness{
		self:     c.Self,
		follower: c.Follower,
		inc:      c.Incarnation,
		rand:     c.Rand,
		known:    incarnations{newest: Vector{}},
		acks:     map[ident.Daemon]*ack{},
		offset:   c.Rand.IntN(1 << 16),
		pollAt:   now.Add(time.Duration(c.Rand.Int64N(int64(recoveryInterval)))),
		readAt:   now.Add(readInterval),
		noopAt:   now,
	}
	w.known.note(c.Self, c.Incarnation)
	return w
}

// Step takes an event and returns what is to be done about it, in order.
func (w *Witness) Step(now time.Time, ev Event) []Effect {
	w.out = nil
	if w.superseded {
		w.refuse(ev)
		return w.out
	}
	switch ev := ev.(type) {
	case Tick:
		w.tick(now)
	case RequestReceived:
		w.received(now, ev)
	case ResponseReceived:
		w.answered(now, ev.Response)
	case Committed:
		w.take(ev.Entries)
	case CommittedSnapshot:
		w.install(ev.Snapshot)
	case Applied:
		w.applied = max(w.applied, ev.Index)
		w.handed = max(w.handed, w.applied)
		w.witnesses = ev.Witnesses
	case LinearizableRead:
		// The first read will do; a later one would only raise the floor.
		if !w.readDone {
			w.readIndex, w.readDone = ev.Index, true
		}
	case Leading:
		w.leading = ev.On
	case Peers:
		w.peers = without(sorted(ev.Daemons), w.self)
	}
	w.settle(now)
	return w.out
}

// FreshUntil returns until when new work may be taken.
func (w *Witness) FreshUntil() time.Time { return w.freshUntil }

// Visible returns the greatest index known to be visible.
func (w *Witness) Visible() uint64 { return w.visible }

// Applied returns the last index that the state machine has applied.
func (w *Witness) Applied() uint64 { return w.applied }

// Active reports whether this run of the process counts as a witness.
func (w *Witness) Active() bool { return w.standing }

// Incarnation returns this run's incarnation. It may be greater than the one
// configured if the clock ran backwards over the restart.
func (w *Witness) Incarnation() ident.Incarnation { return w.inc }

// Settled reports whether the last change of the witness set is visible, so
// that the next may be proposed.
func (w *Witness) Settled() bool { return w.visible >= w.witnesses.index }

func (w *Witness) emit(e Effect) { w.out = append(w.out, e) }

// take hands over those of es that follow on what was handed over before.
func (w *Witness) take(es []entry.Entry) {
	for len(es) > 0 && es[0].Index <= w.handed {
		es = es[1:]
	}
	if len(es) == 0 || es[0].Index != w.handed+1 {
		return
	}
	w.handed = es[len(es)-1].Index
	w.tail.add(es)
	w.emit(Apply{Entries: es})
}

func (w *Witness) install(s Snapshot) {
	if s.Index <= w.handed {
		return
	}
	w.handed = s.Index
	w.tail = tail{}
	w.emit(Install{Snapshot: s})
}

func (w *Witness) received(now time.Time, ev RequestReceived) {
	req := ev.Request
	w.hear(req.From, req.Incarnation, req.Vector)
	w.unanswered = append(w.unanswered, ev)
	if w.superseded {
		return
	}
	// The sender's word that something is visible is worth no more than the
	// incarnations that it was counted with: it is taken over with them only.
	if req.Digest == w.known.digest {
		w.sawVisible(req.Visible)
	}
	if a := w.acks[req.From]; a != nil {
		a.missed = false
	}
	w.take(req.Entries)
	if req.Applied > w.handed {
		w.fetch(now, req.From)
	}
}

// refuse answers a request that came after a later process took this name.
func (w *Witness) refuse(ev Event) {
	if r, ok := ev.(RequestReceived); ok {
		w.emit(w.response(r))
	}
}

// hear records incarnations. It notices a later process of the same name.
func (w *Witness) hear(from ident.Daemon, inc ident.Incarnation, v Vector) {
	w.known.note(from, inc)
	w.known.merge(v)
	later := w.known.newest[w.self]
	if later <= w.inc {
		return
	}
	if w.standing {
		w.superseded, w.standing, w.freshUntil = true, false, time.Time{}
		w.emit(Fresh{})
		w.emit(Superseded{By: later})
		return
	}
	// The clock ran backwards over a restart. Nobody has counted this run
	// yet, so it can still become the later one.
	w.inc = later + 1
	w.known.note(w.self, w.inc)
	w.rounds = nil
}

func (w *Witness) sawVisible(index uint64) {
	if index <= w.visible {
		return
	}
	w.visible = index
	w.emit(Visible{Index: index})
}

// fetch asks d for what is missing here, unless somebody has been asked.
func (w *Witness) fetch(now time.Time, d ident.Daemon) {
	if now.Before(w.fetchUntil) {
		return
	}
	w.fetchUntil = now.Add(fetchTimeout)
	req := w.request(0, d)
	req.WantEntries = true
	w.emit(Send{To: d, Request: req})
}

// request returns a request to d without entries.
func (w *Witness) request(round uint64, d ident.Daemon) Request {
	req := Request{
		From:        w.self,
		Incarnation: w.inc,
		Round:       round,
		Applied:     w.applied,
		Visible:     w.visible,
		Digest:      w.known.digest,
	}
	a := w.acks[d]
	if a == nil || a.inc != w.known.newest[d] || a.digest != req.Digest {
		req.Vector = w.known.vector()
	}
	return req
}

// settle draws the conclusions once the state machine has caught up.
func (w *Witness) settle(now time.Time) {
	if w.handed != w.applied || w.superseded {
		w.reply()
		return
	}
	w.confirm()
	w.count()
	w.reply()
	w.offer(now)
}

// reply answers what was received, once it is applied.
func (w *Witness) reply() {
	if w.handed != w.applied && !w.superseded {
		return
	}
	for _, r := range w.unanswered {
		w.emit(w.response(r))
	}
	w.unanswered = nil
}

func (w *Witness) response(r RequestReceived) Reply {
	resp := Response{
		From:        w.self,
		Incarnation: w.inc,
		Round:       r.Request.Round,
		Active:      w.standing,
		Applied:     w.applied,
		Floor:       w.floor,
		Visible:     w.visible,
		Digest:      w.known.digest,
	}
	if resp.Digest != r.Request.Digest {
		resp.Vector = w.known.vector()
	}
	reply := Reply{Token: r.Token}
	if r.Request.WantEntries && r.Request.Applied < w.applied {
		es, ok := w.tail.after(r.Request.Applied)
		resp.Entries = es
		reply.WithSnapshot = !ok
	}
	reply.Response = resp
	return reply
}
