package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"papayaspoke/core/ident"
)

const (
	// buckets is the number of groups that the adapters of a model hash to.
	// It is a power of two and well above the number of replicas, so that
	// each replica is home to several buckets.
	buckets = 1 << 14
	// homes is the number of homes that are kept for a bucket, best first.
	homes = 16
)

// pool holds the replicas of one model and the homes of its adapters.
type pool struct {
	// members is sorted by name.
	members []*entry
	// homes holds the buckets that were asked for; a bucket's homes are its
	// best members by score.
	homes map[uint32][]*entry
}

func newPool() *pool { return &pool{homes: make(map[uint32][]*entry)} }

func hashName(name ident.Upstream) uint64 { return xxhash.Sum64String(string(name)) }

// bucketOf returns the bucket of an adapter. The version is left out: a new
// version of an adapter takes over the home of the old one.
func bucketOf(a ident.Adapter) uint32 { return uint32(xxhash.Sum64String(a.Name) % buckets) }

// score ranks a replica as the home of a bucket. The mixing is the finalizer
// of splitmix64.
func score(seed uint64, bucket uint32) uint64 {
	x := seed ^ (uint64(bucket)+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func compareScores(bucket uint32) func(a, b *entry) int {
	return func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(score(b.seed, bucket), score(a.seed, bucket)),
			cmp.Compare(a.Upstream, b.Upstream),
		)
	}
}

func (p *pool) add(e *entry) {
	i, _ := slices.BinarySearchFunc(p.members, e.Upstream, compareEntry)
	p.members = slices.Insert(p.members, i, e)
	for bucket, hs := range p.homes {
		p.homes[bucket] = rank(hs, e, bucket)
	}
}

func (p *pool) remove(e *entry) {
	p.members = slices.DeleteFunc(p.members, func(x *entry) bool { return x == e })
	for bucket, hs := range p.homes {
		if slices.Contains(hs, e) {
			delete(p.homes, bucket)
		}
	}
}

// of returns the homes of an adapter, best first. The caller must not change
// the slice.
func (p *pool) of(a ident.Adapter) []*entry { return p.ofBucket(bucketOf(a)) }

func (p *pool) ofBucket(bucket uint32) []*entry {
	if hs, ok := p.homes[bucket]; ok {
		return hs
	}
	hs := make([]*entry, 0, homes+1)
	for _, e := range p.members {
		hs = rank(hs, e, bucket)
	}
	p.homes[bucket] = hs
	return hs
}

// rank puts e in its place among the homes of a bucket, if it has one.
func rank(hs []*entry, e *entry, bucket uint32) []*entry {
	if len(hs) == homes && compareScores(bucket)(hs[homes-1], e) < 0 {
		return hs
	}
	i, _ := slices.BinarySearchFunc(hs, e, compareScores(bucket))
	hs = slices.Insert(hs, i, e)
	return hs[:min(len(hs), homes)]
}
