package ident

import (
	"fmt"
	"unicode"
	"unicode/utf8"
)

// MaxName is the length limit of a name that comes from outside, in bytes.
const MaxName = 255

// CheckName returns an error unless a name that comes from outside is a printable
// text without spaces, of at most MaxName bytes. Daemons can't pass on text that
// isn't UTF-8.
func CheckName(s string) error {
	if s == "" || len(s) > MaxName {
		return fmt.Errorf("a name has 1 to %d bytes, not %d", MaxName, len(s))
	}
	if !utf8.ValidString(s) {
		return fmt.Errorf("name %q is not UTF-8", s)
	}
	for _, r := range s {
		if !unicode.IsGraphic(r) || unicode.IsSpace(r) {
			return fmt.Errorf("name %q contains %q", s, r)
		}
	}
	return nil
}
