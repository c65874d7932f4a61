package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// doubleSlash sends requests whose path begins with two slashes.
func doubleSlash(j *journal, trouble bool) bool {
	c := newCluster(j, 3)
	defer c.stop()
	var mu sync.Mutex
	got := make(map[string]request)
	x := newReplica(c, "i-1", "app", 6, func(x *replica, w net.Conn, r request) bool {
		if r.id() != "" {
			mu.Lock()
			got[r.id()] = r
			mu.Unlock()
			j.note("replica %s runs %s: %q, Host %q", x.id, r.id(), r.line, r.header.Get("Host"))
		}
		writeAnswer(w, r, 200, wire("@signature@: s.")+r.id()+wire("\r\n@instance@: ")+x.id+"\r\n", []byte("done"))
		return true
	})
	x.beat()
	c.putConfig(wire(`{"version":1,"routes":[{"name":"r1","host":"app.example","@prefix@":"/","kind":"unsafe","timeoutMs":2500,"@aim@":150,"priority":1,"service":"app","maxAttempts":1}],
	"services":[{"name":"app","healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`), 15*time.Second)
	c.awaitReady(10 * time.Second)
	for n, end := 0, time.Now().Add(10*time.Second); ; n++ {
		if a := send(c.daemons[0].front, http.MethodPost, "/start/", "app.example", fmt.Sprint("warm", n), "", nil, 2500*time.Millisecond); a.status == 200 {
			break
		}
		if time.Now().After(end) {
			fail("no request is served")
		}
		time.Sleep(200 * time.Millisecond)
	}
	bad := false
	for n := range 6 {
		target := fmt.Sprintf("/visits/%d/confirm?n=%d", n, n)
		if trouble {
			target = "/" + target
		}
		id := fmt.Sprint("q", n)
		j.note("client sends %s: POST %s, Host app.example", id, target)
		a := send(c.daemons[n%3].front, http.MethodPost, target, "app.example", id, "", []byte("turn"), 2500*time.Millisecond)
		j.note("client got for %s: %s", id, a)
		mu.Lock()
		r, ok := got[id]
		mu.Unlock()
		if !ok {
			continue
		}
		host, path := r.effective()
		j.note("the replica reads the target of %s as host %q, path %q", id, host, path)
		if host != "app.example" || path != target {
			j.note("BROKEN: %s was sent for host %q, path %q", id, "app.example", target)
			bad = true
		}
	}
	return bad
}

