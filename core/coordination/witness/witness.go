package witness

import (
	"math/rand/v2"
	"time"

	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
)

// FreshFor is how long a confirmation by a majority allows a daemon to take new
// work, measured from when the poll was sent. An entry that has been visible
// for FreshFor is therefore applied on every daemon that takes work.
const FreshFor = 1500 * time.Millisecond

const (
	pollInterval     = 400 * time.Millisecond
	recoveryInterval = 200 * time.Millisecond
	widenAfter       = 150 * time.Millisecond
	offerTimeout     = 300 * time.Millisecond
	readInterval     = 500 * time.Millisecond
	noopInterval     = time.Second
)

// Witness decides for one daemon what it has to apply, what is visible and
// until when the daemon may take new work. It is not safe for concurrent use.
type Witness struct {
	self ident.Daemon
	// follower is true if the daemon takes work without being fresh; see
	// [Config].
	follower bool
	// lastResponseAt is when the last response arrived.
	lastResponseAt time.Time
	catchUp        catchUp
	// incarnation is the incarnation of this run. It increases only before the
	// run becomes active.
	incarnation ident.Incarnation
	rand        *rand.Rand

	// delivered is the last index given to the state machine, applied the last
	// one that the state machine has applied: applied <= delivered. Neither
	// ever decreases.
	delivered, applied uint64
	// tail ends at delivered.
	tail tail
	// witnesses is the witness set in the state at applied.
	witnesses Witnesses
	// visible is the highest index known to be visible; it never decreases.
	visible uint64

	// active is true once everything visible is known to be applied here. It
	// becomes false only when superseded becomes true.
	active bool
	// floor is the index above which this run counts as a witness; see the
	// package comment. It does not change once the run is active.
	floor uint64
	// superseded is true once a later process is known to use this name.
	superseded bool
	// incarnations holds the highest known incarnation of every daemon, this
	// one included.
	incarnations incarnationVector
	// acks holds the latest response of each daemon.
	acks map[ident.Daemon]*ack

	// readIndex is the result of a linearizable read, after which the daemon
	// becomes active once it has applied this index; it is valid if readDone is
	// true.
	readIndex uint64
	readDone  bool

	// rounds are the polls that may still confirm freshness, oldest first.
	rounds []*round
	// lastRound is the number of the last round; numbers are never reused.
	lastRound uint64
	// rotation determines which witnesses are polled next.
	rotation int
	// peers is sorted and does not include this daemon.
	peers []ident.Daemon

	leading bool
	// freshUntil never decreases unless this run is superseded.
	freshUntil time.Time
	// pollAt, readAt and noopAt are when the next poll, read and no-op are due.
	pollAt, readAt, noopAt time.Time

	// pendingRequests wait until the state machine has applied everything
	// delivered.
	pendingRequests []RequestReceived
	// effects collects the effects of the current step.
	effects []Effect
}

// ack is the latest response of a daemon.
type ack struct {
	// incarnation is the run that responded; applied is the highest index that
	// it reported.
	incarnation ident.Incarnation
	applied     uint64
	// floor is the index above which the daemon counts as a witness.
	floor uint64
	// active is false if the response does not count as that of a witness.
	active bool
	// digest is the digest of the daemon's vector.
	digest uint64
	// missed is true if a later poll was not answered.
	missed bool
	// askedAt is when the daemon was last asked for entries.
	askedAt      time.Time
	confirmation confirmation
	// offerDeadline is when the current offer times out.
	offerDeadline time.Time
	// offered is the last index offered to the daemon.
	offered uint64
	// offerWithoutEntries is true if the current offer has no entries because
	// it is not known what the daemon has.
	offerWithoutEntries bool
}

