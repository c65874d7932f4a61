package disk

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"papayaspoke/core/coordination/consensus"
	"papayaspoke/core/coordination/entry"
	"papayaspoke/core/ident"
	"papayaspoke/core/option"
	"papayaspoke/core/result"
)

// batch returns a batch with count entries from index first on.
func batch(number, term, first uint64, count int) consensus.WriteBatch {
	vote := consensus.Voter{Daemon: "a", Disk: "x"}
	p := consensus.WriteBatch{Number: number, Hard: consensus.HardState{Cluster: "c", Term: term, Vote: vote}}
	for i := range uint64(count) {
		data := fmt.Appendf(nil, "entry %d of term %d", first+i, term)
		p.Entries = append(p.Entries, entry.Entry{Index: first + i, Term: term, Kind: entry.Command, Data: data})
	}
	return p
}

func withSnapshot(p consensus.WriteBatch, index, term uint64) consensus.WriteBatch {
	members := consensus.NewMembers([]consensus.Voter{{Daemon: "a", Disk: "x"}}, []consensus.Voter{{Daemon: "b", Disk: "y"}})
	p.Snapshot = option.Some(consensus.Snapshot{Index: index, Term: term, Members: members, Data: bytes.Repeat([]byte("s"), 5000)})
	return p
}

func open(t testing.TB, path string) *Folder {
	f, err := Open(path, "a")
	assert.NilError(t, err)
	return f
}

// filled returns a folder, closed, with five records after the first.
func filled(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	for i := range uint64(5) {
		assert.NilError(t, f.Write([]consensus.WriteBatch{batch(i+1, 1, i*10+1, 10)}))
	}
	assert.NilError(t, f.Close())
	return path
}

func logFile(path string, g uint64) string { return filepath.Join(path, logName(g), segmentName) }

// change rewrites a file.
func change(t *testing.T, name string, f func([]byte) []byte) {
	b, err := os.ReadFile(name)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(name, f(b), 0o600))
}

// contents returns the contents of all files but the lock.
func contents(t *testing.T, path string) map[string]string {
	all := map[string]string{}
	err := filepath.WalkDir(path, func(name string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || d.Name() == lockName {
			return err
		}
		b, err := os.ReadFile(name)
		all[name] = string(b)
		return err
	})
	assert.NilError(t, err)
	return all
}

