package demand_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/dispatch/demand"
	"papayaspoke/core/ident"
)

var epoch = time.Date(2026, 1, 15, 18, 0, 0, 0, time.UTC)

func TestCounterHalves(t *testing.T) {
	var c demand.Counter
	c.Add(epoch, 8)
	assert.Equal(t, c.At(epoch.Add(demand.HalfLife)), 4.0)
	assert.Equal(t, c.At(epoch.Add(-time.Hour)), 8.0)
}

func TestTableIsBoundedAndKeepsPopularAdapters(t *testing.T) {
	table := demand.NewTable()
	name := func(i int) ident.Adapter { return ident.Adapter{Name: fmt.Sprint(i), Version: "1"} }
	table.Add(epoch, name(0), 5)
	for i := range 5000 {
		table.Add(epoch, name(i+1), 1)
	}
	assert.Equal(t, table.At(epoch, name(0)), 5.0)
	assert.Assert(t, table.Len() <= 512)
}