// Config configures a [Witness].
type Config struct {
	Self ident.Daemon
	// Incarnation is not zero and, as long as the clock does not move
	// backwards, higher than that of any earlier process with the same name.
	Incarnation ident.Incarnation
	// Rand spreads the polls of daemons that start at the same time.
	Rand *rand.Rand
	// Follower is true if this daemon takes work whether it is fresh or not.
	// Unless it is a witness, it then polls only a few of the witnesses.
	Follower bool
}

// New returns a witness that has applied nothing and is not active.
func New(now time.Time, c Config) *Witness {
	w := &Witness{
		self:         c.Self,
		follower:     c.Follower,
		incarnation:  c.Incarnation,
		rand:         c.Rand,
		incarnations: incarnationVector{newest: Vector{}},
		acks:         map[ident.Daemon]*ack{},
		rotation:     c.Rand.IntN(1 << 16),
		pollAt:       now.Add(time.Duration(c.Rand.Int64N(int64(recoveryInterval)))),
		readAt:       now.Add(readInterval),
		noopAt:       now,
	}
	w.incarnations.observe(c.Self, c.Incarnation)
	return w
}

// Step handles an event and returns the resulting effects, in order.
func (w *Witness) Step(now time.Time, ev Event) []Effect {
	w.effects = nil
	if w.superseded {
		w.replySuperseded(ev)
		return w.effects
	}
	switch ev := ev.(type) {
	case Tick:
		w.tick(now)
	case RequestReceived:
		w.onRequest(now, ev)
	case ResponseReceived:
		w.onResponse(now, ev.Response)
	case Committed:
		w.deliver(ev.Entries)
	case CommittedSnapshot:
		w.install(ev.Snapshot)
	case Applied:
		w.applied = max(w.applied, ev.Index)
		w.delivered = max(w.delivered, w.applied)
		w.catchUp.noteApplied(w.applied)
		w.witnesses = ev.Witnesses
	case LinearizableRead:
		// The first read suffices; a later one would only raise the floor.
		if !w.readDone {
			w.readIndex, w.readDone = ev.Index, true
		}
	case Leading:
		w.leading = ev.On
	case SendFailed:
		w.onSendFailed(now, ev)
	case Peers:
		w.peers = without(sorted(ev.Daemons), w.self)
	}
	w.evaluate(now)
	w.fetchMissing(now)
	return w.effects
}

// FreshUntil returns the time until which new work may be taken.
func (w *Witness) FreshUntil() time.Time { return w.freshUntil }

// Visible returns the highest index known to be visible.
func (w *Witness) Visible() uint64 { return w.visible }

// Applied returns the last index that the state machine has applied.
func (w *Witness) Applied() uint64 { return w.applied }

// Active reports whether this process run counts as a witness.
func (w *Witness) Active() bool { return w.active }

// Incarnation returns the incarnation of this run. It may be higher than the
// configured one if the clock moved backwards between two runs.
func (w *Witness) Incarnation() ident.Incarnation { return w.incarnation }

// Settled reports whether the last change of the witness set is visible, so
// that the next may be proposed.
func (w *Witness) Settled() bool { return w.visible >= w.witnesses.index }

func (w *Witness) emit(e Effect) { w.effects = append(w.effects, e) }

// deliver gives the state machine those of es that follow what it was already
// given.
func (w *Witness) deliver(es []entry.Entry) {
	for len(es) > 0 && es[0].Index <= w.delivered {
		es = es[1:]
	}
	if len(es) == 0 || es[0].Index != w.delivered+1 {
		return
	}
	w.delivered = es[len(es)-1].Index
	w.tail.add(es)
	w.emit(Apply{Entries: es})
}

func (w *Witness) install(s Snapshot) {
	if s.Index <= w.delivered {
		return
	}
	w.delivered = s.Index
	w.tail = tail{}
	w.emit(Install{Snapshot: s})
}

