package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engine simulates an engine with given rates.
type engine struct {
	prefillRate float64
	stepTime    time.Duration
	rand        *rand.Rand
}

// answer gives the estimator the observations of one request. Some requests
// queue behind others, and all cross a network.
func (e *engine) answer(est *RateEstimator) {
	tokens := 200 + e.rand.IntN(2400)
	took := time.Duration(float64(tokens)/e.prefillRate*float64(time.Millisecond)) + 2*e.stepTime
	took += time.Duration(2+e.rand.IntN(10)) * time.Millisecond
	if e.rand.IntN(4) == 0 {
		took += time.Duration(e.rand.IntN(80)) * time.Millisecond
	}
	est.AddFirstChunk(tokens, took, true)
	whole := 100 * e.stepTime
	if e.rand.IntN(2) == 0 {
		whole += time.Duration(e.rand.IntN(100)) * e.stepTime
	}
	est.AddStream(100, whole)
}

func within(t *testing.T, r Rates, e *engine, share float64) {
	t.Helper()
	assert.Assert(t, r.PrefillRate() > e.prefillRate*(1-share) && r.PrefillRate() < e.prefillRate*(1+share), "estimated %.1f tokens/ms instead of %.1f", r.PrefillRate(), e.prefillRate)
	assert.Assert(t, r.StepTime() >= e.stepTime && float64(r.StepTime()) < float64(e.stepTime)*(1+share), "estimated step time %s instead of %s", r.StepTime(), e.stepTime)
}

// TestLearnsWhatNoSheetSays covers installations whose engines are twice or
// half as fast as usual: with a fixed prefill rate, the pacer would refuse
// prompts while engines idle, or send more than they can prefill.
func TestLearnsWhatNoSheetSays(t *testing.T) {
	cases := map[string]struct {
		prefillRate float64
		stepTime    time.Duration
	}{
		"usual rates":   {19.2, 10500 * time.Microsecond},
		"twice as fast": {38.4, 5230 * time.Microsecond},
		"half as fast":  {9.6, 21 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := &engine{tc.prefillRate, tc.stepTime, rand.New(rand.NewPCG(1, 1))}
			var est RateEstimator
			for range 60 {
				e.answer(&est)
			}
			within(t, est.Rates(), e, 0.35)
		})
	}
}

// TestLearnsAnew covers engines that become slow and then fast again.
func TestLearnsAnew(t *testing.T) {
	e := &engine{38.4, 5 * time.Millisecond, rand.New(rand.NewPCG(2, 1))}
	var est RateEstimator
	for _, factor := range []float64{1, 0.5, 2} {
		e.prefillRate *= factor
		e.stepTime = time.Duration(float64(e.stepTime) / factor)
		for range 2 * maxSamples {
			e.answer(&est)
		}
		within(t, est.Rates(), e, 0.35)
	}
}

// TestOneBadReplicaDoesNotSkewRates covers a service in which one replica in
// nine is slow or answers without any prefill.
func TestOneBadReplicaDoesNotSkewRates(t *testing.T) {
	e := &engine{19.2, 10 * time.Millisecond, rand.New(rand.NewPCG(3, 1))}
	slow := &engine{2, 100 * time.Millisecond, e.rand}
	noPrefill := &engine{1000, time.Millisecond, e.rand}
	for _, bad := range []*engine{slow, noPrefill} {
		var est RateEstimator
		for i := range 200 {
			if i%9 == 0 {
				bad.answer(&est)
				continue
			}
			e.answer(&est)
		}
		r := est.Rates()
		assert.Assert(t, r.PrefillRate() > 12 && r.PrefillRate() < 30, "%.1f", r.PrefillRate())
		assert.Assert(t, r.StepTime() < 14*time.Millisecond, "%s", r.StepTime())
	}
}

// TestDefaultRatesDelayLittle checks that the assumed rates delay prompts too
// little rather than too much.
func TestDefaultRatesDelayLittle(t *testing.T) {
	var est RateEstimator
	assert.Equal(t, est.Rates(), DefaultRates())
	var pacer PromptPacer
	p := Prompt{Tokens: 800, MaxPause: 300 * time.Millisecond, TokensPerChunk: 5, Rates: est.Rates()}
	for range 10 {
		reservation := pacer.Reserve(start, p)
		assert.Assert(t, reservation.At.Sub(start) < 100*time.Millisecond, "%s", reservation.At.Sub(start))
	}
}

func TestRatesAreBounded(t *testing.T) {
	for name, r := range map[string]Rates{"zero": NewRates(0, 0), "huge": NewRates(1e9, time.Hour)} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, r.PrefillRate() >= minPrefillRate && r.PrefillRate() <= maxPrefillRate)
			assert.Assert(t, r.StepTime() >= minStepTime && r.StepTime() <= maxStepTime)
		})
	}
}

// TestRatesOfBusyEnginesAreEstimated covers a daemon that starts while all
// replicas are busy: no prompt is prefilled in isolation there, and the daemon
// must not keep the assumed maximum rate.
func TestRatesOfBusyEnginesAreEstimated(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 1))
	var est RateEstimator
	for range 2 * minSamples {
		tokens := 200 + r.IntN(2400)
		queue := time.Duration(r.IntN(30)) * time.Millisecond
		est.AddFirstChunk(tokens, time.Duration(float64(tokens)/19.2*float64(time.Millisecond))+queue, false)
	}
	assert.Assert(t, est.Rates().Estimated())
	assert.Assert(t, est.Rates().PrefillRate() > 10 && est.Rates().PrefillRate() < 40, "%.1f", est.Rates().PrefillRate())
}

// TestPacerUsesRatesOfOtherSenders checks that the prompts of a sender without
// estimates are spaced like the others.
func TestPacerUsesRatesOfOtherSenders(t *testing.T) {
	var pacer PromptPacer
	p := Prompt{Tokens: 4000, MaxPause: 300 * time.Millisecond, TokensPerChunk: 2, Rates: engineRates}
	assert.Equal(t, pacer.Reserve(start, p).At, start)
	p.Rates = DefaultRates()
	assert.Equal(t, pacer.Reserve(start, p).At, start.Add(p.MaxPause))
}

// TestPacerUsesTheMedian checks that wrong rates from one daemon have no
// effect.
func TestPacerUsesTheMedian(t *testing.T) {
	var pacer PromptPacer
	p := Prompt{Tokens: 10, MaxPause: 300 * time.Millisecond, TokensPerChunk: 2}
	for i := range 20 {
		p.Rates = NewRates(19+float64(i%3), 10*time.Millisecond)
		if i%4 == 0 {
			p.Rates = NewRates(90, 90*time.Millisecond)
		}
		pacer.Reserve(start.Add(time.Duration(i)*time.Second), p)
	}
	m := medianOf(pacer.rateReports)
	assert.Equal(t, len(pacer.rateReports), maxRateReports)
	assert.Assert(t, m.PrefillRate() >= 19 && m.PrefillRate() <= 21 && m.StepTime() == 10*time.Millisecond, "%v", m)
}
