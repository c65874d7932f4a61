package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a program that was started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// spawn starts a program and appends its output to a log file in dir.
func spawn(dir, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log file: %w", err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// Pdeathsig kills the process when the test dies. Setpgid gives each
	// process a group of its own: the kernel continues the stopped processes
	// of a group when its session leader exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process, to simulate a failed VM, and waits until it has
// exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Suspend stops the process with SIGSTOP until [Process.Resume].
func (p *Process) Suspend() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and returns the exit status, or an error if the process has
// not exited at the deadline.
func (p *Process) Stop(deadline time.Time) (int, error) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(time.Until(deadline)):
		return 0, fmt.Errorf("process %d did not exit before the deadline", p.PID())
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
