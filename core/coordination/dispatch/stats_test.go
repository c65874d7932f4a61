package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

// outcome is how a call ended.
type outcome int

const (
	outcomeDone outcome = iota
	outcomeRefused
	outcomeFailed
)

// tally counts the calls of a class, and those that met their target.
type tally struct{ total, within int }

// stats holds the figures of one run. Only calls that arrive at or after
// measureFrom are counted.
type stats struct {
	measureFrom time.Time
	classes     map[ident.Class]*tally
	stalls      []time.Duration

	capacityTime, runTime       time.Duration
	loads, wasted, maxInTransit int
	loadStarts                  []time.Time
	maxPerSecond                int
	refused, failed, lost       int
	// popular counts the calls for the most popular adapters, and
	// popularResident those of them whose adapter was resident on arrival.
	popular, popularResident int
	// causes counts refusals and failures by class, code and detail.
	causes  map[string]int
	crashes int
}

func newStats() *stats {
	return &stats{classes: make(map[ident.Class]*tally), causes: make(map[string]int)}
}

// popularAdapters holds the twenty most popular adapters.
var popularAdapters = func() map[ident.Adapter]bool {
	out := make(map[ident.Adapter]bool)
	for i := range 20 {
		out[adapter(i)] = true
	}
	return out
}()

func (s *stats) addBatch(n, limit int, d time.Duration) {
	s.runTime += time.Duration(n) * d
	s.capacityTime += time.Duration(limit) * d
}

func (s *stats) batchFill() float64 { return float64(s.runTime) / float64(max(1, s.capacityTime)) }

func (s *stats) recordLoad(now time.Time, transit int) {
	if now.Before(s.measureFrom) {
		return
	}
	s.loads++
	s.maxInTransit = max(s.maxInTransit, transit)
	s.loadStarts = append(s.loadStarts, now)
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(t time.Time) bool { return now.Sub(t) >= time.Second })
	s.maxPerSecond = max(s.maxPerSecond, len(s.loadStarts))
}

func (s *stats) recordEviction(c *residentCopy) {
	if c.uses == 0 {
		s.wasted++
	}
}

// recordStall records how long a call waited until its adapter was resident.
func (c *call) recordStall(sim *simulation, at time.Time) {
	if !c.loadedAt.IsZero() {
		return
	}
	c.loadedAt = at
	if c.req.Arrived.Before(sim.stats.measureFrom) {
		return
	}
	stall := max(0, at.Sub(c.req.Arrived))
	sim.stats.stalls = append(sim.stats.stalls, stall)
	if popularAdapters[c.req.Adapter] {
		sim.stats.popular++
		if stall == 0 {
			sim.stats.popularResident++
		}
	}
}

// recordRefusedStall counts a refused call whose adapter was not loaded as
// stalled for its whole target latency, no matter when it was refused.
func (c *call) recordRefusedStall(sim *simulation, stalled bool) {
	if !stalled || !c.loadedAt.IsZero() || c.req.Arrived.Before(sim.stats.measureFrom) {
		return
	}
	sim.stats.stalls = append(sim.stats.stalls, c.req.Deadline.Sub(c.req.Arrived))
}

func (s *stats) recordEnd(sim *simulation, c *call, o outcome) {
	if c.req.Arrived.Before(s.measureFrom) || c.poison {
		return
	}
	t := s.classes[c.req.Class]
	if t == nil {
		t = &tally{}
		s.classes[c.req.Class] = t
	}
	t.total++
	switch {
	case o == outcomeRefused:
		s.refused++
	case o == outcomeFailed:
		s.failed++
	case !sim.now.After(c.req.Deadline):
		t.within++
	}
}

func (s *stats) popularHits() float64 { return float64(s.popularResident) / float64(max(1, s.popular)) }

func (s *stats) withinTarget(c ident.Class) float64 {
	t := s.classes[c]
	if t == nil || t.total == 0 {
		return 1
	}
	return float64(t.within) / float64(t.total)
}

func (s *stats) stallQuantile(q float64) time.Duration {
	if len(s.stalls) == 0 {
		return 0
	}
	slices.Sort(s.stalls)
	return s.stalls[min(len(s.stalls)-1, int(q*float64(len(s.stalls))))]
}

// errorCause returns the code and the last two words of the detail of an error.
func errorCause(err *result.Error) string {
	words := strings.Fields(err.Detail())
	return fmt.Sprint(int(err.Code()), " ", strings.Join(words[len(words)-2:], " "))
}

func (s *stats) recordCause(c *call, cause string) {
	if !c.req.Arrived.Before(s.measureFrom) && !c.poison {
		s.causes[string(c.req.Class)+" "+cause]++
	}
}
