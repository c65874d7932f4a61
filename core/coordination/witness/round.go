package witness

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// maxOpenRounds limits the polls that are still waited for.
	maxOpenRounds = 4
	// fullPollEvery makes one poll in this number go to all witnesses, so that
	// a witness that did not respond is tried again.
	fullPollEvery = 8
	// followerPollSize is the number of witnesses that a follower polls at a
	// time, in rotation. It is constant, because the cost of an additional
	// daemon must not grow with the number of witnesses.
	followerPollSize = 2
	// fallbackPolls is the number of cluster members, witnesses or not, that
	// are polled as well while not enough witnesses respond.
	fallbackPolls = 3
)

// round is one poll of the witnesses.
type round struct {
	number uint64
	// sentAt is when the first request of the round was sent.
	sentAt time.Time
	// widenAt is when the remaining witnesses are polled; it is zero once they
	// have been.
	widenAt time.Time
	// polled and responded have no duplicates; responded has only active
	// witnesses.
	polled, responded []ident.Daemon
	// requiredIndex is the highest applied index in any response.
	requiredIndex uint64
	// floor is the highest floor in the responses of active witnesses.
	floor uint64
}

func (w *Witness) tick(now time.Time) {
	if w.needsRead() && !now.Before(w.readAt) {
		w.readAt = now.Add(readInterval)
		w.emit(ReadWanted{})
	}
	if w.leading && w.active && w.applied > w.visible && !now.Before(w.noopAt) {
		w.noopAt = now.Add(noopInterval)
		w.emit(NoopWanted{})
	}
	if n := len(w.rounds); n > 0 && !w.rounds[n-1].widenAt.IsZero() && !now.Before(w.rounds[n-1].widenAt) {
		w.widen(w.rounds[n-1])
	}
	if !now.Before(w.pollAt) {
		w.poll(now)
	}
}

// needsRead reports whether a linearizable read would make this daemon active
// as a witness. If the witnesses are known and it is none of them, it needs no
// read.
func (w *Witness) needsRead() bool {
	members := w.witnesses.members(w.visible)
	return !w.active && !w.readDone && (len(members) == 0 || slices.Contains(members, w.self))
}

// poll starts a round.
func (w *Witness) poll(now time.Time) {
	interval := pollInterval
	if !w.active && !w.pollsAsFollower() {
		interval = recoveryInterval
	}
	w.pollAt = now.Add(interval)
	w.rotation++
	w.lastRound++
	r := &round{number: w.lastRound, sentAt: now, widenAt: now.Add(widenAfter)}
	w.rounds = append(w.rounds, r)
	if len(w.rounds) > maxOpenRounds {
		w.recordMissed(w.rounds[0])
		w.rounds = w.rounds[1:]
	}
	for _, d := range w.selectWitnesses() {
		w.pollDaemon(r, d)
	}
	if now.Before(w.freshUntil) || w.pollsAsFollower() && now.Before(w.lastResponseAt.Add(FreshFor)) {
		return
	}
	for i := range min(fallbackPolls, len(w.peers)) {
		w.pollDaemon(r, w.peers[(w.rotation+i)%len(w.peers)])
	}
}

// pollsAsFollower reports whether this daemon polls only a few witnesses,
// because it takes work without being fresh and is not a witness itself.
func (w *Witness) pollsAsFollower() bool {
	members := w.witnesses.members(w.visible)
	return w.follower && len(members) > 0 && !slices.Contains(members, w.self)
}

// rotate returns ds rotated to start at the member that is next.
func (w *Witness) rotate(ds []ident.Daemon, step int) []ident.Daemon {
	start := w.rotation * step % len(ds)
	return slices.Concat(ds[start:], ds[:start])
}

// selectWitnesses returns the witnesses to poll: a bare majority in rotation,
// those that responded last time first, or all of them if more responses are
// needed or this daemon knows that it lacks entries.
func (w *Witness) selectWitnesses() []ident.Daemon {
	members := w.witnesses.members(w.visible)
	others := without(members, w.self)
	if len(others) == 0 {
		return nil
	}
	if w.pollsAsFollower() && w.catchUp.since.IsZero() {
		return w.rotate(others, followerPollSize)[:min(followerPollSize, len(others))]
	}
	if !w.active || len(w.witnesses.requiredSets(w.visible)) > 1 || w.lastRound%fullPollEvery == 0 {
		return others
	}
	n := majority(len(members)) - (len(members) - len(others))
	rotated := w.rotate(others, n)
	slices.SortStableFunc(rotated, func(a, b ident.Daemon) int { return w.missed(a) - w.missed(b) })
	return rotated[:n]
}

// missed returns 1 if d did not respond to the last poll that was sent to it.
func (w *Witness) missed(d ident.Daemon) int {
	if a := w.acks[d]; a != nil && a.missed {
		return 1
	}
	return 0
}

