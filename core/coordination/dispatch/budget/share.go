package budget

import (
	"slices"

	"papayaspoke/core/ident"
)

// FallbackShare returns the part of the limits that an owner may use while it
// cannot reach a holder. Because the owners' clocks are not synchronized, the
// rate can only be kept in every second if the shares are whole loads: the
// first PerSecond owners by name may start one load a second each, the others
// none. Routing sends requests for adapters that must be loaded to owners that
// may load.
func FallbackShare(self ident.Daemon, owners []ident.Daemon, limits Limits) Limits {
	names := slices.Compact(slices.Sorted(slices.Values(owners)))
	i, ok := slices.BinarySearch(names, self)
	if !ok {
		return Limits{}
	}
	return shareOfRank(i, limits)
}

// shareOfRank returns the share of the owner at the given index of the sorted
// names.
func shareOfRank(rank int, limits Limits) Limits {
	owners := min(limits.PerSecond, limits.InTransit)
	if rank >= owners {
		return Limits{}
	}
	return Limits{PerSecond: 1, InTransit: 1}
}
