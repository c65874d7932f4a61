// Command cases3 runs the scripted cases of the third review. It is started from the
// root of the repository with the name of a case and the path of its record.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(j *journal, trouble bool) bool{
	"path":  doubleSlash,
	"drain": departure,
	"part":  deadlyPart,
	"copy":  lateCopy,
	"head":  endlessHeads,
	"early": earlyDeparture,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases3 NAME RECORD")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}
