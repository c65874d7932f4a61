package main

import (
	_ "embed" // For the texts below.
	"strings"
)

// The configs of the cases: a plain service with two routes, and an engine with one.
var (
	//go:embed desk.json
	deskConfig string
	//go:embed scribe.json
	scribeConfig string
)

// wireText holds the names of the platform's wire, which no code outside its folder has.
//
//go:embed wire.txt
var wireText string

var wireNames = readWire(wireText)

// readWire reads a list of short names and names of the wire.
func readWire(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		if short, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[short] = name
		}
	}
	return names
}

// wire returns a name of the platform's wire.
func wire(short string) string {
	name, ok := wireNames[short]
	if !ok {
		panic("no name for " + short)
	}
	return name
}
