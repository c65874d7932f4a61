package disk

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
)

// magic starts every sealed block.
const magic = "PSK1"

// sealSize is the length of what seal puts before the body.
const sealSize = len(magic) + 8

var errMalformed = errors.New("malformed block")

// seal returns body behind the magic and its checksum.
func seal(body []byte) []byte {
	b := make([]byte, 0, sealSize+len(body))
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...)
}

// unseal returns the body of a sealed block, false if it is not whole.
func unseal(b []byte) ([]byte, bool) {
	if len(b) < sealSize || string(b[:len(magic)]) != magic {
		return nil, false
	}
	sum := binary.BigEndian.Uint64(b[len(magic):sealSize])
	body := b[sealSize:]
	return body, sum == xxhash.Sum64(body)
}

// decoder reads a body; after the first error it returns zero values.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.bad, d.b = true, nil
		return nil
	}
	v := bytes.Clone(d.b[:n])
	d.b = d.b[n:]
	return v
}

func (d *decoder) string() string { return string(d.bytes()) }

// count reads the number of items that follow, each at least one byte long.
func (d *decoder) count() uint64 {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.bad = true
		return 0
	}
	return n
}

func (d *decoder) err() error {
	if d.bad || len(d.b) > 0 {
		return errMalformed
	}
	return nil
}

func appendBytes[T ~string | ~[]byte](b []byte, v T) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

func appendVoter(b []byte, v consensus.Voter) []byte {
	b = appendBytes(b, v.Daemon)
	return appendBytes(b, v.Disk)
}

func (d *decoder) voter() consensus.Voter {
	return consensus.Voter{Daemon: ident.Daemon(d.string()), Disk: d.string()}
}

func encodeVoter(v consensus.Voter) []byte { return appendVoter(nil, v) }

func decodeVoter(b []byte) (consensus.Voter, error) {
	d := decoder{b: b}
	v := d.voter()
	return v, d.err()
}

// appendBatch appends one batch of a record.
func appendBatch(b []byte, p consensus.WriteBatch) []byte {
	b = appendBytes(b, p.Hard.Cluster)
	b = binary.AppendUvarint(b, p.Hard.Term)
	b = appendVoter(b, p.Hard.Vote)
	b = binary.AppendUvarint(b, uint64(len(p.Entries)))
	for _, e := range p.Entries {
		b = binary.AppendUvarint(b, e.Index)
		b = binary.AppendUvarint(b, e.Term)
		b = binary.AppendUvarint(b, uint64(e.Kind))
		b = appendBytes(b, e.Data)
	}
	return b
}

// decodeRecord returns the batches of a record.
func decodeRecord(b []byte) ([]consensus.WriteBatch, error) {
	d := decoder{b: b}
	var ps []consensus.WriteBatch
	for len(d.b) > 0 && !d.bad {
		ps = append(ps, d.batch())
	}
	return ps, d.err()
}

func (d *decoder) batch() consensus.WriteBatch {
	var p consensus.WriteBatch
	p.Hard = consensus.HardState{Cluster: d.string(), Term: d.uint(), Vote: d.voter()}
	for range d.count() {
		e := entry.Entry{Index: d.uint(), Term: d.uint(), Kind: entry.Kind(d.uint())}
		if data := d.bytes(); len(data) > 0 {
			e.Data = data
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

func encodeSnapshot(s consensus.Snapshot) []byte {
	b := binary.AppendUvarint(nil, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendBytes(b, consensus.EncodeMembers(s.Members))
	return appendBytes(b, s.Data)
}

func decodeSnapshot(b []byte) (consensus.Snapshot, error) {
	d := decoder{b: b}
	s := consensus.Snapshot{Index: d.uint(), Term: d.uint()}
	m, err := consensus.DecodeMembers(d.bytes())
	if data := d.bytes(); len(data) > 0 {
		s.Data = data
	}
	if err != nil {
		return s, err
	}
	s.Members = m
	return s, d.err()
}

// merge applies a batch to the state. It returns an error if the batch does
// not continue the state.
func merge(st *consensus.PersistentState, p consensus.WriteBatch) error {
	if s, ok := p.Snapshot.Get(); ok {
		st.Snapshot, st.Entries = s, nil
	}
	st.Hard = p.Hard
	if len(p.Entries) == 0 {
		return nil
	}
	first := p.Entries[0].Index
	if first <= st.Snapshot.Index || first > st.Snapshot.Index+uint64(len(st.Entries))+1 {
		return errors.New("gap in the log")
	}
	keep := first - st.Snapshot.Index - 1
	st.Entries = append(st.Entries[:keep:keep], p.Entries...)
	for i, e := range st.Entries[keep:] {
		if e.Index != first+uint64(i) {
			return errors.New("entries out of order")
		}
	}
	return nil
}

// whole returns the state as a single batch.
func whole(st consensus.PersistentState) consensus.WriteBatch {
	return consensus.WriteBatch{Hard: st.Hard, Snapshot: option.Some(st.Snapshot), Entries: st.Entries}
}
