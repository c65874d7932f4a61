// Command measure-control measures the control plane with daemons as processes
// on loopback and prints the figures.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"papayaspoke/io/standin/measure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "not measured:", err)
		os.Exit(1)
	}
}

func run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	return measure.Control(os.Stdout, filepath.Dir(self))
}