func TestRestartKeepsState(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	f := open(t, path)
	voter := f.Voter()
	assert.Assert(t, len(voter.Disk) >= 20)
	var want consensus.PersistentState
	write := func(ps ...consensus.WriteBatch) {
		assert.NilError(t, f.Write(ps))
		for _, p := range ps {
			assert.NilError(t, merge(&want, p))
		}
		assert.NilError(t, f.Close())
		f = open(t, path)
		assert.Equal(t, f.Voter(), voter)
		assert.DeepEqual(t, f.State().Hard, want.Hard)
		assert.DeepEqual(t, f.State().Entries, want.Entries)
		assert.DeepEqual(t, f.State().Snapshot.Data, want.Snapshot.Data)
		assert.DeepEqual(t, f.State().Snapshot.Members.Voters(), want.Snapshot.Members.Voters())
		assert.DeepEqual(t, f.State().Snapshot.Members.Learners(), want.Snapshot.Members.Learners())
	}
	write(batch(1, 1, 1, 3))
	write(batch(2, 2, 2, 1), batch(3, 2, 3, 400))
	write(batch(4, 5, 1, 0))
	write(batch(5, 5, 100, 300))
	write(withSnapshot(batch(6, 5, 350, 50), 349, 5))
	write(batch(7, 6, 360, 5))
	write(batch(8, 6, 365, 1), withSnapshot(batch(9, 7, 366, 0), 365, 6), batch(10, 7, 366, 2))
	assert.Equal(t, f.generation, uint64(3))
	write(withSnapshot(batch(11, 8, 1, 0), 1000, 8))
	assert.NilError(t, f.Close())
	left, err := filepath.Glob(filepath.Join(path, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 5, "%v", left)
}

// TestTornTail cuts the last record at every length.
func TestTornTail(t *testing.T) {
	path := filled(t)
	whole, err := os.ReadFile(logFile(path, 1))
	assert.NilError(t, err)
	last := 0
	for last+recordSize(whole[last:]) < len(whole) {
		last += recordSize(whole[last:])
	}
	for size := last + 1; size < len(whole); size++ {
		torn := map[string][]byte{
			"short": whole[:size],
			"zeros": append(slices.Clone(whole[:size]), make([]byte, len(whole)-size)...),
		}
		for name, b := range torn {
			assert.NilError(t, os.WriteFile(logFile(path, 1), b, 0o600))
			f := open(t, path)
			assert.Equal(t, len(f.State().Entries), 40, "%s at %d", name, size)
			assert.NilError(t, f.Write([]consensus.WriteBatch{batch(1, 2, 41, 1)}))
			assert.NilError(t, f.Close())
			f = open(t, path)
			assert.Equal(t, len(f.State().Entries), 41)
			assert.NilError(t, f.Close())
		}
	}
}

// TestDamageIsRefused checks that damage is told and that nothing is changed.
func TestDamageIsRefused(t *testing.T) {
	flip := func(at int) func([]byte) []byte {
		return func(b []byte) []byte {
			b[(at+len(b))%len(b)] ^= 0x40
			return b
		}
	}
	remove := func(name string) func(*testing.T, string) {
		return func(t *testing.T, path string) { assert.NilError(t, os.RemoveAll(filepath.Join(path, name))) }
	}
	in := func(name string, f func([]byte) []byte) func(*testing.T, string) {
		return func(t *testing.T, path string) { change(t, filepath.Join(path, name), f) }
	}
	log := filepath.Join("log-2", segmentName)
	cases := map[string]func(*testing.T, string){
		"first record":     in(log, flip(20)),
		"record in middle": in(log, flip(-700)),
		"length in middle": in(log, func(b []byte) []byte {
			b[recordSize(b)] = 0xff
			return b
		}),
		"log is empty":     in(log, func([]byte) []byte { return nil }),
		"identity":         in(identityName, flip(-1)),
		"identity cut":     in(identityName, func(b []byte) []byte { return b[:5] }),
		"current":          in(currentName, flip(-1)),
		"snapshot":         in("snapshot-2", flip(3000)),
		"snapshot cut":     in("snapshot-2", func(b []byte) []byte { return b[:4000] }),
		"no identity":      remove(identityName),
		"no current":       remove(currentName),
		"no snapshot":      remove("snapshot-2"),
		"no log":           remove("log-2"),
		"log without file": remove(log),
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			path := filled(t)
			f := open(t, path)
			assert.NilError(t, f.Write([]consensus.WriteBatch{withSnapshot(batch(1, 1, 31, 20), 30, 1)}))
			for i := range uint64(3) {
				assert.NilError(t, f.Write([]consensus.WriteBatch{batch(1, 1, 51+10*i, 10)}))
			}
			assert.NilError(t, f.Close())
			damage(t, path)
			before := contents(t, path)
			for range 2 {
				_, err := Open(path, "a")
				assert.Equal(t, result.CodeOf(err), result.DiskDamaged, "%v", err)
			}
			assert.DeepEqual(t, contents(t, path), before)
		})
	}
}

// TestMissingSnapshotIsDamage checks the case where no entry shows the gap.
func TestMissingSnapshotIsDamage(t *testing.T) {
	path := filled(t)
	f := open(t, path)
	assert.NilError(t, f.Write([]consensus.WriteBatch{withSnapshot(batch(1, 1, 1, 0), 50, 1)}))
	assert.NilError(t, f.Close())
	assert.NilError(t, os.Remove(filepath.Join(path, snapshotName(2))))
	_, err := Open(path, "a")
	assert.Equal(t, result.CodeOf(err), result.DiskDamaged)
}

func TestForeignFolder(t *testing.T) {
	path := filled(t)
	_, err := Open(path, "b")
	assert.Equal(t, result.CodeOf(err), result.DiskForeign)
	f := open(t, path)
	_, err = Open(path, "a")
	assert.Equal(t, result.CodeOf(err), result.DiskForeign, "two processes share the folder")
	assert.NilError(t, f.Close())
	assert.NilError(t, open(t, path).Close())
}

