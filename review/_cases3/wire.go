package main

import (
	_ "embed"
	"strings"
)

// wireNames has the names of the users' wire format, which stand in no Go file outside the
// folder platform: a key and a name on each line.
//
//go:embed wire.txt
var wireNames string

var wireReplacer = newWireReplacer()

func newWireReplacer() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(wireNames) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		pairs = append(pairs, "@"+key+"@", name)
	}
	return strings.NewReplacer(pairs...)
}

// wire returns s with the name of the wire format in place of each @key@.
func wire(s string) string { return wireReplacer.Replace(s) }
