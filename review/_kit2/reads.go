package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readInterval is the time between two reads of the config, which go to one machine
	// after the other: each of the six is read about twice a second.
	readInterval = 80 * time.Millisecond
	// diskDown is how long a machine that loses its disk is down.
	diskDown = time.Second
	// lossInterval is how long a machine has been back before the next one loses its
	// disk: five times catchUpS.
	lossInterval = 5 * catchUpTime
)

// readConfig reads the config at a machine; the version is 0 if it doesn't come.
func (w *world) readConfig(d *daemon) (status, version int) {
	status, body := call(http.MethodGet, "http://"+d.addr(w.ports.control)+wire("config"), "", time.Second)
	var c struct{ Version int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &c) != nil {
		return status, 0
	}
	return status, c.Version
}

// loseDisk ends a machine, empties its disk and starts it again after some time.
func (w *world) loseDisk(d *daemon, down time.Duration) {
	w.kill(d)
	if err := os.RemoveAll(d.dataDir); err != nil {
		w.fail("disk of %s: %v", d.name, err)
	}
	if err := os.MkdirAll(d.dataDir, 0o700); err != nil {
		w.fail("disk of %s: %v", d.name, err)
	}
	w.note("%s has lost its disk", d.name)
	time.Sleep(down)
	w.startDaemon(d)
}

// playReads: two machines lose their disks, long after each other, while the operator
// reads the config at every machine a few times a second.
func playReads(w *world) bool {
	w.startDaemons(6, 3)
	w.putConfig(versioned(1))
	w.awaitReady()
	o := &operator{w: w}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { o.run(stop, time.Second) })
	interval := readInterval
	if os.Getenv("SLOW") == "1" {
		interval = 10 * readInterval
	}
	var reads, answered atomic.Int64
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			d := w.daemons[i%len(w.daemons)]
			wg.Go(func() {
				reads.Add(1)
				if _, v := w.readConfig(d); v > 0 {
					answered.Add(1)
				}
			})
		}
	})
	time.Sleep(2*stableTime + time.Second)
	first := rand.IntN(3)
	for _, i := range []int{first, (first + 1) % 3} {
		if w.trouble {
			w.loseDisk(w.daemons[i], diskDown)
		}
		time.Sleep(lossInterval)
		acked, at := o.last()
		w.say("%s has been back for %s; config %d was acknowledged %.1f s ago", w.daemons[i].name, lossInterval, acked, time.Since(at).Seconds())
	}
	close(stop)
	wg.Wait()
	// Nobody else reads now, and all machines have been back for long.
	time.Sleep(2 * catchUpTime)
	acked, at := o.last()
	newest := 0
	for end := time.Now().Add(2 * stableTime); newest < acked && time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, d := range w.daemons {
			status, v := w.readConfig(d)
			newest = max(newest, v)
			w.note("%s answers a read of the config: status %d, version %d", d.name, status, v)
		}
	}
	w.say("%d of %d reads were answered before; config %d was acknowledged %.1f s before the last reads, which gave version %d (0: none)", answered.Load(), reads.Load(), acked, time.Since(at).Seconds(), newest)
	return newest < acked
}
