// Package cmdline parses command lines with flaggy and converts flaggy's exits of the
// process into errors with a result code.
package cmdline

import (
	"errors"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"papayaspoke/core/result"
)

// ErrHelp means that help was requested and has been printed.
var ErrHelp = errors.New("help was printed")

// Parse parses args. If they are invalid, it prints the reason and returns a
// [result.Error] with code [result.Malformed].
func Parse(p *flaggy.Parser, args []string) (err error) {
	flaggy.PanicInsteadOfExit = true
	p.ShowCompletion = false
	defer func() {
		if r := recover(); r != nil {
			err = exitError(r)
		}
	}()
	if err := p.ParseArgs(args); err != nil {
		return result.New(result.Malformed, "%w", err)
	}
	return nil
}

// exitError converts the value of a panic to an error. Instead of exiting, flaggy
// panics with a text that ends with the exit status. Other panics continue.
func exitError(r any) error {
	text := fmt.Sprint(r)
	if !strings.HasPrefix(text, "Panic instead of exit") {
		panic(r)
	}
	if strings.HasSuffix(text, " 0") {
		return ErrHelp
	}
	return result.New(result.Malformed, "invalid command line, see above")
}
