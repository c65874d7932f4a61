package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

type ending int

const (
	doneEnd ending = iota
	refusedEnd
	failedEnd
)

type tally struct{ total, within int }

// stats are the figures of one run; only calls that arrive after from count.
type stats struct {
	from    time.Time
	classes map[ident.Class]*tally
	stalls  []time.Duration

	full, busy             time.Duration
	loads, wasted, transit int
	starts                 []time.Time
	perSecond              int
	refused, failed, lost  int
	// popular counts the calls for the most popular adapters, and held those
	// of them that found the adapter resident.
	popular, held int
	// causes counts refusals and failures by class and code, for the log.
	causes  map[string]int
	crashes int
}

func newStats() *stats {
	return &stats{classes: make(map[ident.Class]*tally), causes: make(map[string]int)}
}

// popular are the twenty most popular adapters.
var popular = func() map[ident.Adapter]bool {
	out := make(map[ident.Adapter]bool)
	for i := range 20 {
		out[adapter(i)] = true
	}
	return out
}()

func (s *stats) batch(n, most int, d time.Duration) {
	s.busy += time.Duration(n) * d
	s.full += time.Duration(most) * d
}

func (s *stats) fill() float64 { return float64(s.busy) / float64(max(1, s.full)) }

func (s *stats) load(now time.Time, transit int) {
	if now.Before(s.from) {
		return
	}
	s.loads++
	s.transit = max(s.transit, transit)
	s.starts = append(s.starts, now)
	s.starts = slices.DeleteFunc(s.starts, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	s.perSecond = max(s.perSecond, len(s.starts))
}

func (s *stats) evicted(c *copyOf) {
	if c.uses == 0 {
		s.wasted++
	}
}

// noteLoaded notes when the adapter was there for the call.
func (c *call) noteLoaded(w *world, at time.Time) {
	if !c.loaded.IsZero() {
		return
	}
	c.loaded = at
	if c.req.Arrived.Before(w.stats.from) {
		return
	}
	stall := max(0, at.Sub(c.req.Arrived))
	w.stats.stalls = append(w.stats.stalls, stall)
	if popular[c.req.Adapter] {
		w.stats.popular++
		if stall == 0 {
			w.stats.held++
		}
	}
}

// noteWait counts a refused call whose adapter did not come as stalled for
// all of its target, whenever it was refused.
func (c *call) noteWait(w *world, stalled bool) {
	if !stalled || !c.loaded.IsZero() || c.req.Arrived.Before(w.stats.from) {
		return
	}
	w.stats.stalls = append(w.stats.stalls, c.req.Deadline.Sub(c.req.Arrived))
}

func (s *stats) end(w *world, c *call, how ending) {
	if c.req.Arrived.Before(s.from) || c.poison {
		return
	}
	t := s.classes[c.req.Class]
	if t == nil {
		t = &tally{}
		s.classes[c.req.Class] = t
	}
	t.total++
	switch {
	case how == refusedEnd:
		s.refused++
	case how == failedEnd:
		s.failed++
	case !w.now.After(c.req.Deadline):
		t.within++
	}
}

func (s *stats) popularHits() float64 { return float64(s.held) / float64(max(1, s.popular)) }

func (s *stats) within(c ident.Class) float64 {
	t := s.classes[c]
	if t == nil || t.total == 0 {
		return 1
	}
	return float64(t.within) / float64(t.total)
}

func (s *stats) stall(q float64) time.Duration {
	if len(s.stalls) == 0 {
		return 0
	}
	slices.Sort(s.stalls)
	return s.stalls[min(len(s.stalls)-1, int(q*float64(len(s.stalls))))]
}

func cause(err *result.Error) string {
	words := strings.Fields(err.Detail())
	return fmt.Sprint(int(err.Code()), " ", strings.Join(words[len(words)-2:], " "))
}

func (s *stats) cause(c *call, why string) {
	if !c.req.Arrived.Before(s.from) && !c.poison {
		s.causes[string(c.req.Class)+" "+why]++
	}
}
