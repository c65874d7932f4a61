package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"
	"github.com/tidwall/wal"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/ident"
	"papayaspoke/core/result"
)

const (
	lockName     = "lock"
	identityName = "identity"
	currentName  = "current"
)

// Folder is a voter's data folder. Its methods are not safe for concurrent
// use; see [Writer].
type Folder struct {
	path  string
	lock  *os.File
	voter consensus.Voter
	// generation is what the file current holds.
	generation uint64
	log        *wal.Log
	// next is the number of the next record in log.
	next uint64
	// state is what Open found.
	state consensus.PersistentState
	// failed is set by the first failed write: what reached the disk is not
	// known after it, so that no later write may succeed.
	failed error
}

// Open locks the folder, makes it if it is missing, and reads what it holds.
// A folder of another daemon, or one that another process uses, is refused
// with code [result.DiskForeign], a damaged one with [result.DiskDamaged].
func Open(path string, daemon ident.Daemon) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	f := &Folder{path: path}
	if err := f.acquire(); err != nil {
		return nil, err
	}
	if err := f.load(daemon); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Voter returns the identity of the disk.
func (f *Folder) Voter() consensus.Voter { return f.voter }

// State returns the state that was found by Open.
func (f *Folder) State() consensus.PersistentState { return f.state }

// Close releases the folder.
func (f *Folder) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}

