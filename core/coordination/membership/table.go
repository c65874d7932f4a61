package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// buckets is the number of digests by which two tables are compared.
	buckets = 128
	// batchBytes limits the records in one message.
	batchBytes = 8 << 10
	// repairBytes limits the records in a response to a repair request, so that
	// a daemon that has just started gets a table of some hundred records at
	// once.
	repairBytes = 64 << 10
	// extraSends is how many times an urgent rumour is sent beyond the logarithm
	// of the number of daemons; with these, hardly any daemon misses it.
	extraSends = 2
	// routineSends is how many times any other rumour is sent. Some daemons miss
	// it and get it when tables are compared.
	routineSends = 3
	// minDaemons is the minimum cluster size assumed for urgentSends, since a
	// daemon that has just started knows few others.
	minDaemons = 15
)

// table holds the newest record of each key.
type table struct {
	items map[Key]*item
	// bucketDigests holds for each bucket the XOR of the digests of its records;
	// root is the XOR of bucketDigests.
	bucketDigests [buckets]uint64
	root          uint64
	// daemons is the number of daemon records.
	daemons int
	// sortedKeys caches the keys of items in order; nil if it must be rebuilt.
	sortedKeys []Key
	// rumours are the keys of the items still to be sent, oldest first.
	rumours []Key
}

type item struct {
	record Record
	// receivedAt is when this version arrived.
	receivedAt time.Time
	// sendsLeft is how many more times the record is to be forwarded.
	sendsLeft int
}

func newTable() *table { return &table{items: map[Key]*item{}} }

// merge stores r if it is newer than the known version and has not expired, and
// queues it as a rumour. It reports whether r was stored. Urgent changes are
// forwarded more often than others.
func (t *table) merge(now time.Time, r Record) bool {
	k := r.Key()
	it := t.items[k]
	if !now.Before(r.Deadline()) || it != nil && r.Version().Compare(it.record.Version()) <= 0 {
		return false
	}
	sendsLeft := routineSends
	if it == nil || urgent(it.record, r) {
		sendsLeft = t.urgentSends()
	}
	if it == nil {
		it = t.insert(k)
	} else {
		t.toggleDigest(k, it.record.Version())
	}
	t.toggleDigest(k, r.Version())
	if it.sendsLeft == 0 {
		t.rumours = append(t.rumours, k)
	}
	it.record, it.receivedAt, it.sendsLeft = r, now, max(sendsLeft, it.sendsLeft)
	return true
}

func (t *table) insert(k Key) *item {
	it := &item{}
	t.items[k] = it
	t.sortedKeys = nil
	if !k.Upstream {
		t.daemons++
	}
	return it
}

// toggleDigest adds the version of a key to the digests, or removes it.
func (t *table) toggleDigest(k Key, v Version) {
	d := digest(k, v)
	t.bucketDigests[bucketOf(k)] ^= d
	t.root ^= d
}

// expire removes the records whose deadline has passed and reports whether
// there were any.
func (t *table) expire(now time.Time) bool {
	removed := false
	for k, it := range t.items {
		if now.Before(it.record.Deadline()) {
			continue
		}
		t.toggleDigest(k, it.record.Version())
		delete(t.items, k)
		t.sortedKeys = nil
		if !k.Upstream {
			t.daemons--
		}
		removed = true
	}
	return removed
}

// nextRumours returns the records to forward, oldest first and at most
// batchBytes, and counts them as sent once.
func (t *table) nextRumours() []Record {
	var out []Record
	var remaining []Key
	bytes := 0
	for i, k := range t.rumours {
		it := t.items[k]
		if it == nil || it.sendsLeft == 0 {
			continue
		}
		if bytes += it.record.size(); bytes > batchBytes && len(out) > 0 {
			remaining = append(remaining, t.rumours[i:]...)
			break
		}
		out = append(out, it.record)
		if it.sendsLeft--; it.sendsLeft > 0 {
			remaining = append(remaining, k)
		}
	}
	t.rumours = remaining
	return out
}

// versions lists the versions of all records in the buckets whose digests
// differ from the given ones.
func (t *table) versions(bucketDigests []uint64) []KeyVersion {
	if len(bucketDigests) != buckets {
		return nil
	}
	var out []KeyVersion
	for _, k := range t.keys() {
		if b := bucketOf(k); bucketDigests[b] != t.bucketDigests[b] {
			out = append(out, KeyVersion{Key: k, Version: t.items[k].record.Version()})
		}
	}
	return out
}

// compare compares the requested buckets with the versions that a peer listed
// for them. It returns the local records that are newer, at most repairBytes,
// and the keys of those that are older or missing.
func (t *table) compare(listed []KeyVersion, requested []int) (newer []Record, want []Key) {
	theirs := make(map[Key]Version, len(listed))
	for _, kv := range listed {
		theirs[kv.Key] = kv.Version
		if it := t.items[kv.Key]; it == nil || it.record.Version().Compare(kv.Version) < 0 {
			want = append(want, kv.Key)
		}
	}
	bytes := 0
	for _, k := range t.keys() {
		it := t.items[k]
		if !slices.Contains(requested, bucketOf(k)) || it.record.Version().Compare(theirs[k]) <= 0 {
			continue
		}
		if bytes += it.record.size(); bytes > repairBytes && len(newer) > 0 {
			break
		}
		newer = append(newer, it.record)
	}
	return newer, want
}

// recordsOf returns the records of the given keys, at most batchBytes.
func (t *table) recordsOf(keys []Key) []Record {
	var out []Record
	bytes := 0
	for _, k := range keys {
		it := t.items[k]
		if it == nil {
			continue
		}
		if bytes += it.record.size(); bytes > batchBytes && len(out) > 0 {
			break
		}
		out = append(out, it.record)
	}
	return out
}

// keys returns all keys, sorted. The result must not be modified.
func (t *table) keys() []Key {
	if t.sortedKeys != nil {
		return t.sortedKeys
	}
	t.sortedKeys = make([]Key, 0, len(t.items))
	for k := range t.items {
		t.sortedKeys = append(t.sortedKeys, k)
	}
	slices.SortFunc(t.sortedKeys, Key.compare)
	return t.sortedKeys
}

// daemonKeys returns the keys of daemons, sorted. The result must not be
// modified.
func (t *table) daemonKeys() []Key { return t.keys()[:t.daemons] }

// urgentSends returns how many times an urgent rumour is sent.
func (t *table) urgentSends() int {
	return bits.Len(uint(max(t.daemons, minDaemons))) + extraSends
}
