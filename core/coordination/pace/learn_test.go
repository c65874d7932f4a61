package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engine answers prompts as an engine with given rates does.
type engine struct {
	read float64
	step time.Duration
	rand *rand.Rand
}

// answer feeds the learner one request. Some requests find others before them,
// and all cross a network.
func (e *engine) answer(l *RateEstimator) {
	tokens := 200 + e.rand.IntN(2400)
	took := time.Duration(float64(tokens)/e.read*float64(time.Millisecond)) + 2*e.step
	took += time.Duration(2+e.rand.IntN(10)) * time.Millisecond
	if e.rand.IntN(4) == 0 {
		took += time.Duration(e.rand.IntN(80)) * time.Millisecond
	}
	l.AddFirstChunk(tokens, took, true)
	whole := 100 * e.step
	if e.rand.IntN(2) == 0 {
		whole += time.Duration(e.rand.IntN(100)) * e.step
	}
	l.AddStream(100, whole)
}

func within(t *testing.T, r Rates, e *engine, share float64) {
	t.Helper()
	assert.Assert(t, r.PrefillRate() > e.read*(1-share) && r.PrefillRate() < e.read*(1+share), "learned %.1f of %.1f", r.PrefillRate(), e.read)
	assert.Assert(t, r.StepTime() >= e.step && float64(r.StepTime()) < float64(e.step)*(1+share), "learned %s of %s", r.StepTime(), e.step)
}

// TestLearnsWhatNoSheetSays answers installations whose engines are twice or
// half as fast as those seen so far: a gate with the speed of another site
// refuses while engines idle, or sends more than they can read.
func TestLearnsWhatNoSheetSays(t *testing.T) {
	cases := map[string]struct {
		read float64
		step time.Duration
	}{
		"as on the first sites": {19.2, 10500 * time.Microsecond},
		"twice as fast":         {38.4, 5230 * time.Microsecond},
		"half as fast":          {9.6, 21 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := &engine{tc.read, tc.step, rand.New(rand.NewPCG(1, 1))}
			var l RateEstimator
			for range 60 {
				e.answer(&l)
			}
			within(t, l.Rates(), e, 0.35)
		})
	}
}

// TestLearnsAnew answers engines that turn slow, and fast again.
func TestLearnsAnew(t *testing.T) {
	e := &engine{38.4, 5 * time.Millisecond, rand.New(rand.NewPCG(2, 1))}
	var l RateEstimator
	for _, factor := range []float64{1, 0.5, 2} {
		e.read *= factor
		e.step = time.Duration(float64(e.step) / factor)
		for range 2 * maxSamples {
			e.answer(&l)
		}
		within(t, l.Rates(), e, 0.35)
	}
}

// TestOneSlowReplicaTeachesNothing answers a service with one replica in nine
// that is slow, or answers at once with nothing read.
func TestOneSlowReplicaTeachesNothing(t *testing.T) {
	e := &engine{19.2, 10 * time.Millisecond, rand.New(rand.NewPCG(3, 1))}
	slow := &engine{2, 100 * time.Millisecond, e.rand}
	lying := &engine{1000, time.Millisecond, e.rand}
	for _, odd := range []*engine{slow, lying} {
		var l RateEstimator
		for i := range 200 {
			if i%9 == 0 {
				odd.answer(&l)
				continue
			}
			e.answer(&l)
		}
		r := l.Rates()
		assert.Assert(t, r.PrefillRate() > 12 && r.PrefillRate() < 30, "%.1f", r.PrefillRate())
		assert.Assert(t, r.StepTime() < 14*time.Millisecond, "%s", r.StepTime())
	}
}

// TestUnlearnedServes: what is not known yet errs towards sending.
func TestUnlearnedServes(t *testing.T) {
	var l RateEstimator
	assert.Equal(t, l.Rates(), DefaultRates())
	var g Gate
	p := Prompt{Tokens: 800, MaxPause: 300 * time.Millisecond, TokensPerChunk: 5, Rates: l.Rates()}
	for range 10 {
		turn := g.Book(start, p)
		assert.Assert(t, turn.At.Sub(start) < 100*time.Millisecond, "%s", turn.At.Sub(start))
	}
}

func TestRatesAreBounded(t *testing.T) {
	for name, r := range map[string]Rates{"zero": NewRates(0, 0), "huge": NewRates(1e9, time.Hour)} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, r.PrefillRate() >= slowestRead && r.PrefillRate() <= fastestRead)
			assert.Assert(t, r.StepTime() >= fastestStep && r.StepTime() <= slowestStep)
		})
	}
}

// TestCrowdedEnginesAreLearned answers a daemon that starts while all replicas are
// busy: no prompt is read alone there, and it must not go on as if engines read
// at any speed.
func TestCrowdedEnginesAreLearned(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 1))
	var l RateEstimator
	for range 2 * enoughSamples {
		tokens := 200 + r.IntN(2400)
		queue := time.Duration(r.IntN(30)) * time.Millisecond
		l.AddFirstChunk(tokens, time.Duration(float64(tokens)/19.2*float64(time.Millisecond))+queue, false)
	}
	assert.Assert(t, l.Rates().Learned())
	assert.Assert(t, l.Rates().PrefillRate() > 10 && l.Rates().PrefillRate() < 40, "%.1f", l.Rates().PrefillRate())
}

// TestGateKnowsWhatOthersLearned: a sender that has just started is spaced like
// the others.
func TestGateKnowsWhatOthersLearned(t *testing.T) {
	var g Gate
	p := Prompt{Tokens: 4000, MaxPause: 300 * time.Millisecond, TokensPerChunk: 2, Rates: engineRates}
	assert.Equal(t, g.Book(start, p).At, start)
	p.Rates = DefaultRates()
	assert.Equal(t, g.Book(start, p).At, start.Add(p.MaxPause))
}

// TestGateTakesTheMedian: one daemon that has learned nonsense changes nothing.
func TestGateTakesTheMedian(t *testing.T) {
	var g Gate
	p := Prompt{Tokens: 10, MaxPause: 300 * time.Millisecond, TokensPerChunk: 2}
	for i := range 20 {
		p.Rates = NewRates(19+float64(i%3), 10*time.Millisecond)
		if i%4 == 0 {
			p.Rates = NewRates(90, 90*time.Millisecond)
		}
		g.Book(start.Add(time.Duration(i)*time.Second), p)
	}
	m := medianOf(g.rates)
	assert.Equal(t, len(g.rates), maxRates)
	assert.Assert(t, m.PrefillRate() >= 19 && m.PrefillRate() <= 21 && m.StepTime() == 10*time.Millisecond, "%v", m)
}
