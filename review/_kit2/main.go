// Command review2 plays the cases of review 2: it starts daemons with the commands of
// the deploy file, and stand-ins for replicas, clients and the platform.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotTried = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER | replica FLAGS")
		os.Exit(exitNotTried)
	}
	if os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1:])
		os.Exit(exitNotTried)
	}
	os.Exit(runCase(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) bool{
	"departure": playDeparture,
	"disks":     playDisks,
	"long":      playLong,
	"poison":    playPoison,
	"reads":     playReads,
}
