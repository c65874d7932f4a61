package witness

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"papayaspoke/core/ident"
)

// Vector maps each daemon to its highest known incarnation.
type Vector map[ident.Daemon]ident.Incarnation

// incarnationVector is a vector that only grows, together with its digest.
type incarnationVector struct {
	newest Vector
	// digest is the exclusive or of the digests of the items in newest.
	// Different vectors have the same digest with a probability of 1 in 2^64.
	digest uint64
	// shared is an immutable copy of newest for messages, nil if newest has
	// changed since it was made.
	shared Vector
}

// observe records inc if it is higher than the known incarnation of d.
func (iv *incarnationVector) observe(d ident.Daemon, inc ident.Incarnation) {
	old, ok := iv.newest[d]
	if inc <= old {
		return
	}
	if ok {
		iv.digest ^= itemDigest(d, old)
	}
	iv.digest ^= itemDigest(d, inc)
	iv.newest[d] = inc
	iv.shared = nil
}

// merge records the incarnations in v that are higher than the known ones.
func (iv *incarnationVector) merge(v Vector) {
	for d, inc := range v {
		iv.observe(d, inc)
	}
}

// copyForMessage returns a copy that never changes.
func (iv *incarnationVector) copyForMessage() Vector {
	if iv.shared == nil {
		iv.shared = maps.Clone(iv.newest)
	}
	return iv.shared
}

func itemDigest(d ident.Daemon, inc ident.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d))
	var num [9]byte
	binary.BigEndian.PutUint64(num[1:], uint64(inc))
	_, _ = h.Write(num[:])
	return h.Sum64()
}
