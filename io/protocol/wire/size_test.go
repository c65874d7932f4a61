package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCountElements(t *testing.T) {
	tests := map[string]struct {
		text string
		want int
	}{
		"empty":           {``, 0},
		"object":          {`{"a":1,"b":[2,3]}`, 4},
		"in a string":     {`"a,b,{["`, 0},
		"escaped quote":   {`["a\",{",1]`, 2},
		"escaped escape":  {`["a\\",1]`, 2},
		"empty objects":   {`[{},{},{}]`, 6},
		"cut in a string": {`["a,`, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, countElements([]byte(tt.text)), tt.want) })
	}
}
