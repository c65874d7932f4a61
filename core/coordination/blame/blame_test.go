package blame_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/blame"
	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func end(replica string) blame.Key { return blame.EndKey(ident.Upstream(replica), 1) }

func request(body string) blame.Key {
	return blame.RequestKey("POST", "h", "/x", placement.Weights{}, []byte(body))
}

// ended applies the ends of some replicas, 100 ms apart, under one request.
func ended(t *blame.Tracker, from int, k blame.Key, replicas ...string) {
	for i, name := range replicas {
		now := at(from + 100*i)
		t.Apply(now, blame.Ended{End: end(name), Request: k, At: now})
	}
}

func TestVerdicts(t *testing.T) {
	cases := map[string]struct {
		act  func(t *blame.Tracker)
		at   int
		want blame.Verdict
	}{
		"nothing":  {func(*blame.Tracker) {}, 0, blame.Clear},
		"one end":  {func(t *blame.Tracker) { ended(t, 0, request("d"), "a") }, 10, blame.Clear},
		"two ends": {func(t *blame.Tracker) { ended(t, 0, request("d"), "a", "b") }, 200, blame.Suspected},
		"one end, told by three daemons": {func(t *blame.Tracker) {
			for i := range 3 {
				t.Apply(at(200*i), blame.Ended{End: end("a"), Request: request("d"), At: at(200 * i)})
			}
		}, 700, blame.Clear},
		"three ends, just now":  {func(t *blame.Tracker) { ended(t, 0, request("d"), "a", "b", "c") }, 300, blame.Settling},
		"three ends, a while":   {func(t *blame.Tracker) { ended(t, 0, request("d"), "a", "b", "c") }, 800, blame.Refused},
		"three ends of another": {func(t *blame.Tracker) { ended(t, 0, request("e"), "a", "b", "c") }, 800, blame.Clear},
		"an answer in between": {func(t *blame.Tracker) {
			ended(t, 0, request("d"), "a", "b")
			t.Answered(at(300), request("d"))
			ended(t, 400, request("d"), "c")
		}, 2000, blame.Clear},
		"an answer at another daemon": {func(t *blame.Tracker) {
			ended(t, 0, request("d"), "a", "b", "c")
			t.Apply(at(400), blame.Answered{Key: request("d"), At: at(400)})
		}, 2000, blame.Clear},
		"an answer after the conviction": {func(t *blame.Tracker) {
			t.Apply(at(0), blame.Convicted{Key: request("d"), Until: at(60_000)})
			t.Answered(at(10), request("d"))
		}, 20, blame.Clear},
		"a data centre that stops": {func(t *blame.Tracker) {
			for i, name := range []string{"a", "b", "c", "d"} {
				t.Apply(at(5*i), blame.Ended{End: end(name), Request: request("d"), At: at(5 * i)})
			}
		}, 1000, blame.Clear},
		"convicted elsewhere": {func(t *blame.Tracker) {
			t.Apply(at(0), blame.Convicted{Key: request("d"), Until: at(60_000)})
		}, 10, blame.Refused},
		"conviction expired": {func(t *blame.Tracker) {
			t.Apply(at(0), blame.Convicted{Key: request("d"), Until: at(60_000)})
		}, 60_001, blame.Clear},
		"evidence expired": {func(t *blame.Tracker) {
			ended(t, 0, request("d"), "a", "b")
			t.Due(at(400_000))
			ended(t, 400_000, request("d"), "c")
		}, 401_000, blame.Clear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := blame.New()
			c.act(x)
			assert.Equal(t, x.Decide(at(c.at), request("d")).Verdict, c.want)
		})
	}
}

func TestOneTrialAtATime(t *testing.T) {
	x := blame.New()
	ended(x, 0, request("d"), "a", "b")
	assert.Assert(t, x.BeginTrial(at(300), request("d")))
	assert.Assert(t, !x.BeginTrial(at(400), request("d")))
	assert.Assert(t, x.BeginTrial(at(1400), request("d")))
}

func TestConvictionIsDueOnceSettled(t *testing.T) {
	x := blame.New()
	ended(x, 0, request("d"), "a", "b", "c")
	assert.Equal(t, len(x.Due(at(300))), 0)
	due := x.Due(at(800))
	assert.Equal(t, len(due), 1)
	assert.Assert(t, x.Apply(at(810), due[0]))
	assert.Equal(t, len(x.Due(at(900))), 0)
}

// Guards against verdicts that a restart forgets or turns round.
func TestRestoreKeepsWhatAnOrderedLogSays(t *testing.T) {
	var es []blame.Entry
	es = append(es, blame.Convicted{Key: request("d"), Until: at(500_000)})
	for i, name := range []string{"a", "b", "c"} {
		es = append(es, blame.Ended{End: end(name), Request: request("e"), At: at(1000 * i)})
		es = append(es, blame.Ended{End: end(name), Request: request("f"), At: at(1000 * i)})
	}
	es = append([]blame.Entry{blame.Answered{Key: request("f"), At: at(2500)}}, es...)
	x := blame.New()
	x.Restore(at(3000), es)
	assert.Equal(t, x.Decide(at(4000), request("d")).Verdict, blame.Refused)
	assert.Equal(t, x.Decide(at(4000), request("e")).Verdict, blame.Refused)
	assert.Equal(t, x.Decide(at(4000), request("f")).Verdict, blame.Clear)
}

// Guards against memory that grows with ever new requests.
func TestTrackerIsBoundedAndKeepsConvictions(t *testing.T) {
	x := blame.New()
	x.Apply(at(0), blame.Convicted{Key: request("d"), Until: at(600_000)})
	for i := range 5000 {
		ended(x, i, request(fmt.Sprint(i)), "a")
	}
	assert.Assert(t, x.Len() <= 4096)
	assert.Equal(t, x.Decide(at(6000), request("d")).Verdict, blame.Refused)
}
