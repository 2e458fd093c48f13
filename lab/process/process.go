// Package process starts the program's nodes as operating system processes, reads their logs and stops them. The kernel
// kills the processes when the program that started them ends. Callers provide the configuration of each node.
package process

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// killTimeout is the maximum wait for the exit of a killed process, which may hang in the kernel.
const killTimeout = 10 * time.Second

// Process is a running or exited process of a node. Its methods are safe for concurrent use.
type Process struct {
	Node      int           // index of the node
	Exited    chan struct{} // closed once the process has exited
	Listening chan struct{} // closed once the process accepts clients
	Ready     chan struct{} // closed by the caller that sends PING, once it receives PONG
	cmd       *exec.Cmd
	config    *os.File // the process reads it again on SIGHUP

	mu            sync.Mutex
	addr          string
	counters      map[string]float64
	lastLines     []string // first line and last lines of the log
	crashLines    []string // lines of the log from the beginning of a crash report
	serving       bool
	stopRequested bool          // Stop or Kill was called
	logPauses     int           // number of pauses in effect
	logResumed    chan struct{} // closed when the last pause has ended
}

// Address returns the address at which the process accepts clients, and reports whether it is accepting them.
func (p *Process) Address() (addr string, serving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.serving
}

// Signal sends the process a signal.
func (p *Process) Signal(signal syscall.Signal) { p.cmd.Process.Signal(signal) }

// Reload replaces the configuration and sends SIGHUP to the process.
func (p *Process) Reload(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if _, err := p.config.WriteAt(data, 0); err != nil {
		return err
	}
	if err := p.config.Truncate(int64(len(data))); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// Stop sends SIGTERM. From then on Address reports that the process is not serving, so that no new clients connect.
func (p *Process) Stop() {
	p.requestStop(syscall.SIGTERM)
}

// Kill sends SIGKILL and waits for the exit for at most killTimeout. It reports whether SIGKILL ended the process.
func (p *Process) Kill() bool {
	p.requestStop(syscall.SIGKILL)
	select {
	case <-p.Exited:
	case <-time.After(killTimeout):
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

func (p *Process) requestStop(signal syscall.Signal) {
	p.mu.Lock()
	p.serving, p.stopRequested = false, true
	p.mu.Unlock()
	p.Signal(signal)
}

// StopRequested reports whether Stop or Kill was called.
func (p *Process) StopRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

// Suspended reports whether the process is suspended by a signal such as SIGSTOP.
func (p *Process) Suspended() bool {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	_, fields, found := bytes.Cut(stat, []byte(") "))
	return err == nil && found && len(fields) > 0 && fields[0] == 'T'
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
