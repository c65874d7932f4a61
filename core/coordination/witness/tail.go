package witness

import "papayaspoke/core/coordination/entry"

// Limits of the entries kept in memory and of those in one message. A daemon
// that is further behind gets a snapshot.
const (
	tailEntries    = 1024
	tailBytes      = 1 << 20
	messageEntries = 256
	messageBytes   = 256 << 10
)

// tail holds the most recent entries.
type tail struct {
	// entries have no gaps; the last one is the last entry given to the state
	// machine.
	entries []entry.Entry
	// bytes is the sum of the sizes of the entries.
	bytes int
}

func (t *tail) add(es []entry.Entry) {
	t.entries = append(t.entries, es...)
	for _, e := range es {
		t.bytes += entrySize(e)
	}
	drop := 0
	for drop < len(t.entries) && (len(t.entries)-drop > tailEntries || t.bytes > tailBytes) {
		t.bytes -= entrySize(t.entries[drop])
		drop++
	}
	if drop == 0 {
		return
	}
	// Copied so that the dropped entries can be freed.
	t.entries = append([]entry.Entry(nil), t.entries[drop:]...)
}

// after returns the entries that follow index, limited to the size of one
// message. ok is false if they are no longer in the tail.
func (t *tail) after(index uint64) (es []entry.Entry, ok bool) {
	if len(t.entries) == 0 || t.entries[0].Index > index+1 {
		return nil, false
	}
	skip := int(index + 1 - t.entries[0].Index)
	if skip >= len(t.entries) {
		return nil, true
	}
	es = t.entries[skip:min(len(t.entries), skip+messageEntries)]
	bytes := 0
	for i, e := range es {
		bytes += entrySize(e)
		if i > 0 && bytes > messageBytes {
			return es[:i:i], true
		}
	}
	return es[:len(es):len(es)], true
}

// sizeAfter returns the size of the entries that follow index. If they are no longer
// all in the tail, it is the most that a tail holds, for the snapshot that replaces
// them.
func (t *tail) sizeAfter(index uint64) uint64 {
	if len(t.entries) == 0 || t.entries[0].Index > index+1 {
		return tailBytes
	}
	size := 0
	for _, e := range t.entries[min(len(t.entries), int(index+1-t.entries[0].Index)):] {
		size += entrySize(e)
	}
	return uint64(size)
}

// entrySize returns the approximate memory used by an entry.
func entrySize(e entry.Entry) int { return len(e.Data) + 48 }
