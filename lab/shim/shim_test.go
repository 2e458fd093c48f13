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

// TestMain runs the tests. If SHIM_TEST_PROCESS is set, it is the main function of the child process instead, which
// prints its clocks and the error of a system call for each line of input.
func TestMain(m *testing.M) {
	if os.Getenv("SHIM_TEST_PROCESS") == "" {
		os.Exit(m.Run())
	}
	start := time.Now()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		_, err := net.Listen("tcp", "127.0.0.1:0")
		fmt.Println(time.Now().UnixNano(), int64(time.Since(start)), err)
	}
}

// childProcess is a process of the test binary with a shim.
type childProcess struct {
	t    *testing.T
	shim *Shim
	in   io.Writer
	out  *bufio.Scanner
}

// startChild starts a child process, which is stopped at the end of the test.
func startChild(t *testing.T) *childProcess {
	t.Helper()
	library, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(library.Remove)
	shim, err := library.NewShim(1)
	if err != nil {
		t.Fatal(err)
	}
	config, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer config.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SHIM_TEST_PROCESS=1")
	cmd.ExtraFiles, cmd.Stderr = []*os.File{config}, os.Stderr
	library.Prepare(shim, cmd)
	in, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- shim.Serve() }()
	t.Cleanup(func() {
		in.Close()
		cmd.Wait()
		select {
		case err := <-served:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Error("Serve has not returned after the end of the process")
		}
	})
	return &childProcess{t, shim, in, bufio.NewScanner(out)}
}

// query returns the offset of the child's wall clock, its monotonic clock, and the error of a socket system call.
func (p *childProcess) query() (offset, monotonic time.Duration, callErr string) {
	p.t.Helper()
	fmt.Fprintln(p.in)
	if !p.out.Scan() {
		p.t.Fatal("child process has ended")
	}
	var wall, elapsed int64
	fmt.Sscan(p.out.Text(), &wall, &elapsed)
	_, callErr, _ = strings.Cut(p.out.Text(), " ")
	_, callErr, _ = strings.Cut(callErr, " ")
	return time.Duration(wall - time.Now().UnixNano()), time.Duration(elapsed), callErr
}

func TestClockOffsetShiftsWallClockOnly(t *testing.T) {
	child := startChild(t)
	_, before, _ := child.query()
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, 0} {
		child.shim.SetClockOffset(offset)
		actual, monotonic, _ := child.query()
		if (actual-offset).Abs() > 500*time.Millisecond || child.shim.ClockOffset() != offset {
			t.Errorf("offset %v: got a wall clock offset of %v", offset, actual)
		}
		if monotonic < before || monotonic > before+10*time.Second {
			t.Errorf("offset %v: monotonic clock went from %v to %v", offset, before, monotonic)
		}
		before = monotonic
	}
}

func TestCallsFailWithProbability(t *testing.T) {
	child := startChild(t)
	if _, _, callErr := child.query(); callErr != "<nil>" {
		t.Errorf("got error %s before the fault", callErr)
	}
	child.shim.SetFailureProbability(Socket, 1)
	if _, _, callErr := child.query(); callErr == "<nil>" {
		t.Error("got no error during the fault")
	}
	if child.shim.FailedCalls.Load() == 0 {
		t.Error("failed calls are not counted")
	}
	child.shim.SetFailureProbability(Socket, 0)
	if _, _, callErr := child.query(); callErr != "<nil>" {
		t.Errorf("got error %s after the fault", callErr)
	}
}

func TestTransientErrorsCoverAllCalls(t *testing.T) {
	for _, call := range []Call{Accept, Socket, Connect} {
		if len(TransientErrors[call]) == 0 {
			t.Errorf("call %d has no transient errors", call)
		}
		for _, errno := range TransientErrors[call] {
			if errno == syscall.Errno(0) {
				t.Errorf("call %d has the error number 0", call)
			}
		}
	}
}