func TestLostFolderIsAnotherVoter(t *testing.T) {
	path := filled(t)
	f := open(t, path)
	old := f.Voter()
	assert.NilError(t, f.Close())
	assert.NilError(t, os.RemoveAll(path))
	f = open(t, path)
	assert.Assert(t, f.Voter() != old)
	assert.Equal(t, f.Voter().Daemon, old.Daemon)
	assert.DeepEqual(t, f.State().Hard, consensus.HardState{})
	assert.NilError(t, f.Close())
}

// TestInterruptedFirstStart removes what a crash could keep from the disk.
func TestInterruptedFirstStart(t *testing.T) {
	cases := map[string][]string{
		"identity":             {identityName},
		"identity and current": {identityName, currentName},
		"all but the log":      {identityName, currentName, lockName},
	}
	for name, lost := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "data")
			assert.NilError(t, open(t, path).Close())
			for _, l := range lost {
				assert.NilError(t, os.Remove(filepath.Join(path, l)))
			}
			assert.NilError(t, os.WriteFile(filepath.Join(path, "."+currentName+"17"), nil, 0o600))
			f := open(t, path)
			assert.NilError(t, f.Write([]consensus.WriteBatch{batch(1, 1, 1, 1)}))
			assert.NilError(t, f.Close())
			assert.NilError(t, open(t, path).Close())
		})
	}
}

// TestInterruptedGeneration puts files of a folder with a new snapshot over
// those of the folder before it, as crashes at each step leave them.
func TestInterruptedGeneration(t *testing.T) {
	cases := map[string]struct {
		reached []string
		// snapshot is the index of the snapshot that is in force.
		snapshot uint64
	}{
		"snapshot":    {[]string{"snapshot-2"}, 0},
		"log":         {[]string{"snapshot-2", "log-2"}, 0},
		"current":     {[]string{"snapshot-2", "log-2", currentName}, 30},
		"log alone":   {[]string{"log-2"}, 0},
		"temporaries": {[]string{".snapshot-217", ".current17"}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before, after := filled(t), filled(t)
			f := open(t, after)
			assert.NilError(t, f.Write([]consensus.WriteBatch{withSnapshot(batch(1, 1, 31, 20), 30, 1)}))
			assert.NilError(t, f.Close())
			for _, file := range []string{".snapshot-217", ".current17"} {
				assert.NilError(t, os.WriteFile(filepath.Join(after, file), nil, 0o600))
			}
			for _, file := range tc.reached {
				assert.NilError(t, os.RemoveAll(filepath.Join(before, file)))
				assert.NilError(t, os.Rename(filepath.Join(after, file), filepath.Join(before, file)))
			}
			for range 2 {
				f = open(t, before)
				assert.Equal(t, f.State().Snapshot.Index, tc.snapshot)
				assert.Equal(t, f.State().Snapshot.Index+uint64(len(f.State().Entries)), uint64(50))
				assert.NilError(t, f.Write([]consensus.WriteBatch{withSnapshot(batch(1, 1, tc.snapshot+2, int(50-tc.snapshot-1)), tc.snapshot+1, 1)}))
				tc.snapshot++
				assert.NilError(t, f.Close())
			}
			left, err := os.ReadDir(before)
			assert.NilError(t, err)
			assert.Equal(t, len(left), 5, "%v", left)
		})
	}
}

func TestRecover(t *testing.T) {
	path := filled(t)
	f := open(t, path)
	st := consensus.RecoveredState("new", []consensus.Voter{f.Voter()}, 50, 1, []byte("state"))
	assert.NilError(t, f.Recover(st))
	assert.NilError(t, f.Close())
	f = open(t, path)
	assert.Equal(t, f.State().Hard.Cluster, "new")
	assert.DeepEqual(t, f.State().Snapshot.Data, []byte("state"))
	assert.Equal(t, len(f.State().Entries), 0)
	assert.NilError(t, f.Close())
}

