package process

import (
	"encoding/json"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// logDrainTimeout is the maximum wait for the rest of an exited process's log, the reading of which may be paused.
const logDrainTimeout = time.Second

// LogHandler is called for each line of a process's log, in the goroutine that reads the log. The line is nil if it is
// not a JSON object.
type LogHandler func(p *Process, line map[string]any)

// Starter starts processes that the kernel kills when this program ends. The kernel kills a process when the thread
// that started it ends, so a single thread, which runs until Close, starts all processes of a Starter.
type Starter struct{ jobs chan func() }

// NewStarter returns a Starter. It must be closed with Close.
func NewStarter() *Starter {
	starter := &Starter{make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range starter.jobs {
			job()
		}
	}()
	return starter
}

// Close ends the Starter's thread, which makes the kernel kill the processes that it started.
func (s *Starter) Close() { close(s.jobs) }

// StartCommand starts a command whose process is killed when the Starter is closed. It replaces cmd.SysProcAttr.
func (s *Starter) StartCommand(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error, 1)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}

// StartNode starts the program as a node. The configuration is passed in an unlinked temporary file as descriptor 3. If
// prepare is not nil, it is called to modify the command before the start.
func (s *Starter) StartNode(
	binary string, node int, config map[string]any, prepare func(*exec.Cmd), handle LogHandler,
) (*Process, error) {
	file, err := os.CreateTemp("", "node-config")
	if err != nil {
		return nil, err
	}
	os.Remove(file.Name())
	process, err := s.startNode(binary, node, file, config, prepare, handle)
	if err != nil {
		file.Close()
	}
	return process, err
}

func (s *Starter) startNode(
	binary string, node int, file *os.File, config map[string]any, prepare func(*exec.Cmd), handle LogHandler,
) (*Process, error) {
	if err := json.NewEncoder(file).Encode(config); err != nil {
		return nil, err
	}
	cmd := exec.Command(binary)
	cmd.Env = []string{"LB_CONFIG=/proc/self/fd/3", "PATH=" + os.Getenv("PATH")}
	cmd.ExtraFiles = []*os.File{file}
	if prepare != nil {
		prepare(cmd)
	}
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = logWriter
	process := &Process{
		Node: node, cmd: cmd, config: file,
		Exited: make(chan struct{}), Listening: make(chan struct{}), Ready: make(chan struct{}),
	}
	err = s.StartCommand(cmd)
	logWriter.Close()
	if err != nil {
		logReader.Close()
		return nil, err
	}
	logDone := make(chan struct{})
	go func() {
		process.readLog(logReader, handle)
		logReader.Close()
		close(logDone)
	}()
	go process.awaitExit(logDone)
	return process, nil
}

// awaitExit waits for the process to exit, and closes Exited once its log is read or after logDrainTimeout.
func (p *Process) awaitExit(logDone <-chan struct{}) {
	p.cmd.Wait()
	p.config.Close()
	select {
	case <-logDone:
	case <-time.After(logDrainTimeout):
	}
	p.mu.Lock()
	p.serving = false
	p.mu.Unlock()
	close(p.Exited)
}
