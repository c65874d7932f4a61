package placement

import "time"

// maxNews is how many changes of one replica are kept. A daemon that missed
// more is told everything.
const maxNews = 64

// show compares what a replica holds with what daemons were told, and notes the
// differences as news.
func (p *Placer) show(now time.Time, s *seat) {
	if !s.changed || !s.known {
		return
	}
	s.changed = false
	whole := s.shown == nil
	holds := make(map[Weights]Holding, len(s.slots))
	for w, sl := range s.slots {
		if sl.usable() {
			holds[w] = Holding{Weights: w, Version: sl.version, ReadyAt: sl.readyAt}
		}
	}
	for w, h := range holds {
		if old, ok := s.shown[w]; !ok || !old.same(now, h) {
			p.tell(s, w)
		}
	}
	for w := range s.shown {
		if _, ok := holds[w]; !ok {
			p.tell(s, w)
		}
	}
	s.shown = holds
	if whole {
		p.revision++
		s.revision, s.told, s.news = p.revision, p.revision, nil
	}
}

// same reports whether two holdings tell a daemon the same now: when something
// became ready does not matter any more.
func (h Holding) same(now time.Time, o Holding) bool {
	ready := !h.ReadyAt.After(now) && !o.ReadyAt.After(now)
	return h.Version == o.Version && (ready || h.ReadyAt.Equal(o.ReadyAt))
}

func (p *Placer) tell(s *seat, w Weights) {
	p.revision++
	s.revision = p.revision
	s.news = append(s.news, news{weights: w, revision: p.revision})
	if over := len(s.news) - maxNews; over > 0 {
		s.told = s.news[over-1].revision
		s.news = append(s.news[:0], s.news[over:]...)
	}
}

func (p *Placer) answer(now time.Time, u Usage) Answer {
	a := Answer{Fence: p.fence, Loads: make([]int, p.numbers), Store: p.store.StoreEstimate}
	since := u.Revision
	if u.Fence != p.fence {
		since = 0
	}
	for _, name := range p.names {
		s := p.seats[name]
		p.show(now, s)
		a.Loads[s.number] = s.running
		if p.avoids(s) {
			a.Avoided = append(a.Avoided, s.number)
		}
		if s.shown != nil && s.revision > since {
			a.Inventories = append(a.Inventories, s.board(since))
		}
	}
	a.Revision = p.revision
	return a
}

// board returns what has changed after a revision, or everything if that is no
// longer known.
func (s *seat) board(since uint64) Inventory {
	b := Inventory{Replica: s.Name, Incarnation: s.Incarnation, Number: s.number, Complete: since < s.told}
	if b.Complete {
		for _, h := range s.shown {
			b.Holdings = append(b.Holdings, h)
		}
		return b
	}
	said := make(map[Weights]bool)
	for _, n := range s.news {
		if n.revision <= since || said[n.weights] {
			continue
		}
		said[n.weights] = true
		if h, ok := s.shown[n.weights]; ok {
			b.Holdings = append(b.Holdings, h)
			continue
		}
		b.Removed = append(b.Removed, n.weights)
	}
	return b
}

// Fit applies a board to what a daemon knew of the same incarnation, and returns
// what it knows now. The result is nil if the board tells changes of what it
// did not know.
func (b Inventory) Fit(known map[Weights]Holding) map[Weights]Holding {
	if b.Complete {
		known = make(map[Weights]Holding, len(b.Holdings))
	}
	if known == nil {
		return nil
	}
	for _, h := range b.Holdings {
		known[h.Weights] = h
	}
	for _, w := range b.Removed {
		delete(known, w)
	}
	return known
}

// LoadAt returns how many requests are in flight at the replica with a number.
func (a Answer) LoadAt(number int) int {
	if number < 0 || number >= len(a.Loads) {
		return 0
	}
	return a.Loads[number]
}
