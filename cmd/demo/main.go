// Command demo runs three daemons, two stand-in engines and a stand-in plain
// service on loopback. It sends one request with a streamed answer, and one
// booking twice, which must run once. It prints each answer and fails if any
// is wrong. The other programs are expected in the folder of its own
// executable.
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
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "papayaspoke-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return cluster.Demo(os.Stdout, dir, filepath.Dir(executable))
}
