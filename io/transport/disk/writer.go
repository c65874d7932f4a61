package disk

import (
	"sync"
	"time"

	"papayaspoke/core/coordination/consensus"
)

// defaultRepairPause is short against the time that the others go on without
// this voter, and long against a sync.
const defaultRepairPause = 200 * time.Millisecond

// Writer writes batches on a goroutine of its own. Whatever is submitted while
// a sync runs shares the next one.
type Writer struct {
	folder *Folder
	// done is called after each sync with the last batch's number.
	done func(number uint64, err error)
	// repairPause separates tries to use a folder that refuses writes.
	repairPause time.Duration

	mu sync.Mutex
	// queue holds the submitted batches in order.
	queue  []consensus.WriteBatch
	closed bool
	// wake is signalled when queue or closed changes.
	wake     *sync.Cond
	finished chan struct{}
}

// NewWriter starts a writer. It calls done from its goroutine, with the number
// for a [consensus.Synced] event. An error with number 0 tells that the disk
// refuses writes: nothing is reported as synced until it works again, and then
// everything at once.
func NewWriter(f *Folder, done func(number uint64, err error)) *Writer {
	w := &Writer{folder: f, done: done, finished: make(chan struct{}), repairPause: defaultRepairPause}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Submit hands over a batch. It never blocks on the disk.
func (w *Writer) Submit(p consensus.WriteBatch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, p)
	w.wake.Signal()
}

// Close writes what was submitted and ends the goroutine.
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
		ps := w.take()
		if len(ps) == 0 {
			return
		}
		if err := w.folder.Write(ps); err != nil {
			w.done(0, err)
			if ps = w.repair(ps); ps == nil {
				return
			}
		}
		w.done(ps[len(ps)-1].Number, nil)
	}
}

// repair tries until the folder takes the batches and all that were submitted
// meanwhile. It returns them, or nil if the writer is closed first.
func (w *Writer) repair(ps []consensus.WriteBatch) []consensus.WriteBatch {
	for {
		time.Sleep(w.repairPause)
		more, closed := w.waiting()
		ps = append(ps, more...)
		if err := w.folder.Repair(ps); err == nil {
			return ps
		}
		if closed {
			return nil
		}
	}
}

// waiting takes what was submitted, without waiting for it.
func (w *Writer) waiting() ([]consensus.WriteBatch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.queue
	w.queue = nil
	return ps, w.closed
}

// take waits for batches; it returns none once the writer is closed.
func (w *Writer) take() []consensus.WriteBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	ps := w.queue
	w.queue = nil
	return ps
}
