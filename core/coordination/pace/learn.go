package pace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSamples is how many of the newest observations count.
	maxSamples = 48
	// enoughSamples is how many there have to be before anything is concluded.
	enoughSamples = 8
	// relearnAfter is how many observations come between two conclusions.
	relearnAfter = 4
	// minSpread is the least difference in tokens of two prompts that are
	// compared: noise would drown a smaller one.
	minSpread = 100
	// stepRank is the share of streams that run faster than what counts as the
	// pace of an undisturbed batch: most streams are held up by the prompts of
	// others.
	stepRank = 0.25

	// fastestRead and fastestStep are assumed until something was learned, and
	// bound what can be learned, in tokens a millisecond and time a step.
	// Engines that are thought too fast are sent prompts a little too close
	// together; ones that are thought too slow would be left idle.
	fastestRead = 100.0
	slowestRead = 0.5
	fastestStep = 3 * time.Millisecond
	slowestStep = 100 * time.Millisecond
)

// Rates is how fast engines work.
type Rates struct {
	// read is in tokens of a prompt a millisecond; always positive.
	read float64
	// step is how long a step of a batch takes besides reading; always
	// positive.
	step time.Duration
}

// DefaultRates returns the rates that are assumed of engines never seen.
func DefaultRates() Rates { return Rates{read: fastestRead, step: fastestStep} }

// NewRates returns rates within the bounds of what engines can do.
func NewRates(read float64, step time.Duration) Rates {
	return Rates{read: min(max(read, slowestRead), fastestRead), step: min(max(step, fastestStep), slowestStep)}
}

// Learned reports whether anything is known of how fast prompts are read.
func (r Rates) Learned() bool { return r.read < fastestRead }

// PrefillRate returns how many tokens of a prompt are read in a millisecond.
func (r Rates) PrefillRate() float64 { return r.read }

// PrefillTime returns how long a prompt of some tokens takes to read.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.read * float64(time.Millisecond))
}

// StepTime returns how long a step of a batch takes besides reading.
func (r Rates) StepTime() time.Duration { return r.step }

// RateEstimator concludes the rates of a service's engines from answers. The zero
// value has seen nothing. It is not safe for concurrent use.
//
// The speed of reading is the median slope between pairs of prompts: what every
// request waits for, such as the network, cancels out, and what few wait for
// does not move a median. One replica that is slow or lies does not either, as
// long as most are sound.
type RateEstimator struct {
	firsts []first
	steps  []time.Duration
	// seen and streams count all observations; the oldest is overwritten.
	seen, streams int
	rates         Rates
}

// first is how long the first piece of an answer took.
type first struct {
	tokens int
	took   time.Duration
}

// AddFirstChunk notes that the answer to a prompt began some time after it was sent. What
// was read alone says most; other answers count until there are enough.
func (l *RateEstimator) AddFirstChunk(tokens int, took time.Duration, alone bool) {
	if tokens <= 0 || took <= 0 || !alone && len(l.firsts) >= enoughSamples {
		return
	}
	l.firsts = keep(l.firsts, l.seen, first{tokens, took})
	if l.seen++; l.seen%relearnAfter == 0 && len(l.firsts) >= enoughSamples {
		l.learnRead()
	}
}

// AddStream notes a whole stream: the time from its first to its last piece, and
// how many tokens came after the first piece.
func (l *RateEstimator) AddStream(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	l.steps = keep(l.steps, l.streams, took/time.Duration(tokens))
	if l.streams++; l.streams%relearnAfter == 0 && len(l.steps) >= enoughSamples {
		sorted := slices.Sorted(slices.Values(l.steps))
		l.rates.step = sorted[int(stepRank*float64(len(sorted)))]
	}
}

// Rates returns what has been concluded so far.
func (l *RateEstimator) Rates() Rates {
	r := DefaultRates()
	if l.rates.read > 0 {
		r.read = l.rates.read
	}
	if l.rates.step > 0 {
		r.step = l.rates.step
	}
	return NewRates(r.read, r.step)
}

func (l *RateEstimator) learnRead() {
	var slopes []float64
	for i, a := range l.firsts {
		for _, b := range l.firsts[i+1:] {
			if d := b.tokens - a.tokens; max(d, -d) >= minSpread {
				slopes = append(slopes, float64(b.took-a.took)/float64(time.Millisecond)/float64(d))
			}
		}
	}
	if len(slopes) < enoughSamples {
		return
	}
	slices.SortFunc(slopes, cmp.Compare)
	l.rates.read = fastestRead
	if s := slopes[len(slopes)/2]; s > 1/fastestRead {
		l.rates.read = 1 / s
	}
}

// keep adds an observation, in place of the oldest if there are enough.
func keep[T any](all []T, seen int, x T) []T {
	if len(all) < maxSamples {
		return append(all, x)
	}
	all[seen%maxSamples] = x
	return all
}
