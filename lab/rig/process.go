package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one start of a node.
type process struct {
	node   int
	cmd    *exec.Cmd
	ended  chan struct{}
	serves chan struct{} // closed once it takes clients,
	ready  chan struct{} // and once it has answered PONG

	mu       sync.Mutex
	addr     string
	counters map[string]float64
	lines    []string // of its log, the last ones
	up       bool
}

const linesMost = 400

// starter starts processes from one thread that lives as long as the rig, since what a child is told of its parent's death
// hangs on the thread that made it: when the rig is killed, so are they.
type starter struct{ jobs chan func() }

func newStarter() *starter {
	s := &starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for do := range s.jobs {
			do()
		}
	}()
	return s
}

// start runs the program as a node. The configuration is a file that has no name any more, so it goes with the processes.
func (s *starter) start(binary string, node int, config map[string]any, heard func(p *process, line map[string]any)) (*process, error) {
	f, err := os.CreateTemp("", "rig")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	os.Remove(f.Name())
	if err := json.NewEncoder(f).Encode(config); err != nil {
		return nil, err
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{"LB_CONFIG=/proc/self/fd/3", "PATH=" + os.Getenv("PATH")}
	cmd.ExtraFiles = []*os.File{f}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &process{node: node, cmd: cmd, ended: make(chan struct{}), serves: make(chan struct{}), ready: make(chan struct{})}
	done := make(chan error, 1)
	s.jobs <- func() { done <- cmd.Start() }
	if err := <-done; err != nil {
		return nil, err
	}
	go func() {
		p.read(out, heard)
		cmd.Wait()
		p.mu.Lock()
		p.up = false
		p.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) read(out io.Reader, heard func(*process, map[string]any)) {
	in := bufio.NewScanner(out)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var line map[string]any
		json.Unmarshal(in.Bytes(), &line)
		p.mu.Lock()
		if p.lines = append(p.lines, in.Text()); len(p.lines) > linesMost {
			p.lines = append([]string{p.lines[0]}, p.lines[len(p.lines)-linesMost/2:]...)
		}
		switch line["msg"] {
		case "serving":
			p.addr, _ = line["listen"].(string)
			p.up = true
			close(p.serves)
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

func (p *process) serving() (addr string, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr, p.up
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill ends it and returns once it is gone; it tells whether the signal was what ended it.
func (p *process) kill() bool {
	p.mu.Lock()
	p.up = false
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second): // it hangs in the kernel: nothing more can be done to it
		return false
	}
	status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// stopped tells whether the kernel has it stopped.
func (p *process) stopped() bool {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	_, after, found := bytes.Cut(data, []byte(") "))
	return err == nil && found && len(after) > 0 && after[0] == 'T'
}

// of gives the lines of its log that name a request, or the last few.
func (p *process) of(id string) string {
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
	return fmt.Sprintf("node %d:\n  %s", p.node, strings.Join(found, "\n  "))
}