// acquire locks the folder against other processes.
func (f *Folder) acquire() error {
	lock, err := os.OpenFile(f.file(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return result.New(result.DiskForeign, "%s is in use by another process: %w", f.path, err)
	}
	f.lock = lock
	return nil
}

func (f *Folder) load(daemon ident.Daemon) error {
	b, err := f.read(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return f.create(daemon)
	}
	if err != nil {
		return err
	}
	if f.voter, err = decodeVoter(b); err != nil {
		return f.damaged(identityName, err)
	}
	if f.voter.Daemon != daemon {
		return result.New(result.DiskForeign, "%s belongs to daemon %s", f.path, f.voter.Daemon)
	}
	return f.loadCurrent()
}

// create makes an empty folder a data folder. The identity comes last: a
// folder without one holds nothing that was promised.
func (f *Folder) create(daemon ident.Daemon) error {
	found, err := filepath.Glob(f.file("*"))
	if err != nil {
		return err
	}
	for _, name := range found {
		if err := f.checkUnused(name); err != nil {
			return err
		}
	}
	if err := f.startGeneration(1, consensus.PersistentState{}); err != nil {
		return err
	}
	if err := syncDir(filepath.Dir(f.path)); err != nil {
		return err
	}
	f.voter = consensus.Voter{Daemon: daemon, Disk: rand.Text()}
	return f.replace(identityName, encodeVoter(f.voter))
}

// checkUnused returns an error if a file found in a folder without identity
// cannot be left over from an interrupted first start.
func (f *Folder) checkUnused(name string) error {
	base := filepath.Base(name)
	switch {
	case base == lockName, base == currentName, isTemporary(base):
		return nil
	case base == logName(1):
		if b, err := os.ReadFile(filepath.Join(name, segmentName)); err == nil && !beyondFirst(b) {
			return os.RemoveAll(name)
		}
	}
	return result.New(result.DiskDamaged, "%s has no identity but holds %s", f.path, base)
}

func (f *Folder) loadCurrent() error {
	b, err := f.read(currentName)
	if errors.Is(err, fs.ErrNotExist) {
		return f.damaged(currentName, err)
	}
	if err != nil {
		return err
	}
	d := decoder{b: b}
	f.generation = d.uint()
	if err := d.err(); err != nil {
		return f.damaged(currentName, err)
	}
	if err := f.loadSnapshot(); err != nil {
		return err
	}
	if err := f.loadLog(); err != nil {
		return err
	}
	return f.removeOthers()
}

func (f *Folder) loadSnapshot() error {
	name := snapshotName(f.generation)
	b, err := f.read(name)
	if errors.Is(err, fs.ErrNotExist) && f.generation == 1 {
		return nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return f.damaged(name, err)
	}
	if err != nil {
		return err
	}
	if f.state.Snapshot, err = decodeSnapshot(b); err != nil {
		return f.damaged(name, err)
	}
	return nil
}

// Write stores the batches in order and syncs them. After an error every
// further Write fails.
func (f *Folder) Write(ps []consensus.WriteBatch) error {
	if f.failed == nil {
		f.failed = f.write(ps)
	}
	return f.failed
}

func (f *Folder) write(ps []consensus.WriteBatch) error {
	var body []byte
	for _, p := range ps {
		if s, ok := p.Snapshot.Get(); ok {
			// What came before is covered by the snapshot's batch.
			body = nil
			st := consensus.PersistentState{Hard: p.Hard, Snapshot: s, Entries: p.Entries}
			if err := f.startGeneration(f.generation+1, st); err != nil {
				return err
			}
			continue
		}
		body = appendBatch(body, p)
	}
	if len(body) == 0 {
		return nil
	}
	return f.append(body)
}

// Repair makes the folder usable after a failed Write, and stores the batches
// that were not written. It reads anew what the files hold and writes all of it
// to fresh files, since nobody can tell what of the failed write is on the disk.
// If it fails, it may be called again.
func (f *Folder) Repair(ps []consensus.WriteBatch) error {
	if f.log != nil {
		// The library has nothing to write at the end but what has failed.
		_ = f.log.Close()
		f.log = nil
	}
	f.state = consensus.PersistentState{}
	if err := f.loadCurrent(); err != nil {
		return err
	}
	st := f.state
	for _, p := range ps {
		if s, ok := p.Snapshot.Get(); ok {
			st = consensus.PersistentState{Hard: p.Hard, Snapshot: s, Entries: p.Entries}
			continue
		}
		if err := merge(&st, p); err != nil {
			return err
		}
	}
	if err := f.startGeneration(f.generation+1, st); err != nil {
		return err
	}
	f.failed = nil
	return nil
}

// Recover replaces everything that the folder holds, for a forced recovery.
// Open it anew afterwards.
func (f *Folder) Recover(st consensus.PersistentState) error {
	return f.Write([]consensus.WriteBatch{whole(st)})
}

// append adds a record to the log and syncs it.
func (f *Folder) append(body []byte) error {
	if err := f.log.Write(f.next, seal(body)); err != nil {
		return err
	}
	f.next++
	return nil
}

// startGeneration writes a generation that holds just the state, makes it the
// current one and removes the former.
func (f *Folder) startGeneration(g uint64, st consensus.PersistentState) error {
	if err := f.writeGeneration(g, st); err != nil {
		return err
	}
	if err := f.replace(currentName, binary.AppendUvarint(nil, g)); err != nil {
		return err
	}
	f.generation = g
	return f.removeOthers()
}

func (f *Folder) writeGeneration(g uint64, st consensus.PersistentState) error {
	if st.Snapshot.Index > 0 || g > 1 {
		if err := f.replace(snapshotName(g), encodeSnapshot(st.Snapshot)); err != nil {
			return err
		}
	}
	dir := f.file(logName(g))
	log, err := wal.Open(dir, logOptions())
	if err != nil {
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log, f.next = log, 1
	if err := f.append(appendBatch(nil, consensus.WriteBatch{Hard: st.Hard, Entries: st.Entries})); err != nil {
		return err
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	return syncDir(f.path)
}

// logOptions never lets the library start a second file.
func logOptions() *wal.Options {
	return &wal.Options{SegmentSize: math.MaxInt, NoCopy: true}
}

// removeOthers removes what an interrupted change of generations left.
func (f *Folder) removeOthers() error {
	keep := map[string]bool{snapshotName(f.generation): true, logName(f.generation): true}
	found, err := os.ReadDir(f.path)
	if err != nil {
		return err
	}
	for _, d := range found {
		stale := isTemporary(d.Name()) || isGeneration(d.Name()) && !keep[d.Name()]
		if stale {
			if err := os.RemoveAll(f.file(d.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

func isGeneration(name string) bool {
	return strings.HasPrefix(name, "log-") || strings.HasPrefix(name, "snapshot-")
}

// isTemporary reports whether a file is what a crash left of a replacement.
func isTemporary(name string) bool {
	rest, ok := strings.CutPrefix(name, ".")
	return ok && (isGeneration(rest) || strings.HasPrefix(rest, identityName) || strings.HasPrefix(rest, currentName))
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

func logName(g uint64) string { return fmt.Sprintf("log-%d", g) }

func snapshotName(g uint64) string { return fmt.Sprintf("snapshot-%d", g) }

// read returns the body of a sealed file.
func (f *Folder) read(name string) ([]byte, error) {
	b, err := os.ReadFile(f.file(name))
	if err != nil {
		return nil, err
	}
	body, ok := unseal(b)
	if !ok {
		return nil, f.damaged(name, errMalformed)
	}
	return body, nil
}

// replace writes a sealed file atomically and syncs it and its directory.
func (f *Folder) replace(name string, body []byte) error {
	p, err := renameio.NewPendingFile(f.file(name), renameio.WithTempDir(f.path))
	if err != nil {
		return err
	}
	defer p.Cleanup()
	if _, err := p.Write(seal(body)); err != nil {
		return err
	}
	if err := p.CloseAtomicallyReplace(); err != nil {
		return err
	}
	return syncDir(f.path)
}

func (f *Folder) damaged(name string, err error) error {
	return result.New(result.DiskDamaged, "%s: %w", f.file(name), err)
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