// departure has a replica leave with an acknowledged DELETE, kills all processes of the
// core, which are back within a second, and delivers a status report late that the
// replica had sent before it left.
func departure(j *journal, trouble bool) bool {
	const drain = 2 * time.Second
	c := newCluster(j, 3)
	defer c.stop()
	var mu sync.Mutex
	var left time.Time
	late, served, cut := 0, 0, 0
	gone := make(chan struct{})
	handle := func(x *replica, w net.Conn, r request) bool {
		if r.id() == "" || strings.HasPrefix(r.target(), "/healthz") {
			writeAnswer(w, r, 200, wire("@instance@: ")+x.id+"\r\n", []byte("{}"))
			return true
		}
		mu.Lock()
		after := time.Duration(0)
		if x.id == "i-leaves" && !left.IsZero() {
			after = time.Since(left)
		}
		if after > drain {
			late++
		}
		served++
		mu.Unlock()
		j.note("replica %s runs %s (%s after the ack of its DELETE)", x.id, r.id(), after.Round(time.Millisecond))
		select {
		case <-time.After(30 * time.Millisecond):
		case <-gone:
			if x.id == "i-leaves" {
				mu.Lock()
				cut++
				mu.Unlock()
				return false
			}
		}
		writeAnswer(w, r, 200, wire("@signature@: s.")+r.id()+wire("\r\n@instance@: ")+x.id+"\r\n", []byte("done"))
		return true
	}
	stays, leaves := newReplica(c, "i-stays", "app", 6, handle), newReplica(c, "i-leaves", "app", 6, handle)
	stays.beat()
	leaves.beat()
	c.putConfig(appConfig, 15*time.Second)
	c.awaitReady(10 * time.Second)
	n := 0
	load := func(phase string, count int) {
		var wg sync.WaitGroup
		for range count {
			n++
			id, to := fmt.Sprintf("%s-%d", phase, n), c.daemons[n%3]
			wg.Go(func() {
				a := send(to.front, http.MethodGet, "/rota/today", "app.example", id, "", nil, 2500*time.Millisecond)
				j.note("client got for %s from %s: %s", id, to.name, a)
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
	}
	load("before", 50)
	time.Sleep(4 * time.Second)

	// The report leaves the replica now and is on its way for three seconds.
	delayed := leaves.report("ready")
	delayedSent := time.Now()
	j.note("i-leaves sends a status report that is late: %s", delayed)
	leaves.stopBeat()
	time.Sleep(200 * time.Millisecond)
	acked := false
	for _, p := range c.daemons {
		if status, text := call(http.MethodDelete, "http://"+p.control+wire("@instances@/i-leaves"), ""); status == http.StatusOK {
			j.note("DELETE of i-leaves acknowledged by %s", p.name)
			acked = true
			break
		} else {
			j.note("DELETE of i-leaves at %s: status %d, %s", p.name, status, text)
		}
	}
	if !acked {
		fail("no daemon acknowledges the DELETE")
	}
	mu.Lock()
	left = time.Now()
	mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, p := range c.daemons {
			c.signal(p, syscall.SIGKILL)
		}
		for _, p := range c.daemons {
			<-p.ended
		}
		time.Sleep(200 * time.Millisecond)
		for _, p := range c.daemons {
			c.startDaemon(p, false)
		}
	}
	time.Sleep(time.Until(delayedSent.Add(3 * time.Second)))
	j.note("the late status report arrives: acknowledged %t", leaves.tell(delayed))
	// All daemons are in touch again three seconds after they are back.
	time.Sleep(time.Until(left.Add(6 * time.Second)))
	c.awaitReady(time.Second)
	load("after", 60)
	close(gone)
	_ = leaves.listener.Close()
	mu.Lock()
	defer mu.Unlock()
	j.note("requests that reached i-leaves later than %s after the ack of its DELETE: %d of %d", drain, late, served)
	return late > 0
}

var appConfig = wire(`{"version":1,"routes":[{"name":"r1","host":"app.example","@prefix@":"/rota/","kind":"safe","timeoutMs":2500,"@aim@":150,"priority":1,"service":"app","maxAttempts":2},
{"name":"r2","host":"app.example","@prefix@":"/book/","kind":"unsafe","timeoutMs":2500,"@aim@":150,"priority":1,"service":"app","maxAttempts":1}],
"services":[{"name":"app","healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)

// pools are services of model replicas whose replicas a deadly part of a prompt crashes.
type pools struct {
	c *cluster
	j *journal

	mu      sync.Mutex
	deadly  string
	crashes []time.Time
	started int
}

// poolReplica is a replica of one of the pools. A restart leaves it empty but for the copy
// of the model on its disk.
type poolReplica struct {
	mu       sync.Mutex
	sequence int
	// readyAt is when the model is loaded; zero while it has not been ordered.
	readyAt time.Time
	conns   map[net.Conn]bool
}

// diskTime is how long the model takes from a replica's own disk, as in the config.
const diskTime = 1100 * time.Millisecond

// holds reports whether the model is loaded, and whether it is being loaded.
func (q *poolReplica) holds() (held, loading bool) {
	held = !q.readyAt.IsZero() && !time.Now().Before(q.readyAt)
	return held, !q.readyAt.IsZero() && !held
}

// models returns what the replica holds and has copies of, as in reports.
func (q *poolReplica) models() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	models := "[]"
	if held, _ := q.holds(); held {
		models = `[{"name":"base","version":1,"adapters":[]}]`
	}
	return `"stage":"both","models":` + models + `,"available":{"inMemory":[],"onDisk":["base"]}`
}

// order carries out an order to load the model and returns the status of the answer.
func (q *poolReplica) order(body []byte) int {
	var o struct {
		Operation, Model string
		Precondition     *int
	}
	if json.Unmarshal(body, &o) != nil || o.Model != "base" {
		return 400
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	held, loading := q.holds()
	switch {
	case loading || o.Precondition != nil && *o.Precondition != q.sequence:
		return 409
	case o.Operation != "load":
		return 400
	case held:
		return 200
	}
	q.sequence++
	q.readyAt = time.Now().Add(diskTime)
	return 202
}

// start starts a replica of a service, with the model unless it starts again. It starts
// again under another id three seconds after a crash.
func (p *pools) start(service string, again bool) {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("i-%s-%d", service, p.started)
	p.mu.Unlock()
	q := &poolReplica{conns: make(map[net.Conn]bool)}
	if !again {
		q.sequence, q.readyAt = 1, time.Now()
	}
	x := newReplica(p.c, id, service, 64, func(x *replica, w net.Conn, r request) bool {
		q.mu.Lock()
		q.conns[w] = true
		held, loading := q.holds()
		sequence := q.sequence
		q.mu.Unlock()
		switch {
		case r.target() == wire("@report@"):
			writeAnswer(w, r, 200, "Content-Type: application/json\r\n", []byte(fmt.Sprintf(`{%s,"busy":%t,"sequence":%d,"queued":0,"active":0,"kvUsed":0,"kvTotal":120000,"handles":0}`, q.models(), loading, sequence)))
			return true
		case r.target() == wire("@order@"):
			status := q.order(r.body)
			p.j.note("order at %s: %d", x.id, status)
			writeAnswer(w, r, status, "", nil)
			return true
		case r.id() == "":
			writeAnswer(w, r, 200, wire("@instance@: ")+x.id+"\r\n", nil)
			return true
		case loading:
			writeAnswer(w, r, 503, wire("@notrun@: 1\r\n"), nil)
			return true
		case !held:
			writeAnswer(w, r, 421, wire("@notrun@: 1\r\n"), nil)
			return true
		}
		if strings.Contains(r.header.Get(wire("@parts@")), p.deadly+":") {
			p.mu.Lock()
			p.crashes = append(p.crashes, time.Now())
			n := len(p.crashes)
			p.mu.Unlock()
			p.j.note("crash %d: replica %s of %s ends under %s", n, x.id, service, r.id())
			x.stopBeat()
			_ = x.listener.Close()
			q.mu.Lock()
			for o := range q.conns {
				if t, ok := o.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = o.Close()
			}
			q.mu.Unlock()
			time.AfterFunc(3*time.Second, func() { p.start(service, true) })
			return false
		}
		_, _ = w.Write([]byte(wire("HTTP/1.1 200 OK\r\n@requestid@: ") + r.id() + wire("\r\n@signature@: s.") + r.id() + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for n := 1; n <= 5; n++ {
			time.Sleep(20 * time.Millisecond)
			e := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
		}
		_, _ = w.Write([]byte("0\r\n\r\n"))
		return true
	})
	x.extra = func() string { return "," + q.models() }
	x.beat()
}

// deadlyPart sends requests with a part of the prompt that crashes each replica, at
// the routes of several services.
func deadlyPart(j *journal, trouble bool) bool {
	names := []string{"pool-a", "pool-b", "pool-c", "pool-d"}
	c := newCluster(j, 3)
	defer c.stop()
	p := &pools{c: c, j: j, deadly: "dead0001"}
	for _, s := range names {
		for range 4 {
			p.start(s, false)
		}
	}
	var rs, ss []string
	for i, s := range names {
		rs = append(rs, fmt.Sprintf(wire(`{"name":"r%d","host":"app.example","@prefix@":"/%s/","kind":"streaming","timeoutMs":15000,"@aim@":1000,"priority":1,"service":%q,"maxAttempts":1,"sessionAffinity":true,"resumable":false,"targetGapMs":300}`), i, s, s))
		ss = append(ss, fmt.Sprintf(wire(`{"name":%q,"healthPath":"/healthz","maxConnections":380,"protocol":"h1","tls":false,"engine":{"slots":64,"@kv@":120926,"kvBytes":131072,"linkMbps":280000.0,"moves":false,"backups":false,"stride":3,"maxCount":12,"models":[{"name":"base","modelSize":34300.0,"loadTimeS":2.7,"adapters":0,"adapterMb":40.0,"warmS":0.78,"diskS":1.1}],"modelSize":35700.0,"@slots@":18,"loadsPerS":4.2}}`), s))
	}
	c.putConfig(`{"version":1,"routes":[`+strings.Join(rs, ",")+`],"services":[`+strings.Join(ss, ",")+`],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, 15*time.Second)
	c.awaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	ok, other := 0, map[string]int{}
	n := 0
	sound := func() {
		p.mu.Lock()
		n++
		k := n
		p.mu.Unlock()
		service := names[k%len(names)]
		fields := fmt.Sprintf(wire("@model@: base\r\n@tokens@: 60,10\r\n@parts@: aaaa0001:30,bbbb%04x:10,5e55%06x:20\r\n"), k%7, k)
		a := send(c.daemons[k%3].front, http.MethodPost, "/"+service+"/chat", "app.example", fmt.Sprint("sound", k), fields, []byte(fmt.Sprint("prompt ", k)), 15*time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if a.err == nil && a.status == 200 {
			ok++
		} else {
			other[a.String()]++
		}
	}
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
					sound()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	for k := 1; k <= 18; k++ {
		service := names[k%len(names)]
		parts := fmt.Sprintf("aaaa0001:30,%s:10,5e56%06x:20", p.deadly, k)
		if !trouble {
			parts = fmt.Sprintf("aaaa0001:30,cccc0001:10,5e56%06x:20", k)
		}
		id := fmt.Sprint("deadly", k)
		j.note("client sends %s at %s", id, service)
		wg.Go(func() {
			a := send(c.daemons[k%3].front, http.MethodPost, "/"+service+"/chat", "app.example", id, wire("@model@: base\r\n@tokens@: 60,10\r\n@parts@: ")+parts+"\r\n", []byte(fmt.Sprint("a deadly prompt ", k)), 15*time.Second)
			j.note("client got for %s: %s", id, a)
		})
		time.Sleep(3600 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	j.note("sound requests served %d, others %v", ok, other)
	if len(p.crashes) < 5 {
		return false
	}
	late := 0
	for _, at := range p.crashes {
		if at.After(p.crashes[4].Add(3 * time.Second)) {
			late++
		}
	}
	j.note("requests with the deadly part that reached replicas later than 3 s after the fifth crash: %d (3 are allowed)", late)
	return late > 3
}

// earlyDeparture has a replica leave half a second after its start, with an acknowledged
// DELETE, before its first status report has arrived.
func earlyDeparture(j *journal, trouble bool) bool {
	const drain = 2 * time.Second
	c := newCluster(j, 3)
	defer c.stop()
	var mu sync.Mutex
	var left time.Time
	late, served := 0, 0
	handle := func(x *replica, w net.Conn, r request) bool {
		if r.id() == "" {
			writeAnswer(w, r, 200, wire("@instance@: ")+x.id+"\r\n", []byte("{}"))
			return true
		}
		mu.Lock()
		after := time.Duration(0)
		if x.id == "i-leaves" && !left.IsZero() {
			after = time.Since(left)
		}
		if after > drain {
			late++
		}
		served++
		mu.Unlock()
		j.note("replica %s runs %s (%s after the ack of its DELETE)", x.id, r.id(), after.Round(time.Millisecond))
		time.Sleep(30 * time.Millisecond)
		writeAnswer(w, r, 200, wire("@signature@: s.")+r.id()+wire("\r\n@instance@: ")+x.id+"\r\n", []byte("done"))
		return true
	}
	stays := newReplica(c, "i-stays", "app", 6, handle)
	stays.beat()
	c.putConfig(appConfig, 15*time.Second)
	c.awaitReady(10 * time.Second)
	time.Sleep(5 * time.Second)

	leaves := newReplica(c, "i-leaves", "app", 6, handle)
	started := time.Now()
	first := leaves.report("ready")
	j.note("i-leaves starts and sends its first status report: %s", first)
	if !trouble {
		j.note("the first status report arrives: acknowledged %t", leaves.tell(first))
	}
	time.Sleep(time.Until(started.Add(500 * time.Millisecond)))
	if status, text := call(http.MethodDelete, "http://"+c.daemons[1].control+wire("@instances@/i-leaves"), ""); status != http.StatusOK {
		fail("DELETE of i-leaves: status %d, %s", status, text)
	}
	mu.Lock()
	left = time.Now()
	mu.Unlock()
	j.note("DELETE of i-leaves acknowledged by %s", c.daemons[1].name)
	if trouble {
		time.Sleep(time.Until(started.Add(3 * time.Second)))
		j.note("the first status report arrives late: acknowledged %t", leaves.tell(first))
	}
	time.Sleep(time.Until(left.Add(4 * time.Second)))
	var wg sync.WaitGroup
	for n := range 60 {
		id, to := fmt.Sprintf("after-%d", n), c.daemons[n%3]
		wg.Go(func() {
			a := send(to.front, http.MethodGet, "/rota/today", "app.example", id, "", nil, 2500*time.Millisecond)
			j.note("client got for %s from %s: %s", id, to.name, a)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	j.note("requests that reached i-leaves later than %s after the ack of its DELETE: %d of %d", drain, late, served)
	return late > 0
}
