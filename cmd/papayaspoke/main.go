// Command papayaspoke is the command-line client for operators.
package main

import (
	"os"

	"papayaspoke/io/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdout, os.Stderr))
}
