package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	"github.com/tidwall/wal"
)

// segmentName is the library's name of the first file of a log.
const segmentName = "00000000000000000001"

// loadLog reads the log of the current generation and opens it for writing.
func (f *Folder) loadLog() error {
	dir := f.file(logName(f.generation))
	name := filepath.Join(logName(f.generation), segmentName)
	if err := f.cutTorn(name); err != nil {
		return err
	}
	log, err := wal.Open(dir, logOptions())
	if err != nil {
		return f.damaged(name, err)
	}
	f.log = log
	last, err := log.LastIndex()
	if err != nil {
		return err
	}
	for i := uint64(1); i <= last; i++ {
		if err := f.replay(i); err != nil {
			return f.damaged(name, err)
		}
	}
	f.next = last + 1
	return nil
}

// replay applies record i of the log to the state.
func (f *Folder) replay(i uint64) error {
	b, err := f.log.Read(i)
	if err != nil {
		return err
	}
	body, ok := unseal(b)
	if !ok {
		return errMalformed
	}
	ps, err := decodeRecord(body)
	if err != nil {
		return err
	}
	for _, p := range ps {
		if err := merge(&f.state, p); err != nil {
			return err
		}
	}
	return nil
}

// cutTorn checks all records of the file and cuts a torn last one.
func (f *Folder) cutTorn(name string) error {
	b, err := os.ReadFile(f.file(name))
	if err != nil {
		return f.damaged(name, err)
	}
	good := goodPrefix(b)
	if good == 0 {
		// The first record was synced before the generation came into use.
		return f.damaged(name, errors.New("no first record"))
	}
	if good == len(b) {
		return nil
	}
	if holdsRecord(b[good+1:]) {
		return f.damaged(name, errors.New("bad record before the last one"))
	}
	file, err := os.OpenFile(f.file(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(int64(good)), file.Sync(), file.Close())
}

// goodPrefix returns the length of the good records that b starts with.
func goodPrefix(b []byte) int {
	pos := 0
	for pos < len(b) {
		n := recordSize(b[pos:])
		if n == 0 {
			break
		}
		pos += n
	}
	return pos
}

// recordSize returns the size of the good record that b starts with, or 0.
func recordSize(b []byte) int {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return 0
	}
	end := n + int(size)
	if _, ok := unseal(b[n:end]); !ok {
		return 0
	}
	return end
}

// holdsRecord reports whether a good record starts anywhere in b. Its length
// stands right before the magic, in up to ten bytes.
func holdsRecord(b []byte) bool {
	for at := 0; ; {
		i := bytes.Index(b[at:], []byte(magic))
		if i < 0 {
			return false
		}
		at += i
		for start := max(0, at-binary.MaxVarintLen64); start < at; start++ {
			if recordSize(b[start:]) > 0 {
				return true
			}
		}
		at++
	}
}

// beyondFirst reports whether a log holds more than the record that it is
// made with.
func beyondFirst(b []byte) bool {
	if first := recordSize(b); first > 0 {
		return len(b) > first
	}
	return holdsRecord(b)
}
