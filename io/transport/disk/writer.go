package disk

import (
	"sync"
	"time"

	"papayaspoke/core/coordination/consensus"
)

// defaultRepairPause is short compared with the time that the other voters can
// work without this one, and long compared with a sync.
const defaultRepairPause = 200 * time.Millisecond

// Writer writes batches on its own goroutine. Batches that are submitted during a
// sync are grouped into the next one.
type Writer struct {
	folder *Folder
	// onSync is called after each sync with the number of the last batch.
	onSync func(number uint64, err error)
	// repairPause is the pause before each attempt to repair a folder that
	// failed a write.
	repairPause time.Duration

	mu sync.Mutex
	// queue holds the submitted batches in the order of submission.
	queue  []consensus.WriteBatch
	closed bool
	// wake is signalled when queue or closed changes.
	wake     *sync.Cond
	finished chan struct{}
}

// NewWriter starts a writer. It calls onSync from its goroutine with the number
// for a [consensus.Synced] event. Number 0 with an error means that a write
// failed: nothing is reported as synced until the folder is repaired, and then
// one call covers all batches submitted so far.
func NewWriter(f *Folder, onSync func(number uint64, err error)) *Writer {
	w := &Writer{folder: f, onSync: onSync, finished: make(chan struct{}), repairPause: defaultRepairPause}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Submit queues a batch. It never blocks on the disk.
func (w *Writer) Submit(p consensus.WriteBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, p)
	w.wake.Signal()
}

// Close writes the queued batches and waits for the goroutine to end.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	<-w.finished
}

func (w *Writer) run() {
	defer close(w.finished)
	for {
		ps := w.awaitBatches()
		if len(ps) == 0 {
			return
		}
		if err := w.folder.Write(ps); err != nil {
			w.onSync(0, err)
			if ps = w.repair(ps); ps == nil {
				return
			}
		}
		w.onSync(ps[len(ps)-1].Number, nil)
	}
}

// repair retries until the folder has stored ps and all batches submitted in the
// meantime. It returns the stored batches, or nil if the writer is closed first.
func (w *Writer) repair(ps []consensus.WriteBatch) []consensus.WriteBatch {
	for {
		time.Sleep(w.repairPause)
		more, closed := w.drainQueue()
		ps = append(ps, more...)
		if err := w.folder.Repair(ps); err == nil {
			return ps
		}
		if closed {
			return nil
		}
	}
}

// drainQueue removes and returns the queued batches without waiting, and reports
// whether the writer is closed.
func (w *Writer) drainQueue() ([]consensus.WriteBatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.queue
	w.queue = nil
	return ps, w.closed
}

// awaitBatches waits for batches and removes them from the queue. It returns none
// once the writer is closed and the queue is empty.
func (w *Writer) awaitBatches() []consensus.WriteBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	ps := w.queue
	w.queue = nil
	return ps
}
