// Command capacity measures how the resource use of the daemons grows with the
// size of the cluster. It runs the daemons as processes on loopback and prints
// the figures for docs/CAPACITY.md. The other programs are expected in the
// folder of its own executable.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"papayaspoke/io/standin/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		os.Exit(1)
	}
}

func run() error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	return measure.Capacity(os.Stdout, filepath.Dir(executable))
}
