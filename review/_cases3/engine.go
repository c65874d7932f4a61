package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// adapter is an adapter that an engine holds or loads.
type adapter struct {
	version   int
	readyAt   time.Time
	runs      int
	unloading bool
}

// engine is a replica that runs a base model with adapters, as the users' pages describe
// it. Its store has the newest versions of all adapters.
type engine struct {
	j     *journal
	x     *replica
	slots int

	mu       sync.Mutex
	sequence int
	held     map[string]*adapter
	newest   map[string]int
	// last holds the latest answer to a client on each connection.
	last map[net.Conn][]byte
	// repeat is true if the next order to unload an adapter that is in use comes after a
	// late second copy of the latest answer on its connection.
	repeat bool
	// overloaded is true once an order asked for more adapters than there are slots. The
	// replica then crashes.
	overloaded bool
	conns      map[net.Conn]bool
}

// loadTime is how long an adapter takes from the store.
const loadTime = 250 * time.Millisecond

func newEngine(c *cluster, id string, slots int) *engine {
	e := &engine{j: c.j, slots: slots, held: make(map[string]*adapter), newest: make(map[string]int), last: make(map[net.Conn][]byte), conns: make(map[net.Conn]bool), sequence: 1}
	e.x = newReplica(c, id, "scribe", 64, func(_ *replica, w net.Conn, r request) bool { return e.handle(w, r) })
	e.x.extra = func() string {
		e.mu.Lock()
		defer e.mu.Unlock()
		return `,"stage":"both","models":` + e.models()
	}
	return e
}

// models returns what the engine holds, as in reports.
func (e *engine) models() string {
	var as []string
	for name, a := range e.held {
		as = append(as, fmt.Sprintf("%q", fmt.Sprintf("%s@%d", name, a.version)))
	}
	return fmt.Sprintf(`[{"name":"base","version":1,"adapters":[%s]}]`, strings.Join(as, ","))
}

func (e *engine) handle(w net.Conn, r request) bool {
	e.mu.Lock()
	e.conns[w] = true
	crashed := e.overloaded
	e.mu.Unlock()
	switch {
	case crashed:
		return false
	case r.target() == wire("@report@"):
		e.mu.Lock()
		body := fmt.Sprintf(`{"stage":"both","models":%s,"busy":false,"sequence":%d,"queued":0,"active":0,"kvUsed":0,"kvTotal":120000,"handles":0}`, e.models(), e.sequence)
		e.mu.Unlock()
		writeAnswer(w, r, 200, "Content-Type: application/json\r\n", []byte(body))
		return true
	case r.target() == wire("@order@"):
		return e.order(w, r)
	case r.id() == "":
		writeAnswer(w, r, 200, wire("@instance@: ")+e.x.id+"\r\n", nil)
		return true
	}
	return e.generate(w, r)
}

// order carries out an order to load or unload an adapter.
func (e *engine) order(w net.Conn, r request) bool {
	var o struct {
		Operation, Model, Adapter string
		Version                   int
		Precondition              *int
		Holder                    string
		FencingToken              int
	}
	if err := json.Unmarshal(r.body, &o); err != nil {
		writeAnswer(w, r, 400, "", nil)
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	answer := func(status int) bool {
		e.j.note("order at %s: %s %s, precondition %s, from %s/%d: %d; holds %s, sequence %d",
			e.x.id, o.Operation, o.Adapter, show(o.Precondition), o.Holder, o.FencingToken, status, e.models(), e.sequence)
		writeAnswer(w, r, status, "", nil)
		return true
	}
	a := e.held[o.Adapter]
	switch {
	case o.Precondition != nil && *o.Precondition != e.sequence:
		return answer(409)
	case o.Adapter == "":
		return answer(200)
	case o.Operation == "load" && a != nil && !a.unloading:
		return answer(200)
	case o.Operation == "load" && len(e.held) >= e.slots:
		e.j.note("order at %s: load %s, from %s/%d: all %d slots are taken by %s; the replica crashes", e.x.id, o.Adapter, o.Holder, o.FencingToken, e.slots, e.models())
		e.crash()
		return false
	case o.Operation == "load":
		e.sequence++
		e.held[o.Adapter] = &adapter{version: max(1, e.newest[o.Adapter]), readyAt: time.Now().Add(loadTime)}
		return answer(202)
	case a == nil:
		return answer(200)
	}
	e.sequence++
	if a.runs == 0 {
		delete(e.held, o.Adapter)
		return answer(200)
	}
	a.unloading = true
	if copied := e.last[w]; e.repeat && copied != nil {
		e.repeat = false
		e.j.note("%s sends a late second copy of the answer to an earlier request on this connection: %.60q", e.x.id, copied)
		_, _ = w.Write(copied)
	}
	return answer(202)
}

// crash ends the replica; e.mu must be held.
func (e *engine) crash() {
	e.overloaded = true
	_ = e.x.listener.Close()
	for w := range e.conns {
		if t, ok := w.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = w.Close()
	}
}

func show(n *int) string {
	if n == nil {
		return "none"
	}
	return strconv.Itoa(*n)
}

// generate answers a client's request with a stream of an event each 20 ms.
func (e *engine) generate(w net.Conn, r request) bool {
	model, name, _ := strings.Cut(r.header.Get(wire("@model@")), "/")
	_, out, _ := strings.Cut(r.header.Get(wire("@tokens@")), ",")
	events, _ := strconv.Atoi(out)
	e.mu.Lock()
	a := e.held[name]
	want := r.header.Get(wire("@version@"))
	switch {
	case model != "base", name != "" && (a == nil || time.Now().Before(a.readyAt)), a != nil && want != "" && want != strconv.Itoa(a.version):
		e.mu.Unlock()
		writeAnswer(w, r, 421, wire("@notrun@: 1\r\n"), nil)
		return true
	case a != nil && a.unloading:
		e.mu.Unlock()
		writeAnswer(w, r, 503, wire("@notrun@: 1\r\n"), nil)
		return true
	}
	if a != nil {
		a.runs++
	}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if a == nil {
			return
		}
		if a.runs--; a.runs == 0 && a.unloading {
			delete(e.held, name)
			e.j.note("%s has unloaded %s, its run has ended", e.x.id, name)
		}
	}()
	var sent []byte
	write := func(s string) bool {
		sent = append(sent, s...)
		_, err := w.Write([]byte(s))
		return err == nil
	}
	ok := write(wire("HTTP/1.1 200 OK\r\n@requestid@: ") + r.id() + wire("\r\n@signature@: s.") + r.id() + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := 1; n <= events && ok; n++ {
		ev := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
		ok = write(fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev))
		time.Sleep(20 * time.Millisecond)
	}
	if !ok || !write("0\r\n\r\n") {
		return false
	}
	e.mu.Lock()
	e.last[w] = sent
	e.mu.Unlock()
	return true
}

