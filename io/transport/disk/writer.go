package disk

import (
	"sync"

	"papayaspoke/core/coordination/consensus"
)

// Writer writes batches on a goroutine of its own. Whatever is submitted while
// a sync runs shares the next one.
type Writer struct {
	folder *Folder
	// done is called after each sync with the last batch's number.
	done func(number uint64, err error)

	mu sync.Mutex
	// queue holds the submitted batches in order.
	queue  []consensus.Persist
	closed bool
	// wake is signalled when queue or closed changes.
	wake     *sync.Cond
	finished chan struct{}
}

// NewWriter starts a writer. It calls done from its goroutine, with the number
// for a [consensus.Synced] event or with the error that ended the writing:
// after that the process must stop, since it cannot know what the disk holds.
func NewWriter(f *Folder, done func(number uint64, err error)) *Writer {
	w := &Writer{folder: f, done: done, finished: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Submit hands over a batch. It never blocks on the disk.
func (w *Writer) Submit(p consensus.Persist) {
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
		err := w.folder.Write(ps)
		w.done(ps[len(ps)-1].Number, err)
		if err != nil {
			return
		}
	}
}

// take waits for batches; it returns none once the writer is closed.
func (w *Writer) take() []consensus.Persist {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == 0 && !w.closed {
		w.wake.Wait()
	}
	ps := w.queue
	w.queue = nil
	return ps
}
