// Command papayaspoke is the operators' client.
package main

import (
	"os"

	"papayaspoke/io/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdout, os.Stderr))
}
