package result_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/result"
)

func TestTableIsUnique(t *testing.T) {
	names := map[string]bool{}
	last := result.Code(-1)
	for _, row := range result.All() {
		assert.Assert(t, row.Code > last, "codes out of order at %d", row.Code)
		assert.Assert(t, !names[row.Name], "duplicate name %q", row.Name)
		last = row.Code
		names[row.Name] = true
	}
}

func TestCodeOf(t *testing.T) {
	cases := map[string]struct {
		err  error
		want result.Code
	}{
		"nil":     {nil, result.OK},
		"direct":  {result.New(result.Overloaded, "x"), result.Overloaded},
		"wrapped": {fmt.Errorf("y: %w", result.New(result.Unknown, "x")), result.Unknown},
		"other":   {errors.New("z"), result.Internal},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, result.CodeOf(c.err), c.want) })
	}
}
