package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// exitError ends a case with a status other than "broken" or "held".
type exitError struct{ error }

// fail ends the case as one that could not run.
func fail(format string, args ...any) { panic(exitError{fmt.Errorf(format, args...)}) }

// journal is the record of a case.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newJournal(path string) *journal {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %w", err)
	}
	return &journal{file: f, start: time.Now()}
}

// note writes one line with the time since the start.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one daemon.
type process struct {
	name, ip, dir                   string
	front, ready, control, resolver string
	port                            int
	mu                              sync.Mutex
	cmd                             *exec.Cmd
	ended                           chan struct{}
}

// cluster is a small deployment on loopback addresses: the same program on each VM,
// each with a disk.
type cluster struct {
	j       *journal
	root    string
	dir     string
	daemons []*process
	seeds   []string
}

// newCluster prepares n daemons and starts them for the first time.
func newCluster(j *journal, n int) *cluster {
	root, err := os.Getwd()
	if err != nil {
		fail("%w", err)
	}
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		fail("%w", err)
	}
	c := &cluster{j: j, root: root, dir: dir}
	// Cases that run at the same time have other addresses.
	subnet := fmt.Sprintf("127.%d.%d", 64+os.Getpid()%150, 1+os.Getpid()/150%250)
	port := freePorts(subnet, n)
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, i+1)
		p := &process{
			name: fmt.Sprintf("front-zone%d-1", i+1), ip: ip, dir: filepath.Join(dir, fmt.Sprint("d", i+1)), port: port,
			front: fmt.Sprintf("%s:%d", ip, port+20), ready: fmt.Sprintf("%s:%d", ip, port+21),
			control: fmt.Sprintf("%s:%d", ip, port+22), resolver: fmt.Sprintf("%s:%d", ip, port+23),
		}
		if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o755); err != nil {
			fail("%w", err)
		}
		c.daemons = append(c.daemons, p)
		if len(c.seeds) < 3 {
			c.seeds = append(c.seeds, p.control)
		}
	}
	for _, p := range c.daemons {
		c.startDaemon(p, true)
	}
	return c
}

// freePorts returns the first of a range of ports that are free at the addresses of n
// daemons.
func freePorts(subnet string, n int) int {
	for range 50 {
		port := 3000 + rand.IntN(5500)
		if portsAreFree(subnet, n, port) {
			return port
		}
	}
	fail("no free ports at %s", subnet)
	return 0
}

func portsAreFree(subnet string, n, port int) bool {
	ports := []int{metricsPort, port + 20, port + 21, port + 22, port + 23}
	for i := range 16 {
		ports = append(ports, port+i)
	}
	for i := range n {
		for _, at := range ports {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, at))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// metricsPort is that of the template.
const metricsPort = 9102

// settings returns what the platform makes of deploy/papayaspoked.toml.
func (c *cluster) settings(p *process, bootstrap bool) string {
	quote := func(s string) string { b, _ := json.Marshal(s); return string(b) }
	seeds, _ := json.Marshal(c.seeds)
	return fmt.Sprintf(`name = %s
centre = %s
data = %s
[listen]
ports = "%s:%d"
metrics = "%s:%d"

[cluster]
open = true
founder = %t
seeds = %s

[platform]
front = %s
ready = %s
control = %s
directory = %s
grace = 8
rival = 3000e-3
share = 0.2
extra = 62
window = 10
pass = 120e-3
memory = 284
files = 4100
power = 0.72
`, quote(p.name), quote("zone"+strings.Split(p.name, "zone")[1][:1]), quote(filepath.Join(p.dir, "data")), p.ip, p.port, p.ip, metricsPort, bootstrap, seeds,
		quote(p.front), quote(p.ready), quote(p.control), quote(p.resolver))
}

// startDaemon starts a process with the command of the deploy file.
func (c *cluster) startDaemon(p *process, bootstrap bool) {
	path := filepath.Join(p.dir, "node.toml")
	if err := os.WriteFile(path, []byte(c.settings(p, bootstrap)), 0o644); err != nil {
		fail("%w", err)
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%w", err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(c.root, "target/papayaspoked"), "run")
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("@settings@=") + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start of a daemon: %w", err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		c.j.note("process %s (pid %d) has ended: %s", p.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	c.j.note("process %s started (pid %d)", p.name, cmd.Process.Pid)
}

// signal sends a signal to the process of a daemon.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.j.note("%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, p := range c.daemons {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept:", c.dir)
	}
}

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the platform, an operator or a replica.
func call(method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// putConfig sends a config until it is acknowledged.
func (c *cluster) putConfig(doc string, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range c.daemons {
			if status, text := call(http.MethodPut, "http://"+p.control+wire("@config@"), doc); status == http.StatusOK {
				c.j.note("config acknowledged by %s", p.name)
				return
			} else if status == http.StatusBadRequest {
				fail("config refused: %s", text)
			}
		}
	}
	fail("config not acknowledged within %s", within)
}

// awaitReady waits until the platform's question finds a daemon ready.
func (c *cluster) awaitReady(within time.Duration) {
	for _, p := range c.daemons {
		ok := false
		for end := time.Now().Add(within); time.Now().Before(end) && !ok; time.Sleep(100 * time.Millisecond) {
			status, _ := call(http.MethodGet, "http://"+p.ready+wire("@readyz@"), "")
			ok = status == http.StatusOK
		}
		if !ok {
			fail("%s is not ready within %s", p.name, within)
		}
	}
	c.j.note("all daemons are ready")
}

// request is what a replica has received.
type request struct {
	line   string
	header textproto.MIMEHeader
	body   []byte
}

