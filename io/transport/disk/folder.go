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

// Folder is a voter's data folder. Its methods are not safe for concurrent use;
// [Writer] serializes writes.
type Folder struct {
	path  string
	lock  *os.File
	voter consensus.Voter
	// generation is the number stored in the file current.
	generation uint64
	log        *wal.Log
	// nextRecord is the number of the next record in log.
	nextRecord uint64
	// state is what Open or Repair read from the disk.
	state consensus.PersistentState
	// failed is the error of the first failed write. After it the contents of
	// the disk are unknown, so all further writes fail until Repair succeeds.
	failed error
}

// Open locks the folder, creates it if it is missing, and reads its contents. It
// fails with [result.DiskForeign] if the folder belongs to another daemon or is
// in use by another process, and with [result.DiskDamaged] if it is corrupt.
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

// State returns the state that Open read from the disk.
func (f *Folder) State() consensus.PersistentState { return f.state }

// Close closes the log and releases the lock.
func (f *Folder) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}

// acquire locks the folder to exclude other processes.
func (f *Folder) acquire() error {
	lock, err := os.OpenFile(f.filePath(lockName), os.O_CREATE|os.O_RDWR, 0o640)
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

// load reads the folder, or initializes it if it has no identity.
func (f *Folder) load(daemon ident.Daemon) error {
	b, err := f.readSealed(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return f.create(daemon)
	}
	if err != nil {
		return err
	}
	if f.voter, err = decodeVoter(b); err != nil {
		return f.damageError(identityName, err)
	}
	if f.voter.Daemon != daemon {
		return result.New(result.DiskForeign, "%s belongs to daemon %s", f.path, f.voter.Daemon)
	}
	return f.loadCurrent()
}

// create initializes an empty folder. The identity is written last, so a folder
// without one never held acknowledged data.
func (f *Folder) create(daemon ident.Daemon) error {
	found, err := filepath.Glob(f.filePath("*"))
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
	return f.replaceSealed(identityName, encodeVoter(f.voter))
}

// checkUnused returns an error if a file in a folder without an identity can't be
// a leftover of an interrupted first start. It removes the first generation's
// log if nothing was appended to it.
func (f *Folder) checkUnused(name string) error {
	base := filepath.Base(name)
	switch {
	case base == lockName, base == currentName, isTemporary(base):
		return nil
	case base == logName(1):
		if b, err := os.ReadFile(filepath.Join(name, segmentName)); err == nil && !hasMoreThanFirst(b) {
			return os.RemoveAll(name)
		}
	}
	return result.New(result.DiskDamaged, "%s has no identity but holds %s", f.path, base)
}

// loadCurrent reads the current generation into the state and removes leftovers of
// others.
func (f *Folder) loadCurrent() error {
	b, err := f.readSealed(currentName)
	if errors.Is(err, fs.ErrNotExist) {
		return f.damageError(currentName, err)
	}
	if err != nil {
		return err
	}
	d := decoder{b: b}
	f.generation = d.uint()
	if err := d.err(); err != nil {
		return f.damageError(currentName, err)
	}
	if err := f.loadSnapshot(); err != nil {
		return err
	}
	if err := f.loadLog(); err != nil {
		return err
	}
	return f.removeStale()
}

// loadSnapshot reads the snapshot of the current generation. Only the first
// generation may have none.
func (f *Folder) loadSnapshot() error {
	name := snapshotName(f.generation)
	b, err := f.readSealed(name)
	if errors.Is(err, fs.ErrNotExist) && f.generation == 1 {
		return nil
	}
	if errors.Is(err, fs.ErrNotExist) {
		return f.damageError(name, err)
	}
	if err != nil {
		return err
	}
	if f.state.Snapshot, err = decodeSnapshot(b); err != nil {
		return f.damageError(name, err)
	}
	return nil
}

// Write stores the batches in order and syncs them. After an error every further
// Write fails until [Folder.Repair] succeeds.
func (f *Folder) Write(ps []consensus.WriteBatch) error {
	if f.failed == nil {
		f.failed = f.write(ps)
	}
	return f.failed
}

// write starts a new generation for each batch with a snapshot, and stores the other
// batches after it as one record.
func (f *Folder) write(ps []consensus.WriteBatch) error {
	var body []byte
	for _, p := range ps {
		if s, ok := p.Snapshot.Get(); ok {
			// The batch of the snapshot supersedes the batches before it.
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

// Repair makes the folder usable after a failed Write and stores the batches that
// were not written. It rereads the files and writes the state to a new
// generation, since it is unknown which part of the failed write reached the
// disk. It may be called again if it fails.
func (f *Folder) Repair(ps []consensus.WriteBatch) error {
	if f.log != nil {
		// Closing the log could only flush what has failed to be written.
		_ = f.log.Close()
		f.log = nil
	}
	f.state = consensus.PersistentState{}
	if err := f.loadCurrent(); err != nil {
		return err
	}
	st := f.state
	for _, p := range fromLastSnapshot(ps) {
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

// fromLastSnapshot returns the batches from the last one with a snapshot on. Those
// before it are superseded, and don't follow the log of a folder that has stored
// the snapshot already.
func fromLastSnapshot(ps []consensus.WriteBatch) []consensus.WriteBatch {
	for i := len(ps) - 1; i > 0; i-- {
		if _, ok := ps[i].Snapshot.Get(); ok {
			return ps[i:]
		}
	}
	return ps
}

// Recover replaces the whole contents of the folder in a forced recovery. The
// folder must be closed and opened again afterwards.
func (f *Folder) Recover(st consensus.PersistentState) error {
	return f.Write([]consensus.WriteBatch{asBatch(st)})
}

// append adds a record to the log and syncs it.
func (f *Folder) append(body []byte) error {
	if err := f.log.Write(f.nextRecord, seal(body)); err != nil {
		return err
	}
	f.nextRecord++
	return nil
}

// startGeneration writes a generation that holds only the state, makes it the
// current one and removes the previous one.
func (f *Folder) startGeneration(g uint64, st consensus.PersistentState) error {
	if err := f.writeGeneration(g, st); err != nil {
		return err
	}
	if err := f.replaceSealed(currentName, binary.AppendUvarint(nil, g)); err != nil {
		return err
	}
	f.generation = g
	return f.removeStale()
}

// writeGeneration writes and syncs the files of a generation, with the state as the
// first record of its log, and opens the log for appending.
func (f *Folder) writeGeneration(g uint64, st consensus.PersistentState) error {
	if st.Snapshot.Index > 0 || g > 1 {
		if err := f.replaceSealed(snapshotName(g), encodeSnapshot(st.Snapshot)); err != nil {
			return err
		}
	}
	dir := f.filePath(logName(g))
	log, err := wal.Open(dir, logOptions())
	if err != nil {
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log, f.nextRecord = log, 1
	if err := f.append(appendBatch(nil, consensus.WriteBatch{Hard: st.Hard, Entries: st.Entries})); err != nil {
		return err
	}
	if err := syncDir(dir); err != nil {
		return err
	}
	return syncDir(f.path)
}

// logOptions returns options that keep the log in a single segment file.
func logOptions() *wal.Options {
	return &wal.Options{SegmentSize: math.MaxInt, NoCopy: true}
}

// removeStale removes temporary files and the files of other generations.
func (f *Folder) removeStale() error {
	current := map[string]bool{snapshotName(f.generation): true, logName(f.generation): true}
	found, err := os.ReadDir(f.path)
	if err != nil {
		return err
	}
	for _, d := range found {
		stale := isTemporary(d.Name()) || isGeneration(d.Name()) && !current[d.Name()]
		if stale {
			if err := os.RemoveAll(f.filePath(d.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}

func isGeneration(name string) bool {
	return strings.HasPrefix(name, "log-") || strings.HasPrefix(name, "snapshot-")
}

// isTemporary reports whether a file is a leftover of an atomic replacement that
// was interrupted by a crash.
func isTemporary(name string) bool {
	rest, ok := strings.CutPrefix(name, ".")
	return ok && (isGeneration(rest) || strings.HasPrefix(rest, identityName) || strings.HasPrefix(rest, currentName))
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

func logName(g uint64) string { return fmt.Sprintf("log-%d", g) }

func snapshotName(g uint64) string { return fmt.Sprintf("snapshot-%d", g) }

// readSealed returns the body of a sealed file.
func (f *Folder) readSealed(name string) ([]byte, error) {
	b, err := os.ReadFile(f.filePath(name))
	if err != nil {
		return nil, err
	}
	body, ok := unseal(b)
	if !ok {
		return nil, f.damageError(name, errMalformed)
	}
	return body, nil
}

// replaceSealed atomically replaces a sealed file and syncs it and its directory.
func (f *Folder) replaceSealed(name string, body []byte) error {
	p, err := renameio.NewPendingFile(f.filePath(name), renameio.WithTempDir(f.path))
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

// damageError returns an error with code [result.DiskDamaged] for a file.
func (f *Folder) damageError(name string, err error) error {
	return result.New(result.DiskDamaged, "%s: %w", f.filePath(name), err)
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
