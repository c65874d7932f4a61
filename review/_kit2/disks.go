package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// catchUpTime is the sheet's catchUpS: a machine counts as lost for so long after
	// it is back.
	catchUpTime = 4 * time.Second
	// restartDelay is how long a machine that loses its disk is down.
	restartDelay = 100 * time.Millisecond
	// turnMargin is kept beyond catchUpTime before the next machine loses its disk.
	turnMargin = 30 * time.Millisecond
)

// versioned returns a config that differs from others in its version and a timeout.
func versioned(version int) string {
	c := strings.Replace(deskConfig, `"version":1,`, fmt.Sprintf(`"version":%d,`, version), 1)
	return strings.Replace(c, `"timeoutMs":2500`, fmt.Sprintf(`"timeoutMs":%d`, 2500+version), 1)
}

// leader returns the machine that has logged last that it leads.
func (w *world) leader() *daemon {
	var found *daemon
	best := 0
	for _, d := range w.daemons {
		f, err := os.Open(filepath.Join(w.dir, d.name+".log"))
		if err != nil {
			continue
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			var line struct {
				Msg, Role string
				Term      int
			}
			if json.Unmarshal(s.Bytes(), &line) == nil && line.Msg == "role changed" && line.Role == "leader" && line.Term > best {
				found, best = d, line.Term
			}
		}
		_ = f.Close()
	}
	return found
}

// operator sends a new config again and again, with a pause, until stop is closed.
type operator struct {
	w     *world
	mu    sync.Mutex
	acked int
	at    time.Time
}

func (o *operator) run(stop chan struct{}, pause time.Duration) {
	for version := 2; ; version++ {
		for {
			select {
			case <-stop:
				return
			default:
			}
			d := o.w.daemons[rand.IntN(len(o.w.daemons))]
			status, _ := call(http.MethodPut, "http://"+d.addr(o.w.ports.control)+wire("config"), versioned(version), time.Second)
			if status == http.StatusOK {
				o.w.note("config %d acknowledged by %s", version, d.name)
				o.mu.Lock()
				o.acked, o.at = version, time.Now()
				o.mu.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(pause)
	}
}

func (o *operator) last() (int, time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acked, o.at
}

// playDisks: machines lose their disks one after the other, each once the one before
// has been back for as long as the sheet asks.
func playDisks(w *world) bool {
	w.startDaemons(6, 3)
	w.putConfig(versioned(1))
	w.awaitReady()
	o := &operator{w: w}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { o.run(stop, 330*time.Millisecond) })
	time.Sleep(2*stableTime + time.Second)
	lost := 0
	for range 12 {
		d := w.leader()
		if d == nil || d.dataDir == "" {
			w.fail("no leader is known")
		}
		if !w.trouble {
			time.Sleep(restartDelay + catchUpTime + turnMargin)
			continue
		}
		lost++
		w.loseDisk(d, restartDelay)
		back := time.Now()
		time.Sleep(time.Until(back.Add(catchUpTime + turnMargin)))
		if _, at := o.last(); time.Since(at) > 8*time.Second {
			break
		}
	}
	// All machines have been back for long when the operator reads the config.
	time.Sleep(16 * time.Second)
	close(stop)
	wg.Wait()
	acked, at := o.last()
	newest := 0
	for end := time.Now().Add(2 * stableTime); newest < acked && time.Now().Before(end); {
		for _, d := range w.daemons {
			status, v := w.readConfig(d)
			newest = max(newest, v)
			w.note("%s answers a read of the config: status %d, version %d", d.name, status, v)
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.say("%d machines lost their disks one after the other; config %d was acknowledged %.1f s before the reads, which gave version %d (0: none)", lost, acked, time.Since(at).Seconds(), newest)
	return newest < acked
}
