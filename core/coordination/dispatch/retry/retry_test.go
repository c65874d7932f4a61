package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch/retry"
	"papayaspoke/core/ident"
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

func TestBudgetIsAShareOfTheTraffic(t *testing.T) {
	b := retry.NewBudget()
	var retried int
	for range 10000 {
		b.RecordRequest("notes")
		for b.Take("notes") {
			retried++
		}
	}
	assert.Assert(t, retried <= retry.MaxReserve+1000, "%d", retried)
	assert.Assert(t, retried >= 1000)
	assert.Assert(t, b.Take("urgent"), "classes share a budget")
}

func TestBackoffGrowsAndEnds(t *testing.T) {
	b := retry.NewBackoff()
	p := retry.Pair{Upstream: "gpu1", Adapter: ident.Adapter{Name: "a", Version: "1"}}
	first := b.RecordFailure(epoch, p)
	second := b.RecordFailure(epoch, p)
	assert.Assert(t, second.After(first))
	assert.Assert(t, !b.Allowed(epoch, p))
	assert.Assert(t, b.Allowed(second, p))
	other := retry.Pair{Upstream: "gpu2", Adapter: p.Adapter}
	assert.Assert(t, b.Allowed(epoch, other))
	for range 50 {
		assert.Assert(t, b.RecordFailure(epoch, p).Sub(epoch) <= time.Minute)
	}
	b.RecordSuccess(p)
	assert.Equal(t, b.Failures(p), 0)
}

func TestBackoffIsBounded(t *testing.T) {
	b := retry.NewBackoff()
	var first retry.Pair
	for i := range 5000 {
		p := retry.Pair{Upstream: "gpu", Adapter: ident.Adapter{Name: fmt.Sprint(i), Version: "1"}}
		if i == 0 {
			first = p
		}
		b.RecordFailure(epoch.Add(time.Duration(i)*time.Millisecond), p)
	}
	assert.Equal(t, b.Failures(first), 0)
}
