package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"papayaspoke/core/ident"
)

const (
	// buckets is the number of groups that the adapters of a model hash to.
	// It is a power of two and much larger than the number of replicas, so
	// that each replica is the home of several buckets.
	buckets = 1 << 14
	// homesPerBucket is the number of homes that are kept for a bucket, best
	// first.
	homesPerBucket = 16
)

// modelPool holds the replicas of one model and the homes of its adapters.
type modelPool struct {
	// members is sorted by name.
	members []*entry
	// homes caches the homes of the buckets queried so far: the members with
	// the highest scores.
	homes map[uint32][]*entry
}

func newModelPool() *modelPool { return &modelPool{homes: make(map[uint32][]*entry)} }

func hashName(name ident.Upstream) uint64 { return xxhash.Sum64String(string(name)) }

// bucketOf returns the bucket of an adapter. It ignores the version, so a new
// version of an adapter has the same homes as the old one.
func bucketOf(a ident.Adapter) uint32 { return uint32(xxhash.Sum64String(a.Name) % buckets) }

// score returns the rank of a replica as a home of a bucket. It mixes the bits
// with the finalizer of splitmix64.
func score(nameHash uint64, bucket uint32) uint64 {
	x := nameHash ^ (uint64(bucket)+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func compareScores(bucket uint32) func(a, b *entry) int {
	return func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(score(b.nameHash, bucket), score(a.nameHash, bucket)),
			cmp.Compare(a.Upstream, b.Upstream),
		)
	}
}

func (p *modelPool) add(e *entry) {
	i, _ := slices.BinarySearchFunc(p.members, e.Upstream, compareEntry)
	p.members = slices.Insert(p.members, i, e)
	for bucket, hs := range p.homes {
		p.homes[bucket] = insertHome(hs, e, bucket)
	}
}

func (p *modelPool) remove(e *entry) {
	p.members = slices.DeleteFunc(p.members, func(x *entry) bool { return x == e })
	for bucket, hs := range p.homes {
		if slices.Contains(hs, e) {
			delete(p.homes, bucket)
		}
	}
}

// homesOf returns the homes of an adapter, best first. The caller must not
// modify the slice.
func (p *modelPool) homesOf(a ident.Adapter) []*entry { return p.bucketHomes(bucketOf(a)) }

func (p *modelPool) bucketHomes(bucket uint32) []*entry {
	if hs, ok := p.homes[bucket]; ok {
		return hs
	}
	hs := make([]*entry, 0, homesPerBucket+1)
	for _, e := range p.members {
		hs = insertHome(hs, e, bucket)
	}
	p.homes[bucket] = hs
	return hs
}

// insertHome inserts e among the homes of a bucket if its score is high enough.
func insertHome(hs []*entry, e *entry, bucket uint32) []*entry {
	if len(hs) == homesPerBucket && compareScores(bucket)(hs[homesPerBucket-1], e) < 0 {
		return hs
	}
	i, _ := slices.BinarySearchFunc(hs, e, compareScores(bucket))
	hs = slices.Insert(hs, i, e)
	return hs[:min(len(hs), homesPerBucket)]
}
