package ident_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"papayaspoke/core/ident"
)

func TestCheckName(t *testing.T) {
	cases := map[string]struct {
		name string
		ok   bool
	}{
		"usual":            {"i-7f3a91c2", true},
		"another alphabet": {"αντίγραφο-1", true},
		"longest":          {strings.Repeat("a", ident.MaxName), true},
		"empty":            {"", false},
		"too long":         {strings.Repeat("a", ident.MaxName+1), false},
		"not UTF-8":        {"i-\xff", false},
		"a line end":       {"i-\n", false},
		"a space":          {"i 1", false},
		"a zero byte":      {"i\x00", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ident.CheckName(c.name) == nil, c.ok) })
	}
}
