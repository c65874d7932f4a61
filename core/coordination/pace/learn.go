package pace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSamples is the number of most recent observations that are used.
	maxSamples = 48
	// minSamples is the minimum number of observations for an estimate.
	minSamples = 8
	// estimateEvery is the number of observations between two estimates.
	estimateEvery = 4
	// minTokenDifference is the minimum difference in length of two prompts
	// that are compared; with less, noise dominates.
	minTokenDifference = 100
	// stepQuantile is the quantile of the streams' step times that counts as
	// the step time of an undisturbed batch: most streams are delayed by the
	// prefills of others.
	stepQuantile = 0.25

	// maxPrefillRate, in tokens per millisecond, and minStepTime are assumed
	// until there is an estimate. All four constants bound the estimates.
	// Overestimating the speed of an engine sends prompts slightly too close
	// together; underestimating it would leave the engine idle.
	maxPrefillRate = 100.0
	minPrefillRate = 0.5
	minStepTime    = 3 * time.Millisecond
	maxStepTime    = 100 * time.Millisecond
)

// Rates are the prefill rate and the step time of an engine.
type Rates struct {
	// prefillRate is in tokens per millisecond; always positive.
	prefillRate float64
	// stepTime is the duration of a decode step without prefill; always
	// positive.
	stepTime time.Duration
}

// DefaultRates returns the rates that are assumed without any observation.
func DefaultRates() Rates { return Rates{prefillRate: maxPrefillRate, stepTime: minStepTime} }

// NewRates returns the given rates, clamped to the supported range.
func NewRates(prefillRate float64, stepTime time.Duration) Rates {
	return Rates{prefillRate: min(max(prefillRate, minPrefillRate), maxPrefillRate), stepTime: min(max(stepTime, minStepTime), maxStepTime)}
}

// Estimated reports whether the prefill rate is an estimate rather than the
// assumed one.
func (r Rates) Estimated() bool { return r.prefillRate < maxPrefillRate }

// PrefillRate returns the prefill rate in tokens per millisecond.
func (r Rates) PrefillRate() float64 { return r.prefillRate }

// PrefillTime returns how long the prefill of a prompt with that many tokens
// takes.
func (r Rates) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.prefillRate * float64(time.Millisecond))
}

// StepTime returns the duration of a decode step without prefill.
func (r Rates) StepTime() time.Duration { return r.stepTime }

// RateEstimator estimates the rates of a service's engines from answers. The zero
// value has no observations. It is not safe for concurrent use.
//
// The prefill rate is the median slope between pairs of prompts: delays that
// all requests share, such as the network, cancel out, and delays of a few do
// not move a median. Neither does one replica that is slow or reports wrong
// values, as long as most are sound.
type RateEstimator struct {
	firstChunks []firstChunk
	stepTimes   []time.Duration
	// firstChunksSeen and streamsSeen count all observations; new ones
	// overwrite the oldest.
	firstChunksSeen, streamsSeen int
	rates                        Rates
}

// firstChunk is the time to the first chunk of an answer.
type firstChunk struct {
	tokens int
	took   time.Duration
}

// AddFirstChunk records the time to the first chunk of the answer to a prompt.
// Prompts that were prefilled without others nearby are the most accurate; the
// rest are used only until there are enough observations.
func (e *RateEstimator) AddFirstChunk(tokens int, took time.Duration, isolated bool) {
	if tokens <= 0 || took <= 0 || !isolated && len(e.firstChunks) >= minSamples {
		return
	}
	e.firstChunks = addSample(e.firstChunks, e.firstChunksSeen, firstChunk{tokens, took})
	if e.firstChunksSeen++; e.firstChunksSeen%estimateEvery == 0 && len(e.firstChunks) >= minSamples {
		e.estimatePrefillRate()
	}
}

// AddStream records a complete stream: the time from its first to its last chunk,
// and the number of tokens after the first chunk.
func (e *RateEstimator) AddStream(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	e.stepTimes = addSample(e.stepTimes, e.streamsSeen, took/time.Duration(tokens))
	if e.streamsSeen++; e.streamsSeen%estimateEvery == 0 && len(e.stepTimes) >= minSamples {
		sorted := slices.Sorted(slices.Values(e.stepTimes))
		e.rates.stepTime = sorted[int(stepQuantile*float64(len(sorted)))]
	}
}

// Rates returns the current estimates.
func (e *RateEstimator) Rates() Rates {
	r := DefaultRates()
	if e.rates.prefillRate > 0 {
		r.prefillRate = e.rates.prefillRate
	}
	if e.rates.stepTime > 0 {
		r.stepTime = e.rates.stepTime
	}
	return NewRates(r.prefillRate, r.stepTime)
}

func (e *RateEstimator) estimatePrefillRate() {
	var slopes []float64
	for i, a := range e.firstChunks {
		for _, b := range e.firstChunks[i+1:] {
			if d := b.tokens - a.tokens; max(d, -d) >= minTokenDifference {
				slopes = append(slopes, float64(b.took-a.took)/float64(time.Millisecond)/float64(d))
			}
		}
	}
	if len(slopes) < minSamples {
		return
	}
	slices.SortFunc(slopes, cmp.Compare)
	e.rates.prefillRate = maxPrefillRate
	if s := slopes[len(slopes)/2]; s > 1/maxPrefillRate {
		e.rates.prefillRate = 1 / s
	}
}

// addSample adds an observation and overwrites the oldest if the buffer is
// full.
func addSample[T any](all []T, seen int, x T) []T {
	if len(all) < maxSamples {
		return append(all, x)
	}
	all[seen%maxSamples] = x
	return all
}
