package daemon

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"papayaspoke/core/state"
)

// describe formats a command for logs and tables.
func describe(cmd state.Command) string {
	if c, ok := cmd.(state.Change); ok {
		return typeName(c.Edit) + fmt.Sprintf("%v", c.Edit)
	}
	return typeName(cmd)
}

// typeName returns the name of a type of package state without the package.
func typeName(v any) string { return strings.TrimPrefix(fmt.Sprintf("%T", v), "state.") }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
