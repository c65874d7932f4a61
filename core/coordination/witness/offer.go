package witness

import (
	"slices"
	"time"

	"papayaspoke/core/ident"
)

// updateVisible raises the visible index to what a majority of the witnesses
// has applied. Any daemon may determine it; the leader gets the responses
// first.
func (w *Witness) updateVisible() {
	for {
		// Once the change of the witness set is visible, the new set suffices.
		index := w.majorityIndex(w.witnesses.requiredSets(w.visible))
		if index <= w.visible {
			return
		}
		w.raiseVisible(index)
	}
}

// majorityIndex returns the highest index, up to applied, that a majority in
// each of sets has applied. Beyond applied the witness set may be another one.
func (w *Witness) majorityIndex(sets [][]ident.Daemon) uint64 {
	if len(sets) == 0 {
		return 0
	}
	index := w.applied
	for _, set := range sets {
		var have []uint64
		for _, d := range set {
			have = append(have, w.countedIndex(d))
		}
		slices.Sort(have)
		index = min(index, have[len(have)-majority(len(have))])
	}
	return index
}

// countedIndex returns the index for which d counts as a witness. A response of
// an incarnation older than the highest known one counts for nothing, because
// that run's memory is lost; neither does an index that is not above the floor.
func (w *Witness) countedIndex(d ident.Daemon) uint64 {
	if d == w.self {
		return indexAboveFloor(w.floor, w.applied, w.active)
	}
	a := w.acks[d]
	if a == nil || a.incarnation != w.incarnations.newest[d] {
		return 0
	}
	return indexAboveFloor(a.floor, a.applied, a.active)
}

func indexAboveFloor(floor, applied uint64, active bool) uint64 {
	if !active || applied <= floor {
		return 0
	}
	return applied
}

// offerEntries sends new entries to the witnesses that lack them.
func (w *Witness) offerEntries(now time.Time) {
	if !w.leading {
		return
	}
	for _, d := range without(w.witnesses.members(w.visible), w.self) {
		a := w.acks[d]
		if a == nil {
			// The next poll finds out what it has.
			a = &ack{}
			w.acks[d] = a
		}
		w.offerTo(now, d, a)
	}
}

func (w *Witness) offerTo(now time.Time, d ident.Daemon, a *ack) {
	if a.applied >= w.applied || now.Before(a.offerDeadline) {
		return
	}
	req := w.newRequest(0, d)
	a.offered = w.applied
	// A witness that has not responded yet, or not to the last offer, may
	// already have the entries or be unreachable, so it is sent no entries.
	a.offerWithoutEntries = a.incarnation == 0 || !a.offerDeadline.IsZero()
	if !a.offerWithoutEntries {
		req.Entries, _ = w.tail.after(a.applied)
	}
	if n := len(req.Entries); n > 0 {
		a.offered = req.Entries[n-1].Index
	}
	a.offerDeadline = now.Add(offerTimeout)
	w.emit(Send{To: d, Request: req})
}
