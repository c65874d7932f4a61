//go:build review

// Package stand starts daemons as separate processes on loopback addresses and
// plays the platform, the operator, clients and replicas against them. Scripts
// of the review use it.
package stand

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Spec describes one machine.
type Spec struct {
	Name, Zone string
	// Disk is true for a machine with a disk; it counts for faults.
	Disk bool
}

// Machine is one machine with its daemon.
type Machine struct {
	Spec
	Host                             string
	Front, Ready, Control, Directory string
	dir                              string
	cmd                              *exec.Cmd
	ended                            chan struct{}
}

// World is a deployment, with the record of what happened.
type World struct {
	Machines []*Machine
	// Trouble is false if the script runs without its disruption.
	Trouble bool

	binary, dir, seeds string
	port               int
	start              time.Time
	mu                 sync.Mutex
	record             *os.File
	replicas           []*Replica
}

// Trouble reports whether the script runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New prepares a deployment. Seeds are the names of three machines, in the order
// of the settings. The record is written to the folder of the case.
func New(folder string, specs []Spec, seeds []string) (*World, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "papayaspoke-review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/papayaspoked")
	if err != nil {
		return nil, err
	}
	w := &World{Trouble: Trouble(), binary: binary, dir: dir, start: time.Now(), record: record}
	net2 := 80 + os.Getpid()%40
	if w.port, err = freePorts(fmt.Sprintf("127.%d.1.1", net2)); err != nil {
		return nil, err
	}
	for i, s := range specs {
		host := fmt.Sprintf("127.%d.%d.1", net2, i+1)
		at := func(n int) string { return fmt.Sprintf("%s:%d", host, w.port+n) }
		m := &Machine{Spec: s, Host: host, Front: at(9), Ready: at(1), Control: at(4), Directory: at(3), dir: filepath.Join(dir, s.Name)}
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return nil, err
		}
		w.Machines = append(w.Machines, m)
	}
	var list []string
	for _, name := range seeds {
		list = append(list, fmt.Sprintf("%q", w.Machine(name).Control))
	}
	w.seeds = strings.Join(list, ", ")
	w.Note("disruption: %t", w.Trouble)
	return w, nil
}

// freePorts returns a port with ten free ones after it at host.
func freePorts(host string) (int, error) {
	for base := 20000 + os.Getpid()%9000; base < 60000; base += 37 {
		free := true
		for n := 0; n < 20 && free; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, base+n))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", host)
}

// Machine returns a machine by its name.
func (w *World) Machine(name string) *Machine {
	for _, m := range w.Machines {
		if m.Name == name {
			return m
		}
	}
	panic("no machine " + name)
}

// Note adds a line to the record.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// settings writes the settings of a machine as deploy/papayaspoked.toml renders
// them for a small deployment.
func (w *World) settings(m *Machine, bootstrap bool) (string, error) {
	data := ""
	if m.Disk {
		data = fmt.Sprintf("data = %q\n", filepath.Join(m.dir, "data"))
	}
	text := fmt.Sprintf(`name = %q
centre = %q
%s[listen]
ports = "%s:%d"
metrics = "%s:%d"
[cluster]
open = true
founder = %t
seeds = [%s]
[platform]
front = %q
ready = %q
control = %q
directory = %q
grace = 8
rival = 3000e-3
share = 0.2
extra = 62
window = 10
pass = 120e-3
memory = 284
power = %s
`, m.Name, m.Zone, data, m.Host, w.port+10, m.Host, w.port+15, bootstrap, w.seeds, m.Front, m.Ready, m.Control, m.Directory, power(m.Disk))
	path := filepath.Join(m.dir, "node.toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

func power(disk bool) string {
	if disk {
		return "0.72"
	}
	return "0.4"
}

// Start starts the daemon of a machine. Bootstrap is true only at the first start
// of the whole system.
func (w *World) Start(m *Machine, bootstrap bool) error {
	path, err := w.settings(m, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(w.binary, "run")
	cmd.Env = append(os.Environ(), Name("settings-file")+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	w.mu.Lock()
	m.cmd, m.ended = cmd, ended
	w.mu.Unlock()
	w.Note("start %s (disk %t, bootstrap %t)", m.Name, m.Disk, bootstrap)
	return nil
}

// StartAll starts all daemons for the first time.
func (w *World) StartAll() error {
	for _, m := range w.Machines {
		if err := w.Start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// Kill sends SIGKILL and waits for the end.
func (w *World) Kill(m *Machine) {
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	w.Note("SIGKILL %s", m.Name)
	<-m.ended
}

// Signal sends a signal to a daemon.
func (w *World) Signal(m *Machine, s syscall.Signal) {
	_ = m.cmd.Process.Signal(s)
	w.Note("%s %s", s, m.Name)
}

// Running reports whether the process of a machine runs.
func (m *Machine) Running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// WipeDisk removes the disk of a machine that doesn't run.
func (w *World) WipeDisk(m *Machine) error {
	w.Note("disk of %s lost", m.Name)
	return os.RemoveAll(filepath.Join(m.dir, "data"))
}

// LogOf returns the log of a daemon.
func (w *World) LogOf(m *Machine) string {
	b, _ := os.ReadFile(filepath.Join(m.dir, "log"))
	return string(b)
}

// Finish ends all processes and replicas and exits with the code.
func (w *World) Finish(code int, format string, args ...any) {
	w.Note(format, args...)
	w.Note("exit %d", code)
	fmt.Printf(format+"\n", args...)
	for _, r := range w.replicas {
		r.Close()
	}
	for _, m := range w.Machines {
		if m.Running() {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
	os.Exit(code)
}

// Call makes one call over a new channel. Status 0 means that there was no
// answer.
func Call(ctx context.Context, method, addr, path, body string, header ...string) (int, http.Header, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == "Host" {
			req.Host = header[i+1]
			continue
		}
		req.Header.Set(header[i], header[i+1])
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return -resp.StatusCode, resp.Header, append(b, []byte(" ["+err.Error()+"]")...)
	}
	return resp.StatusCode, resp.Header, b
}

// CallWithin is Call with a time limit.
func CallWithin(limit time.Duration, method, addr, path, body string, header ...string) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return Call(ctx, method, addr, path, body, header...)
}

// PutConfig sends a config to machines in turn, as the operator does, until one
// acknowledges it or the time is over. It returns the machine that did, nil if
// none.
func (w *World) PutConfig(config string, limit time.Duration, to ...*Machine) *Machine {
	if len(to) == 0 {
		to = w.Machines
	}
	for end, try := time.Now().Add(limit), 0; time.Now().Before(end); try++ {
		m := to[try%len(to)]
		if !m.Running() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		status, _, body := CallWithin(time.Second, http.MethodPut, m.Control, Name("path-config"), config)
		if status == http.StatusOK {
			w.Note("config acknowledged by %s", m.Name)
			return m
		}
		w.Note("config not acknowledged by %s: %d %.120s", m.Name, status, bytes.TrimSpace(body))
		time.Sleep(time.Duration(min(50*(try+1), 500)) * time.Millisecond)
	}
	return nil
}

// AwaitReady waits until the machines say that they are ready.
func (w *World) AwaitReady(limit time.Duration, ms ...*Machine) bool {
	if len(ms) == 0 {
		ms = w.Machines
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range ms {
			if status, _, _ := CallWithin(time.Second, http.MethodGet, m.Ready, Name("path-ready"), ""); status != http.StatusOK {
				all = false
				break
			}
		}
		if all {
			return true
		}
	}
	return false
}
