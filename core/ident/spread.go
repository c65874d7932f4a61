package ident

import "hash/fnv"

// RendezvousHash returns the weight of a pair of names for rendezvous hashing, a
// number that is evenly distributed and the same in every process. Candidates
// for a name are ranked by their weight for that name.
func RendezvousHash(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64()
	// FNV-1a gives short names similar high bits, so mix them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