// beat reports what the engine holds each 1.2 s.
func (e *engine) beat(done <-chan struct{}) {
	go func() {
		for {
			e.x.tell(e.x.report("ready"))
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			e.mu.Lock()
			crashed := e.overloaded
			e.mu.Unlock()
			if crashed {
				return
			}
		}
	}()
}

// lateCopy has one of two replicas send a second copy of an answer, late, where the answer
// to an order is due.
func lateCopy(j *journal, trouble bool) bool {
	c := newCluster(j, 3)
	defer c.stop()
	done := make(chan struct{})
	defer close(done)
	e, sound := newEngine(c, "i-1", 3), newEngine(c, "i-2", 3)
	e.beat(done)
	sound.beat(done)
	c.putConfig(wire(`{"version":1,"routes":[{"name":"r1","host":"app.example","@prefix@":"/note/","kind":"streaming","timeoutMs":25000,"@aim@":1000,"priority":1,"service":"scribe","maxAttempts":2,"sessionAffinity":true,"resumable":true,"targetGapMs":300}],
	"services":[{"name":"scribe","healthPath":"/healthz","maxConnections":390,"protocol":"h1","tls":false,"engine":{"slots":64,"@kv@":131196,"kvBytes":131072,"linkMbps":280000.0,"moves":false,"backups":false,"stride":2,"maxCount":12,"models":[{"name":"base","modelSize":42700.0,"loadTimeS":2.5,"adapters":3000,"adapterMb":40.0,"warmS":0.78,"diskS":1.1}],"modelSize":45000.0,"@slots@":3,"loadsPerS":2.9}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`), 15*time.Second)
	c.awaitReady(10 * time.Second)
	var mu sync.Mutex
	n := 0
	request := func(to *process, model string, events int) answer {
		mu.Lock()
		n++
		id := fmt.Sprint("q", n)
		mu.Unlock()
		a := send(to.front, http.MethodPost, "/note/draft", "app.example", id, fmt.Sprintf(wire("@model@: %s\r\n@tokens@: 60,%d\r\n@parts@: aaaa0001:30,5e55%s:30\r\n"), model, events, id), []byte("note "+id), 25*time.Second)
		if model != "base" {
			j.note("client got for %s (%s, at %s): %s", id, model, to.name, a)
		}
		return a
	}
	until := func(model string) {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if a := request(c.daemons[0], model, 1); a.err == nil && a.status == 200 {
				return
			}
			if time.Now().After(end) {
				fail("%s is not served", model)
			}
		}
	}
	until("base")
	// Requests for the base model go on through all daemons.
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := make(chan struct{})
	defer close(stop)
	for _, p := range c.daemons {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					request(p, "base", 1)
				}
			}
		})
	}
	// A long request runs on each adapter, so that all six places are in use.
	for k := 1; k <= 6; k++ {
		model := fmt.Sprint("base/a", k)
		until(model)
		wg.Go(func() { request(c.daemons[k%3], model, 900) })
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	name := ""
	for held := range e.held {
		name = held
	}
	full := len(e.held) == 3
	e.newest[name], e.repeat = 2, trouble
	e.mu.Unlock()
	if !full {
		fail("i-1 does not hold three adapters")
	}
	acked := false
	for _, p := range c.daemons {
		if status, _ := call(http.MethodPost, "http://"+p.control+wire("@version-put@"), fmt.Sprintf(`{"model":"base","adapter":%q,"version":2}`, name)); status == 200 {
			j.note("version 2 of %s acknowledged by %s", name, p.name)
			acked = true
			break
		}
	}
	if !acked {
		fail("the version is not acknowledged")
	}
	time.Sleep(1500 * time.Millisecond)
	for _, p := range c.daemons {
		wg.Go(func() { request(p, "base/a7", 3) })
	}
	time.Sleep(5 * time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	sound.mu.Lock()
	defer sound.mu.Unlock()
	return e.overloaded || sound.overloaded
}