func (r request) method() string { return strings.SplitN(r.line, " ", 3)[0] }

func (r request) target() string {
	if f := strings.SplitN(r.line, " ", 3); len(f) == 3 {
		return f[1]
	}
	return ""
}

func (r request) id() string { return r.header.Get(wire("@requestid@")) }

// effective returns the host, and the path with the query, that a server reads from the
// request: a target that names a host goes before the Host header (RFC 9112, section 3.2.2).
func (r request) effective() (host, path string) {
	if rest, ok := strings.CutPrefix(r.target(), "http://"); ok {
		host, path, _ = strings.Cut(rest, "/")
		return host, "/" + path
	}
	return r.header.Get("Host"), r.target()
}

// readRequest reads one request as it stands on the wire.
func readRequest(br *bufio.Reader) (request, error) {
	tp := textproto.NewReader(br)
	line, err := tp.ReadLine()
	if err != nil {
		return request{}, err
	}
	h, err := tp.ReadMIMEHeader()
	if err != nil {
		return request{}, err
	}
	r := request{line: line, header: h}
	if strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
		for {
			size, err := tp.ReadLine()
			if err != nil {
				return r, err
			}
			n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 32)
			if err != nil {
				return r, err
			}
			chunk := make([]byte, n+2)
			if _, err := io.ReadFull(br, chunk); err != nil {
				return r, err
			}
			if n == 0 {
				return r, nil
			}
			r.body = append(r.body, chunk[:n]...)
		}
	}
	if n, _ := strconv.Atoi(h.Get("Content-Length")); n > 0 {
		r.body = make([]byte, n)
		if _, err := io.ReadFull(br, r.body); err != nil {
			return r, err
		}
	}
	return r, nil
}

// replica is a server of a service.
type replica struct {
	j           *journal
	c           *cluster
	id, service string
	zone        string
	addr        string
	born        int64
	slots       int
	// extra returns what is added to what the replica says of itself; nil if nothing is.
	extra func() string
	// handle answers a request; it returns false to close the connection.
	handle   func(w net.Conn, r request) bool
	listener net.Listener
	mu       sync.Mutex
	sequence int
	stopBeat context.CancelFunc
}

func newReplica(c *cluster, id, service string, slots int, handle func(x *replica, w net.Conn, r request) bool) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%w", err)
	}
	x := &replica{j: c.j, c: c, id: id, service: service, zone: "zone1", addr: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, listener: l}
	x.handle = func(w net.Conn, r request) bool { return handle(x, w, r) }
	go x.serve()
	return x
}

func (x *replica) serve() {
	for {
		w, err := x.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer w.Close()
			br := bufio.NewReader(w)
			for {
				r, err := readRequest(br)
				if err != nil {
					return
				}
				if to := r.header.Get(wire("@target@")); to != "" && to != x.id {
					writeAnswer(w, r, 421, wire("@notrun@: 1\r\n@instance@: ")+x.id+"\r\n", nil)
					continue
				}
				if !x.handle(w, r) {
					return
				}
			}
		}()
	}
}

// writeAnswer writes a complete answer with a length.
func writeAnswer(w net.Conn, r request, status int, fields string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if r.id() != "" {
		fmt.Fprintf(&b, wire("@requestid@: %s\r\n"), r.id())
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", fields, len(body))
	b.Write(body)
	_, _ = w.Write(b.Bytes())
}

// report returns the next status report of the replica.
func (x *replica) report(state string) string {
	extra := ""
	if x.extra != nil {
		extra = x.extra()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldMs":0,"sequence":%d,"born":%d%s}`,
		x.service, x.addr, x.zone, x.slots, state, x.sequence, x.born, extra)
}

// tell sends a status report, to the next daemon if one gives no answer.
func (x *replica) tell(body string) bool {
	for _, p := range x.c.daemons {
		if status, _ := call(http.MethodPut, "http://"+p.control+wire("@instances@/")+x.id, body); status == http.StatusOK {
			return true
		}
	}
	return false
}

// beat reports the replica as ready each 1.2 s.
func (x *replica) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	x.stopBeat = cancel
	go func() {
		for ctx.Err() == nil {
			x.tell(x.report("ready"))
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
}

// answer is what a client has received. err is set if it is not complete.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (status %d): %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes", a.status, a.header.Get(wire("@signature@")), len(a.body))
}

// send sends one request as a client over a new connection and reads the answer.
func send(addr, method, target, host, id string, fields string, body []byte, limit time.Duration) answer {
	w, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer w.Close()
	return sendOver(w, method, target, host, id, fields, body, limit)
}

// sendOver sends one request over an open connection and reads the answer.
func sendOver(w net.Conn, method, target, host, id string, fields string, body []byte, limit time.Duration) answer {
	_ = w.SetDeadline(time.Now().Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, wire("%s %s HTTP/1.1\r\nHost: %s\r\n@requestid@: %s\r\n@deadline@: %d\r\n%s"), method, target, host, id, limit.Milliseconds(), fields)
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := w.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(w), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, out, err}
}

// Verdicts of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// run runs a case and returns the exit status.
func run(f func(j *journal, trouble bool) bool, record string) (status int) {
	j := newJournal(record)
	defer j.file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("disruption: %t", trouble)
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		var e exitError
		if err, ok := v.(error); ok && errors.As(err, &e) {
			j.note("the case could not run: %v", e)
			fmt.Println("could not run:", e)
			status = couldNot
			return
		}
		panic(v)
	}()
	if f(j, trouble) {
		j.note("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	j.note("the rule held")
	fmt.Println("the rule held")
	return held
}
