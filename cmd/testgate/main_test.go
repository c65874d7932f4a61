package main

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyListedTestsMayFail guards against a gate that passes over more than the tests
// and subtests that are listed.
func TestOnlyListedTestsMayFail(t *testing.T) {
	known := map[string]bool{"p.Listed": true, "p.Test/listed": true}
	cases := map[string]struct {
		fails []string
		want  int
	}{
		"nothing":                  {nil, 0},
		"a listed test":            {[]string{"Listed"}, 0},
		"a subtest of it":          {[]string{"Listed/x", "Listed"}, 0},
		"a listed subtest":         {[]string{"Test/listed", "Test"}, 0},
		"another subtest":          {[]string{"Test/other", "Test"}, 1},
		"another one beside":       {[]string{"Test/listed", "Test/other", "Test"}, 1},
		"its test without subtest": {[]string{"Test"}, 1},
		"another test":             {[]string{"Other"}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGate(known)
			g.addLine([]byte(`{"Action":"pass","Package":"p","Test":"Good"}`))
			for _, test := range tc.fails {
				g.addLine(fmt.Appendf(nil, `{"Action":"fail","Package":"p","Test":%q}`, test))
			}
			if len(tc.fails) > 0 {
				g.addLine([]byte(`{"Action":"fail","Package":"p"}`))
			}
			assert.Equal(t, g.summarize(), tc.want)
		})
	}
}
