package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine, beyond which the platform kills a process.
const memoryMB = 284

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n >> 10
		}
	}
	return 0
}

// endlessHead returns the beginning of a head that does not end: lines of a short name
// and no value.
func endlessHead() string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < 62<<10; n++ {
		b.Write([]byte{digits[n%26], digits[n/26%36], digits[n/26/36%36], ':', '\r', '\n'})
	}
	return b.String()
}

// endlessHeads has the replicas of one service answer with a head that does not end, while
// the platform kills each process that uses more memory than its machine has.
func endlessHeads(j *journal, trouble bool) bool {
	c := newCluster(j, 3)
	defer c.stop()
	head := endlessHead()
	for k := range 4 {
		x := newReplica(c, fmt.Sprint("i-", k), "app", 64, func(x *replica, w net.Conn, r request) bool {
			if r.id() == "" || !trouble || strings.HasPrefix(r.id(), "first") {
				time.Sleep(30 * time.Millisecond)
				writeAnswer(w, r, 200, wire("@signature@: s.")+r.id()+wire("\r\n@instance@: ")+x.id+"\r\n", []byte(strings.Repeat("x", 800)))
				return true
			}
			_, err := w.Write([]byte(wire("HTTP/1.1 200 OK\r\n@requestid@: ") + r.id() + "\r\n" + head))
			for n := 0; err == nil; n++ {
				time.Sleep(500 * time.Millisecond)
				_, err = fmt.Fprintf(w, "more%d:\r\n", n)
			}
			return false
		})
		x.beat()
	}
	desk := newReplica(c, "i-desk", "desk", 64, func(x *replica, w net.Conn, r request) bool {
		time.Sleep(30 * time.Millisecond)
		writeAnswer(w, r, 200, wire("@signature@: s.")+r.id()+wire("\r\n@instance@: ")+x.id+"\r\n", []byte("booked"))
		return true
	})
	desk.beat()
	c.putConfig(wire(`{"version":1,"routes":[{"name":"r1","host":"app.example","@prefix@":"/rota/","kind":"safe","timeoutMs":10000,"@aim@":300,"priority":1,"service":"app","maxAttempts":2},
	{"name":"r2","host":"app.example","@prefix@":"/book/","kind":"unsafe","timeoutMs":2500,"@aim@":150,"priority":1,"service":"desk","maxAttempts":1}],
	"services":[{"name":"app","healthPath":"/healthz","maxConnections":390,"protocol":"h1","tls":false},{"name":"desk","healthPath":"/healthz","maxConnections":390,"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`), 15*time.Second)
	c.awaitReady(10 * time.Second)
	time.Sleep(2 * time.Second)
	for _, p := range c.daemons {
		j.note("client got for first from %s: %s", p.name, send(p.front, http.MethodGet, "/rota/today", "app.example", "first"+p.name, "", nil, 10*time.Second))
	}

	// The platform kills and restarts processes. The case ends once it has killed each of
	// two processes three times.
	end := time.Now().Add(60 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	ends, peak, results := make(map[string]int), make(map[string]int), make(map[string]int)
	often := func() bool {
		machines := 0
		for _, n := range ends {
			if n >= 3 {
				machines++
			}
		}
		return machines >= 2
	}
	go func() {
		defer close(stop)
		for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			mu.Lock()
			over := often()
			mu.Unlock()
			if over {
				return
			}
		}
	}()
	running := func() bool {
		select {
		case <-stop:
			return false
		default:
			return true
		}
	}
	var wg sync.WaitGroup
	for _, p := range c.daemons {
		wg.Go(func() {
			for ; running(); time.Sleep(50 * time.Millisecond) {
				mb := residentMB(p.cmd.Process.Pid)
				mu.Lock()
				peak[p.name] = max(peak[p.name], mb)
				mu.Unlock()
				if mb <= memoryMB {
					continue
				}
				j.note("%s uses %d MB, %d are allowed: the platform kills it", p.name, mb, memoryMB)
				mu.Lock()
				ends[p.name]++
				mu.Unlock()
				c.signal(p, syscall.SIGKILL)
				<-p.ended
				time.Sleep(500 * time.Millisecond)
				c.startDaemon(p, false)
			}
		})
	}
	// ask sends one request and counts how it ended.
	ask := func(method, target, id string, to *process, limit time.Duration) {
		a := send(to.front, method, target, "app.example", id, "", nil, limit)
		what := fmt.Sprint("status ", a.status)
		if a.err != nil {
			what = "no complete answer"
		}
		mu.Lock()
		defer mu.Unlock()
		results[target+": "+what]++
	}
	for n := 0; running(); n++ {
		p := c.daemons[n%3]
		wg.Go(func() { ask(http.MethodGet, "/rota/today", fmt.Sprint("q", n), p, 10*time.Second) })
		if n%10 == 0 {
			wg.Go(func() { ask(http.MethodPost, "/book/turn", fmt.Sprint("b", n), p, 2500*time.Millisecond) })
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	j.note("clients got %v", results)
	j.note("peaks in MB %v", peak)
	j.note("ends by memory %v", ends)
	return often()
}
