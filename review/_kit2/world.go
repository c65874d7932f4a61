package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errNotTried ends a case that could not run.
type errNotTried struct{ cause string }

// world is one small deployment and what its stand-ins have seen.
type world struct {
	trouble bool
	dir     string
	record  *os.File
	daemons []*daemon
	ports   ports

	mu       sync.Mutex
	replicas []*replica
	begun    time.Time
	stopped  chan struct{}
}

// ports are the ports of all daemons, which differ in their addresses only.
type ports struct{ front, ready, control, directory, internal, metrics int }

// daemon is one machine of the deployment.
type daemon struct {
	name, ip, zone, dataDir, settings string
	mu                                sync.Mutex
	cmd                               *exec.Cmd
	firstStart                        bool
}

func (d *daemon) addr(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// runCase plays a case and returns its exit code.
func runCase(play func(w *world) bool, folder string, trouble bool) (code int) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return exitNotTried
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotTried
	}
	w := &world{trouble: trouble, dir: dir, record: record, begun: time.Now(), stopped: make(chan struct{})}
	defer func() {
		w.stop()
		switch v := recover().(type) {
		case nil:
		case errNotTried:
			w.note("not tried: %s", v.cause)
			code = exitNotTried
		default:
			panic(v)
		}
		w.note("exit code %d", code)
		_ = record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
	}()
	w.note("trouble %t", trouble)
	if play(w) {
		return exitBroken
	}
	return exitHeld
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) { w.noteAt(time.Now(), format, args...) }

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", at.Sub(w.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

// say writes a line to the record and to the terminal.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) fail(format string, args ...any) { panic(errNotTried{fmt.Sprintf(format, args...)}) }

// freePort returns the first of n consecutive ports that nothing listens on.
func freePort(n int) int {
	for {
		base := 12000 + rand.IntN(16000)
		free := true
		for p := base; p < base+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base
		}
	}
}

// startDaemons starts n machines in three zones, the first disks of them with a disk.
func (w *world) startDaemons(n, disks int) {
	base := freePort(24)
	w.ports = ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, metrics: base + 4, internal: base + 8}
	net2 := 60 + rand.IntN(60)
	for i := range n {
		d := &daemon{
			name: fmt.Sprintf("front-z%d-%d", i%3+1, i/3+1), ip: fmt.Sprintf("127.%d.%d.1", net2, i+1), zone: fmt.Sprintf("z%d", i%3+1), firstStart: true,
		}
		if i < disks {
			d.dataDir = filepath.Join(w.dir, "data-"+d.name)
			if err := os.MkdirAll(d.dataDir, 0o700); err != nil {
				w.fail("data folder: %v", err)
			}
		}
		d.settings = filepath.Join(w.dir, d.name+".toml")
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		w.startDaemon(d)
	}
}

// writeSettings renders deploy/papayaspoked.toml for a machine.
func (w *world) writeSettings(d *daemon) {
	var seeds []string
	for _, s := range w.daemons[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", s.addr(w.ports.control)))
	}
	data := ""
	if d.dataDir != "" {
		data = fmt.Sprintf("data = %q\n", d.dataDir)
	}
	power := "0.4"
	if d.dataDir != "" {
		power = "0.72"
	}
	text := fmt.Sprintf(`name = %q
centre = %q
%s
[listen]
ports = "%s"
metrics = "%s"

[cluster]
open = true
founder = %t
seeds = [%s]

[platform]
front = "%s"
ready = "%s"
control = "%s"
directory = "%s"
grace = 8
rival = 3000e-3
share = 0.2
extra = 62
window = 10
pass = 120e-3
memory = 284
power = %s
`, d.name, d.zone, data, d.addr(w.ports.internal), d.addr(w.ports.metrics), d.firstStart, strings.Join(seeds, ","),
		d.addr(w.ports.front), d.addr(w.ports.ready), d.addr(w.ports.control), d.addr(w.ports.directory), power)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		w.fail("settings: %v", err)
	}
}

