package ident

import "hash/fnv"

// RendezvousHash returns a number for a pair of names that is the same everywhere and
// spread evenly: whoever ranks first for a name by it is its home.
func RendezvousHash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	// FNV leaves the high bits of short names alike.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
