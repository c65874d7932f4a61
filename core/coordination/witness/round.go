package witness

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

const (
	// maxRounds is how many polls are waited for at a time.
	maxRounds = 4
	// probeEvery makes every so many polls go to all witnesses, so that one
	// that didn't answer is tried again.
	probeEvery = 8
	// followed is how many witnesses a follower polls at a time, in turn: the
	// cost of one more daemon must not grow with their number.
	followed = 2
	// strangers is how many daemons that are not witnesses are asked while
	// the witnesses do not suffice.
	strangers = 3
)

// round is one poll of witnesses.
type round struct {
	number uint64
	// sentAt is when the first question of the round was sent.
	sentAt time.Time
	// widenAt is when the rest of the witnesses is asked; zero once it was.
	widenAt time.Time
	// asked and answered hold each daemon once; answered only standing ones.
	asked, answered []ident.Daemon
	// need is the greatest index that any answer named.
	need uint64
	// floor is the greatest of any answer that counted.
	floor uint64
}

func (w *Witness) tick(now time.Time) {
	if w.needsRead() && !now.Before(w.readAt) {
		w.readAt = now.Add(readInterval)
		w.emit(ReadWanted{})
	}
	if w.leading && w.standing && w.applied > w.visible && !now.Before(w.noopAt) {
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

// needsRead reports whether a read would help this daemon to stand, and
// standing be of use: not if it is no witness, as far as these are known.
func (w *Witness) needsRead() bool {
	members := w.witnesses.members(w.visible)
	return !w.standing && !w.readDone && (len(members) == 0 || slices.Contains(members, w.self))
}

// poll opens a round.
func (w *Witness) poll(now time.Time) {
	interval := pollInterval
	if !w.standing && !w.follows() {
		interval = recoveryInterval
	}
	w.pollAt = now.Add(interval)
	w.lastRound++
	r := &round{number: w.lastRound, sentAt: now, widenAt: now.Add(widenAfter)}
	w.rounds = append(w.rounds, r)
	if len(w.rounds) > maxRounds {
		w.retire(w.rounds[0])
		w.rounds = w.rounds[1:]
	}
	for _, d := range w.choose() {
		w.ask(r, d)
	}
	if now.Before(w.freshUntil) || w.follows() && now.Before(w.heardAt.Add(FreshFor)) {
		return
	}
	for i := range min(strangers, len(w.peers)) {
		w.ask(r, w.peers[(w.offset+i)%len(w.peers)])
	}
}

// follows reports whether this daemon is content with what a few witnesses say.
func (w *Witness) follows() bool {
	members := w.witnesses.members(w.visible)
	return w.follower && len(members) > 0 && !slices.Contains(members, w.self)
}

// turned returns ds beginning with the one whose turn it is.
func (w *Witness) turned(ds []ident.Daemon, step int) []ident.Daemon {
	start := w.offset * step % len(ds)
	return slices.Concat(ds[start:], ds[:start])
}

// choose returns the witnesses to poll: just a majority of those that answer,
// in turn, or all of them while more are needed.
func (w *Witness) choose() []ident.Daemon {
	members := w.witnesses.members(w.visible)
	others := without(members, w.self)
	if len(others) == 0 {
		return nil
	}
	w.offset++
	if w.follows() {
		return w.turned(others, followed)[:min(followed, len(others))]
	}
	if !w.standing || len(w.witnesses.sets(w.visible)) > 1 || w.lastRound%probeEvery == 0 {
		return others
	}
	n := majority(len(members)) - (len(members) - len(others))
	turned := w.turned(others, n)
	slices.SortStableFunc(turned, func(a, b ident.Daemon) int { return w.missed(a) - w.missed(b) })
	return turned[:n]
}

// missed returns 1 if d left the last poll that it was asked in unanswered.
func (w *Witness) missed(d ident.Daemon) int {
	if a := w.acks[d]; a != nil && a.missed {
		return 1
	}
	return 0
}

// widen asks the rest of the witnesses, since some of those asked are slow.
func (w *Witness) widen(r *round) {
	r.widenAt = time.Time{}
	if w.confirms(r) || w.follows() && len(r.answered) > 0 {
		return
	}
	for _, d := range without(w.witnesses.members(w.visible), w.self) {
		w.ask(r, d)
	}
}

func (w *Witness) ask(r *round, d ident.Daemon) {
	if slices.Contains(r.asked, d) {
		return
	}
	r.asked = append(r.asked, d)
	w.emit(Send{To: d, Request: w.request(r.number, d)})
}

// retire notes who did not answer r.
func (w *Witness) retire(r *round) {
	for _, d := range r.asked {
		if slices.Contains(r.answered, d) {
			continue
		}
		if a := w.acks[d]; a != nil {
			a.missed = true
		}
	}
}

func (w *Witness) answered(now time.Time, resp Response) {
	w.hear(resp.From, resp.Incarnation, resp.Vector)
	if w.superseded || resp.Incarnation < w.known.newest[resp.From] {
		return
	}
	w.record(resp)
	w.heardAt = now
	w.sawVisible(resp.Visible)
	for _, r := range w.rounds {
		if r.number == resp.Round {
			r.add(resp)
		}
	}
	if len(resp.Entries) > 0 || resp.Snapshot.Index > 0 {
		w.fetchUntil = time.Time{}
	}
	w.install(resp.Snapshot)
	w.take(resp.Entries)
	if resp.Applied > w.handed {
		w.fetch(now, resp.From)
	}
}

func (r *round) add(resp Response) {
	r.need = max(r.need, resp.Applied)
	if !resp.Active {
		return
	}
	r.floor = max(r.floor, resp.Floor)
	if !slices.Contains(r.answered, resp.From) {
		r.answered = append(r.answered, resp.From)
	}
}

// record keeps resp as From's last word.
func (w *Witness) record(resp Response) {
	a := w.acks[resp.From]
	if a == nil || a.inc != resp.Incarnation {
		a = &ack{inc: resp.Incarnation}
		w.acks[resp.From] = a
	}
	a.applied = max(a.applied, resp.Applied)
	a.floor = max(a.floor, resp.Floor)
	a.standing = a.standing || resp.Active
	a.digest = resp.Digest
	a.missed = false
	if resp.Applied >= a.offered || a.asked {
		a.offerUntil, a.asked = time.Time{}, false
	}
}

// confirm stands and extends freshness as far as the rounds allow.
func (w *Witness) confirm() {
	if w.readDone && w.applied >= w.readIndex {
		w.stand(w.readIndex)
	}
	for i := len(w.rounds) - 1; i >= 0; i-- {
		r := w.rounds[i]
		if w.recovers(r) {
			w.stand(r.floor)
		}
		if !w.confirms(r) {
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

func (w *Witness) stand(floor uint64) {
	if w.standing {
		return
	}
	w.standing, w.floor = true, floor
	w.emit(Activated{})
}

// confirms reports whether a majority, self included if it stands, knows
// nothing newer than what is applied here.
func (w *Witness) confirms(r *round) bool {
	return w.applied >= r.need && holds(w.witnesses.sets(w.visible), majority, func(d ident.Daemon) bool {
		return slices.Contains(r.answered, d) || d == w.self && w.standing
	})
}

// recovers reports whether so many others answered that one of them must know
// whatever is visible.
func (w *Witness) recovers(r *round) bool {
	return w.applied >= r.need && holds(w.witnesses.sets(w.visible), covering, func(d ident.Daemon) bool {
		return d != w.self && slices.Contains(r.answered, d)
	})
}

// without returns ds without d. ds is sorted and left as it is.
func without(ds []ident.Daemon, d ident.Daemon) []ident.Daemon {
	i, found := slices.BinarySearch(ds, d)
	if !found {
		return ds
	}
	return slices.Concat(ds[:i], ds[i+1:])
}
