package shim

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain is the process that a test looks at where it is started so: it tells its clocks, and what socket says, for each line.
func TestMain(m *testing.M) {
	if os.Getenv("SHIM_TEST_PROCESS") == "" {
		os.Exit(m.Run())
	}
	begun := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		_, err := net.Listen("tcp", "127.0.0.1:0")
		fmt.Println(time.Now().UnixNano(), int64(time.Since(begun)), err)
	}
}

// process is a process under a shim.
type process struct {
	t    *testing.T
	shim *Shim
	in   io.Writer
	out  *bufio.Scanner
}

func start(t *testing.T) *process {
	t.Helper()
	library, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(library.Remove)
	s, err := library.New(1)
	if err != nil {
		t.Fatal(err)
	}
	own, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.ExtraFiles, cmd.Stderr = append(os.Environ(), "SHIM_TEST_PROCESS=1"), []*os.File{own}, os.Stderr
	library.Prepare(s, cmd)
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		in.Close()
		cmd.Wait()
		select {
		case err := <-served:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("the shim outlives its process")
		}
	})
	return &process{t, s, in, bufio.NewScanner(out)}
}

// ask gives by how much the process's wall clock is off, its steady clock, and the error of a call of socket.
func (p *process) ask() (off, steady time.Duration, failed string) {
	p.t.Helper()
	fmt.Fprintln(p.in)
	if !p.out.Scan() {
		p.t.Fatal("the process has ended")
	}
	var wall, elapsed int64
	fmt.Sscan(p.out.Text(), &wall, &elapsed)
	_, failed, _ = strings.Cut(p.out.Text(), " ")
	_, failed, _ = strings.Cut(failed, " ")
	return time.Duration(wall - time.Now().UnixNano()), time.Duration(elapsed), failed
}

func TestTheWallClockIsSteppedAndTheSteadyOneIsNot(t *testing.T) {
	p := start(t)
	_, before, _ := p.ask()
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, 0} {
		p.shim.Step(step)
		off, steady, _ := p.ask()
		if (off-step).Abs() > 500*time.Millisecond || p.shim.Offset() != step {
			t.Errorf("stepped by %v, the wall clock is off by %v", step, off)
		}
		if steady < before || steady > before+10*time.Second {
			t.Errorf("stepped by %v, the steady clock went from %v to %v", step, before, steady)
		}
		before = steady
	}
}

func TestCallsFailAsTheyAreTold(t *testing.T) {
	p := start(t)
	if _, _, failed := p.ask(); failed != "<nil>" {
		t.Errorf("got %s before any fault", failed)
	}
	p.shim.Fail(Socket, 1)
	if _, _, failed := p.ask(); failed == "<nil>" {
		t.Error("socket does not fail")
	}
	if p.shim.Failed.Load() == 0 {
		t.Error("no failure is counted")
	}
	p.shim.Fail(Socket, 0)
	if _, _, failed := p.ask(); failed != "<nil>" {
		t.Errorf("got %s after the fault", failed)
	}
}

func TestEachCallHasErrors(t *testing.T) {
	for _, call := range []Call{Accept, Socket, Connect} {
		if len(Errors[call]) == 0 {
			t.Errorf("no errors for call %d", call)
		}
		for _, errno := range Errors[call] {
			if errno == syscall.Errno(0) {
				t.Errorf("call %d fails with no error", call)
			}
		}
	}
}
