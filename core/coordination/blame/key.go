package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"papayaspoke/core/coordination/placement"
	"papayaspoke/core/ident"
)

// Key identifies something that requests have in common, such as their path and
// body, across client attempts and daemons.
type Key uint64

// String returns the key as logs show it.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// keyOf returns the key of a list of parts. The lengths are hashed too, so that
// different lists never yield the same input.
func keyOf(kind string, parts ...[]byte) Key {
	h := sha256.New()
	for _, p := range append([][]byte{[]byte(kind)}, parts...) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return Key(binary.BigEndian.Uint64(h.Sum(nil)))
}

// RequestKey returns the key of a request. It is the same for every copy of the
// request, whichever client attempt and daemon it belongs to.
func RequestKey(method, host, target string, w placement.Weights, body []byte) Key {
	return keyOf("request", []byte(method), []byte(host), []byte(target), []byte(w.Model), []byte(w.Adapter), body)
}

// EndKey returns the key of the end of one incarnation of a replica.
func EndKey(replica ident.Upstream, i ident.Incarnation) Key {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(i))
	return keyOf("end", []byte(replica), n[:])
}

// PartKey returns the key of a part of a prompt. Another service may run the same
// part on another engine, so that it has a key of its own there.
func PartKey(s ident.Service, id string) Key {
	// The same as keyOf without allocations: a prompt may have thousands of parts.
	var buffer [128]byte
	b := buffer[:0]
	for _, p := range [...]string{"part", string(s), id} {
		b = binary.BigEndian.AppendUint64(b, uint64(len(p)))
		b = append(b, p...)
	}
	sum := sha256.Sum256(b)
	return Key(binary.BigEndian.Uint64(sum[:]))
}

const (
	// MaxParts is how many parts of a prompt one piece of evidence names.
	MaxParts = 32
	// MaxConvicted is how many keys a conviction names at most.
	MaxConvicted = 8
)

// Suspect is a request by what it has in common with others.
type Suspect struct {
	// Request is the key of the whole request.
	Request Key
	// Parts are the keys of the parts of its prompt that other requests may have
	// too, in order. Evidence has at most MaxParts of them.
	Parts []Key
}

// keys returns all keys of the request.
func (s Suspect) keys() []Key { return append([]Key{s.Request}, s.Parts...) }

// hashOf returns one key for a sorted list of keys.
func hashOf(ks []Key) Key {
	if len(ks) == 1 {
		return ks[0]
	}
	b := make([]byte, 0, 8*len(ks))
	for _, k := range ks {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
	}
	return keyOf("keys", b)
}
