package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Bounds of the sites' sheets.
	drainTime  = 2 * time.Second
	stableTime = 3 * time.Second
)

// startDesk starts n replicas of a plain service.
func (w *world) startDesk(n int, onLine func(r *replica, at time.Time, fields []string), args ...string) []*replica {
	port := freePort(n)
	var out []*replica
	for i := range n {
		r := &replica{
			id: fmt.Sprintf("i-desk%d", i+1), addr: fmt.Sprintf("127.50.%d.1:%d", i+1, port+i), onLine: onLine,
			args: append([]string{"--service", "desk", "--zone", fmt.Sprintf("z%d", i%3+1)}, args...),
		}
		w.startReplica(r)
		out = append(out, r)
	}
	return out
}

// desk sends requests of both kinds from three zones, at a rate a second, until stop
// is closed.
func (w *world) desk(perSecond int, stop chan struct{}, seen func(q request, r response)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for zone := range 3 {
		c := w.newClients(fmt.Sprintf("z%d", zone+1))
		wg.Go(func() {
			tick := time.NewTicker(3 * time.Second / time.Duration(perSecond))
			defer tick.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				q := request{id: newID(), method: http.MethodPost, path: "/book/x", body: "turn", deadline: 2500 * time.Millisecond}
				if n%3 == 0 {
					q.method, q.path, q.body = http.MethodGet, "/read/x", ""
				}
				wg.Go(func() {
					w.note("client %s sends %s %s", c.zone, q.id, q.path)
					r := c.send(q)
					w.note("client %s gets %s from %s: status %d, error %v", c.zone, q.id, r.at, r.status, r.err)
					if seen != nil {
						seen(q, r)
					}
				})
			}
		})
	}
	return &wg
}

