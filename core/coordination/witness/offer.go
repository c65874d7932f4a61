package witness

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// count finds the greatest index that a majority of the witnesses has
// applied. Any daemon may count; the leader hears soonest.
func (w *Witness) count() {
	for {
		// Once the change of the set is visible, one set suffices.
		index := w.counted(w.witnesses.sets(w.visible))
		if index <= w.visible {
			return
		}
		w.sawVisible(index)
	}
}

// counted returns the greatest index, up to applied, that in each of sets a
// majority has. Beyond applied the sets may be others.
func (w *Witness) counted(sets [][]ident.Daemon) uint64 {
	if len(sets) == 0 {
		return 0
	}
	index := w.applied
	for _, set := range sets {
		var have []uint64
		for _, d := range set {
			have = append(have, w.has(d))
		}
		slices.Sort(have)
		index = min(index, have[len(have)-majority(len(have))])
	}
	return index
}

// has returns the index that d, as a witness, is sure to have. An answer that
// was given by an earlier incarnation than the newest heard of counts for
// nothing: that run's memory is gone. Nor does one that is not above its floor.
func (w *Witness) has(d ident.Daemon) uint64 {
	if d == w.self {
		return above(w.floor, w.applied, w.standing)
	}
	a := w.acks[d]
	if a == nil || a.inc != w.known.newest[d] {
		return 0
	}
	return above(a.floor, a.applied, a.standing)
}

func above(floor, applied uint64, standing bool) uint64 {
	if !standing || applied <= floor {
		return 0
	}
	return applied
}

// offer sends new entries to the witnesses that lack them.
func (w *Witness) offer(now time.Time) {
	if !w.leading {
		return
	}
	for _, d := range without(w.witnesses.members(w.visible), w.self) {
		a := w.acks[d]
		if a == nil {
			// It is heard of by the next poll.
			a = &ack{}
			w.acks[d] = a
		}
		w.offerTo(now, d, a)
	}
}

func (w *Witness) offerTo(now time.Time, d ident.Daemon, a *ack) {
	if a.applied >= w.applied || now.Before(a.offerUntil) {
		return
	}
	es, _ := w.tail.after(a.applied)
	req := w.request(0, d)
	req.Entries = es
	a.offerUntil = now.Add(offerTimeout)
	a.offered = w.applied
	if len(es) > 0 {
		a.offered = es[len(es)-1].Index
	}
	w.emit(Send{To: d, Request: req})
}
