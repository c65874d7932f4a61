//go:build review

package stand

import (
	_ "embed"
	"strings"
)

// wireText holds names of the platform's wire and parts of its messages. They stand
// outside the code because only platform/ may know them there.
//
//go:embed wire.txt
var wireText string

// Name returns a name of the wire by its key in wire.txt.
func Name(key string) string {
	for line := range strings.SplitSeq(wireText, "\n") {
		if k, v, _ := strings.Cut(line, " "); k == key {
			return v
		}
	}
	panic("no wire name " + key)
}