// awaitService waits until requests are answered through every machine.
func (w *world) awaitService(q request) {
	c := w.newClients("z1")
	for _, d := range w.daemons {
		for {
			q.id, q.at = newID(), d.addr(w.ports.front)
			if r := c.send(q); r.status == http.StatusOK && r.err == nil {
				break
			}
			if time.Since(w.begun) > 40*time.Second {
				w.fail("no answer through %s", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("requests are answered through every machine")
}

// playDeparture: a replica says that it is gone, and the machine that acknowledges
// that loses its process right after it.
func playDeparture(w *world) bool {
	w.startDaemons(6, 3)
	var mu sync.Mutex
	type arrival struct {
		at time.Time
		by string
		id string
	}
	arrivals := make(map[string][]arrival)
	acked := make(chan time.Time, 1)
	victim := w.daemons[4]
	replicas := w.startDesk(3, func(r *replica, at time.Time, fields []string) {
		switch {
		case fields[0] == "reached":
			mu.Lock()
			arrivals[r.id] = append(arrivals[r.id], arrival{at, fields[3], fields[1]})
			mu.Unlock()
		case fields[0] == "leave" && len(acked) == 0:
			if w.trouble {
				victim.signal(9)
			}
			acked <- at
		}
	})
	w.putConfig(deskConfig)
	w.awaitReady()
	w.awaitService(request{method: http.MethodGet, path: "/read/x", deadline: 2500 * time.Millisecond})
	stop := make(chan struct{})
	wg := w.desk(30, stop, nil)
	// All machines are in touch for longer than stableTime.
	time.Sleep(2 * stableTime)
	leaving := replicas[0]
	leaving.tell("leave " + victim.addr(w.ports.control))
	var at time.Time
	select {
	case at = <-acked:
	case <-time.After(10 * time.Second):
		w.fail("the departure was not acknowledged")
	}
	w.say("departure of %s acknowledged by %s", leaving.id, victim.name)
	if w.trouble {
		w.note("%s killed", victim.name)
		_ = victim.cmd.Wait()
		time.AfterFunc(3*time.Second, func() { w.startDaemon(victim) })
	}
	// The replica goes on serving for drainTime and 6 s more.
	time.Sleep(time.Until(at.Add(drainTime + 6*time.Second)))
	leaving.end()
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := make(map[string]int)
	total, last := 0, time.Duration(0)
	for _, a := range arrivals[leaving.id] {
		d := w.daemonAt(a.by)
		if a.at.After(at.Add(drainTime)) && d != nil && d != victim {
			late[d.name]++
			total++
			last = a.at.Sub(at)
		}
	}
	w.say("%d requests reached %s later than %s after the ack, the last one after %.1f s, by machine %v", total, leaving.id, drainTime, last.Seconds(), late)
	return total > 0
}

// playPoison: a part of prompts crashes each replica that begins to write an answer on
// it. Answers have neither a length nor chunks.
func playPoison(w *world) bool { return playDeadlyPart(w, "f1f1f1f1:350", "--unframed") }

// playLong: as above, but answers are chunked, and the prompts have forty parts besides
// the deadly one.
func playLong(w *world) bool {
	var parts []string
	for n := range 40 {
		parts = append(parts, fmt.Sprintf("f1f1%04x:10", n))
	}
	return playDeadlyPart(w, strings.Join(parts, ","), "")
}

// playDeadlyPart plays requests of which one in eight has a part that crashes replicas,
// after the parts that all of them share.
func playDeadlyPart(w *world, shared, flag string) bool {
	w.startDaemons(3, 3)
	const replicas = 6
	var mu sync.Mutex
	var crashes, reached []time.Time
	port := freePort(replicas)
	for i := range replicas {
		r := &replica{
			id: fmt.Sprintf("i-scribe%d-1", i+1), addr: fmt.Sprintf("127.51.%d.1:%d", i+1, port+i),
			args: []string{"--service", "scribe", "--zone", fmt.Sprintf("z%d", i%3+1), "--slots", "64", "--model", "daka51", "--deadly", "dead0001", "--load", "1100ms"},
		}
		if flag != "" {
			r.args = append(r.args, flag)
		}
		r.args = append(r.args, "--holds")
		r.onLine = func(_ *replica, at time.Time, fields []string) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case fields[0] == "crash":
				crashes = append(crashes, at)
			case fields[0] == "reached" && strings.Contains(fields[len(fields)-1], ",dead0001:"):
				reached = append(reached, at)
			}
		}
		r.onEnd = func(r *replica) {
			// The replica is back after some seconds, as another incarnation and empty.
			time.AfterFunc(2*time.Second, func() {
				if w.over() {
					return
				}
				r.id = fmt.Sprintf("i-scribe%d-%d", i+1, r.started+1)
				if r.args[len(r.args)-1] == "--holds" {
					r.args = r.args[:len(r.args)-1]
				}
				w.startReplica(r)
			})
		}
		w.startReplica(r)
	}
	w.putConfig(scribeConfig)
	w.awaitReady()
	note := func(shared string) request {
		return request{
			id: newID(), method: http.MethodPost, path: "/note/x", deadline: 15 * time.Second, body: "draft " + newID(),
			header: map[string]string{wire("model"): "daka51", wire("tokens"): "700,16", wire("parts"): shared + "," + newID()[:8] + ":250"},
		}
	}
	w.awaitService(note(shared))
	time.Sleep(2 * stableTime)
	var wg sync.WaitGroup
	var sound, served, cut, doomed atomic.Int64
	clients := []*clients{w.newClients("z1"), w.newClients("z2"), w.newClients("z3")}
	for end, n := time.Now().Add(45*time.Second), 0; time.Now().Before(end); n++ {
		c := clients[n%3]
		q := note(shared)
		// One request in eight has the part that crashes replicas.
		deadly := w.trouble && n%8 == 7
		if deadly {
			q = note(shared + ",dead0001:100")
			doomed.Add(1)
		}
		wg.Go(func() {
			w.note("client %s sends %s parts %q", c.zone, q.id, q.header[wire("parts")])
			r := c.send(q)
			pieces := strings.Count(r.body, "\n\n")
			w.note("client %s gets %s from %s: status %d, %d pieces, error %v", c.zone, q.id, r.at, r.status, pieces, r.err)
			if deadly {
				return
			}
			sound.Add(1)
			switch {
			case r.status == http.StatusOK && r.err == nil && pieces == 8:
				served.Add(1)
			case r.status == http.StatusOK && r.err == nil:
				cut.Add(1)
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.After(crashes[4].Add(stableTime)) {
				late++
			}
		}
	}
	w.say("%d of %d sound requests served in full, %d ended as complete before their last piece", served.Load(), sound.Load(), cut.Load())
	w.say("%d requests with the deadly part were sent, %d replicas crashed, %d such requests reached replicas later than %s after the fifth crash (3 are allowed)", doomed.Load(), len(crashes), late, stableTime)
	if !w.trouble && served.Load() < sound.Load()*9/10 {
		w.fail("too few sound requests were served")
	}
	return late > 3
}