func (w *Witness) onRequest(now time.Time, ev RequestReceived) {
	req := ev.Request
	w.mergeIncarnations(req.From, req.Incarnation, req.Vector)
	w.pendingRequests = append(w.pendingRequests, ev)
	if w.superseded {
		return
	}
	// The sender determined the visible index with the incarnations in its
	// vector, so the index is valid only together with that vector.
	if req.Digest == w.incarnations.digest {
		w.raiseVisible(req.Visible)
	}
	if a := w.acks[req.From]; a != nil {
		a.missed = false
	}
	w.noteNamed(now, req.From, req.Applied)
	w.deliver(req.Entries)
}

// replySuperseded responds to a request that arrived after this run was
// superseded.
func (w *Witness) replySuperseded(ev Event) {
	if r, ok := ev.(RequestReceived); ok {
		w.emit(w.newReply(r))
	}
}

// mergeIncarnations records incarnations and detects a later process with this
// daemon's name.
func (w *Witness) mergeIncarnations(from ident.Daemon, inc ident.Incarnation, v Vector) {
	w.incarnations.observe(from, inc)
	w.incarnations.merge(v)
	later := w.incarnations.newest[w.self]
	if later <= w.incarnation {
		return
	}
	if w.active {
		w.superseded, w.active, w.freshUntil = true, false, time.Time{}
		w.emit(Fresh{})
		w.emit(Superseded{By: later})
		return
	}
	// The clock moved backwards between two runs. No daemon has counted this
	// run yet, so it can still become the later one.
	w.incarnation = later + 1
	w.incarnations.observe(w.self, w.incarnation)
	w.rounds = nil
}

func (w *Witness) raiseVisible(index uint64) {
	if index <= w.visible {
		return
	}
	w.visible = index
	w.emit(Visible{Index: index})
}

// newRequest returns a request to d without entries.
func (w *Witness) newRequest(round uint64, d ident.Daemon) Request {
	req := Request{
		From:        w.self,
		Incarnation: w.incarnation,
		Round:       round,
		Applied:     w.applied,
		Visible:     w.visible,
		Digest:      w.incarnations.digest,
	}
	a := w.acks[d]
	if a == nil || a.incarnation != w.incarnations.newest[d] || a.digest != req.Digest {
		req.Vector = w.incarnations.copyForMessage()
	}
	return req
}

// evaluate updates freshness and visibility, replies and sends offers once the
// state machine has applied everything delivered.
func (w *Witness) evaluate(now time.Time) {
	if w.delivered != w.applied || w.superseded {
		w.sendReplies()
		return
	}
	w.evaluateRounds()
	w.updateVisible()
	w.sendReplies()
	w.offerEntries(now)
}

// sendReplies answers the pending requests once everything delivered is
// applied.
func (w *Witness) sendReplies() {
	if w.delivered != w.applied && !w.superseded {
		return
	}
	for _, r := range w.pendingRequests {
		w.emit(w.newReply(r))
	}
	w.pendingRequests = nil
}

func (w *Witness) newReply(r RequestReceived) Reply {
	resp := Response{
		From:        w.self,
		Incarnation: w.incarnation,
		Round:       r.Request.Round,
		Active:      w.active,
		Applied:     w.applied,
		Floor:       w.floor,
		Visible:     w.visible,
		Digest:      w.incarnations.digest,
	}
	if resp.Digest != r.Request.Digest {
		resp.Vector = w.incarnations.copyForMessage()
	}
	reply := Reply{Token: r.Token}
	if r.Request.Applied < w.applied && !r.Request.WantEntries {
		resp.Missing = w.tail.sizeAfter(r.Request.Applied)
	}
	if r.Request.WantEntries && r.Request.Applied < w.applied {
		es, ok := w.tail.after(r.Request.Applied)
		resp.Entries = es
		reply.WithSnapshot = !ok
		if n := len(es); n > 0 && es[n-1].Index < w.applied {
			reply.Behind = w.tail.sizeAfter(r.Request.Applied)
		}
	}
	reply.Response = resp
	return reply
}
