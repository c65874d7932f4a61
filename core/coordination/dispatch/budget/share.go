package budget

import (
	"slices"

	"papayaspoke/core/ident"
)

// FallbackShare returns the part of the limits that an owner may use while it cannot
// reach a holder. The owners' clocks are not compared, so a rate can only be
// kept in every second if whole loads are handed out: the first PerSecond
// owners by name may start one load a second each, the others none. Routing
// sends cold adapters to owners that may load.
func FallbackShare(self ident.Daemon, owners []ident.Daemon, limits Limits) Limits {
	names := slices.Compact(slices.Sorted(slices.Values(owners)))
	i, ok := slices.BinarySearch(names, self)
	if !ok {
		return Limits{}
	}
	return share(i, limits)
}

// share returns the share of the owner with the given rank.
func share(rank int, limits Limits) Limits {
	holders := min(limits.PerSecond, limits.InTransit)
	if rank >= holders {
		return Limits{}
	}
	return Limits{PerSecond: 1, InTransit: 1}
}
