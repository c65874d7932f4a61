package witness

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"papayaspoke/core/ident"
)

// Vector gives the newest incarnation known of each daemon.
type Vector map[ident.Daemon]ident.Incarnation

// incarnations is a vector that grows, and its digest.
type incarnations struct {
	newest Vector
	// digest is the exclusive or of the digests of the items of newest. But
	// for a chance of 1 in 2^64 it is the same for equal vectors only.
	digest uint64
	// copied is a copy of newest for messages, nil if newest has changed
	// since. It is not changed once made.
	copied Vector
}

// note records inc if it is newer than what is known of d.
func (n *incarnations) note(d ident.Daemon, inc ident.Incarnation) {
	old, ok := n.newest[d]
	if inc <= old {
		return
	}
	if ok {
		n.digest ^= itemDigest(d, old)
	}
	n.digest ^= itemDigest(d, inc)
	n.newest[d] = inc
	n.copied = nil
}

// merge takes over whatever is newer in v.
func (n *incarnations) merge(v Vector) {
	for d, inc := range v {
		n.note(d, inc)
	}
}

// vector returns a copy that will not change.
func (n *incarnations) vector() Vector {
	if n.copied == nil {
		n.copied = maps.Clone(n.newest)
	}
	return n.copied
}

func itemDigest(d ident.Daemon, inc ident.Incarnation) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d))
	var num [9]byte
	binary.BigEndian.PutUint64(num[1:], uint64(inc))
	_, _ = h.Write(num[:])
	return h.Sum64()
}
