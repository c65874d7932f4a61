// Package cmdline parses command lines by flaggy and turns its exits into
// numbered errors.
package cmdline

import (
	"errors"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"papayaspoke/core/result"
)

// ErrHelp tells that help was asked for and has been printed.
var ErrHelp = errors.New("help was printed")

// Parse parses args. What is wrong with them has been printed when it returns
// a [result.Error] with code [result.Malformed].
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

// exitError returns the error that stands for an exit of flaggy, which it
// tells by a panic whose text ends with the status.
func exitError(r any) error {
	text := fmt.Sprint(r)
	if !strings.HasPrefix(text, "Panic instead of exit") {
		panic(r)
	}
	if strings.HasSuffix(text, " 0") {
		return ErrHelp
	}
	return result.New(result.Malformed, "command line, see above")
}
