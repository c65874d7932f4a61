package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"

	"github.com/tidwall/wal"
)

// segmentName is the name that the log library gives the first segment file.
const segmentName = "00000000000000000001"

// loadLog replays the log of the current generation and opens it for appending.
func (f *Folder) loadLog() error {
	dir := f.filePath(logName(f.generation))
	name := filepath.Join(logName(f.generation), segmentName)
	if err := f.truncateTornTail(name); err != nil {
		return err
	}
	log, err := wal.Open(dir, logOptions())
	if err != nil {
		return f.damageError(name, err)
	}
	f.log = log
	last, err := log.LastIndex()
	if err != nil {
		return err
	}
	for i := uint64(1); i <= last; i++ {
		if err := f.replay(i); err != nil {
			return f.damageError(name, err)
		}
	}
	f.nextRecord = last + 1
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

// truncateTornTail validates all records of the file and removes a torn last one.
func (f *Folder) truncateTornTail(name string) error {
	b, err := os.ReadFile(f.filePath(name))
	if err != nil {
		return f.damageError(name, err)
	}
	valid := validPrefixSize(b)
	if valid == 0 {
		// The first record was synced before the generation was put into use.
		return f.damageError(name, errors.New("first record is missing or invalid"))
	}
	if valid == len(b) {
		return nil
	}
	if containsRecord(b[valid+1:]) {
		return f.damageError(name, errors.New("invalid record before the last one"))
	}
	file, err := os.OpenFile(f.filePath(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(int64(valid)), file.Sync(), file.Close())
}

// validPrefixSize returns the total size of the valid records at the start of b.
func validPrefixSize(b []byte) int {
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

// recordSize returns the size of the record at the start of b, or 0 if it is
// not valid.
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

// containsRecord reports whether a valid record starts anywhere in b. It searches
// for the magic and tries each possible start of the varint length before it.
func containsRecord(b []byte) bool {
	for pos := 0; ; {
		i := bytes.Index(b[pos:], []byte(magic))
		if i < 0 {
			return false
		}
		pos += i
		for start := max(0, pos-binary.MaxVarintLen64); start < pos; start++ {
			if recordSize(b[start:]) > 0 {
				return true
			}
		}
		pos++
	}
}

// hasMoreThanFirst reports whether a log holds anything after the record that is
// written when the generation is created.
func hasMoreThanFirst(b []byte) bool {
	if first := recordSize(b); first > 0 {
		return len(b) > first
	}
	return containsRecord(b)
}