func TestWriterGroupsAndRepairsAfterAnError(t *testing.T) {
	f := open(t, filepath.Join(t.TempDir(), "data"))
	type told struct {
		number uint64
		err    error
	}
	ch := make(chan told, 200)
	w := NewWriter(f, func(number uint64, err error) { ch <- told{number, err} })
	for i := range uint64(100) {
		w.Submit(batch(i+1, 1, i+1, 1))
	}
	w.Close()
	last := uint64(0)
	for len(ch) > 0 {
		got := <-ch
		assert.NilError(t, got.err)
		assert.Assert(t, got.number > last)
		last = got.number
	}
	assert.Equal(t, last, uint64(100))

	// A log that is closed fails like a disk that refuses writes. Nothing is
	// told as synced before the folder has everything, on fresh files.
	assert.NilError(t, f.log.Close())
	w = NewWriter(f, func(number uint64, err error) { ch <- told{number, err} })
	w.Submit(batch(101, 1, 101, 1))
	assert.Assert(t, (<-ch).err != nil)
	w.Submit(batch(102, 1, 102, 1))
	assert.Equal(t, <-ch, told{number: 102})
	w.Submit(batch(103, 1, 103, 1))
	assert.Equal(t, <-ch, told{number: 103})
	w.Close()
	path := f.path
	assert.NilError(t, f.Close())
	f = open(t, path)
	entries := f.State().Entries
	assert.Equal(t, len(entries), 103)
	for i, e := range entries {
		assert.Equal(t, e.Index, uint64(i+1))
	}
	assert.NilError(t, f.Close())
}

// TestWriterWaitsForADiskThatRefuses tells nothing as synced while the folder
// can't be written, and ends when it is closed meanwhile.
func TestWriterWaitsForADiskThatRefuses(t *testing.T) {
	f := open(t, filepath.Join(t.TempDir(), "data"))
	ch := make(chan uint64, 10)
	w := NewWriter(f, func(number uint64, _ error) { ch <- number })
	w.Submit(batch(1, 1, 1, 1))
	assert.Equal(t, <-ch, uint64(1))
	assert.NilError(t, f.log.Close())
	hidden := f.path + "-hidden"
	assert.NilError(t, os.Rename(f.path, hidden))
	w.Submit(batch(2, 1, 2, 1))
	assert.Equal(t, <-ch, uint64(0))
	time.Sleep(2 * defaultRepairPause)
	assert.Equal(t, len(ch), 0)
	assert.NilError(t, os.Rename(hidden, f.path))
	assert.Equal(t, <-ch, uint64(2))
	w.Close()
	assert.NilError(t, f.Close())
}

// TestNodeContinuesAfterRestart runs a node on a folder through hundreds of
// commits, snapshots and restarts; its state machine counts commands.
func TestNodeContinuesAfterRestart(t *testing.T) {
	const perRun, runs = 500, 5
	path := filepath.Join(t.TempDir(), "data")
	now := time.Unix(1000, 0)
	for run := range runs {
		f := open(t, path)
		st := f.State()
		count := 0
		if run > 0 {
			count, _ = strconv.Atoi(string(st.Snapshot.Data))
		}
		n := consensus.New(now, consensus.Settings{
			Self: f.Voter(), Eligible: []ident.Daemon{"a"}, Random: func(int64) int64 { return 0 },
			NewClusterID: func() string { return "k" },
		}, st)
		step := func(ev consensus.Event) {
			for more := true; more; {
				e := n.Step(now, ev)
				for _, en := range e.Committed {
					if en.Kind == entry.Command {
						count++
					}
				}
				var p consensus.WriteBatch
				if p, more = e.Persist.Get(); more {
					assert.NilError(t, f.Write([]consensus.WriteBatch{p}))
					ev = consensus.Synced(p.Number)
				}
			}
		}
		for !n.Established() {
			now = now.Add(consensus.TickInterval)
			step(consensus.Tick())
		}
		assert.Equal(t, count, run*perRun)
		for i := range uint64(perRun) {
			if step(consensus.Propose(i, []byte("x"))); i == 300 {
				step(consensus.Compact(n.Commit(), strconv.AppendInt(nil, int64(count), 10)))
			}
		}
		assert.Equal(t, n.Term(), uint64(run)+2)
		assert.NilError(t, f.Close())
	}
}

func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 64} {
		b.Run(fmt.Sprintf("group of %d", size), func(b *testing.B) {
			f := open(b, filepath.Join(b.TempDir(), "data"))
			next := uint64(1)
			for b.Loop() {
				var ps []consensus.WriteBatch
				for range size {
					ps = append(ps, batch(next, 1, next, 1))
					next++
				}
				assert.NilError(b, f.Write(ps))
			}
			assert.NilError(b, f.Close())
		})
	}
}
