// Package process starts the program as processes of their own, which end with who started them.
package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one start of a node.
type Process struct {
	Node   int
	Ended  chan struct{} // closed once it is gone
	Serves chan struct{} // closed once it takes clients
	cmd    *exec.Cmd
	Ready  chan struct{} // closed once it has answered PONG, by who asks it
	config *os.File      // which the process reads again at SIGHUP

	mu       sync.Mutex
	addr     string
	counters map[string]float64
	lines    []string // of its log, the last ones
	crash    []string // from where the runtime tells of a crash or a data race on
	up       bool
	told     bool          // it was told to stop, or killed
	holds    int           // who wants its log not to be read
	held     chan struct{} // closed when the last of them ends
}

const linesMost = 400

// readWithin is how long the log of a process that has ended is waited for.
const readWithin = time.Second

// Starter starts processes from one thread that lives as long as the rig, since what a child is told of its parent's death
// hangs on the thread that made it: when the rig is killed, so are they.
type Starter struct{ jobs chan func() }

// NewStarter makes one; Close ends it.
func NewStarter() *Starter {
	s := &Starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for do := range s.jobs {
			do()
		}
	}()
	return s
}

// Close ends the starter, and with it whatever it started.
func (s *Starter) Close() { close(s.jobs) }

// Run starts a command that dies with the starter.
func (s *Starter) Run(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

// Start runs the program as a node. The configuration is a file that has no name any more, so it goes with the processes. Where
// prepare is not nil it may change the command before it is started; descriptor 3 is the configuration's.
func (s *Starter) Start(binary string, node int, config map[string]any, prepare func(*exec.Cmd),
	heard func(p *Process, line map[string]any)) (*Process, error) {
	f, err := os.CreateTemp("", "rig")
	if err != nil {
		return nil, err
	}
	os.Remove(f.Name())
	p, err := s.start(binary, node, f, config, prepare, heard)
	if err != nil {
		f.Close()
	}
	return p, err
}

func (s *Starter) start(binary string, node int, f *os.File, config map[string]any, prepare func(*exec.Cmd),
	heard func(p *Process, line map[string]any)) (*Process, error) {
	if err := json.NewEncoder(f).Encode(config); err != nil {
		return nil, err
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{"LB_CONFIG=/proc/self/fd/3", "PATH=" + os.Getenv("PATH")}
	cmd.ExtraFiles = []*os.File{f}
	if prepare != nil {
		prepare(cmd)
	}
	out, end, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = end
	p := &Process{Node: node, cmd: cmd, config: f, Ended: make(chan struct{}), Serves: make(chan struct{}), Ready: make(chan struct{})}
	err = s.Run(cmd)
	end.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	read := make(chan struct{})
	go func() {
		p.read(out, heard)
		out.Close()
		close(read)
	}()
	go func() {
		cmd.Wait()
		f.Close()
		select {
		case <-read:
		case <-time.After(readWithin): // nobody is to read its log now
		}
		p.mu.Lock()
		p.up = false
		p.mu.Unlock()
		close(p.Ended)
	}()
	return p, nil
}

func (p *Process) read(out io.Reader, heard func(*Process, map[string]any)) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		p.awaitRead()
		var line map[string]any
		json.Unmarshal(in.Bytes(), &line)
		p.mu.Lock()
		if len(p.crash) > 0 || line == nil && crashes(in.Text()) {
			if p.crash = append(p.crash, in.Text()); len(p.crash) > crashMost {
				p.crash = p.crash[:crashMost]
			}
		}
		if p.lines = append(p.lines, in.Text()); len(p.lines) > linesMost {
			p.lines = append([]string{p.lines[0]}, p.lines[len(p.lines)-linesMost/2:]...)
		}
		switch line["msg"] {
		case "serving":
			p.addr, _ = line["listen"].(string)
			p.up = true
			close(p.Serves)
		case "counters", "stopped":
			p.counters = map[string]float64{}
			for k, v := range line {
				if n, ok := v.(float64); ok {
					p.counters[k] = n
				}
			}
		}
		p.mu.Unlock()
		heard(p, line)
	}
	io.Copy(io.Discard, out)
}

// crashMost bounds the lines that are kept of a crash.
const crashMost = 60

// crashes tells whether a line that is none of the log's own is the beginning of what Go's runtime tells of a crash or a data race.
func crashes(line string) bool {
	for _, begin := range []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "SIG"} {
		if strings.HasPrefix(line, begin) {
			return true
		}
	}
	return false
}

// Crash gives what the runtime told of a crash or a data race; "" for none.
func (p *Process) Crash() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.crash, "\n")
}

// Serving gives where it takes clients, and whether it does.
func (p *Process) Serving() (addr string, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.up
}

// Signal sends it one.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Reload gives it another configuration and sends SIGHUP.
func (p *Process) Reload(config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if _, err := p.config.WriteAt(text, 0); err != nil {
		return err
	}
	if err := p.config.Truncate(int64(len(text))); err != nil {
		return err
	}
	p.Signal(syscall.SIGHUP)
	return nil
}

// HoldLog has nobody read its log from now on, so that the pipe fills, or ends one such hold.
func (p *Process) HoldLog(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case on:
		if p.holds++; p.holds == 1 {
			p.held = make(chan struct{})
		}
	case p.holds > 0:
		if p.holds--; p.holds == 0 {
			close(p.held)
		}
	}
}

// awaitRead waits while nobody is to read its log.
func (p *Process) awaitRead() {
	p.mu.Lock()
	held, holds := p.held, p.holds
	p.mu.Unlock()
	if holds > 0 {
		<-held
	}
}

// Stop tells it to stop. From now on it counts as no more serving, so that the front sends nobody more.
func (p *Process) Stop() {
	p.mu.Lock()
	p.up, p.told = false, true
	p.mu.Unlock()
	p.Signal(syscall.SIGTERM)
}

// Kill ends it and returns once it is gone; it tells whether the signal was what ended it.
func (p *Process) Kill() bool {
	p.mu.Lock()
	p.up, p.told = false, true
	p.mu.Unlock()
	p.Signal(syscall.SIGKILL)
	select {
	case <-p.Ended:
	case <-time.After(10 * time.Second): // it hangs in the kernel: nothing more can be done to it
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// ToldToEnd tells whether it was told to stop, or killed, by Stop or Kill.
func (p *Process) ToldToEnd() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told
}

// Stopped tells whether the kernel has it stopped.
func (p *Process) Stopped() bool {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	_, after, found := bytes.Cut(data, []byte(") "))
	return err == nil && found && len(after) > 0 && after[0] == 'T'
}

// Of gives the lines of its log that name a request, or the last few.
func (p *Process) Of(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []string
	for _, line := range p.lines {
		if id != "" && strings.Contains(line, id) {
			found = append(found, line)
		}
	}
	if len(found) == 0 {
		found = p.lines[max(len(p.lines)-5, 0):]
	}
	return fmt.Sprintf("node %d:\n  %s", p.Node, strings.Join(found, "\n  "))
}

// PID is its number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Counters gives the last that it has told; nil for none.
func (p *Process) Counters() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}

// Told tells whether it has told its counters, or never will.
func (p *Process) Told() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters != nil || !p.up
}
