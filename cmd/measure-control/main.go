// Command measure-control measures leader elections, commits and the idle
// resource use of the control plane. It runs the daemons as processes on
// loopback and prints the figures. The other programs are expected in the
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
	return measure.Control(os.Stdout, filepath.Dir(executable))
}