// widen polls the remaining witnesses, because some of those polled are slow.
func (w *Witness) widen(r *round) {
	r.widenAt = time.Time{}
	if w.confirmsFreshness(r) || w.pollsAsFollower() && len(r.responded) > 0 {
		return
	}
	for _, d := range without(w.witnesses.members(w.visible), w.self) {
		w.pollDaemon(r, d)
	}
}

func (w *Witness) pollDaemon(r *round, d ident.Daemon) {
	if slices.Contains(r.polled, d) {
		return
	}
	r.polled = append(r.polled, d)
	w.emit(Send{To: d, Request: w.newRequest(r.number, d)})
}

// recordMissed records which daemons did not respond in r.
func (w *Witness) recordMissed(r *round) {
	for _, d := range r.polled {
		if slices.Contains(r.responded, d) {
			continue
		}
		if a := w.acks[d]; a != nil {
			a.missed = true
		}
	}
}

func (w *Witness) onResponse(now time.Time, resp Response) {
	w.mergeIncarnations(resp.From, resp.Incarnation, resp.Vector)
	if w.superseded || resp.Incarnation < w.incarnations.newest[resp.From] {
		return
	}
	w.recordAck(resp)
	w.lastResponseAt = now
	w.noteNamed(now, resp.From, resp.Applied)
	if resp.Missing > 0 {
		w.catchUp.size = resp.Missing
	}
	w.raiseVisible(resp.Visible)
	for _, r := range w.rounds {
		if r.number != resp.Round {
			continue
		}
		r.add(resp)
		if resp.Active {
			w.acks[resp.From].confirmation.answered(r.sentAt, resp.Applied, w.applied)
		}
	}
	delivered := w.delivered
	w.install(resp.Snapshot)
	w.deliver(resp.Entries)
	if w.delivered > delivered {
		w.catchUp.nextAt = now
	}
}

func (r *round) add(resp Response) {
	r.requiredIndex = max(r.requiredIndex, resp.Applied)
	if !resp.Active {
		return
	}
	r.floor = max(r.floor, resp.Floor)
	if !slices.Contains(r.responded, resp.From) {
		r.responded = append(r.responded, resp.From)
	}
}

// recordAck records resp as the latest response of its sender.
func (w *Witness) recordAck(resp Response) {
	a := w.acks[resp.From]
	if a == nil || a.incarnation != resp.Incarnation {
		a = &ack{incarnation: resp.Incarnation}
		w.acks[resp.From] = a
	}
	a.applied = max(a.applied, resp.Applied)
	a.floor = max(a.floor, resp.Floor)
	a.active = a.active || resp.Active
	a.digest = resp.Digest
	a.missed = false
	if resp.Applied >= a.offered || a.offerWithoutEntries {
		a.offerDeadline, a.offerWithoutEntries = time.Time{}, false
	}
}

// evaluateRounds makes the daemon active and extends its freshness as far as
// the rounds allow.
func (w *Witness) evaluateRounds() {
	if w.readDone && w.applied >= w.readIndex {
		w.activate(w.readIndex)
	}
	for i := len(w.rounds) - 1; i >= 0; i-- {
		r := w.rounds[i]
		if w.allowsRecovery(r) {
			w.activate(r.floor)
		}
		if !w.confirmsFreshness(r) {
			continue
		}
		w.rounds = w.rounds[i+1:]
		if until := r.sentAt.Add(FreshFor); until.After(w.freshUntil) {
			w.freshUntil = until
			w.emit(Fresh{Until: until})
		}
		return
	}
}

func (w *Witness) activate(floor uint64) {
	if w.active {
		return
	}
	w.active, w.floor = true, floor
	w.emit(Activated{})
}

// confirmsFreshness reports whether a majority, including this daemon if it is
// active, knows nothing newer than what is applied here.
func (w *Witness) confirmsFreshness(r *round) bool {
	return w.applied >= r.requiredIndex && enoughInEach(w.witnesses.requiredSets(w.visible), majority, func(d ident.Daemon) bool {
		return slices.Contains(r.responded, d) || d == w.self && w.active
	})
}

// allowsRecovery reports whether enough other witnesses responded that one of
// them must know whatever is visible.
func (w *Witness) allowsRecovery(r *round) bool {
	return w.applied >= r.requiredIndex && enoughInEach(w.witnesses.requiredSets(w.visible), recoveryQuorum, func(d ident.Daemon) bool {
		return d != w.self && slices.Contains(r.responded, d)
	})
}

// without returns ds without d. ds must be sorted and is not modified.
func without(ds []ident.Daemon, d ident.Daemon) []ident.Daemon {
	i, found := slices.BinarySearch(ds, d)
	if !found {
		return ds
	}
	return slices.Concat(ds[:i], ds[i+1:])
}