// startDaemon starts the program of the deploy file on a machine.
func (w *world) startDaemon(d *daemon) {
	w.writeSettings(d)
	d.firstStart = false
	log, err := os.OpenFile(filepath.Join(w.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fail("log: %v", err)
	}
	cmd := exec.Command("target/papayaspoked", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("boot") + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.fail("start of %s: %v", d.name, err)
	}
	_ = log.Close()
	w.note("%s started", d.name)
	d.mu.Lock()
	d.cmd = cmd
	d.mu.Unlock()
}

// signal sends a signal to the daemon of a machine.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// kill ends the daemon of a machine at once.
func (w *world) kill(d *daemon) {
	d.signal(syscall.SIGKILL)
	w.note("%s killed", d.name)
	_ = d.cmd.Wait()
}

// stop ends all processes.
func (w *world) stop() {
	close(w.stopped)
	w.mu.Lock()
	replicas := w.replicas
	w.mu.Unlock()
	for _, r := range replicas {
		r.end()
	}
	for _, d := range w.daemons {
		if d.cmd != nil && d.cmd.ProcessState == nil {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			_ = d.cmd.Wait()
		}
	}
}

// over reports whether the case has ended.
func (w *world) over() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// call makes one call of the operator or of the platform.
func call(method, url, body string, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// putConfig sends a config until it is acknowledged.
func (w *world) putConfig(config string) {
	for i := 0; time.Since(w.begun) < 30*time.Second; i++ {
		d := w.daemons[i%len(w.daemons)]
		if status, _ := call(http.MethodPut, "http://"+d.addr(w.ports.control)+wire("config"), config, time.Second); status == http.StatusOK {
			w.note("config acknowledged by %s", d.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.fail("no config was acknowledged")
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady() {
	for _, d := range w.daemons {
		for {
			if status, _ := call(http.MethodGet, "http://"+d.addr(w.ports.ready)+wire("ready"), "", time.Second); status == http.StatusOK {
				break
			}
			if time.Since(w.begun) > 40*time.Second {
				w.fail("%s does not get ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all machines are ready")
}

// controls returns the control addresses of all machines.
func (w *world) controls() []string {
	var out []string
	for _, d := range w.daemons {
		out = append(out, d.addr(w.ports.control))
	}
	return out
}

// daemonAt returns the machine with an IP address.
func (w *world) daemonAt(ip string) *daemon {
	for _, d := range w.daemons {
		if d.ip == ip {
			return d
		}
	}
	return nil
}

// replica is a stand-in for a replica: a process of its own.
type replica struct {
	id, addr string
	args     []string
	cmd      *exec.Cmd
	in       io.WriteCloser
	w        *world
	// started counts its starts.
	started int
	// onLine is called with each line that the process reports.
	onLine func(r *replica, at time.Time, fields []string)
	// onEnd is called when the process ends by itself.
	onEnd func(r *replica)
	mu    sync.Mutex
	ended bool
}

// startReplica starts a replica process.
func (w *world) startReplica(r *replica) {
	r.w = w
	r.started++
	self, err := os.Executable()
	if err != nil {
		w.fail("own path: %v", err)
	}
	args := append([]string{"replica", "--id", r.id, "--addr", r.addr, "--controls", strings.Join(w.controls(), ",")}, r.args...)
	cmd := exec.Command(self, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		w.fail("replica: %v", err)
	}
	in, err := cmd.StdinPipe()
	if err != nil {
		w.fail("replica: %v", err)
	}
	if err := cmd.Start(); err != nil {
		w.fail("replica: %v", err)
	}
	r.mu.Lock()
	r.cmd, r.in = cmd, in
	r.mu.Unlock()
	if r.started == 1 {
		w.mu.Lock()
		w.replicas = append(w.replicas, r)
		w.mu.Unlock()
	}
	w.note("replica %s started at %s", r.id, r.addr)
	go func() {
		s := bufio.NewScanner(out)
		for s.Scan() {
			at := time.Now()
			fields := strings.Fields(s.Text())
			w.noteAt(at, "replica %s: %s", r.id, s.Text())
			if r.onLine != nil && len(fields) > 0 {
				r.onLine(r, at, fields)
			}
		}
		_ = cmd.Wait()
		r.mu.Lock()
		ended := r.ended
		r.mu.Unlock()
		if !ended && !w.over() {
			w.note("replica %s ended", r.id)
			if r.onEnd != nil {
				r.onEnd(r)
			}
		}
	}()
}

// tell sends a command to a replica process.
func (r *replica) tell(command string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = io.WriteString(r.in, command+"\n")
}

func (r *replica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if r.cmd != nil && r.cmd.Process != nil {
		_ = r.cmd.Process.Kill()
	}
}
