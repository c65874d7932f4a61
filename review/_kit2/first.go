package main

import (
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// coreDown is how long the core is down: it is back within a second.
	coreDown = 500 * time.Millisecond
	// firstStartAge is how old the first start is when the core is killed.
	firstStartAge = 300 * time.Millisecond
	// recoverTime is the sheet's recoverS.
	recoverTime = 12 * time.Second
)

// playFirst: all processes of the core are killed at the same moment while the system
// starts for the first time, and are back within a second.
func playFirst(w *world) bool {
	begun := time.Now()
	w.startDaemons(6, 3)
	w.startDesk(3, nil)
	core := w.daemons[:3]
	if w.trouble {
		time.Sleep(time.Until(begun.Add(firstStartAge)))
		for _, d := range core {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range core {
			_ = d.cmd.Wait()
			w.note("%s killed", d.name)
		}
		for _, d := range core {
			files, _ := os.ReadDir(d.dataDir)
			w.note("%s keeps its disk with %d files", d.name, len(files))
		}
		time.Sleep(coreDown)
		for _, d := range core {
			w.startDaemon(d)
		}
	}
	back := time.Now()
	acked := false
	end := back.Add(4*recoverTime + 12*time.Second)
	for i := 0; time.Now().Before(end) && !acked; i++ {
		d := w.daemons[rand.IntN(len(w.daemons))]
		status, body := call(http.MethodPut, "http://"+d.addr(w.ports.control)+"/-/config", deskConfig, time.Second)
		acked = status == http.StatusOK
		if i%20 == 0 || acked {
			w.note("config sent to %s: status %d %s", d.name, status, body)
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.say("first config acknowledged: %t, %.1f s after the core was back", acked, time.Since(back).Seconds())
	time.Sleep(2 * time.Second)
	var sent, served atomic.Int64
	stop := make(chan struct{})
	wg := w.desk(20, stop, func(_ request, r response) {
		sent.Add(1)
		if r.status == http.StatusOK && r.err == nil {
			served.Add(1)
		}
	})
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	w.say("%d of %d requests served", served.Load(), sent.Load())
	if !w.trouble && served.Load() < sent.Load()*9/10 {
		w.fail("too few requests were served")
	}
	return served.Load() == 0
}
