// Command demo shows the main job on loopback: three daemons, two engines and
// a plain service; one streamed answer, and one booking sent twice and run
// once. It prints each answer and fails if any is wrong.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"papayaspoke/io/standin/cluster"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "papayaspoke-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return cluster.Demo(os.Stdout, dir, filepath.Dir(self))
}
